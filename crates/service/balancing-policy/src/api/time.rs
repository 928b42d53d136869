//! Time as the policy counts it.

/// A point in time or a span, in nanoseconds of the embedder's monotonic clock.
///
/// The policy reads no clock: each event carries the time at which it is handled.
pub type Nanos = u64;

/// One millisecond, in nanoseconds.
pub(crate) const MILLISECOND: Nanos = 1_000_000;

/// One second, in nanoseconds.
pub(crate) const SECOND: Nanos = 1_000 * MILLISECOND;

/// Nanoseconds in a second, for figures counted per second.
pub(crate) const NANOS_PER_SECOND: f64 = 1e9;
