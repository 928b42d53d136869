//! The decisions of a dispatcher, one file for each kind of decision.
//!
//! Jobs without an affinity key are placed by NBRW-PoD: walkers move over an expander graph of
//! workers that all dispatchers share, and a job goes to the worker among the walkers' positions
//! that has the fewest of this dispatcher's own slots in flight.
//!
//! | file | decision |
//! | --- | --- |
//! | `admission` | which requests are admitted, and when a job is given up |
//! | `rounds` | when a pending job draws candidates, probes them and waits |
//! | `candidates` | which workers are examined: by walkers, affinity key or recent use |
//! | `slow_start` | how much may be sent to a worker in slow start |
//! | `selection` | which candidate gets the job; the send |
//! | `permit` | whether the request's idempotency allows another attempt |
//! | `attempts` | what is learned from an attempt, and whether the job is retried |
//! | `probes` | what is learned from a probe, and which pending jobs are then bound |
//! | `outlier_detection` | when a worker is ejected |
//! | `affinity` | which workers have cached a key |
//! | `capacity` | estimate of what a warm worker can serve |
//! | `endpoints`, `discovery` | updates of the endpoint list, and when it is requested |
//! | `retry_budget` | how many retries are allowed in proportion to requests |
//! | `settings_change` | change of the settings while jobs are open |

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

/// A dispatcher: the state and the decisions of one instance of the balancing policy.
///
/// It performs no I/O and reads no clock. Its only random numbers come from a generator seeded in
/// [`Dispatcher::new`], so the same settings, seed and events give the same actions.
pub struct Dispatcher {
    settings: Settings,
    rng: Pcg64Mcg,
    fleet: Fleet,
    jobs: JobTable,
    /// The statistics of each request class, by class index.
    classes: Vec<ClassStatistics>,
    /// The top priority among the classes of the current settings. `settings.classes` also contains
    /// the classes of earlier settings, which only open jobs still have.
    top_priority: i32,
    limiter: AdmissionLimiter,
    retry_budget: RetryBudget,
    affinity: AffinityTable,
    probe_confidence: ProbeConfidence,
    capacity: CapacityEstimate,
    discovery: DiscoveryState,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no workers yet.
    ///
    /// # Errors
    /// Returns an error that names the setting if a setting is invalid.
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

    /// Handles one event at time `now` (in nanoseconds) and appends the resulting actions.
    ///
    /// `now` must not decrease from one event to the next.
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

    /// Returns the workers to which a walker can step from `worker`, one for each edge of the graph
    /// of all machine kinds; empty if the endpoint list has never named `worker` or no worker is
    /// ready. Operators and tests use it to check that all dispatchers have the same graph.
    pub fn neighbours(&self, worker: &str) -> Vec<WorkerId> {
        let Some(worker) = self.fleet.find(worker) else { return Vec::new() };
        let graph = self.fleet.main_graph();
        let edges = if graph.is_empty() { 0 } else { Expander::DEGREE };
        let neighbours = (0..edges).map(|edge| graph.neighbour(self.fleet.workers(), worker, edge));
        neighbours.map(|neighbour| self.fleet.worker(neighbour).id.clone()).collect()
    }

    /// Returns whether the search for candidates skips a worker at `now`, because it counts as full
    /// or is ejected.
    pub fn is_avoided(&self, now: Nanos, worker: &str) -> bool {
        let worker = self.fleet.find(worker).map(|index| self.fleet.worker(index));
        !self.fleet.is_in_panic_mode() && worker.is_some_and(|worker| worker.health.is_avoided(now))
    }
}
