//! Clients: jobs that arrive by plan, each tried again under its key until it has its answer or its
//! client has had enough.
use crate::http::Connection;
use crate::record::{Record, What};
use crate::workload::Class;
use hdrhistogram::Histogram;
use hyper::Request;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until};

/// How jobs come.
#[derive(Clone, Debug)]
pub struct Plan {
    pub jobs: u64,
    /// The number of the first.
    pub first: u64,
    /// Jobs a second; they come whether or not those before are done.
    pub rate: f64,
    /// At most so many at a time; those that find no room wait, and their time counts.
    pub at_once: usize,
    /// The share of jobs whose client sends a second copy of its own, under the same key.
    pub doubled: f64,
    /// Only jobs of these classes, if any are named.
    pub only: Vec<String>,
    /// Whose jobs they are, each as often as the others.
    pub owners: Vec<String>,
    pub seed: u64,
}

/// A job as its client sees it.
#[derive(Clone, Debug)]
pub struct Job {
    pub number: u64,
    pub class: String,
    pub owner: String,
    /// `None` for classes whose jobs carry no key.
    pub key: Option<String>,
    /// How long its client waits in all.
    pub patience: Duration,
    /// The memory that it needs, in workers' units.
    pub memory: f64,
}

/// How a job ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served(String),
    /// Refused, and again until its client gave up.
    Refused,
    Failed(u16),
    /// No final answer at all.
    None,
}

/// What came of a load.
#[derive(Clone, Debug)]
pub struct Summary {
    pub classes: BTreeMap<String, Counts>,
    pub took: Duration,
}

impl Summary {
    /// Adds what came of another load.
    pub fn add(&mut self, other: Summary) {
        for (class, counts) in other.classes {
            let sum = self.classes.entry(class).or_insert_with(Counts::new);
            sum.jobs += counts.jobs;
            sum.served += counts.served;
            sum.refused += counts.refused;
            sum.failed += counts.failed;
            sum.unanswered += counts.unanswered;
            sum.again += counts.again;
            // Both have the same bounds.
            let _ = sum.latency.add(counts.latency);
        }
        self.took = self.took.max(other.took);
    }
}

/// What came of a class's jobs.
#[derive(Clone, Debug)]
pub struct Counts {
    pub jobs: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub unanswered: u64,
    /// Tries beyond the first.
    pub again: u64,
    /// Time from when the job should have come to its answer, microseconds, of the served ones.
    pub latency: Histogram<u64>,
}

impl Counts {
    fn new() -> Self {
        // Two minutes at three digits; what is beyond counts as that.
        let latency = Histogram::new_with_bounds(1, 120_000_000, 3);
        let latency = latency.unwrap_or_else(|_| unreachable!("the bounds are good"));
        Counts { jobs: 0, served: 0, refused: 0, failed: 0, unanswered: 0, again: 0, latency }
    }
}

/// A load under way.
pub struct Load {
    shared: Arc<Shared>,
}

struct Shared {
    to: SocketAddr,
    scheduler: u32,
    record: Record,
    idle: Mutex<Vec<Connection>>,
    requests: AtomicU64,
    settled: AtomicU64,
    counts: Mutex<BTreeMap<String, Counts>>,
    stop: AtomicBool,
}

/// A job of the plan: its class and key by its number and the seed.
fn job(number: u64, classes: &[Class], plan: &Plan, rng: &mut SmallRng) -> Option<Job> {
    let wanted: Vec<&Class> =
        classes.iter().filter(|c| plan.only.is_empty() || plan.only.contains(&c.name)).collect();
    let total: f64 = wanted.iter().map(|c| c.share).sum();
    let mut at = rng.random_range(0.0..total.max(f64::MIN_POSITIVE));
    let class = wanted.iter().find(|c| {
        at -= c.share;
        at < 0.0
    });
    let class = class.or(wanted.last())?;
    let keyed = class.scope != crate::workload::Scope::Safe;
    Some(Job {
        number,
        class: class.name.clone(),
        owner: plan.owners.choose(rng).cloned().unwrap_or_default(),
        key: keyed.then(|| format!("key-{number}")),
        patience: class.deadline,
        memory: match class.memory {
            (least, most) if least < most => rng.random_range(least..most),
            (least, _) => least,
        },
    })
}

impl Load {
    /// Clients for the scheduler at `to`.
    pub fn new(to: SocketAddr, record: Record) -> Self {
        Self::of(0, to, record)
    }

    /// Clients for the scheduler of this number, at `to`.
    pub fn of(scheduler: u32, to: SocketAddr, record: Record) -> Self {
        let shared = Shared {
            to,
            scheduler,
            record,
            idle: Mutex::default(),
            requests: AtomicU64::new(0),
            settled: AtomicU64::new(0),
            counts: Mutex::default(),
            stop: AtomicBool::new(false),
        };
        Load { shared: Arc::new(shared) }
    }

    /// How many jobs are done with.
    pub fn settled(&self) -> u64 {
        self.shared.settled.load(Ordering::Relaxed)
    }

    /// What has come of it so far.
    pub fn counts(&self) -> BTreeMap<String, Counts> {
        self.shared.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// No job comes any more.
    pub fn stop(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
    }

    /// Plays the plan; returns when every job is done with.
    pub async fn play(&self, plan: &Plan, classes: &[Class]) -> Summary {
        let begun = Instant::now();
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let room = Arc::new(Semaphore::new(plan.at_once));
        let mut tasks = tokio::task::JoinSet::new();
        let mut at = begun;
        for number in plan.first..plan.first + plan.jobs {
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / plan.rate);
            sleep_until(at).await;
            if self.shared.stop.load(Ordering::Relaxed) {
                break;
            }
            let Some(job) = job(number, classes, plan, &mut rng) else { break };
            let doubled = job.key.is_some() && rng.random_bool(plan.doubled);
            let (shared, room, seed) = (self.shared.clone(), room.clone(), rng.random());
            tasks.spawn(async move {
                let Ok(_room) = room.acquire().await else { return };
                if doubled {
                    // The member taps twice: two clients, one key.
                    tokio::join!(
                        shared.client(&job, at, seed, true),
                        shared.client(&job, at, seed ^ 1, false)
                    );
                } else {
                    shared.client(&job, at, seed, true).await;
                }
                shared.settled.fetch_add(1, Ordering::Relaxed);
            });
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
        Summary { classes: self.counts(), took: begun.elapsed() }
    }

    /// Brings one job to its end.
    pub async fn one(&self, job: &Job) -> Outcome {
        self.shared
            .bring(job, Instant::now() + job.patience, &mut SmallRng::seed_from_u64(job.number))
            .await
            .0
    }
}

impl Shared {
    async fn client(&self, job: &Job, at: Instant, seed: u64, counted: bool) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (outcome, tries) = self.bring(job, Instant::now() + job.patience, &mut rng).await;
        self.record.add(What::Settled { job: job.number, answered: outcome != Outcome::None });
        if !counted {
            return;
        }
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = counts.entry(job.class.clone()).or_insert_with(Counts::new);
        counts.jobs += 1;
        counts.again += tries - 1;
        match outcome {
            Outcome::Served(_) => {
                counts.served += 1;
                counts.latency.saturating_record(at.elapsed().as_micros() as u64);
            }
            Outcome::Refused => counts.refused += 1,
            Outcome::Failed(_) => counts.failed += 1,
            Outcome::None => counts.unanswered += 1,
        }
    }

    /// Tries until there is an answer that is no refusal, or `until`. Each try has a new id and the
    /// same key.
    async fn bring(&self, job: &Job, until: Instant, rng: &mut SmallRng) -> (Outcome, u64) {
        let (mut tries, mut last) = (0, Outcome::None);
        let mut pause = Duration::from_millis(20);
        while Instant::now() + Duration::from_millis(5) < until {
            tries += 1;
            let wait = match self.attempt(job, until).await {
                Some((200, body, _)) => return (Outcome::Served(body), tries),
                Some((429 | 503, _, wait)) => {
                    last = Outcome::Refused;
                    wait.unwrap_or(Duration::from_millis(300))
                }
                Some((status, ..)) => return (Outcome::Failed(status), tries),
                None => {
                    pause = (pause * 2).min(Duration::from_millis(500));
                    pause
                }
            };
            // Spread, so that those who were turned away together do not come back together.
            sleep_until(until.min(Instant::now() + wait.mul_f64(rng.random_range(0.5..1.5)))).await;
        }
        (last, tries.max(1))
    }

    /// One request: status, body and when to come back; `None` without an answer.
    async fn attempt(&self, job: &Job, until: Instant) -> Option<(u16, String, Option<Duration>)> {
        let request = format!("r{}-{}", self.requests.fetch_add(1, Ordering::Relaxed), job.number);
        let left = until.saturating_duration_since(Instant::now());
        let mut head = Request::post(format!("/{}/x?job={}", job.class, job.number))
            .header("host", "scheduler")
            .header("req-id", &request)
            .header("req-owner", &job.owner)
            .header("req-deadline-ms", left.as_millis().to_string());
        if job.memory > 0.0 {
            head = head.header("req-extra", format!("memory={:.3}", job.memory));
        }
        if let Some(key) = &job.key {
            head = head.header("idempotency-key", key);
        }
        let message = head.body(format!("work {}", job.number).into()).ok()?;
        let kept = {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.retain(Connection::usable);
            idle.pop()
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.to, until).await.ok()?,
        };
        let due = self.record.now() + left;
        let (class, owner, key) = (job.class.clone(), job.owner.clone(), job.key.clone());
        let asked = What::Asked {
            scheduler: self.scheduler,
            request: request.clone(),
            job: job.number,
            class,
            owner,
            key,
            due,
        };
        self.record.add(asked);
        // A client allows the answer the time that it needs on the way.
        let (head, body) = match connection.exchange(message, until + Duration::from_millis(50)).await {
            Some(Ok(answer)) => answer,
            Some(Err(_)) => {
                self.record.add(What::Broke { request });
                return None;
            }
            None => {
                self.record.add(What::Impatient { request });
                return None;
            }
        };
        let status = head.status.as_u16();
        let body = String::from_utf8_lossy(&body).into_owned();
        self.record.add(What::Answered { request, status, body: body.clone() });
        let wait = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse::<f64>().ok());
        let closes = head.headers.get("connection").is_some_and(|v| v == "close");
        if !closes {
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(connection);
        }
        Some((status, body, wait.filter(|w| (0.0..60.0).contains(w)).map(Duration::from_secs_f64)))
    }
}
