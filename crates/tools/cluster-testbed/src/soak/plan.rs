//! The plan of a soak: which action happens when, drawn from the seed.
//!
//! Actions come in series and overlap. In the first third of the time and in the last one all of
//! them are planned work, so that cut connections can be judged; in between there are crashes too.
use super::options::SoakOptions;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// How long a process is down, or stopped, milliseconds.
const OUTAGE_MS: Range<u64> = 100..900;
/// Between two restarts of a series on the data plane, milliseconds.
const SERIES_GAP_MS: Range<u64> = 50..1_500;
/// Between two series on the data plane, milliseconds.
const SERIES_PAUSE_MS: Range<u64> = 500..4_000;
/// Between two series of SIGHUP, milliseconds.
const RELOAD_PAUSE_MS: Range<u64> = 100..2_000;
/// Between two actions on the control plane, milliseconds: a machine that comes back needs up to
/// 4 s to catch up, during which no other may be lost.
const CONTROL_GAP_MS: Range<u64> = 5_500..8_000;
/// Between two crashes of workers, milliseconds.
const CRASH_GAP_MS: Range<u64> = 800..4_000;
/// How long a machine of the data plane stands still, milliseconds: some of the requests that it
/// holds are older than their clients' deadlines when it goes on.
const DATA_PLANE_FREEZE_MS: Range<u64> = 300..4_500;
/// Between two freezes of machines of the data plane, milliseconds.
const FREEZE_GAP_MS: Range<u64> = 300..2_500;
/// The largest number of SIGHUP in a series.
const MAX_RELOADS: usize = 4;

/// What happens to a process or a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// SIGHUP.
    Reload {
        /// The index of the machine.
        machine: usize,
    },
    /// SIGTERM; the process is started again some time after its end.
    Restart {
        /// The index of the machine.
        machine: usize,
        /// From the end of the process to its start, milliseconds.
        outage_ms: u64,
    },
    /// SIGKILL; the process is started again after some time.
    Kill {
        /// The index of the machine.
        machine: usize,
        /// From the end of the process to its start, milliseconds.
        outage_ms: u64,
    },
    /// SIGSTOP, and SIGCONT after some time.
    Freeze {
        /// The index of the machine.
        machine: usize,
        /// How long it stands still, milliseconds.
        outage_ms: u64,
    },
    /// SIGKILL for the whole control plane, which is started again after some time.
    KillControlPlane {
        /// From the end of the processes to their start, milliseconds.
        outage_ms: u64,
    },
    /// A worker crashes, and another incarnation takes its address.
    CrashWorker {
        /// The index of the worker.
        worker: usize,
    },
}

impl Action {
    /// Whether an operator plans such an action.
    pub(super) fn is_planned(self) -> bool {
        matches!(self, Action::Reload { .. } | Action::Restart { .. })
    }
}

/// An action with its time after the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlannedAction {
    /// Milliseconds after the start of the load.
    pub(super) at_ms: u64,
    /// What happens.
    pub(super) action: Action,
}

/// The time in which actions are drawn, milliseconds after the start of the load.
struct Planner {
    rng: ChaCha8Rng,
    actions: Vec<PlannedAction>,
    end_ms: u64,
    /// The time in which there are crashes.
    crashes_ms: Range<u64>,
    control: Vec<usize>,
    data: Vec<usize>,
    workers: usize,
}

/// Draws the actions of a soak, in the order of their times. Machines of the control plane have the
/// first indexes.
pub(super) fn draw(options: &SoakOptions) -> Vec<PlannedAction> {
    let end_ms = options.seconds * 1_000;
    let mut planner = Planner {
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        actions: Vec::new(),
        end_ms,
        crashes_ms: end_ms / 3..end_ms * 2 / 3,
        control: (0..options.control).collect(),
        data: (options.control..options.control + options.data).collect(),
        workers: options.workers,
    };
    planner.draw_reloads();
    planner.draw_restarts_of_data_planes();
    planner.draw_freezes_of_data_planes();
    planner.draw_control_plane_actions();
    planner.draw_worker_crashes();
    planner.actions.sort_by_key(|planned| planned.at_ms);
    planner.actions
}

impl Planner {
    fn push(&mut self, at_ms: u64, action: Action) {
        self.actions.push(PlannedAction { at_ms, action });
    }

    fn pick(&mut self, machines: &[usize]) -> usize {
        machines.choose(&mut self.rng).copied().unwrap_or(0)
    }

    /// Series of SIGHUP to random processes.
    fn draw_reloads(&mut self) {
        let all = [self.control.clone(), self.data.clone()].concat();
        let mut at_ms = self.rng.random_range(RELOAD_PAUSE_MS);
        while at_ms < self.end_ms {
            let machine = self.pick(&all);
            for _ in 0..self.rng.random_range(1..=MAX_RELOADS) {
                self.push(at_ms, Action::Reload { machine });
                at_ms += self.rng.random_range(1..100);
            }
            at_ms += self.rng.random_range(RELOAD_PAUSE_MS);
        }
    }

    /// Rolling restarts of the data plane, in part overlapping; crashes in the middle third.
    fn draw_restarts_of_data_planes(&mut self) {
        let mut at_ms = self.rng.random_range(SERIES_PAUSE_MS);
        while at_ms < self.end_ms {
            for machine in self.data.clone() {
                let outage_ms = self.rng.random_range(OUTAGE_MS);
                let crashes = self.crashes_ms.contains(&at_ms) && self.rng.random_bool(0.3);
                let action = if crashes {
                    Action::Kill { machine, outage_ms }
                } else {
                    Action::Restart { machine, outage_ms }
                };
                self.push(at_ms, action);
                at_ms += self.rng.random_range(SERIES_GAP_MS);
            }
            at_ms += self.rng.random_range(SERIES_PAUSE_MS);
        }
    }

    /// Freezes of data planes in the middle third, which overlap.
    fn draw_freezes_of_data_planes(&mut self) {
        let mut at_ms = self.crashes_ms.start + self.rng.random_range(FREEZE_GAP_MS);
        while at_ms < self.crashes_ms.end {
            let data = self.data.clone();
            let machine = self.pick(&data);
            let outage_ms = self.rng.random_range(DATA_PLANE_FREEZE_MS);
            self.push(at_ms, Action::Freeze { machine, outage_ms });
            at_ms += self.rng.random_range(FREEZE_GAP_MS);
        }
    }

    /// One action on the control plane at a time: restarts, and crashes in the middle third.
    fn draw_control_plane_actions(&mut self) {
        let mut at_ms = self.rng.random_range(SERIES_PAUSE_MS);
        while at_ms < self.end_ms {
            let control = self.control.clone();
            let machine = self.pick(&control);
            let outage_ms = self.rng.random_range(OUTAGE_MS);
            let kind = if self.crashes_ms.contains(&at_ms) { self.rng.random_range(0..4) } else { 0 };
            let action = match kind {
                0 => Action::Restart { machine, outage_ms },
                1 => Action::Kill { machine, outage_ms },
                2 => Action::Freeze { machine, outage_ms },
                _ => Action::KillControlPlane { outage_ms },
            };
            self.push(at_ms, action);
            at_ms += self.rng.random_range(CONTROL_GAP_MS);
        }
    }

    fn draw_worker_crashes(&mut self) {
        let mut at_ms = self.crashes_ms.start + self.rng.random_range(CRASH_GAP_MS);
        while at_ms < self.crashes_ms.end {
            let worker = self.rng.random_range(0..self.workers);
            self.push(at_ms, Action::CrashWorker { worker });
            at_ms += self.rng.random_range(CRASH_GAP_MS);
        }
    }
}
