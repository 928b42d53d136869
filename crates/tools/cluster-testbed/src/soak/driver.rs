//! Carries out the plan: signals, ends and starts of processes, which overlap.
use super::action::{Action, ControlGroup, PlannedAction};
use super::disturbances::Disturbances;
use crate::links::{LinkFault, LinkFaultKind, LinkFaults};
use crate::platform::Platform;
use crate::process_control::{Machines, Role, TrialError};
use async_std::task;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Between two looks at the processes.
const STEP_INTERVAL: Duration = Duration::from_millis(10);
/// The time from the start of a process until it is sent SIGHUP: no program can handle a signal
/// before its `main` has begun.
const MIN_AGE_FOR_RELOAD: Duration = Duration::from_millis(30);
/// When all machines start again after a loss of power, each starts so much later than the one
/// before, milliseconds.
const START_STEP_MS: u64 = 37;
/// The longest time between the starts of the first and the last of them, milliseconds.
const MAX_START_SPREAD_MS: u64 = 300;
/// How long a process may take to end after SIGTERM (`graceS`).
const GRACE: Duration = Duration::from_secs(6);

/// What a process is about to do.
#[derive(Clone, Copy, Debug)]
enum Transition {
    /// It was told to end.
    Ending { since: Instant, outage: Duration },
    /// It is down.
    Down { until: Instant, is_planned: bool },
    /// It is stopped and goes on later.
    Frozen { until: Instant },
}

/// The processes of a soak, and what each of them is about to do.
#[derive(Debug)]
pub(super) struct Driver {
    machines: Machines,
    platform: Platform,
    link_faults: LinkFaults,
    disturbances: Disturbances,
    transitions: BTreeMap<usize, Transition>,
    /// When processes were last started again, by machine.
    restarted_at: BTreeMap<usize, Instant>,
    /// How many actions were carried out; one on a machine that is in a transition is left out.
    pub(super) actions: usize,
    /// Processes that did not end in time after SIGTERM.
    pub(super) violations: Vec<String>,
}

impl Driver {
    pub(super) fn new(
        machines: Machines,
        platform: Platform,
        link_faults: LinkFaults,
        disturbances: Disturbances,
    ) -> Self {
        Driver {
            machines,
            platform,
            link_faults,
            disturbances,
            transitions: BTreeMap::new(),
            restarted_at: BTreeMap::new(),
            actions: 0,
            violations: Vec::new(),
        }
    }

    /// Carries out the plan, and returns once no process is in a transition.
    ///
    /// # Errors
    /// If a process can't be started.
    pub(super) async fn run(&mut self, plan: &[PlannedAction]) -> Result<(), TrialError> {
        let started_at = Instant::now();
        let mut plan = plan.iter().peekable();
        loop {
            let elapsed_ms = started_at.elapsed().as_millis() as u64;
            while let Some(planned) = plan.next_if(|planned| planned.at_ms <= elapsed_ms) {
                self.act(planned.action);
            }
            self.advance_transitions()?;
            if plan.peek().is_none() && self.transitions.is_empty() {
                return Ok(());
            }
            task::sleep(STEP_INTERVAL).await;
        }
    }

    /// The names of the machines whose process ended by itself.
    pub(super) fn exited(&mut self) -> Vec<String> {
        self.machines.exited()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Reload { machine } => self.reload(machine),
            Action::Restart { machine, outage_ms } => {
                self.begin(machine, action, |driver| driver.terminate(machine, outage_ms));
            }
            Action::Kill { machine, outage_ms } => {
                self.begin(machine, action, |driver| driver.kill(machine, outage_ms));
            }
            Action::Freeze { machine, outage_ms } => {
                self.begin(machine, action, |driver| driver.freeze(machine, outage_ms));
            }
            Action::KillControlPlane { outage_ms } => self.kill_control_plane(outage_ms),
            Action::LoseDisks { group, outage_ms, others_lose_power } => {
                self.lose_disks(group, outage_ms, others_lose_power);
            }
            Action::DisturbLinks { group, concerns_data_planes, kind, for_ms } => {
                self.disturb_links(group, concerns_data_planes, kind, for_ms);
            }
            _ => self.act_on_workers(action),
        }
    }

    fn act_on_workers(&mut self, action: Action) {
        self.actions += 1;
        let until = |for_ms: u64| Instant::now() + Duration::from_millis(for_ms);
        match action {
            Action::CrashWorker { worker } => {
                self.disturbances.record_unplanned(None);
                self.platform.crash_worker(worker);
            }
            Action::FreezeWorker { worker, for_ms } => {
                self.disturbances.record_unplanned_until(None, until(for_ms));
                self.platform.freeze_worker(worker, for_ms);
            }
            Action::CutWorker { worker, cut, for_ms } => {
                self.disturbances.record_unplanned_until(None, until(for_ms));
                self.platform.cut_worker(worker, for_ms, cut);
            }
            Action::DelayOrders { share } => {
                self.disturbances.record_unplanned(None);
                self.platform.fleet().late_share = share;
            }
            _ => {}
        }
    }

    /// Carries out an action on a machine unless it is in a transition.
    fn begin(&mut self, machine: usize, action: Action, carry_out: impl FnOnce(&mut Self) -> Transition) {
        if self.transitions.contains_key(&machine) {
            return;
        }
        if self.machines.has_ended(machine) {
            let node = &self.machines.machines[machine].node;
            self.violations.push(format!("{node} ended by itself"));
        }
        self.actions += 1;
        self.record(machine, action.is_planned());
        let transition = carry_out(self);
        self.transitions.insert(machine, transition);
    }

    fn record(&self, machine: usize, is_planned: bool) {
        if is_planned {
            self.disturbances.record_planned(machine);
        } else {
            self.disturbances.record_unplanned(Some(machine));
        }
    }

    /// Sends SIGHUP, also to a process that is about to end: signals overlap.
    fn reload(&mut self, machine: usize) {
        let restarted_at = self.restarted_at.get(&machine);
        if restarted_at.is_some_and(|restarted_at| restarted_at.elapsed() < MIN_AGE_FOR_RELOAD) {
            return;
        }
        self.actions += 1;
        self.machines.signal(machine, Signal::HUP);
    }

    fn terminate(&mut self, machine: usize, outage_ms: u64) -> Transition {
        self.machines.signal(machine, Signal::TERM);
        Transition::Ending { since: Instant::now(), outage: Duration::from_millis(outage_ms) }
    }

    fn kill(&mut self, machine: usize, outage_ms: u64) -> Transition {
        self.machines.kill(machine);
        Transition::Down { until: Instant::now() + Duration::from_millis(outage_ms), is_planned: false }
    }

    fn freeze(&mut self, machine: usize, outage_ms: u64) -> Transition {
        let until = Instant::now() + Duration::from_millis(outage_ms);
        self.disturbances.record_unplanned_until(Some(machine), until);
        self.machines.signal(machine, Signal::STOP);
        Transition::Frozen { until }
    }

    /// Empties the disks of some machines. All other machines lose power at that moment, or go on.
    fn lose_disks(&mut self, group: ControlGroup, outage_ms: u64, others_lose_power: bool) {
        self.actions += 1;
        let lost = group.first..group.first + group.count;
        let is_down = |machine: &usize| others_lose_power || lost.contains(machine);
        let down: Vec<usize> = (0..self.machines.machines.len()).filter(is_down).collect();
        for machine in &down {
            self.record(*machine, false);
            self.machines.signal(*machine, Signal::KILL);
        }
        for (position, machine) in down.into_iter().enumerate() {
            let spread_ms = position as u64 * START_STEP_MS % MAX_START_SPREAD_MS;
            let transition = self.kill(machine, outage_ms + spread_ms);
            if lost.contains(&machine) {
                self.machines.wipe(machine);
            }
            self.transitions.insert(machine, transition);
        }
    }

    fn disturb_links(
        &mut self,
        group: ControlGroup,
        concerns_data_planes: bool,
        kind: LinkFaultKind,
        for_ms: u64,
    ) {
        self.actions += 1;
        let until = Instant::now() + Duration::from_millis(for_ms);
        let group = group.first..group.first + group.count;
        for machine in group.clone() {
            self.disturbances.record_unplanned_until(Some(machine), until);
        }
        self.link_faults.add(LinkFault { group, concerns_data_planes, kind, until });
    }

    /// Kills all processes of the control plane, also those that are about to end.
    fn kill_control_plane(&mut self, outage_ms: u64) {
        self.actions += 1;
        for machine in self.machines.with_role(Role::Control) {
            self.record(machine, false);
            let transition = self.kill(machine, outage_ms);
            self.transitions.insert(machine, transition);
        }
    }

    fn advance_transitions(&mut self) -> Result<(), TrialError> {
        for (machine, transition) in self.transitions.clone() {
            match self.advance(machine, transition)? {
                Some(next) => self.transitions.insert(machine, next),
                None => self.transitions.remove(&machine),
            };
        }
        Ok(())
    }

    /// Advances a transition, and returns the one that follows; `None` once it is over.
    fn advance(&mut self, machine: usize, transition: Transition) -> Result<Option<Transition>, TrialError> {
        let now = Instant::now();
        match transition {
            Transition::Ending { since, outage } => {
                let is_overdue = now > since + GRACE;
                if is_overdue {
                    let node = &self.machines.machines[machine].node;
                    self.violations.push(format!("{node} did not end within {} s", GRACE.as_secs()));
                    self.record(machine, false);
                    self.machines.kill(machine);
                } else if !self.machines.has_ended(machine) {
                    return Ok(Some(transition));
                }
                Ok(Some(Transition::Down { until: now + outage, is_planned: !is_overdue }))
            }
            Transition::Down { until, is_planned } if now >= until => {
                self.record(machine, is_planned);
                self.machines.start(machine, false)?;
                self.restarted_at.insert(machine, now);
                Ok(None)
            }
            Transition::Frozen { until } if now >= until => {
                self.record(machine, false);
                self.machines.signal(machine, Signal::CONT);
                Ok(None)
            }
            Transition::Down { .. } | Transition::Frozen { .. } => Ok(Some(transition)),
        }
    }
}
