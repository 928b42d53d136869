//! Times and clock readings that the caller passes in.

/// A time or a duration, milliseconds. Times are comparable only if they are from the clock of one
/// process.
pub type Millis = u64;

/// A reading of the two clocks of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The time of the monotonic clock, by which leases are measured.
    pub monotonic: Millis,
    /// The time of the wall clock. It only makes the first term exceed the earlier ones after all
    /// schedulers have restarted without their terms. Mutual exclusion does not depend on it.
    pub wall: Millis,
}
