//! All decisions of a dispatcher, one file for each kind.
//!
//! The ordinary path is NBRW-PoD: walkers move over a shared expander graph of workers, and a job
//! goes to the worker among the walkers' positions that has the fewest of this dispatcher's own
//! slots in flight.
//!
//! | file | decision |
//! | --- | --- |
//! | `admission` | which requests are admitted, and when one is given up |
//! | `rounds` | when a pending job draws candidates, probes them and waits |
//! | `candidates` | which workers are looked at: walkers, affinity, recently used workers |
//! | `slow_start` | how much a worker in slow start may get |
//! | `selection` | which candidate gets the job, and the send |
//! | `permit` | whether one more attempt keeps to the request's idempotency |
//! | `attempts` | what the end of an attempt teaches, and whether it is retried |
//! | `probes` | what a probe teaches |
//! | `outlier_detection` | when a worker is ejected |
//! | `affinity` | where a key's requests go |
//! | `capacity` | what a warm worker can do |
//! | `endpoints`, `discovery` | the endpoint list: what it says, and when it is requested |
//! | `settings_change` | new settings while jobs are open |

mod admission;
mod affinity;
mod attempts;
mod candidates;
mod capacity;
mod discovery;
mod endpoints;
mod outlier_detection;
mod permit;
mod probes;
mod retry_budget;
mod rounds;
mod selection;
mod settings_change;
mod slow_start;

use crate::admission_limiter::AdmissionLimiter;
use crate::api::{Action, Event, Nanos, Settings, SettingsError, WorkerId};
use crate::state::{ClassStatistics, Fleet, JobTable, TimerPurpose, TimerToken};
use affinity::AffinityTable;
use attempts::EndedAttempt;
use capacity::CapacityEstimate;
use discovery::DiscoveryState;
use probes::ProbeConfidence;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use retry_budget::RetryBudget;
use spanlead_expander_walk::Expander;

/// The decisions of one dispatcher.
///
/// It performs no I/O and reads no clock. All chance comes from a generator seeded at the start, so
/// the same events give the same actions.
pub struct Dispatcher {
    settings: Settings,
    rng: Pcg64Mcg,
    fleet: Fleet,
    jobs: JobTable,
    /// What is known of each request class.
    classes: Vec<ClassStatistics>,
    /// The top priority among the classes that clients may name.
    top_priority: i32,
    limiter: AdmissionLimiter,
    retry_budget: RetryBudget,
    affinity: AffinityTable,
    probe_confidence: ProbeConfidence,
    capacity: CapacityEstimate,
    discovery: DiscoveryState,
}

impl Dispatcher {
    /// A dispatcher that knows no workers yet.
    ///
    /// # Errors
    /// If a setting makes no sense; the error names it.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            rng: Pcg64Mcg::seed_from_u64(seed),
            fleet: Fleet::new(&settings.classes),
            jobs: JobTable::default(),
            classes: vec![ClassStatistics::default(); settings.classes.len()],
            top_priority: settings.top_priority(),
            limiter: AdmissionLimiter::default(),
            retry_budget: RetryBudget::default(),
            affinity: AffinityTable::default(),
            probe_confidence: ProbeConfidence::default(),
            capacity: CapacityEstimate::default(),
            discovery: DiscoveryState::default(),
            settings,
        })
    }

    /// Takes one event at time `now` and appends what is to be done.
    ///
    /// Times must not decrease from one event to the next.
    pub fn handle(&mut self, now: Nanos, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { update, endpoints } => {
                self.change_endpoints(now, update, endpoints, actions);
            }
            Event::RequestArrived(request) => self.accept_request(now, request, &[], actions),
            Event::RequestAdopted { request, attempts } => {
                self.accept_request(now, request, attempts, actions);
            }
            Event::ResponseStarted { id, .. } => self.start_response(id),
            Event::AttemptProgressed { id, attempt, .. } => {
                self.record_progress(now, id, attempt as usize);
            }
            Event::AttemptEnded { id, attempt, outcome, request_closed, elapsed, report } => {
                let ended =
                    EndedAttempt { id, number: attempt as usize, outcome, request_closed, elapsed, report };
                self.end_attempt(now, &ended, actions);
            }
            Event::ClientGone(id) => {
                if let Some(number) = self.jobs.find(id) {
                    self.jobs.close(number);
                }
            }
            Event::TimerFired(token) => self.handle_timer(now, TimerToken::decode(token), actions),
            Event::ProbeEnded { worker, outcome, report, .. } => {
                self.end_probe(now, worker, outcome, report, actions);
            }
            Event::SettingsChanged { settings, predecessors } => {
                self.change_settings(*settings, &predecessors);
            }
            Event::PeerMessage { .. } => {}
        }
    }

    fn handle_timer(&mut self, now: Nanos, token: TimerToken, actions: &mut Vec<Action>) {
        match token.purpose {
            TimerPurpose::Discovery => self.discovery.subscribe(actions),
            TimerPurpose::BindToProbed => self.bind_after_probe(now, token.job, actions),
            TimerPurpose::NextRound => self.begin_next_round(now, token.job, actions),
        }
    }

    /// The workers that a walker may step to from `worker`, one for each edge of the graph of all
    /// machine kinds: what operators and tests need to see that all dispatchers hold the same
    /// graph.
    pub fn neighbours(&self, worker: &str) -> Vec<WorkerId> {
        let Some(worker) = self.fleet.find(worker) else { return Vec::new() };
        let graph = self.fleet.main_graph();
        let edges = if graph.is_empty() { 0 } else { Expander::DEGREE };
        let neighbours = (0..edges).map(|edge| graph.neighbour(self.fleet.workers(), worker, edge));
        neighbours.map(|neighbour| self.fleet.worker(neighbour).id.clone()).collect()
    }

    /// Whether a worker that the endpoint list has as ready is left alone for now.
    pub fn is_avoided(&self, now: Nanos, worker: &str) -> bool {
        let worker = self.fleet.find(worker).map(|index| self.fleet.worker(index));
        !self.fleet.is_panicking() && worker.is_some_and(|worker| worker.health.is_avoided(now))
    }
}
