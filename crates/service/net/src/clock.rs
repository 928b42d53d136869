//! The clock that the scheduler's decisions are timed by.
use rustix::time::{ClockId, clock_gettime};
use spanlead_balancing_policy::Nanos;
use spanlead_durable_jobs::ClockAnchor;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The slack that the protocol gives each time limit on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
/// Where Linux names the present boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// The monotonic clock, counted so that its start lies at the wall clock's time of then: wall-clock
/// times in the endpoint list can be compared with it, and it never jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    wall_at_start: Nanos,
}

impl Clock {
    /// A clock that starts now.
    #[allow(clippy::new_without_default, reason = "when it is made matters")]
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_at_start = since_epoch.map_or(0, |span| span.as_nanos() as Nanos);
        Clock { start: Instant::now(), wall_at_start }
    }

    /// The time now, nanoseconds since 1970.
    pub fn now(&self) -> Nanos {
        self.wall_at_start + self.start.elapsed().as_nanos() as Nanos
    }

    /// The runtime's form of a time of this clock.
    pub fn instant(&self, time: Nanos) -> Instant {
        self.start + Duration::from_nanos(time.saturating_sub(self.wall_at_start))
    }

    /// How this clock reads against the machine's own, which goes on whatever is done to the wall
    /// clock and while no process runs.
    pub fn anchor(&self) -> ClockAnchor {
        let up_time = clock_gettime(ClockId::Boottime);
        let up = up_time.tv_sec as Nanos * NANOS_PER_SECOND + up_time.tv_nsec as Nanos;
        // Where the system names no boot, none is known to be the same as another.
        let boot = std::fs::read_to_string(BOOT_ID_FILE);
        let boot = boot.unwrap_or_else(|_| format!("{}", self.wall_at_start));
        ClockAnchor { boot_id: Arc::from(boot.trim()), uptime: up, process_clock: self.now() }
    }
}
