//! The inputs of the engine: client requests, worker notices, results of calls, operator commands
//! and ticks.
use crate::snapshot::AttemptSnapshot;
use crate::{DurableSetup, RoleCallResult, RoleTask};
use bytes::Bytes;
use spanlead_balancing_policy::{
    EndpointUpdate, LoadReport, Nanos, Outcome, RequestId, Settings, WorkerState,
};
use spanlead_deployment_settings::Names;
use spanlead_durable_jobs::JobNumber;
use spanlead_worker_attributes::MergedInventory;
use std::net::SocketAddr;
use std::sync::Arc;

/// A decoded request of a client to run a job.
#[derive(Debug)]
pub struct JobRequest {
    /// The id chosen by the client, under which workers know the job.
    pub id: Arc<str>,
    /// Number of the class, an index into [`Names::classes`].
    pub class: u32,
    /// Number of the tenant, an index into [`Names::tenants`].
    pub tenant: u32,
    /// Slots that the job occupies at a worker.
    pub slots: f64,
    /// Memory units that the job occupies at a worker.
    pub memory: f64,
    /// Digest of the affinity key; jobs with the same digest prefer the same workers.
    pub affinity_key: Option<u64>,
    /// The time at which the client gives up, on the engine's clock. It is passed on with the
    /// request.
    pub deadline: Nanos,
    /// The data to log for the job; set if this scheduler keeps durable jobs.
    pub durable_request: Option<DurableRequest>,
}

/// The part of a request that is logged: it identifies the client's retries and lets another
/// process dispatch the request.
#[derive(Clone, Debug)]
pub struct DurableRequest {
    /// The request's `Idempotency-Key`.
    pub key: Option<Arc<str>>,
    /// Digest of the request's content.
    pub fingerprint: [u8; 16],
    /// The request to dispatch to a worker, encoded.
    pub encoded_request: Bytes,
}

/// An entry of the endpoint list. A field is `None` if the list does not state it.
#[derive(Clone, Debug)]
pub struct WorkerEndpoint {
    /// The worker's name.
    pub name: Arc<str>,
    /// The address to which jobs are dispatched.
    pub addr: SocketAddr,
    /// Whether the worker is ready, draining or removed.
    pub state: WorkerState,
    /// The start time of the worker's process, on the engine's clock.
    pub started: Option<Nanos>,
    /// Number of its machine kind; `u32::MAX` for a kind that the settings do not name.
    pub kind: Option<u32>,
    /// Number of its zone; `u32::MAX` for a zone that the settings do not name.
    pub zone: Option<u32>,
    /// Number of its pod, which the balancing policy calls a cell.
    pub cell: Option<u32>,
    /// Its weight relative to other workers.
    pub weight: Option<f64>,
}

/// A new version of the workers' attributes stated by the inventories.
#[derive(Debug)]
pub struct InventoryUpdate {
    /// The merged attributes of all inventories.
    pub merged_inventory: Arc<MergedInventory>,
    /// The inventory whose new version caused this update.
    pub cause: Option<InventoryVersion>,
    /// Whether an operator has accepted the update: it then applies even if it leaves a class
    /// without workers.
    pub forced: bool,
}

/// One version of one inventory.
#[derive(Clone, Debug)]
pub struct InventoryVersion {
    /// The inventory's name.
    pub name: Arc<str>,
    /// The version's number.
    pub number: u64,
}

/// The result of the exchange that dispatches an attempt to its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchResult {
    /// The worker has accepted the job and will send notices of its progress and its end.
    Accepted {
        /// Whether the worker supports leases and stops the job when its lease expires.
        lease_aware: bool,
    },
    /// The request is invalid: no worker could process it.
    Unprocessable,
    /// The attempt has ended with this outcome and load report.
    Ended(Outcome, Option<LoadReport>),
}

/// The state of an accepted job, as a worker's notice reports it.
#[derive(Debug)]
pub enum JobUpdate {
    /// The job has started to run.
    Started,
    /// The job is running; the completed fraction, from 0 to 1.
    Running(f64),
    /// The job has succeeded with this result.
    Done(String),
    /// The job ran and failed.
    Failed,
    /// The worker returns the job without having run it.
    Returned,
    /// The worker no longer has the job.
    Lost,
}

/// A notice of a worker about a job.
#[derive(Debug)]
pub struct WorkerNotice {
    /// The id that the driver gave the notice; [`Effect::Acknowledge`](crate::Effect::Acknowledge)
    /// refers to it.
    pub notice_id: u64,
    /// The job's id.
    pub job_id: String,
    /// The worker's name.
    pub worker: String,
    /// The fencing token of the worker's lease, if the worker supports leases.
    pub fencing_token: Option<u64>,
    /// The state of the job.
    pub update: JobUpdate,
    /// The worker's load report.
    pub report: Option<LoadReport>,
}

/// New settings of the deployment.
#[derive(Debug)]
pub struct SettingsChange {
    /// The new settings.
    pub settings: Box<Settings>,
    /// For each class of the new settings, the number of the earlier class that it continues.
    pub continued_classes: Vec<Option<u32>>,
}

/// An input of the engine.
#[derive(Debug)]
pub enum Input {
    /// A client's request was received completely.
    RequestReceived {
        /// The id that the driver gave the request; unique in the process.
        request_id: RequestId,
        /// The request.
        job: JobRequest,
        /// The attempts made by the process that handed the request over; `None` for a request that
        /// was not handed over.
        previous_attempts: Option<Vec<AttemptSnapshot>>,
        /// Whether the request was handed over and is in the log of durable jobs.
        durable: bool,
    },
    /// The client closed its connection before it was answered.
    ClientDisconnected {
        /// The client's request.
        request_id: RequestId,
    },
    /// The exchange that dispatches an attempt has ended.
    DispatchFinished {
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        result: DispatchResult,
    },
    /// A worker sent a notice; [`Effect::Acknowledge`](crate::Effect::Acknowledge) answers it.
    WorkerNotice(WorkerNotice),
    /// The worker has confirmed that the attempt is cancelled, or the call that cancels it was
    /// given up.
    AttemptCancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Discovery sent the endpoint list or changes to it, or a call to discovery failed.
    EndpointList {
        /// Whether `hosts` is the full list or only changes, or the call failed.
        scope: EndpointUpdate,
        /// The list's version.
        version: u64,
        /// The entries of the list.
        hosts: Vec<WorkerEndpoint>,
    },
    /// The configuration file was reloaded.
    ConfigurationReloaded {
        /// The new address of discovery.
        discovery: SocketAddr,
        /// The new settings, if they have changed.
        settings: Option<SettingsChange>,
        /// The names of the classes, tenants, zones and kinds, which the settings refer to by
        /// number.
        names: Arc<Names>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The checked worker.
        worker: Arc<str>,
        /// The time at which the check was sent.
        sent: Nanos,
        /// The outcome.
        outcome: Outcome,
        /// The worker's load report.
        report: Option<LoadReport>,
    },
    /// A datagram of another scheduler was received.
    PeerMessage {
        /// The peer's index.
        from: u32,
        /// The datagram's payload.
        data: Vec<u8>,
    },
    /// This scheduler joins the membership.
    JoinMembership {
        /// The settings of the membership protocol.
        settings: Box<spanlead_membership::MembershipConfig>,
        /// The interval between heartbeats.
        heartbeat_interval: Nanos,
    },
    /// Configures the singleton roles; at most one scheduler at a time holds each of them.
    ConfigureRoles {
        /// The settings of the lease protocol.
        settings: spanlead_singleton_roles::RoleConfig,
        /// The roles and the calls that their holders make, by role number.
        tasks: Vec<RoleTask>,
    },
    /// An operator asks this scheduler to release a role so that another one takes it over.
    ReleaseRole {
        /// The role's name.
        name: String,
    },
    /// A call made by this scheduler as holder of a role has ended.
    RoleCallFinished {
        /// The role's number.
        role: usize,
        /// The result.
        result: RoleCallResult,
    },
    /// This process exits and has no work left: it announces to the peers that it leaves.
    LeaveMembership,
    /// Fires the timers that are due.
    Tick,
    /// Shuts down gracefully: open requests are finished and, after a grace period, new ones are
    /// rejected unless a successor process takes the new connections.
    Shutdown,
    /// An operator starts (`true`) or stops (`false`) draining, which redirects clients to other
    /// schedulers.
    SetDraining(bool),
    /// The capacity of this process has changed because another process of this scheduler started
    /// or exited.
    SetCapacity {
        /// The maximum number of open requests.
        max_open_requests: usize,
        /// Whether a successor process is running that can take over.
        has_successor: bool,
    },
    /// Hands over to the successor the open requests that have no dispatch or cancellation in
    /// progress.
    StartHandover,
    /// A request was rejected before it reached the engine.
    RequestRejected {
        /// The request's class.
        class: u32,
    },
    /// Invalid input of a client, a worker or discovery was rejected or dropped.
    InvalidInput {
        /// The reason, one of a small fixed set.
        reason: &'static str,
    },
    /// The request of an attempt was written completely to its worker.
    AttemptWritten,
    /// A reload failed because the configuration file could not be used.
    ReloadFailed,
    /// The log of durable jobs was read; this process owns its jobs from now on.
    DurableJobsOpened(Box<DurableSetup>),
    /// Records became durable.
    RecordsDurable {
        /// Size of the log on disk, bytes.
        bytes: u64,
    },
    /// The log of durable jobs is no longer writable.
    StorageFailed,
    /// This process released the log to another process.
    DurableJobsReleased,
    /// The answer of a durable job was delivered to its client.
    AnswerDelivered {
        /// The job.
        job: JobNumber,
    },
    /// The inventories changed.
    InventoryUpdated(InventoryUpdate),
}

/// Identifies an attempt to run a request at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request, counted from 0.
    pub number: u32,
}
