//! The scheduler, which coordinates the parts of the crate. Each part keeps its own state.
//!
//! Each submodule implements one concern. All durable changes of jobs, tasks, runs and worker
//! classes are events that go through [`Scheduler::record_event`].
mod apply;
mod cancellation;
mod commits;
mod feasibility;
mod hedging;
mod inspect;
mod occurrences;
mod placing;
mod progress;
mod recovery;
mod renewals;
mod reports;
mod responses;
mod run_ends;
mod starts;
mod stops;
mod worker_list;

pub use inspect::{JobView, RunView, TaskView, Usage, WorkerView};

use crate::calls::{CallTimeouts, OutstandingCalls, StartThrottle};
use crate::cancelled_jobs::CancelledJobs;
use crate::commit::CommitQueue;
use crate::config::{Admission, Now, QueuePolicy, SchedulerConfig};
use crate::estimates::RuntimeEstimates;
use crate::events::{Event, EventLog};
use crate::ids::{JobId, QueueId, RunId};
use crate::jobs::{Job, JobState, JobTable};
use crate::metrics::{SchedulerCounts, SchedulerMetrics};
use crate::occurrence_timer::OccurrenceTimer;
use crate::pending::PendingQueue;
use crate::placement::{PlacementMisses, Placer};
use crate::record::JobRecord;
use crate::renewal::RenewalSchedule;
use crate::spec::JobSpec;
use crate::workers::{WorkerClasses, WorkerRegistry};
use std::collections::BTreeSet;

/// The maximum number of open jobs; further submissions are not admitted.
const MAX_OPEN_JOBS: usize = 30_000;
/// The interval between two checks of progress, feasibility and retention, milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// The jobs, the workers, and the assignment of runs to workers during one term.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    /// The start of this term, monotonic milliseconds.
    term_started_at_ms: u64,
    jobs: JobTable,
    cancelled_jobs: CancelledJobs,
    occurrence_timer: OccurrenceTimer,
    pending: PendingQueue,
    misses: PlacementMisses,
    placer: Placer,
    estimates: RuntimeEstimates,
    workers: WorkerRegistry,
    worker_classes: WorkerClasses,
    /// Whether the platform's worker list was read in this term.
    has_worker_list: bool,
    renewals: RenewalSchedule,
    calls: OutstandingCalls,
    timeouts: CallTimeouts,
    throttle: StartThrottle,
    /// Runs whose stop was sent and whose end is not known yet.
    stopping: BTreeSet<RunId>,
    commits: CommitQueue,
    events: EventLog,
    metrics: SchedulerMetrics,
    /// The last check of progress, feasibility and retention, monotonic milliseconds.
    last_check_ms: u64,
}

impl Scheduler {
    /// Creates a scheduler without jobs or workers for the term of `fencing_token`. `seed` seeds
    /// its random choices.
    #[must_use]
    pub fn new(config: SchedulerConfig, fencing_token: u64, seed: u64, now: Now) -> Self {
        Scheduler {
            config,
            term_started_at_ms: now.monotonic_ms,
            jobs: JobTable::default(),
            cancelled_jobs: CancelledJobs::default(),
            occurrence_timer: OccurrenceTimer::default(),
            pending: PendingQueue::default(),
            misses: PlacementMisses::default(),
            placer: Placer::new(config.remote_data_slowdown, seed),
            estimates: RuntimeEstimates::default(),
            workers: WorkerRegistry::default(),
            worker_classes: WorkerClasses::default(),
            has_worker_list: false,
            renewals: RenewalSchedule::default(),
            calls: OutstandingCalls::new(fencing_token, config.max_concurrent_calls),
            timeouts: CallTimeouts::default(),
            throttle: StartThrottle::default(),
            stopping: BTreeSet::new(),
            commits: CommitQueue::default(),
            events: EventLog::default(),
            metrics: SchedulerMetrics::default(),
            last_check_ms: 0,
        }
    }

    // Jobs.

    /// Accepts a job, unless too many jobs are open or the job was cancelled before. A submission
    /// with the identifier of a known job changes nothing, so that clients may retry.
    ///
    /// The client must have sent the submission less than [`crate::MAX_SUBMISSION_AGE_MS`] ago.
    pub fn submit(&mut self, now: Now, job: JobId, policy: QueuePolicy, spec: JobSpec) -> Admission {
        if self.jobs.contains(job) {
            return Admission::Accepted;
        }
        if self.cancelled_jobs.contains(job) {
            log::debug!("submission refused: cancelled before job={job}");
            self.metrics.cancelled_submissions += 1;
            return Admission::AlreadyCancelled;
        }
        if self.jobs.open_count() >= MAX_OPEN_JOBS {
            return Admission::TooManyJobs;
        }
        let record = JobRecord {
            queue: policy.queue,
            service: policy.service,
            priority: policy.priority,
            max_attempts: policy.max_attempts.max(1),
            accepted_at_ms: now.unix_ms,
            spec,
        };
        self.record_event(now.monotonic_ms, Event::JobAccepted { job, record: Box::new(record) });
        self.begin_due_occurrences_of(now, job);
        Admission::Accepted
    }

    /// The state of a job; `None` if it is not known or its retention is over.
    #[must_use]
    pub fn job_state(&self, job: JobId) -> Option<JobState> {
        self.jobs.get(job).map(Job::state)
    }

    /// The number of a queue's open jobs of which no task is known to have begun.
    #[must_use]
    pub fn pending_jobs(&self, queue: &QueueId) -> u64 {
        self.jobs.pending_count(queue)
    }

    /// The current numbers of jobs, pending units, active runs and events.
    #[must_use]
    pub fn counts(&self) -> SchedulerCounts {
        SchedulerCounts {
            jobs: self.jobs.len(),
            cancelled_jobs: self.cancelled_jobs.len(),
            pending_units: self.pending.len(),
            active_runs: self.workers.iter().map(|worker| worker.allocation.runs().len()).sum(),
            events: self.events.count(),
        }
    }

    /// The metrics of this term so far.
    #[must_use]
    pub fn metrics(&self) -> SchedulerMetrics {
        let max_starts_per_tick = self.throttle.limit() as u64;
        SchedulerMetrics { call_timeouts: self.timeouts.range(), max_starts_per_tick, ..self.metrics }
    }

    // Time.

    /// Records that the next tick is `late_ms` late, and adjusts the limit on starts: an overloaded
    /// scheduler sends fewer.
    pub fn record_tick_lateness(&mut self, late_ms: u64) {
        self.throttle.record_lateness(late_ms);
    }

    /// Handles everything that is due: time-outs, occurrences, expired leases, placement, retries,
    /// renewals and periodic checks. The embedder calls it every few tens of milliseconds.
    pub fn tick(&mut self, now: Now) {
        self.throttle.refill();
        self.time_out_starts(now);
        self.begin_due_occurrences(now);
        self.end_expired_runs(now);
        self.pending.tick();
        self.placer.update_panic_mode(&self.workers, now.monotonic_ms);
        self.place_ready_tasks(now);
        self.retry_stops(now.monotonic_ms);
        self.send_due_renewals(now.monotonic_ms);
        if now.monotonic_ms >= self.last_check_ms + CHECK_INTERVAL_MS {
            self.last_check_ms = now.monotonic_ms;
            // The end of an ejection raises no event, so capacity may have become available.
            self.pending.capacity_changed();
            self.report_held_back_starts(now.monotonic_ms);
            self.move_lagging_runs(now);
            self.fail_infeasible_jobs(now);
            self.remove_expired_jobs(now);
            self.forget_expired_cancellations(now);
        }
    }
}
