//! The unit of time.

/// A point in time or a duration, in nanoseconds of the embedder's monotonic clock.
///
/// The policy reads no clock: the embedder passes the current time with each event.
pub type Nanos = u64;

/// One millisecond, in nanoseconds.
pub(crate) const MILLISECOND: Nanos = 1_000_000;

/// One second, in nanoseconds.
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;

/// Nanoseconds in a second, for the conversion of rates and durations.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;
