//! The clock that everything goes by.
use rustix::time::{ClockId, clock_gettime};
use spanlead_balancing_policy::Nanos;
use spanlead_durable_jobs::ClockAnchor;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The monotonic clock, counted so that its start lies at the wall clock's time of then: list entries' wall-clock
/// times can be set against it, and it never jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    wall: Nanos,
}

impl Clock {
    /// A clock that begins now.
    #[allow(clippy::new_without_default, reason = "when it is made matters")]
    pub fn new() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as Nanos);
        Clock { start: Instant::now(), wall }
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.wall + self.start.elapsed().as_nanos() as Nanos
    }

    /// The runtime's word for a time.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at.saturating_sub(self.wall))
    }

    /// How this clock reads against the machine's own, which goes on whatever is done to the wall clock and while no
    /// process runs.
    pub fn anchor(&self) -> ClockAnchor {
        let up = clock_gettime(ClockId::Boottime);
        let up = up.tv_sec as Nanos * 1_000_000_000 + up.tv_nsec as Nanos;
        // Where the system names no start, none is known to be the same as another.
        let boot = std::fs::read_to_string("/proc/sys/kernel/random/boot_id");
        let boot = boot.unwrap_or_else(|_| format!("{}", self.wall));
        ClockAnchor { boot_id: Arc::from(boot.trim()), uptime: up, process_clock: self.now() }
    }
}
