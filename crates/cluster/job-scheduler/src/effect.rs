//! What workers are told and what they answer.
use crate::record::TaskKey;
use compact_str::CompactString;
use std::sync::Arc;

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The worker's identifier on the platform's list: the incarnation that is meant.
    pub worker: Arc<str>,
    /// Its address.
    pub address: Arc<str>,
    /// What it is told.
    pub order: Order,
    /// When the call counts as unanswered, milliseconds from now.
    pub timeout_ms: u64,
    /// The fencing token.
    pub fence: u64,
}

/// What a worker is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// To start a task.
    Start {
        /// The task.
        task: TaskKey,
        /// The number of this start.
        run: u32,
        /// The job's text.
        spec: Arc<str>,
        /// Until when it may run, on the worker's clock, milliseconds.
        until_ms: u64,
        /// Where to go on from; empty for the beginning.
        checkpointed: CompactString,
    },
    /// To stop a task.
    Stop {
        /// The task.
        task: TaskKey,
        /// The start that is meant.
        run: u32,
    },
    /// To hold all that runs, and to tell what does and what ended.
    Hold {
        /// A number of the scheduler's own, returned with the answer.
        serial: u64,
        /// Until when all may run, on the worker's clock; `None` while that clock is unknown.
        until_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        last_seen: u64,
        /// How long the answer may wait for an end, milliseconds.
        wait_ms: u64,
    },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Done.
    Done {
        /// The worker's clock.
        clock_ms: u64,
    },
    /// The answer to a hold.
    Report(WorkerReport),
    /// Not done, for this reason.
    Refused {
        /// The status.
        status: u16,
        /// The reason, if one was told.
        reason: CompactString,
    },
    /// Another incarnation lives at that address.
    Misdirected,
    /// Nothing was heard; it may have been done, or be done later.
    Silence,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// Its clock.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<RunningTask>,
    /// What ended there and was not yet forgotten.
    pub finished: Vec<FinishedTask>,
    /// How long it goes on serving, while it drains.
    pub remaining_ms: Option<u64>,
}

/// A task that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: u32,
    /// Its last checkpoint; empty for none.
    pub saved: CompactString,
    /// How far it is.
    pub percent: f64,
}

/// A task that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedTask {
    /// The number of this end at the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The start.
    pub run: u32,
    /// How it ended.
    pub how: CompactString,
    /// Its last checkpoint; empty for none.
    pub saved: CompactString,
}

/// What the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A call to a worker.
    Call(Call),
}

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It does.
    Ready,
    /// It will leave.
    Draining,
}

/// A worker as the platform's list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its identifier.
    pub id: CompactString,
    /// Its service.
    pub service: CompactString,
    /// Its address.
    pub address: CompactString,
    /// Its zone.
    pub zone: CompactString,
    /// Whether it takes new tasks.
    pub state: ListedState,
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory, MB.
    pub mem_mb: u64,
    /// Accelerators.
    pub gpus: u64,
    /// Its labels: kind, rack.
    pub labels: Vec<CompactString>,
}
