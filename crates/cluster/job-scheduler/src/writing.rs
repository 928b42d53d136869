//! Writing first, then acting: what must last before it is seen, and the calls that go out once it does.
use crate::config::Now;
use crate::deadlines;
use crate::ids::TaskId;
use crate::job::Phase;
use crate::protocol::{Effect, WorkerCall, WorkerRequest};
use crate::scheduler::Scheduler;
use crate::worker::HoldState;
use compact_str::CompactString;

/// Starts that may be on their way at once, at most.
const MOST_STARTS_OUT: usize = 160;
/// How far ahead of the worker's clock a start may be carried out, milliseconds.
const START_AHEAD_MS: u64 = 1_500;

/// A change of the key space.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordChange {
    /// The key.
    pub key: Vec<u8>,
    /// Its new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
}

/// What waits for a write to last.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Staged {
    Start(TaskId, u32),
    /// A worker may forget its ends up to this number.
    Forget {
        worker: u32,
        ends: u64,
    },
}

impl Scheduler {
    /// The changes since this was last asked. What depends on them goes out when they last.
    pub fn take_changes(&mut self) -> Vec<RecordChange> {
        self.encode_touched()
    }

    /// The number of the batch that holds everything up to now.
    pub fn assign_batch(&mut self, sequence: u64) {
        self.waiting.extend(self.staged.drain(..).map(|staged| (sequence, staged)));
    }

    /// Everything up to this batch lasts.
    pub fn handle_committed(&mut self, now: Now, sequence: u64) {
        while self.waiting.front().is_some_and(|(at, _)| *at <= sequence) {
            let Some((_, staged)) = self.waiting.pop_front() else { break };
            match staged {
                Staged::Start(task, run) => self.send_start(now, task, run),
                Staged::Forget { worker, ends } => {
                    let held = &mut self.workers[worker as usize];
                    // Not `taken`: ends that were taken since are in a later batch.
                    held.last_seen = held.last_seen.max(ends);
                    if held.hold == HoldState::Recording {
                        held.hold = HoldState::Idle;
                        held.hold_at = now.monotonic_ms;
                    }
                }
            }
        }
        self.send_holds(now.monotonic_ms);
    }

    /// What is to be done since this was last asked.
    pub fn drain_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Starts that may still be decided: those on their way, to the disk or to workers, are bounded, so that what waits does
    /// so in its order here.
    pub(crate) fn starts_left(&self) -> usize {
        let under_way = self.staged.len() + self.waiting.len() + self.starts_out;
        let calls_left = self.bounds.max_concurrent_calls.saturating_sub(self.calls_out);
        MOST_STARTS_OUT.saturating_sub(under_way).min(self.throttle.left()).min(calls_left)
    }

    /// Starts a recorded run once its record lasts.
    pub(crate) fn stage_start(&mut self, task: TaskId, run: u32) {
        self.staged.push(Staged::Start(task, run));
    }

    /// Lets a worker forget the ends that were taken so far once their records last.
    pub(crate) fn stage_forget(&mut self, worker: u32) {
        let ends = self.workers[worker as usize].taken;
        self.staged.push(Staged::Forget { worker, ends });
    }

    fn send_start(&mut self, now: Now, key: TaskId, run: u32) {
        let lives = self.lives(key);
        let Some(held) = self.run_mut(key, run) else { return };
        let worker = held.worker;
        if !lives || held.stopping {
            return self.end_run(now, key, run, crate::events::End::Void, "");
        }
        held.phase = Phase::Ordered;
        held.ordered_at = now.monotonic_ms;
        let text = self.jobs[&key.job].text.clone();
        let checkpoint = self.checkpoint(key);
        let target = &mut self.workers[worker as usize];
        let Some(lease_expires_at_ms) = target.clock.allow(now.monotonic_ms, START_AHEAD_MS) else {
            return self.end_run(now, key, run, crate::events::End::Void, "");
        };
        let order = WorkerRequest::Start { task: key, run, payload: text, lease_expires_at_ms, checkpoint };
        let due = now.monotonic_ms + self.deadline(worker);
        self.unanswered.insert((due, key, run));
        self.figures.starts += 1;
        self.call(worker, order, deadlines::MOST_MS);
        self.hold_soon(now.monotonic_ms, worker);
    }

    /// Where a task goes on from; all of a gang from the same point.
    fn checkpoint(&self, key: TaskId) -> CompactString {
        let Some(stage) = self.stage(key) else { return Default::default() };
        if !stage.checkpoints {
            return Default::default();
        }
        let source = if stage.gang { TaskId { index: 0, ..key } } else { key };
        self.task(source).map(|task| task.saved.clone()).unwrap_or_default()
    }

    /// How long a worker may take to answer a call that it need not wait for, milliseconds.
    pub(crate) fn deadline(&self, worker: u32) -> u64 {
        self.deadlines.of(&self.workers[worker as usize].zone)
    }

    /// A call to a worker.
    pub(crate) fn call(&mut self, worker: u32, request: WorkerRequest, timeout_ms: u64) {
        let target = &self.workers[worker as usize];
        if target.address.is_empty() {
            return;
        }
        let (worker_id, address) = (target.id.clone(), target.address.clone());
        self.calls_out += 1;
        self.starts_out += usize::from(matches!(request, WorkerRequest::Start { .. }));
        self.effects.push(Effect::CallWorker(WorkerCall {
            worker_id,
            address,
            request,
            timeout_ms,
            fencing_token: self.fencing_token,
        }));
    }
}
