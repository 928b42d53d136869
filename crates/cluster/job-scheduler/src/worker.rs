//! A worker in memory: what it has, what was put there, and how it is doing.
use crate::clock::WorkerClock;
use crate::ids::TaskId;
use crate::pace::Pace;
use crate::spec::Stage;
use compact_str::CompactString;
use spanlead_expander_walk::{CyclePositions, Vertex, cycle_positions};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Processor, memory, accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Resources {
    pub cpu_millicores: u64,
    pub memory_mb: u64,
    pub gpus: u64,
}

impl Resources {
    /// What a task of a step needs.
    pub fn of(stage: &Stage) -> Self {
        Resources { cpu_millicores: stage.cpu_millicores, memory_mb: stage.memory_mb, gpus: stage.gpus }
    }

    pub fn fits(self, room: Resources) -> bool {
        self.cpu_millicores <= room.cpu_millicores
            && self.memory_mb <= room.memory_mb
            && self.gpus <= room.gpus
    }

    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores + other.cpu_millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            gpus: self.gpus + other.gpus,
        }
    }

    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// How many of these fit into that room.
    pub fn times_in(self, room: Resources) -> u64 {
        let times = |need: u64, has: u64| has.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu_millicores, room.cpu_millicores)
            .min(times(self.memory_mb, room.memory_mb))
            .min(times(self.gpus, room.gpus))
    }
}

/// Whether a worker is on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Only records name it; the list was not read yet.
    Unlisted,
    Ready,
    Draining,
    /// Off the list, or another incarnation answers: nothing runs there.
    Gone,
}

/// The hold call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldState {
    Idle,
    Out,
    /// Ends are being recorded; the next call waits until that lasts.
    Recording,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub id: Arc<str>,
    pub address: Arc<str>,
    pub service: CompactString,
    pub zone: CompactString,
    pub labels: Vec<CompactString>,
    pub capacity: Resources,
    pub cycle_positions: CyclePositions,
    pub standing: Standing,
    pub clock: WorkerClock,
    /// It has answered a hold of this term, so orders of earlier ones do nothing there.
    pub fenced: bool,
    pub reachable: bool,
    pub hold: HoldState,
    pub hold_at: u64,
    pub hold_serial: u64,
    pub misses: u32,
    /// Ends up to here may be forgotten there.
    pub last_seen: u64,
    /// Ends up to here are taken and not yet recorded.
    pub taken: u64,
    pub used: Resources,
    pub runs: BTreeSet<(TaskId, u32)>,
    /// Runs there that no record names: they are being stopped, and count.
    pub strays: Vec<(TaskId, u32, Resources)>,
    /// Ends of late: failed ones as a share, smoothed, and how many stand behind it.
    pub failing: f64,
    pub ends: f64,
    pub avoided_until: u64,
    pub pace: Pace,
    /// When it stops serving, our time.
    pub leaves_at: Option<u64>,
}

impl Vertex for Worker {
    fn cycle_positions(&self) -> &CyclePositions {
        &self.cycle_positions
    }
}

impl Worker {
    /// A worker of which only the name is known.
    pub fn new(id: &str, clock: WorkerClock, now: u64) -> Self {
        Worker {
            id: id.into(),
            address: "".into(),
            service: CompactString::default(),
            zone: CompactString::default(),
            labels: Vec::new(),
            capacity: Resources::default(),
            cycle_positions: cycle_positions(id.as_bytes()),
            standing: Standing::Unlisted,
            clock,
            fenced: false,
            reachable: true,
            hold: HoldState::Idle,
            hold_at: now,
            hold_serial: 0,
            misses: 0,
            last_seen: 0,
            taken: 0,
            used: Resources::default(),
            runs: BTreeSet::new(),
            strays: Vec::new(),
            failing: 0.0,
            ends: 0.0,
            avoided_until: 0,
            pace: Pace::default(),
            leaves_at: None,
        }
    }

    /// The rack that it stands in: its second label.
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(CompactString::as_str)
    }

    /// What is left there.
    pub fn room(&self) -> Resources {
        let strays = self.strays.iter().fold(Resources::default(), |sum, (_, _, need)| sum.plus(*need));
        self.capacity.minus(self.used).minus(strays)
    }

    /// Whether it may be told to start something, leaving aside how it is doing.
    pub fn takes(&self) -> bool {
        self.standing == Standing::Ready && self.fenced && self.reachable && self.misses == 0
    }

    pub fn has_labels(&self, wanted: &[String]) -> bool {
        wanted.iter().all(|label| self.labels.iter().any(|l| l == label.as_str()))
    }

    /// The share of it that is in use: the dearest of its resources.
    pub fn load(&self) -> f64 {
        let share = |used: u64, has: u64| if has == 0 { 0.0 } else { used as f64 / has as f64 };
        share(self.used.cpu_millicores, self.capacity.cpu_millicores)
            .max(share(self.used.memory_mb, self.capacity.memory_mb))
            .max(share(self.used.gpus, self.capacity.gpus))
    }

    /// What stands against a worker beside others with room: its load, and its slowness.
    pub fn cost(&self) -> f64 {
        let slow = if self.pace.slow() { self.pace.factor() } else { 0.0 };
        self.load() + slow
    }

    /// Counts an end, for the judgement of its health.
    pub fn count_end(&mut self, now: u64, failed: bool) {
        self.ends = self.ends * ENDS_KEPT + 1.0;
        self.failing += (f64::from(u8::from(failed)) - self.failing) / self.ends.min(1.0 / (1.0 - ENDS_KEPT));
        if failed && self.ends > 2.5 && self.failing > FAILING_SHARE {
            self.avoided_until = now + AVOIDED_MS;
            self.ends = 0.0;
            self.failing = 0.0;
        }
    }
}

/// How much of the count of ends is kept at each.
const ENDS_KEPT: f64 = 0.85;
/// The share of failed ends at which a worker is left alone.
const FAILING_SHARE: f64 = 0.5;
/// For how long, milliseconds.
const AVOIDED_MS: u64 = 4_000;
