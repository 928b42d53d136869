//! The inputs of the engine: everything that can happen to a scheduler.
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

/// A client's request for a job, as decoded.
#[derive(Debug)]
pub struct Job {
    /// The id that the client chose; workers know the job by it.
    pub id: Arc<str>,
    /// Number of the class in the deployment's settings.
    pub class: u32,
    /// Number of the tenant in the deployment's settings.
    pub tenant: u32,
    /// Slots that the job takes at a worker.
    pub slots: f64,
    /// Memory units that the job takes at a worker.
    pub memory: f64,
    /// Digest of the affinity key: jobs with the same one prefer the same workers.
    pub affinity_key: Option<u64>,
    /// When the client gives up, on the engine's clock. It travels with the request.
    pub deadline: Nanos,
    /// What is logged of the job; set if this scheduler keeps durable jobs.
    pub durable_request: Option<DurableRequest>,
}

/// What makes a request recognisable when it is repeated, and lets another process send it.
#[derive(Clone, Debug)]
pub struct DurableRequest {
    /// The request's `Idempotency-Key`.
    pub key: Option<Arc<str>>,
    /// Digest of what is asked for.
    pub fingerprint: [u8; 16],
    /// The request as it goes to a worker, encoded.
    pub encoded_request: Bytes,
}

/// A worker as the endpoint list names it; `None` is what the list does not say.
#[derive(Clone, Debug)]
pub struct WorkerEndpoint {
    /// The worker's name.
    pub name: Arc<str>,
    /// Where it takes jobs.
    pub addr: SocketAddr,
    /// Whether it is ready, draining or gone.
    pub state: WorkerState,
    /// When its process started, on the engine's clock.
    pub started: Option<Nanos>,
    /// Number of its kind of machine; `u32::MAX` for one that the settings do not name.
    pub kind: Option<u32>,
    /// Number of its zone; `u32::MAX` for one that the settings do not name.
    pub zone: Option<u32>,
    /// Number of its pod.
    pub cell: Option<u32>,
    /// Its weight against other workers.
    pub weight: Option<f64>,
}

/// A new version of the workers' attributes, as inventories state them.
#[derive(Debug)]
pub struct InventoryUpdate {
    /// The attributes of all inventories.
    pub merged_inventory: Arc<MergedInventory>,
    /// The inventory whose new version caused this update.
    pub cause: Option<InventoryVersion>,
    /// An operator accepted it: it is used even if it leaves a class without workers.
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

/// How the exchange that dispatches an attempt to its worker ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchResult {
    /// The worker has the job and will notify the scheduler of what becomes of it.
    Accepted {
        /// The worker understood its lease and stops when it expires.
        lease_aware: bool,
    },
    /// The worker cannot process the request, nor could another.
    Unprocessable,
    /// The attempt is over.
    Ended(Outcome, Option<LoadReport>),
}

/// What a worker's notice says of a job that it has accepted.
#[derive(Debug)]
pub enum JobUpdate {
    /// It has begun to run.
    Started,
    /// It runs; the share that is done, from 0 to 1.
    Running(f64),
    /// It is done, with this result.
    Done(String),
    /// It ran and failed.
    Failed,
    /// The worker gives it back without having run it.
    Returned,
    /// The worker does not have it any more.
    Lost,
}

/// What a worker notifies this scheduler of.
#[derive(Debug)]
pub struct WorkerNotice {
    /// The driver's number of the notice, by which it is acknowledged.
    pub notice_id: u64,
    /// The job's id.
    pub job_id: String,
    /// The worker's name.
    pub worker: String,
    /// The fencing token, from a worker that knows leases.
    pub fencing_token: Option<u64>,
    /// What the worker says of the job.
    pub update: JobUpdate,
    /// The worker's load.
    pub report: Option<LoadReport>,
}

/// New settings of the deployment.
#[derive(Debug)]
pub struct SettingsChange {
    /// The settings from now on.
    pub settings: Box<Settings>,
    /// For each class of them the number of the earlier class that it continues.
    pub continued_classes: Vec<Option<u32>>,
}

/// Everything that can happen.
#[derive(Debug)]
pub enum Input {
    /// A client's request has arrived whole.
    RequestReceived {
        /// Chosen by the driver; unique in the process.
        request_id: RequestId,
        /// The request.
        job: Job,
        /// What another process of this scheduler did for it before; set for one that was handed
        /// over.
        previous_attempts: Option<Vec<AttemptSnapshot>>,
        /// It was handed over, and the log of durable jobs holds it.
        durable: bool,
    },
    /// The client has closed its connection before the answer.
    ClientDisconnected {
        /// The client's request.
        request_id: RequestId,
    },
    /// The exchange that dispatches an attempt has ended.
    DispatchFinished {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        result: DispatchResult,
    },
    /// A worker's notice; it is answered by [`Effect::Acknowledge`](crate::Effect::Acknowledge).
    WorkerNotice(WorkerNotice),
    /// The worker knows that the attempt is cancelled, or it is not tried any longer to tell it.
    AttemptCancelled {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The endpoint list of discovery, or the changes in it, at this version.
    EndpointList {
        /// Whether it is the full list, or changes; or that the call failed.
        scope: EndpointUpdate,
        /// Version of the list.
        version: u64,
        /// The workers that it names.
        hosts: Vec<WorkerEndpoint>,
    },
    /// The configuration file was read again.
    ConfigurationReloaded {
        /// Where discovery is from now on.
        discovery: SocketAddr,
        /// The settings, if they have changed.
        settings: Option<SettingsChange>,
        /// The names behind the settings' numbers.
        names: Arc<Names>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The worker that was checked.
        worker: Arc<str>,
        /// When the check was sent.
        sent: Nanos,
        /// How it ended.
        outcome: Outcome,
        /// The worker's load.
        report: Option<LoadReport>,
    },
    /// A datagram of another scheduler.
    PeerMessage {
        /// The peer's index.
        from: u32,
        /// Its bytes.
        data: Vec<u8>,
    },
    /// This scheduler joins the membership.
    JoinMembership {
        /// How it takes part.
        settings: Box<spanlead_membership::MembershipConfig>,
        /// The span between two heartbeats.
        heartbeat_interval: Nanos,
    },
    /// Singleton roles that one of the schedulers holds at a time.
    ConfigureRoles {
        /// How leases on roles are granted.
        settings: spanlead_singleton_roles::RoleConfig,
        /// The roles, in the order of their numbers.
        tasks: Vec<RoleTask>,
    },
    /// An operator wants another scheduler to hold this role.
    ReleaseRole {
        /// The role's name.
        name: String,
    },
    /// The call that a role's holder makes has ended.
    RoleCallFinished {
        /// The role's number.
        role: usize,
        /// How the call ended.
        result: RoleCallResult,
    },
    /// This process ends and owes nothing any more: the peers are told that it has left.
    LeaveMembership,
    /// A timer may be due.
    Tick,
    /// Shut down gracefully: finish what is open, accept nothing new.
    Shutdown,
    /// An operator starts (`true`) or stops draining: clients are sent to other schedulers.
    SetDraining(bool),
    /// The capacity of this process has changed, since another one came or went.
    SetCapacity {
        /// At most so many requests may be open.
        max_open_requests: usize,
        /// Another process is there to take over.
        has_successor: bool,
    },
    /// The successor takes over the open requests whose attempts are at rest.
    StartHandover,
    /// A request was rejected before it reached the engine.
    RequestRejected {
        /// Its class.
        class: u32,
    },
    /// A client, a worker or discovery sent something invalid; it was rejected or dropped.
    InvalidInput {
        /// Why; the reasons are a fixed few.
        reason: &'static str,
    },
    /// The last byte of an attempt has been written to its worker.
    AttemptWritten,
    /// The configuration file could not be used.
    ReloadFailed,
    /// The log of durable jobs was read: the jobs that it holds are open here from now on.
    DurableJobsOpened(Box<DurableSetup>),
    /// Records have become durable.
    RecordsDurable {
        /// Size of the log on disk, bytes.
        bytes: u64,
    },
    /// The log cannot be written to any more.
    StorageFailed,
    /// The log belongs to another process from now on.
    DurableJobsReleased,
    /// A client was handed this job's answer.
    AnswerDelivered {
        /// The job.
        job: JobNumber,
    },
    /// Inventories state other attributes of workers.
    InventoryUpdated(InventoryUpdate),
}

/// An attempt to run a request at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The attempt's number within the request, counted from 0.
    pub number: u32,
}
