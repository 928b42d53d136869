//! The plan of a soak: which action happens when, drawn from the seed.
//!
//! Actions come in series and overlap. In the first third of the time and in the last one all of
//! them are planned work, so that cut connections can be judged; in between there are crashes and
//! other faults too. Some soaks end with lost disks, while all other machines lose power.
use super::action::{Action, ControlGroup, PlannedAction};
use super::options::SoakOptions;
use crate::links::{CutDirection, LinkFaultKind};
use crate::platform::WorkerCut;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

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
/// Between two crashes of workers, milliseconds, for each [`WORKERS_PER_FAULT`] workers.
const CRASH_GAP_MS: Range<u64> = 800..4_000;
/// Between two freezes or cuts of workers, milliseconds, for each [`WORKERS_PER_FAULT`] workers.
const WORKER_FAULT_GAP_MS: Range<u64> = 400..2_500;
/// The number of workers for which the draws above are made.
const WORKERS_PER_FAULT: usize = 50;
/// How long a worker stands still or is out of reach, milliseconds: shorter and longer than its
/// lease.
const WORKER_FAULT_MS: Range<u64> = 300..9_000;
/// Between two changes of the share of orders that are carried out late, milliseconds.
const LATE_ORDERS_GAP_MS: Range<u64> = 1_000..4_000;
/// The shares of orders that are carried out late, of which one is drawn.
const LATE_ORDER_SHARES: [f64; 4] = [0.0, 0.02, 0.07, 0.2];
/// How long a machine of the control plane stands still, milliseconds.
const CONTROL_PLANE_FREEZE_MS: Range<u64> = 100..6_000;
/// How long a fault of links lasts, milliseconds.
const LINK_FAULT_MS: Range<u64> = 200..6_000;
/// By how much a link delays what passes, milliseconds.
const LINK_DELAY_MS: Range<u64> = 5..300;
/// The number of kinds of faults of the control plane.
const CONTROL_FAULT_KINDS: u32 = 8;
/// The share of soaks that end with lost disks and a loss of power.
const CLOSING_FAULT_SHARE: f64 = 0.5;
/// How long a machine of the data plane stands still, milliseconds: some of the requests that it
/// holds are older than their clients' deadlines when it goes on.
const DATA_PLANE_FREEZE_MS: Range<u64> = 300..4_500;
/// Between two freezes of machines of the data plane, milliseconds.
const FREEZE_GAP_MS: Range<u64> = 300..2_500;
/// The largest number of SIGHUP in a series.
const MAX_RELOADS: usize = 4;

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
    has_links: bool,
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
        has_links: !options.without_links,
    };
    planner.draw_reloads();
    planner.draw_restarts_of_data_planes();
    planner.draw_freezes_of_data_planes();
    planner.draw_control_plane_actions();
    planner.draw_worker_crashes();
    planner.draw_worker_faults();
    planner.draw_late_orders();
    planner.draw_closing_fault();
    planner.actions.sort_by_key(|planned| planned.at_ms);
    planner.actions
}

impl Planner {
    /// Adds an action. Faults of links, workers and control planes end with the middle third: after
    /// it, cut connections and routes are judged again.
    fn push(&mut self, at_ms: u64, mut action: Action) {
        let remaining_ms = self.crashes_ms.end.saturating_sub(at_ms);
        match &mut action {
            Action::Freeze { machine, outage_ms } if self.control.contains(machine) => {
                *outage_ms = (*outage_ms).min(remaining_ms);
            }
            Action::DisturbLinks { for_ms, .. }
            | Action::FreezeWorker { for_ms, .. }
            | Action::CutWorker { for_ms, .. } => *for_ms = (*for_ms).min(remaining_ms),
            _ => {}
        }
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

    /// One action on the control plane at a time: restarts, and faults in the middle third.
    fn draw_control_plane_actions(&mut self) {
        let mut at_ms = self.rng.random_range(SERIES_PAUSE_MS);
        while at_ms < self.end_ms {
            let action = if self.crashes_ms.contains(&at_ms) {
                self.draw_control_plane_fault()
            } else {
                self.draw_control_plane_restart()
            };
            self.push(at_ms, action);
            at_ms += duration_ms(action) + self.rng.random_range(CONTROL_GAP_MS);
        }
    }

    fn draw_control_plane_restart(&mut self) -> Action {
        let machine = self.rng.random_range(0..self.control.len());
        Action::Restart { machine, outage_ms: self.rng.random_range(OUTAGE_MS) }
    }

    fn draw_control_plane_fault(&mut self) -> Action {
        let machine = self.rng.random_range(0..self.control.len());
        let outage_ms = self.rng.random_range(OUTAGE_MS);
        match self.rng.random_range(0..CONTROL_FAULT_KINDS) {
            0 => Action::Restart { machine, outage_ms },
            1 => Action::Kill { machine, outage_ms },
            2 => Action::KillControlPlane { outage_ms },
            3 => Action::Freeze { machine, outage_ms: self.rng.random_range(CONTROL_PLANE_FREEZE_MS) },
            4 => Action::LoseDisks { group: self.draw_group(), outage_ms, others_lose_power: false },
            5 => Action::LoseDisks { group: self.draw_group(), outage_ms, others_lose_power: true },
            _ if !self.has_links => Action::Kill { machine, outage_ms },
            _ => self.draw_link_fault(),
        }
    }

    /// As many machines of the control plane as it bears to lose, or fewer.
    fn draw_group(&mut self) -> ControlGroup {
        let count = self.rng.random_range(1..=self.tolerated_failures().max(1));
        ControlGroup { first: self.rng.random_range(0..=self.control.len() - count), count }
    }

    fn tolerated_failures(&self) -> usize {
        (self.control.len() - 1) / 2
    }

    fn draw_link_fault(&mut self) -> Action {
        let directions = [CutDirection::Both, CutDirection::FromGroup, CutDirection::ToGroup];
        let kind = if self.rng.random_bool(0.25) {
            LinkFaultKind::Delay(Duration::from_millis(self.rng.random_range(LINK_DELAY_MS)))
        } else {
            LinkFaultKind::Cut(directions[self.rng.random_range(0..directions.len())])
        };
        Action::DisturbLinks {
            group: self.draw_group(),
            concerns_data_planes: self.rng.random_bool(0.5),
            kind,
            for_ms: self.rng.random_range(LINK_FAULT_MS),
        }
    }

    /// A time until the next fault of a worker: the more workers, the sooner.
    fn draw_worker_gap_ms(&mut self, gap_ms: Range<u64>) -> u64 {
        let groups = self.workers.div_ceil(WORKERS_PER_FAULT).max(1) as u64;
        (self.rng.random_range(gap_ms) / groups).max(1)
    }

    fn draw_worker_crashes(&mut self) {
        let mut at_ms = self.crashes_ms.start + self.draw_worker_gap_ms(CRASH_GAP_MS);
        while at_ms < self.crashes_ms.end {
            let worker = self.rng.random_range(0..self.workers);
            self.push(at_ms, Action::CrashWorker { worker });
            at_ms += self.draw_worker_gap_ms(CRASH_GAP_MS);
        }
    }

    /// Freezes and cuts of workers in the middle third, which overlap.
    fn draw_worker_faults(&mut self) {
        let mut at_ms = self.crashes_ms.start + self.draw_worker_gap_ms(WORKER_FAULT_GAP_MS);
        while at_ms < self.crashes_ms.end {
            let worker = self.rng.random_range(0..self.workers);
            let for_ms = self.rng.random_range(WORKER_FAULT_MS);
            let action = match self.rng.random_range(0..3) {
                0 => Action::FreezeWorker { worker, for_ms },
                1 => Action::CutWorker { worker, cut: WorkerCut::BothWays, for_ms },
                _ => Action::CutWorker { worker, cut: WorkerCut::Responses, for_ms },
            };
            self.push(at_ms, action);
            at_ms += self.draw_worker_gap_ms(WORKER_FAULT_GAP_MS);
        }
    }

    /// Orders that are carried out late, in the middle third.
    fn draw_late_orders(&mut self) {
        let mut at_ms = self.crashes_ms.start + self.rng.random_range(LATE_ORDERS_GAP_MS);
        while at_ms < self.crashes_ms.end {
            let share = LATE_ORDER_SHARES[self.rng.random_range(0..LATE_ORDER_SHARES.len())];
            self.push(at_ms, Action::DelayOrders { share });
            at_ms += self.rng.random_range(LATE_ORDERS_GAP_MS);
        }
        self.push(self.crashes_ms.end, Action::DelayOrders { share: 0.0 });
    }

    /// Lost disks at the end of the load, as many as the control plane bears, while all other
    /// machines lose power.
    fn draw_closing_fault(&mut self) {
        if !self.rng.random_bool(CLOSING_FAULT_SHARE) {
            return;
        }
        let count = self.tolerated_failures().max(1);
        let first = self.rng.random_range(0..=self.control.len() - count);
        let outage_ms = self.rng.random_range(OUTAGE_MS);
        // No other machine of the control plane may still have to catch up.
        let quiet_from_ms = self.end_ms.saturating_sub(CONTROL_GAP_MS.start);
        let control = 0..self.control.len();
        self.actions.retain(|planned| planned.at_ms < quiet_from_ms || !concerns(planned.action, &control));
        let group = ControlGroup { first, count };
        self.push(self.end_ms, Action::LoseDisks { group, outage_ms, others_lose_power: true });
    }
}

/// How long an action lasts after which the machine, or the link, is as before, milliseconds.
fn duration_ms(action: Action) -> u64 {
    match action {
        Action::Freeze { outage_ms, .. } => outage_ms,
        Action::DisturbLinks { for_ms, .. } => for_ms,
        _ => 0,
    }
}

/// Whether an action ends a process of these machines.
fn concerns(action: Action, machines: &Range<usize>) -> bool {
    match action {
        Action::Restart { machine, .. } | Action::Kill { machine, .. } => machines.contains(&machine),
        _ => false,
    }
}
