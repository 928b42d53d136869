//! A worker that follows the worker protocol, as a state machine without I/O.
use crate::run_id::{RunEnd, RunId, RunOutcome};
use crate::safety_checker::SafetyChecker;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use spanlead_job_scheduler::{
    FinishedTask, ListedWorker, ListedWorkerState, RunningTask, Stage, TaskId, WorkerCall, WorkerReport,
    WorkerRequest, WorkerResponse,
};
use std::collections::BTreeMap;

/// The longest lease that a worker accepts, milliseconds.
pub const MAX_LEASE_MS: u64 = 6_000;
/// How long a gang's members wait for one another, milliseconds.
pub const GANG_ASSEMBLY_TIMEOUT_MS: u64 = 3_000;
/// How long a stop takes at most, milliseconds.
pub const STOP_TIMEOUT_MS: u64 = 400;
/// The capacity of each worker.
pub const CAPACITY: WorkerCapacity = WorkerCapacity { cpu_millicores: 8_000, memory_mb: 16_000 };
/// What a worker's clock shows when it starts, milliseconds.
const CLOCK_START_MS: u64 = 500;
/// The share of runs that fail on a new worker.
const FAILURE_SHARE: f64 = 0.02;
/// The number of run ends that a worker lists in one report at most.
pub const MAX_REPORTED_ENDS: usize = 500;
/// Workers in one rack, which the labels name.
const WORKERS_PER_RACK: usize = 3;
/// The highest progress of a run that goes on, percent.
const MAX_PROGRESS_PERCENT: u64 = 99;

/// The time limits of a worker that differ between deployments, milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLimits {
    /// How long a gang's members wait for one another.
    pub gang_assembly_timeout_ms: u64,
    /// How long a stop takes at most.
    pub stop_timeout_ms: u64,
}

impl Default for WorkerLimits {
    fn default() -> Self {
        WorkerLimits { gang_assembly_timeout_ms: GANG_ASSEMBLY_TIMEOUT_MS, stop_timeout_ms: STOP_TIMEOUT_MS }
    }
}

/// Processor and memory: what a worker has, or a task needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerCapacity {
    /// Thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, MB.
    pub memory_mb: u64,
}

/// A run on a worker. Times are in milliseconds of the simulation's clock.
#[derive(Clone, Debug)]
pub struct SimulatedRun {
    /// The run.
    pub id: RunId,
    /// Whether it works only together with the other tasks of its stage.
    pub is_gang: bool,
    started_at_ms: u64,
    runtime_ms: u64,
    gang_complete_since_ms: Option<u64>,
    demand: WorkerCapacity,
    stops_at_ms: Option<u64>,
}

/// A worker. Times are in milliseconds of the simulation's clock unless said otherwise.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// Its identifier, another one for each incarnation.
    pub id: String,
    index: usize,
    /// The number of its incarnation, counted from 0.
    pub incarnation: u32,
    /// When this incarnation started.
    pub started_at_ms: u64,
    /// The speed of its clock: up to 2% slow.
    clock_rate: f64,
    /// Until when it is cut off from the network.
    pub partitioned_until_ms: u64,
    /// Until when its responses are lost although calls reach it.
    pub mute_until_ms: u64,
    /// Until when it stands still. Calls that arrive meanwhile are carried out afterwards.
    pub frozen_until_ms: u64,
    /// Its time limits.
    pub limits: WorkerLimits,
    /// The share of runs that fail here, 0 to 1.
    pub failure_share: f64,
    fencing_token: u64,
    /// By the worker's own clock.
    lease_expires_at_ms: u64,
    /// The runs that go on.
    pub running: Vec<SimulatedRun>,
    /// The ends that it still reports.
    pub finished: Vec<FinishedTask>,
    /// The number of ends that it lists in one report at most.
    pub max_reported_ends: usize,
    last_end: u64,
    acknowledged_end: u64,
    /// The highest run of each task that has ended or was stopped here.
    ended_runs: BTreeMap<TaskId, u32>,
    /// Whether it rejects a start that exceeds its capacity.
    pub rejects_over_capacity: bool,
    /// Its address, `IP:port`; in a simulation without sockets, its index.
    pub address: String,
}

impl SimulatedWorker {
    /// An incarnation of the worker with an index.
    #[must_use]
    pub fn new(index: usize, incarnation: u32, now_ms: u64, rng: &mut ChaCha8Rng) -> Self {
        SimulatedWorker {
            id: format!("i-{index}-{incarnation}"),
            index,
            incarnation,
            started_at_ms: now_ms,
            clock_rate: rng.random_range(0.98..1.0),
            partitioned_until_ms: 0,
            mute_until_ms: 0,
            frozen_until_ms: 0,
            limits: WorkerLimits::default(),
            failure_share: FAILURE_SHARE,
            fencing_token: 0,
            lease_expires_at_ms: 0,
            running: Vec::new(),
            finished: Vec::new(),
            max_reported_ends: MAX_REPORTED_ENDS,
            last_end: 0,
            acknowledged_end: 0,
            ended_runs: BTreeMap::new(),
            rejects_over_capacity: index.is_multiple_of(2),
            address: index.to_string(),
        }
    }

    /// Its entry in the platform's list of workers.
    #[must_use]
    pub fn to_listed(&self) -> ListedWorker {
        ListedWorker {
            id: self.id.as_str().into(),
            service: "s".into(),
            address: self.address.as_str().into(),
            zone: "z".into(),
            state: ListedWorkerState::Ready,
            cpu_millicores: CAPACITY.cpu_millicores,
            memory_mb: CAPACITY.memory_mb,
            gpus: 0,
            labels: vec!["a".into(), format!("r{}", self.index / WORKERS_PER_RACK).into()],
        }
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        CLOCK_START_MS + ((now_ms - self.started_at_ms) as f64 * self.clock_rate) as u64
    }

    fn has_capacity_for(&self, demand: WorkerCapacity) -> bool {
        let used = |amount: fn(&SimulatedRun) -> u64| self.running.iter().map(amount).sum::<u64>();
        let used_cpu = used(|run| run.demand.cpu_millicores);
        let used_memory = used(|run| run.demand.memory_mb);
        demand.cpu_millicores <= CAPACITY.cpu_millicores.saturating_sub(used_cpu)
            && demand.memory_mb <= CAPACITY.memory_mb.saturating_sub(used_memory)
    }

    /// Whether it stands still.
    #[must_use]
    pub fn is_frozen(&self, now_ms: u64) -> bool {
        now_ms < self.frozen_until_ms
    }

    /// Whether its responses do not arrive.
    #[must_use]
    pub fn loses_responses(&self, now_ms: u64) -> bool {
        now_ms < self.partitioned_until_ms.max(self.mute_until_ms)
    }

    /// Ends the runs that are over at a time, all of them if the lease has expired. On a worker
    /// that stands still nothing works, and runs end by the lease alone: it looks at the lease
    /// before anything else when it goes on.
    pub fn advance(&mut self, now_ms: u64, rng: &mut ChaCha8Rng, checker: &mut SafetyChecker) {
        if self.clock_ms(now_ms) > self.lease_expires_at_ms {
            // Also if nothing runs: the scheduler may repeat the ends that were not acknowledged.
            checker.record_lease_expiry(&self.id);
            for run in self.running.clone() {
                self.end_run(now_ms, run.id, RunOutcome::LeaseExpired, checker);
            }
        }
        if self.is_frozen(now_ms) {
            return;
        }
        for run in self.running.clone() {
            if let Some(outcome) = self.outcome_of(&run, now_ms, rng) {
                self.end_run(now_ms, run.id, outcome, checker);
            }
        }
    }

    /// How a run ends now; `None` if it goes on.
    fn outcome_of(&self, run: &SimulatedRun, now_ms: u64, rng: &mut ChaCha8Rng) -> Option<RunOutcome> {
        if run.stops_at_ms.is_some_and(|stops_at_ms| now_ms >= stops_at_ms) {
            Some(RunOutcome::Stopped)
        } else if !run.is_gang && now_ms >= run.started_at_ms + run.runtime_ms {
            let is_failure = rng.random_bool(self.failure_share);
            Some(if is_failure { RunOutcome::Failed } else { RunOutcome::Done })
        } else if run.is_gang
            && run.gang_complete_since_ms.is_none()
            && now_ms > run.started_at_ms + self.limits.gang_assembly_timeout_ms
        {
            Some(RunOutcome::GangIncomplete)
        } else {
            None
        }
    }

    /// Whether a gang's member has worked for its runtime since the gang was first complete.
    pub fn is_gang_run_due(&mut self, now_ms: u64, run: RunId, is_gang_complete: bool) -> bool {
        let Some(running) = self.running.iter_mut().find(|running| running.id == run) else {
            return false;
        };
        if is_gang_complete {
            running.gang_complete_since_ms.get_or_insert(now_ms);
        }
        running.gang_complete_since_ms.is_some_and(|since_ms| now_ms >= since_ms + running.runtime_ms)
    }

    /// Ends a run, and keeps the end until it is acknowledged.
    pub fn end_run(&mut self, now_ms: u64, run: RunId, outcome: RunOutcome, checker: &mut SafetyChecker) {
        self.running.retain(|running| running.id != run);
        self.forbid_runs_up_to(run);
        self.last_end += 1;
        let number = self.last_end;
        checker.record_end(now_ms, RunEnd { worker_id: &self.id, number, run, outcome });
        self.finished.push(FinishedTask {
            number,
            task: run.task,
            run: run.run,
            outcome: outcome.as_str().into(),
            checkpoint: "".into(),
        });
    }

    /// A start that arrives after the end of its run, or of a later one, must have no effect.
    fn forbid_runs_up_to(&mut self, run: RunId) {
        let highest = self.ended_runs.entry(run.task).or_default();
        *highest = run.run.max(*highest);
    }

    /// Rejects a call of an earlier term than the latest one that was seen.
    fn check_fencing_token(&mut self, call: &WorkerCall) -> Result<(), WorkerResponse> {
        if call.fencing_token < self.fencing_token {
            return Err(conflict("fence"));
        }
        self.fencing_token = call.fencing_token;
        Ok(())
    }

    fn extend_lease(&mut self, clock_ms: u64, expires_at_ms: u64) {
        self.lease_expires_at_ms = self.lease_expires_at_ms.max(expires_at_ms.min(clock_ms + MAX_LEASE_MS));
    }

    /// Handles a start or a stop.
    pub fn handle_order(
        &mut self,
        now_ms: u64,
        call: &WorkerCall,
        checker: &mut SafetyChecker,
    ) -> WorkerResponse {
        if let Err(rejection) = self.check_fencing_token(call) {
            return rejection;
        }
        match call.request {
            WorkerRequest::Start { task, run, lease_expires_at_ms, .. } => {
                let run = RunId { task, run };
                if let Err(rejection) = self.start_run(now_ms, run, lease_expires_at_ms, checker) {
                    return rejection;
                }
            }
            WorkerRequest::Stop { task, run } => self.stop_run(now_ms, RunId { task, run }),
            WorkerRequest::RenewLease { .. } => {}
        }
        WorkerResponse::Acknowledged { clock_ms: self.clock_ms(now_ms) }
    }

    /// Starts a run, unless it runs already. `lease_expires_at_ms` is by the worker's clock.
    fn start_run(
        &mut self,
        now_ms: u64,
        run: RunId,
        lease_expires_at_ms: u64,
        checker: &mut SafetyChecker,
    ) -> Result<(), WorkerResponse> {
        let clock_ms = self.clock_ms(now_ms);
        if lease_expires_at_ms < clock_ms {
            return Err(conflict("late"));
        }
        self.extend_lease(clock_ms, lease_expires_at_ms);
        if self.running.iter().any(|running| running.id == run) {
            return Ok(());
        }
        if self.ended_runs.get(&run.task).is_some_and(|ended| run.run <= *ended) {
            return Err(conflict("old"));
        }
        let Some(stage) = checker.stage(run.task).cloned() else {
            checker.violations.push(format!("UNASKED: {} on {}", run.task, self.id));
            return Err(WorkerResponse::Rejected { status: 400, reason: "unknown".into() });
        };
        let new_run = new_run(run, &stage, now_ms);
        if !self.has_capacity_for(new_run.demand) {
            if self.rejects_over_capacity {
                return Err(conflict("room"));
            }
            checker.violations.push(format!("LIMIT: {} on {} at {now_ms}", run.task, self.id));
        }
        checker.record_start(now_ms, &self.id, run);
        self.running.push(new_run);
        Ok(())
    }

    /// Stops a run; one that has not started must not start any more.
    fn stop_run(&mut self, now_ms: u64, run: RunId) {
        self.forbid_runs_up_to(run);
        let stops_at_ms = now_ms + self.limits.stop_timeout_ms / 2;
        if let Some(running) = self.running.iter_mut().find(|running| running.id == run) {
            running.stops_at_ms.get_or_insert(stops_at_ms);
        }
    }

    /// Renews the lease and forgets acknowledged ends. `Some` if the renewal is rejected; otherwise
    /// the response is [`SimulatedWorker::report`], which may wait for an end.
    pub fn renew_lease(
        &mut self,
        now_ms: u64,
        call: &WorkerCall,
        checker: &mut SafetyChecker,
    ) -> Option<WorkerResponse> {
        if let Err(rejection) = self.check_fencing_token(call) {
            return Some(rejection);
        }
        let WorkerRequest::RenewLease { lease_expires_at_ms, acknowledged_end, .. } = call.request else {
            return None;
        };
        if let Some(expires_at_ms) = lease_expires_at_ms {
            self.extend_lease(self.clock_ms(now_ms), expires_at_ms);
        }
        if acknowledged_end > self.acknowledged_end {
            self.acknowledged_end = acknowledged_end;
            checker.record_acknowledgement(now_ms, &self.id, acknowledged_end);
            self.finished.retain(|end| end.number > acknowledged_end);
        }
        None
    }

    /// Whether it has an end to report after the acknowledged one.
    #[must_use]
    pub fn has_end_after(&self, acknowledged_end: u64) -> bool {
        self.finished.iter().any(|end| end.number > acknowledged_end)
    }

    /// The response to a renewal: what runs, and what has ended after the acknowledged end, as far as
    /// it fits in one report.
    #[must_use]
    pub fn report(&self, now_ms: u64, acknowledged_end: u64) -> WorkerReport {
        let running = self.running.iter().map(|run| RunningTask {
            task: run.id.task,
            run: run.id.run,
            checkpoint: "".into(),
            progress_percent: progress_percent(run, now_ms) as f64,
        });
        let unacknowledged = self.finished.iter().filter(|end| end.number > acknowledged_end);
        let finished: Vec<FinishedTask> = unacknowledged.take(self.max_reported_ends).cloned().collect();
        WorkerReport {
            clock_ms: self.clock_ms(now_ms),
            running: running.collect(),
            lists_all_ends: finished.len() < self.max_reported_ends,
            finished,
            drain_remaining_ms: None,
        }
    }
}

fn new_run(id: RunId, stage: &Stage, now_ms: u64) -> SimulatedRun {
    SimulatedRun {
        id,
        is_gang: stage.gang,
        started_at_ms: now_ms,
        runtime_ms: stage.estimated_runtime_ms,
        gang_complete_since_ms: None,
        demand: WorkerCapacity { cpu_millicores: stage.cpu_millicores, memory_mb: stage.memory_mb },
        stops_at_ms: None,
    }
}

fn progress_percent(run: &SimulatedRun, now_ms: u64) -> u64 {
    let elapsed_ms = now_ms.saturating_sub(run.started_at_ms);
    (100 * elapsed_ms / run.runtime_ms.max(1)).min(MAX_PROGRESS_PERCENT)
}

fn conflict(reason: &str) -> WorkerResponse {
    WorkerResponse::Rejected { status: 409, reason: reason.into() }
}
