//! The whole interface of the decision module: its settings, events and actions.
use std::{fmt, sync::Arc};

/// A point in time or a span, in nanoseconds of the embedder's monotonic clock.
pub type Nanos = u64;

/// A request's id, unique for the life of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A worker's id, the same at all dispatchers. It is never parsed, only hashed and compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// Which workers drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every worker.
    All,
    /// The workers of the first worker's zone.
    Zone,
    /// The workers of the first worker's cell.
    Cell,
}

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// A group of workers drops repeats for a while, counted from the first send that may have run.
    Keyed {
        /// The group.
        scope: Scope,
        /// How long it remembers.
        ttl: Nanos,
    },
    /// It must never run twice.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answered within this time (and the stretch), a request earns its full worth.
    pub aim: Nanos,
    /// The aim grows by this many times the request's own work.
    pub stretch: f64,
    /// How long clients wait in all.
    pub deadline: Nanos,
    /// What a request is worth.
    pub worth: f64,
    /// The share of the worth for an answer after the aim.
    pub late_share: f64,
    /// What repeats do.
    pub effect: Effect,
    /// The answer is a stream.
    pub streaming: bool,
    /// The machine kind that the class needs, if it needs one.
    pub kind: Option<u32>,
    /// Its priority in the workers' queues; higher goes first.
    pub priority: i32,
}

impl Class {
    /// An unsafe class of worth 1 with the given aim and deadline.
    pub fn new(aim: Nanos, deadline: Nanos) -> Self {
        Class {
            aim,
            stretch: 0.0,
            deadline,
            worth: 1.0,
            late_share: 0.0,
            effect: Effect::Unsafe,
            streaming: false,
            kind: None,
            priority: 0,
        }
    }
}

/// A tenant and what it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all dispatchers, inside its share.
    pub quota_per_s: f64,
}

/// What operations the deployment permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The most attempts for one request.
    pub attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// Peers may be messaged.
    pub peers: bool,
    /// Two attempts of a request may be out together.
    pub second_copies: bool,
    /// Refusals may carry advice when to come back.
    pub retry_after: bool,
    /// The longest such advice that clients follow.
    pub max_retry_after: Nanos,
    /// A connection that isn't up by then fails.
    pub connect_timeout: Nanos,
    /// Idle connections close after this long.
    pub conn_idle: Nanos,
    /// Attempts that one connection carries at a time.
    pub streams_per_conn: u32,
}

/// The prices of operations, as a fraction of the total worth for one per request unless stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Worker work that served no answer, as much as was offered.
    pub waste: f64,
    /// A mean of 100 open connections for each worker.
    pub connection: f64,
    /// A new connection.
    pub handshake: f64,
    /// Fetching a program or data set from the shared store.
    pub origin: f64,
    /// A probe.
    pub probe: f64,
    /// 256 bytes delivered to a peer.
    pub peer: f64,
    /// All worth ending unserved after its aim.
    pub late_fail: f64,
}

/// How load reports reach the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
    /// Inside outcomes and probe results.
    Answers,
    /// Inside probe results only.
    Probe,
    /// Not at all.
    None,
}

/// The figures behind the safety rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A dispatcher without a subscription must ask for the list at least this often; 0 if it is pushed.
    pub ask_every: Nanos,
    /// A started worker is warm after this long at most.
    pub cold: Nanos,
    /// It starts at this fraction of its capacity or more.
    pub cold_from: f64,
    /// How long after being told of a drain a send is still tolerated.
    pub drain_grace: Nanos,
    /// Work beyond this multiple of its present capacity topples a cold worker ...
    pub tip_multiple: f64,
    /// ... when it lasts this long.
    pub tip_after: Nanos,
}

/// Everything a dispatcher is told at its start. Fields left at their default mean "not stated".
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This dispatcher's number among its peers.
    pub me: u32,
    /// How many dispatchers share the workers.
    pub instances: u32,
    /// The zone this dispatcher lives in.
    pub zone: u32,
    /// The number of machine kinds.
    pub kinds: u32,
    /// The shortest gap between two rounds of events.
    pub tick: Nanos,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// What a request past its tenant's share is worth, as a fraction.
    pub over_share_worth: f64,
    /// A request's worth counts for each unit of its work, not for the request.
    pub worth_by_work: bool,
    /// The list of workers comes only after [`Action::Subscribe`] or [`Action::FetchList`].
    pub must_ask: bool,
    /// What is permitted.
    pub limits: Limits,
    /// What operations cost.
    pub prices: Prices,
    /// How reports come.
    pub reports: ReportVia,
    /// The rules' figures.
    pub rules: Rules,
    /// The gap between progress notes; 0 means that there are none.
    pub progress: Nanos,
    /// Workers report when a job starts.
    pub tells_start: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            me: 0,
            instances: 1,
            zone: 0,
            kinds: 1,
            tick: 1_000_000,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            worth_by_work: false,
            must_ask: false,
            limits: Limits {
                attempts: 1,
                cancel: false,
                probes: false,
                peers: false,
                second_copies: false,
                retry_after: false,
                max_retry_after: 0,
                connect_timeout: 250_000_000,
                conn_idle: 0,
                streams_per_conn: 1,
            },
            prices: Prices::default(),
            reports: ReportVia::None,
            rules: Rules {
                ask_every: 0,
                cold: 0,
                cold_from: 1.0,
                drain_grace: 0,
                tip_multiple: 1.0,
                tip_after: 0,
            },
            progress: 0,
            tells_start: false,
        }
    }
}

/// Why settings were turned down; it names the setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting at fault.
    pub setting: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}` {}", self.setting, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It runs.
    Ready,
    /// It finishes its work and must get nothing new.
    Draining,
    /// It is removed.
    Gone,
}

/// A worker's entry in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<'a> {
    /// Its id.
    pub worker: &'a str,
    /// Its state.
    pub state: WorkerState,
    /// When it last started; `None` means long ago.
    pub started: Option<Nanos>,
    /// Its machine kind.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its capacity relative to other workers.
    pub weight: f64,
}

impl<'a> Entry<'a> {
    /// An entry in zone, cell and kind 0 that started long ago.
    pub fn new(worker: &'a str, state: WorkerState) -> Self {
        Entry { worker, state, started: None, kind: 0, zone: 0, cell: 0, weight: 1.0 }
    }
}

/// What an [`Event::Members`] covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The entries that changed.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last seen, possibly stale.
    Cached,
    /// A call for the list failed or the subscription dropped; the old list holds.
    Failed,
}

/// A request that a client handed to this dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, an index into [`Settings::classes`].
    pub class: u32,
    /// The slots it takes.
    pub slots: f64,
    /// The memory units it takes.
    pub memory: f64,
    /// Its tenant, an index into [`Settings::tenants`].
    pub tenant: u32,
    /// What it concerns; requests that share a key profit from the same worker.
    pub key: Option<u64>,
    /// The expected work, as time on a standard core.
    pub hint: Option<Nanos>,
    /// How long until the client gives up.
    pub left: Nanos,
}

impl Request {
    /// A request of one slot without key, tenant or hint.
    pub fn new(id: RequestId, class: u32, left: Nanos) -> Self {
        Request { id, class, slots: 1.0, memory: 0.0, tenant: 0, key: None, hint: None, left }
    }
}

/// An attempt that another process of this dispatcher made.
#[derive(Clone, Debug, PartialEq)]
pub struct Tried {
    /// Its worker.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent: Nanos,
    /// Whether it may have run; `None` while it is out.
    pub may_have_run: Option<bool>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// It was rejected unseen.
    Full,
    /// No answer came in time; it may have run.
    Timeout,
    /// No connection came up in time.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// It was called off; it may have run.
    Cancelled,
    /// It was never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A worker's load report; absent values were not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// The busy fraction of its CPU.
    pub utilization: Option<f64>,
    /// Requests held.
    pub outstanding: Option<f64>,
    /// Requests waiting.
    pub backlog: Option<f64>,
    /// Recent service time, milliseconds.
    pub latency_ms: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// News of an attempt that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The job has started.
    Started,
    /// This share of it is done.
    Progress(f64),
}

/// What happens to a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// News from discovery.
    Members {
        /// What the entries cover.
        scope: ListScope,
        /// The entries.
        entries: &'a [Entry<'a>],
    },
    /// A request arrived and is owed exactly one final answer.
    Request(Request),
    /// A request that another process of this dispatcher took; it is owed its one final answer here now.
    Adopted {
        /// The request.
        request: Request,
        /// Its attempts so far, at workers that the list has named.
        tries: &'a [Tried],
    },
    /// A streamed answer has begun.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt's number, counted from 0 in the order of sends.
        attempt: u32,
    },
    /// News of an attempt.
    Note {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The news.
        note: Note,
    },
    /// An attempt ended.
    Ended {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request is finished; nothing more is owed.
        closed: bool,
        /// The time since it was sent.
        lag: Nanos,
        /// The worker's load, if it came along.
        report: Option<Report>,
    },
    /// The client left; nothing more is owed.
    Gone(RequestId),
    /// A timer that [`Action::Timer`] asked for.
    Timer(u64),
    /// A probe ended.
    Probed {
        /// The worker.
        worker: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        lag: Nanos,
        /// The worker's load, if it came along.
        report: Option<Report>,
    },
    /// Operators have changed the settings. What was learned stays; requests that are open keep their class
    /// and their attempts.
    Retuned {
        /// The new settings. Their classes are numbered after all earlier ones.
        settings: Box<Settings>,
        /// For each of them the earlier class that it continues, if any.
        like: Vec<Option<u32>>,
    },
    /// A peer's message.
    Peer {
        /// The sender's number.
        from: u32,
        /// The payload.
        data: &'a [u8],
    },
}

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's time-out; `None` means until the client gives up.
        timeout: Option<Nanos>,
    },
    /// Final answer: turned away, harmless to try again.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back.
        retry_after: Option<Nanos>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// How far from now.
        after: Nanos,
        /// Handed back with the event.
        token: u64,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close idle connections to a worker.
    Close {
        /// The worker.
        worker: WorkerId,
    },
    /// Message a peer, or all of them.
    Tell {
        /// The peer; `None` means all.
        peer: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Ask discovery to push changes.
    Subscribe,
    /// Ask discovery for the whole list once.
    FetchList,
    /// A line for on-call staff.
    Log(String),
}
