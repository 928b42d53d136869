//! A worker that behaves as the protocol says.
use crate::rules::Rules;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use spanlead_job_scheduler::*;
use std::collections::BTreeMap;

/// A task that runs here.
#[derive(Clone, Debug)]
pub struct HeldRun {
    /// Which.
    pub task: TaskId,
    /// Which start of it.
    pub run: u32,
    /// Whether it works only together with its siblings.
    pub gang: bool,
    began: u64,
    takes: u64,
    complete_since: Option<u64>,
    need: (u64, u64),
    stopping_until: Option<u64>,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its identifier: another for each incarnation.
    pub id: String,
    index: usize,
    /// Which incarnation it is.
    pub generation: u32,
    /// When it began, milliseconds.
    pub born: u64,
    /// Its clock's speed: up to 2% slow.
    rate: f64,
    /// Nobody reaches it until then.
    pub cut_until: u64,
    /// The share of tasks that fail here.
    pub failing: f64,
    fencing_token: u64,
    hold_until: u64,
    /// What runs.
    pub running: Vec<HeldRun>,
    /// Ends that it still tells.
    pub finished: Vec<FinishedTask>,
    number: u64,
    last_seen: u64,
    ended: BTreeMap<TaskId, u32>,
    /// Whether it turns away what does not fit.
    pub guards: bool,
    /// Where it is reached.
    pub address: String,
}

/// The longest that a worker holds what runs there, milliseconds.
pub const MAX_HOLD_MS: u64 = 6_000;
/// How long a gang's members wait for one another, milliseconds.
pub const GANG_MS: u64 = 3_000;
/// How long a stop takes at most, milliseconds.
pub const STOP_MS: u64 = 400;
/// What a worker has: thousandths of a core and MB.
pub const CAPACITY: (u64, u64) = (8_000, 16_000);

impl Worker {
    /// A worker of that place and generation.
    #[must_use]
    pub fn new(index: usize, generation: u32, now: u64, rng: &mut ChaCha8Rng) -> Self {
        Worker {
            id: format!("i-{index}-{generation}"),
            index,
            generation,
            born: now,
            rate: rng.random_range(0.98..1.0),
            cut_until: 0,
            failing: 0.02,
            fencing_token: 0,
            hold_until: 0,
            running: Vec::new(),
            finished: Vec::new(),
            number: 0,
            last_seen: 0,
            ended: BTreeMap::new(),
            guards: index.is_multiple_of(2),
            address: index.to_string(),
        }
    }

    /// What the platform's list says of it.
    #[must_use]
    pub fn listed(&self) -> ListedWorker {
        ListedWorker {
            id: self.id.as_str().into(),
            service: "s".into(),
            address: self.address.as_str().into(),
            zone: "z".into(),
            state: ListedWorkerState::Ready,
            cpu_millicores: CAPACITY.0,
            memory_mb: CAPACITY.1,
            gpus: 0,
            labels: vec!["a".into(), format!("r{}", self.index / 3).into()],
        }
    }

    fn clock(&self, now: u64) -> u64 {
        500 + ((now - self.born) as f64 * self.rate) as u64
    }

    fn room(&self) -> (u64, u64) {
        let used = |pick: fn(&HeldRun) -> u64| self.running.iter().map(pick).sum::<u64>();
        (CAPACITY.0.saturating_sub(used(|r| r.need.0)), CAPACITY.1.saturating_sub(used(|r| r.need.1)))
    }

    /// Lets time pass; tells how many runs ended.
    pub fn pass(&mut self, now: u64, rng: &mut ChaCha8Rng, rules: &mut Rules) -> usize {
        let clock = self.clock(now);
        if clock > self.hold_until {
            // Also where nothing runs any more: ends that were listed before don't bind from here on.
            rules.lapsed(&self.id);
            for run in self.running.clone() {
                self.end(now, run.task, run.run, "lapsed", rules);
            }
        }
        let mut ends = 0;
        for run in self.running.clone() {
            let how = if run.stopping_until.is_some_and(|at| now >= at) {
                "stopped"
            } else if !run.gang && now >= run.began + run.takes {
                if rng.random_bool(self.failing) { "failed" } else { "done" }
            } else if run.gang && run.complete_since.is_none() && now > run.began + GANG_MS {
                "alone"
            } else {
                continue;
            };
            self.end(now, run.task, run.run, how, rules);
            ends += 1;
        }
        ends
    }

    /// Whether a gang's member has worked long enough.
    pub fn gang_due(&mut self, now: u64, task: TaskId, run: u32, complete: bool) -> bool {
        let Some(held) = self.running.iter_mut().find(|r| r.task == task && r.run == run) else {
            return false;
        };
        if complete {
            held.complete_since.get_or_insert(now);
        }
        held.complete_since.is_some_and(|at| now >= at + held.takes)
    }

    /// A run ends.
    pub fn end(&mut self, now: u64, task: TaskId, run: u32, how: &str, rules: &mut Rules) {
        self.running.retain(|r| (r.task, r.run) != (task, run));
        let highest = self.ended.entry(task).or_default();
        *highest = run.max(*highest);
        self.number += 1;
        let number = self.number;
        rules.ended(now, &self.id, number, task, run, how);
        self.finished.push(FinishedTask { number, task, run, outcome: how.into(), checkpoint: "".into() });
    }

    fn fenced(&mut self, call: &WorkerCall) -> Option<WorkerResponse> {
        if call.fencing_token < self.fencing_token {
            return Some(WorkerResponse::Rejected { status: 409, reason: "fence".into() });
        }
        self.fencing_token = call.fencing_token;
        None
    }

    /// A start or a stop.
    pub fn obey(&mut self, now: u64, call: &WorkerCall, rules: &mut Rules) -> WorkerResponse {
        if let Some(refused) = self.fenced(call) {
            return refused;
        }
        let clock = self.clock(now);
        let refused = |reason: &str| WorkerResponse::Rejected { status: 409, reason: reason.into() };
        match &call.request {
            WorkerRequest::Start { task, run, lease_expires_at_ms: until_ms, .. } => {
                if *until_ms < clock {
                    return refused("late");
                }
                self.hold_until = self.hold_until.max((*until_ms).min(clock + MAX_HOLD_MS));
                if self.running.iter().any(|r| (r.task, r.run) == (*task, *run)) {
                    return WorkerResponse::Acknowledged { clock_ms: clock };
                }
                if self.ended.get(task).is_some_and(|ended| *run <= *ended) {
                    return refused("old");
                }
                let Some(stage) = rules.stage(*task).cloned() else {
                    rules.broken.push(format!("UNASKED: {task} on {}", self.id));
                    return WorkerResponse::Rejected { status: 400, reason: "unknown".into() };
                };
                let (cpu, mem) = self.room();
                let fits = stage.cpu_millicores <= cpu && stage.memory_mb <= mem;
                if self.guards && !fits {
                    return refused("room");
                }
                if !fits {
                    rules.broken.push(format!("LIMIT: {task} on {} at {now}", self.id));
                }
                rules.started(now, &self.id, *task, *run);
                self.running.push(HeldRun {
                    task: *task,
                    run: *run,
                    gang: stage.gang,
                    began: now,
                    takes: stage.estimated_runtime_ms,
                    complete_since: None,
                    need: (stage.cpu_millicores, stage.memory_mb),
                    stopping_until: None,
                });
            }
            WorkerRequest::Stop { task, run } => {
                let highest = self.ended.entry(*task).or_default();
                *highest = (*run).max(*highest);
                let held = self.running.iter_mut().find(|r| (r.task, r.run) == (*task, *run));
                if let Some(held) = held {
                    held.stopping_until.get_or_insert(now + STOP_MS / 2);
                }
            }
            WorkerRequest::RenewLease { .. } => {}
        }
        WorkerResponse::Acknowledged { clock_ms: clock }
    }

    /// A hold: `None` if it is obeyed.
    pub fn hold(&mut self, now: u64, call: &WorkerCall, rules: &mut Rules) -> Option<WorkerResponse> {
        if let Some(refused) = self.fenced(call) {
            return Some(refused);
        }
        let WorkerRequest::RenewLease { lease_expires_at_ms: until_ms, acknowledged_end: last_seen, .. } =
            &call.request
        else {
            return None;
        };
        let clock = self.clock(now);
        if let Some(until_ms) = until_ms {
            self.hold_until = self.hold_until.max((*until_ms).min(clock + MAX_HOLD_MS));
        }
        if *last_seen > self.last_seen {
            self.last_seen = *last_seen;
            rules.noted(now, &self.id, *last_seen);
            self.finished.retain(|end| end.number > *last_seen);
        }
        None
    }

    /// The answer to a hold.
    #[must_use]
    pub fn report(&self, now: u64, last_seen: u64) -> WorkerReport {
        let running = self.running.iter().map(|r| RunningTask {
            task: r.task,
            run: r.run,
            checkpoint: "".into(),
            progress_percent: (100 * now.saturating_sub(r.began) / r.takes.max(1)).min(99) as f64,
        });
        let finished = self.finished.iter().filter(|end| end.number > last_seen).take(500).cloned();
        WorkerReport {
            clock_ms: self.clock(now),
            running: running.collect(),
            finished: finished.collect(),
            drain_remaining_ms: None,
        }
    }
}
