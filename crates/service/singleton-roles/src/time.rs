//! Times, as the caller passes them in.

/// A time or a span, milliseconds. Only differences of one process's own clock mean anything.
pub type Millis = u64;

/// A reading of a process's two clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The process's own monotonic clock, which leases are measured by.
    pub monotonic: Millis,
    /// The time of day. It only lifts the first term above those of processes that have all
    /// forgotten theirs; nothing that must be safe depends on it.
    pub wall: Millis,
}
