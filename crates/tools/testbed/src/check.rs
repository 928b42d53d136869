//! Reads a record and says which rules were broken.
use crate::deployment::Deployment;
use crate::record::{Event, What};
use crate::workload::Scope;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

/// The platform's tolerance for sockets: for late answers, and beside the grace after which nothing
/// new may go to a worker that drains.
const SLACK: Duration = Duration::from_millis(50);

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub rule: Rule,
    pub what: String,
}

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Exactly one final answer for each request that a running scheduler took, in time.
    OneAnswer,
    /// Each job has a final answer before its client gives up, whatever was killed in between.
    Settled,
    /// What must never run twice does not; what is dropped as a repeat is repeated only where that
    /// is so.
    OneRun,
    /// Never two attempts of a request out at once.
    OneAttempt,
    /// A job's result was made for it.
    OwnResult,
    /// Nothing new to a worker the settings' grace after the scheduler was told that it drains.
    Drain,
    /// Nothing to a worker that the live list has not named.
    Listed,
    /// A worker that has just started is not sent more than it bears, by all schedulers together.
    Cold,
    /// Schedulers that can reach each other see each other in the end.
    Together,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one final answer, in time",
            Rule::Settled => "an answer before the client gives up",
            Rule::OneRun => "no second run",
            Rule::OneAttempt => "never two attempts at once",
            Rule::OwnResult => "each job its own result",
            Rule::Drain => "nothing to draining workers",
            Rule::Listed => "nothing to workers that are not listed",
            Rule::Cold => "no cold worker pushed over",
            Rule::Together => "schedulers see each other in the end",
        })
    }
}

/// All rules, for a table.
pub const RULES: [Rule; 9] = [
    Rule::OneAnswer,
    Rule::Settled,
    Rule::OneRun,
    Rule::OneAttempt,
    Rule::OwnResult,
    Rule::Drain,
    Rule::Listed,
    Rule::Cold,
    Rule::Together,
];

/// A request that a client has written.
struct OpenRequest {
    scheduler: u32,
    job: u64,
    key: Option<String>,
    due: Duration,
    answers: u32,
    /// No scheduler ran, or it was killed or stopped since.
    is_excused: bool,
    /// Its scheduler was stopped meanwhile: nobody could answer in time.
    was_stopped: bool,
}

/// What the checker knows of the events so far.
struct Checker<'a> {
    drain_grace: Duration,
    broken: Vec<Broken>,
    requests: HashMap<&'a str, OpenRequest>,
    /// Whether each job had a final answer.
    settled: BTreeMap<u64, bool>,
    /// The groups and requests of the runs that began, by class and key.
    began: HashMap<(&'a str, &'a str), Vec<(&'a str, &'a str)>>,
    /// How often a class's key ran to its end.
    ran: HashMap<(&'a str, &'a str), u32>,
    /// The worker that has a request.
    in_flight: HashMap<&'a str, &'a str>,
    /// When a scheduler was notified that a worker drains.
    draining: HashMap<(u32, &'a str), Duration>,
    /// The workers that the list has named to a scheduler.
    listed: HashSet<(u32, &'a str)>,
    down: HashSet<u32>,
    stopped: HashSet<u32>,
}

/// Reads the record of a load on this deployment. A request that is open when a scheduler is killed
/// is owed nothing; its job still is.
pub fn check(events: &[Event], deployment: &Deployment) -> Vec<Broken> {
    let mut checker = Checker {
        drain_grace: deployment.drain_grace,
        broken: check_cold(events, deployment),
        requests: HashMap::new(),
        settled: BTreeMap::new(),
        began: HashMap::new(),
        ran: HashMap::new(),
        in_flight: HashMap::new(),
        draining: HashMap::new(),
        listed: HashSet::new(),
        down: HashSet::new(),
        stopped: HashSet::new(),
    };
    for event in events {
        checker.handle(event);
    }
    checker.check_settled();
    checker.check_runs(deployment);
    checker.broken
}

impl<'a> Checker<'a> {
    fn add(&mut self, rule: Rule, what: String) {
        self.broken.push(Broken { rule, what });
    }

    fn handle(&mut self, event: &'a Event) {
        let at = event.at;
        match &event.what {
            What::Asked { scheduler, request, job, key, due, .. } => {
                let (scheduler, job, key) = (*scheduler, *job, key.clone());
                let is_excused = self.down.contains(&scheduler);
                let was_stopped = self.stopped.contains(&scheduler);
                let open =
                    OpenRequest { scheduler, job, key, due: *due, answers: 0, is_excused, was_stopped };
                self.requests.insert(request, open);
            }
            What::Answered { request, status, body } => self.check_answer(at, request, *status, body),
            What::Broke { request } if self.is_owed(request) => {
                self.add(Rule::OneAnswer, format!("{request} lost its connection to a running scheduler"));
            }
            What::Impatient { request } if self.is_owed(request) => {
                self.add(Rule::OneAnswer, format!("{request} had no answer in time"));
            }
            What::Settled { job, answered } => {
                self.settled.entry(*job).and_modify(|all| *all &= answered).or_insert(*answered);
            }
            What::Received { scheduler, request, worker, .. } => {
                self.check_attempt(at, *scheduler, request, worker);
            }
            What::Over { request, worker, .. }
                if self.in_flight.get(request.as_str()) == Some(&worker.as_str()) =>
            {
                self.in_flight.remove(request.as_str());
            }
            What::Began { request, key: Some(key), class, group, .. } => {
                self.began.entry((class, key)).or_default().push((group, request));
            }
            What::Ran { key: Some(key), class, .. } => *self.ran.entry((class, key)).or_default() += 1,
            What::Told { scheduler, worker } => {
                self.listed.insert((*scheduler, worker));
                self.draining.entry((*scheduler, worker)).or_insert(at);
            }
            What::Lives { scheduler, worker } => {
                self.listed.insert((*scheduler, worker));
                self.draining.remove(&(*scheduler, worker.as_str()));
            }
            what => self.handle_scheduler(at, what),
        }
    }

    /// Whether a request must be answered: also one that was never asked.
    fn is_owed(&self, request: &str) -> bool {
        self.requests.get(request).is_none_or(|open| !open.is_excused)
    }

    fn check_answer(&mut self, at: Duration, request: &str, status: u16, body: &str) {
        let Some(open) = self.requests.get_mut(request) else {
            return self.add(Rule::OneAnswer, format!("{request} was answered and never asked"));
        };
        open.answers += 1;
        let (answers, job, due, is_excused) = (open.answers, open.job, open.due, open.is_excused);
        let is_own = match &open.key {
            Some(key) => body.split(' ').next() == Some(key),
            None => body.contains(&format!("-{job} by ")),
        };
        if answers > 1 {
            self.add(Rule::OneAnswer, format!("{request} was answered {answers} times"));
        }
        if at > due + SLACK && !is_excused {
            self.add(Rule::OneAnswer, format!("{request} was answered {:?} late", at - due));
        }
        if status == 200 && !is_own {
            self.add(Rule::OwnResult, format!("{request} of job {job} was answered `{body}`"));
        }
    }

    fn check_attempt(&mut self, at: Duration, scheduler: u32, request: &'a str, worker: &'a str) {
        if !self.listed.contains(&(scheduler, worker)) {
            self.add(Rule::Listed, format!("{request} went to {worker}, which no list has named"));
        }
        if let Some(other) = self.in_flight.insert(request, worker) {
            self.add(Rule::OneAttempt, format!("{request} went to {worker} while {other} had it"));
        }
        let drained_at = self.draining.get(&(scheduler, worker)).copied();
        if let Some(drained_at) = drained_at.filter(|since| at > *since + self.drain_grace + SLACK) {
            let late = at - drained_at;
            self.add(Rule::Drain, format!("{request} went to {worker} {late:?} after its drain"));
        }
    }

    /// A scheduler that is stopped owes nothing meanwhile; one that shuts down owes nothing that
    /// comes later.
    fn handle_scheduler(&mut self, at: Duration, what: &What) {
        match what {
            What::Ending { scheduler } => {
                self.down.insert(*scheduler);
            }
            What::Killed { scheduler } => {
                self.down.insert(*scheduler);
                self.open_requests(*scheduler).for_each(|open| open.is_excused = true);
                // The next process has not received the notices of this one.
                self.draining.retain(|(notified, _), _| notified != scheduler);
            }
            What::Paused { scheduler, on: true } => {
                self.down.insert(*scheduler);
                self.stopped.insert(*scheduler);
                for open in self.open_requests(*scheduler) {
                    open.is_excused = true;
                    open.was_stopped = true;
                }
            }
            What::Serving { scheduler } => {
                self.down.remove(scheduler);
                self.stopped.remove(scheduler);
            }
            What::Paused { scheduler, on: false } => {
                self.down.remove(scheduler);
                self.stopped.remove(scheduler);
                // It could not read notices before it went on.
                let notices = self.draining.iter_mut();
                notices.filter(|((of, _), _)| of == scheduler).for_each(|(_, since)| *since = at);
            }
            _ => {}
        }
    }

    /// The requests to a scheduler that have no answer yet.
    fn open_requests(&mut self, scheduler: u32) -> impl Iterator<Item = &mut OpenRequest> {
        let requests = self.requests.values_mut();
        requests.filter(move |open| open.scheduler == scheduler && open.answers == 0)
    }

    /// Each job has a final answer, unless its scheduler was stopped.
    fn check_settled(&mut self) {
        let stopped = self.requests.values().filter(|open| open.was_stopped);
        let stopped: HashSet<u64> = stopped.map(|open| open.job).collect();
        for (job, answered) in std::mem::take(&mut self.settled) {
            if !answered && !stopped.contains(&job) {
                self.add(Rule::Settled, format!("job {job} had no final answer"));
            }
        }
    }

    /// No job runs more often than its class allows.
    fn check_runs(&mut self, deployment: &Deployment) {
        let classes = deployment.classes.iter();
        let scopes: HashMap<&str, Scope> = classes.map(|c| (c.name.as_str(), c.scope)).collect();
        for ((class, key), runs) in std::mem::take(&mut self.began) {
            let groups: HashSet<&str> = runs.iter().map(|(group, _)| *group).collect();
            match scopes.get(class) {
                Some(Scope::Never) if runs.len() > 1 => {
                    self.add(Rule::OneRun, format!("{class} {key} began {runs:?}"));
                }
                Some(Scope::Cell | Scope::Zone | Scope::All) if groups.len() > 1 => {
                    let what = format!("{class} {key} began where no one drops its repeats: {runs:?}");
                    self.add(Rule::OneRun, what);
                }
                _ => {}
            }
        }
        for ((class, key), times) in std::mem::take(&mut self.ran) {
            if times > 1 && scopes.get(class) != Some(&Scope::Safe) {
                self.add(Rule::OneRun, format!("{class} {key} ran {times} times"));
            }
        }
    }
}

/// Checks that workers that had just started were not sent more, by all schedulers together, than
/// the deployment's rule lets them bear: within `tip` at most `tip_multiple` times the jobs of mean
/// length that they do at their capacity of then, N, and for chance twice the root of N and two
/// jobs.
pub fn check_cold(events: &[Event], deployment: &Deployment) -> Vec<Broken> {
    let d = deployment;
    let shares: f64 = d.classes.iter().map(|c| c.share).sum();
    let mean: f64 = d.classes.iter().map(|c| c.run.as_secs_f64() * c.share / shares).sum();
    let (cold, tip) = (d.cold.as_secs_f64(), d.tip.as_secs_f64());
    // Capacity rises evenly from the cold share to the whole.
    let ramp = |t: f64| (d.cold_from + (1.0 - d.cold_from) * t / cold.max(1e-9)).min(1.0);
    let mut broken = Vec::new();
    for (i, born) in events.iter().enumerate() {
        let What::Born { worker } = &born.what else { continue };
        let Some(number) = worker.strip_prefix('w').and_then(|n| n.parse::<usize>().ok()) else { continue };
        let kind = d.kind(number);
        let rate = kind.slots.min(kind.cores) as f64 * kind.speed / mean;
        let mine = events[i..].iter().take_while(|e| e.what != What::Died { worker: worker.clone() });
        let sent: Vec<f64> = mine
            .filter(|e| matches!(&e.what, What::Received { worker: to, .. } if to == worker))
            .map(|e| (e.at - born.at).as_secs_f64())
            .collect();
        for (n, begun) in sent.iter().enumerate().take_while(|(_, at)| **at < cold) {
            let count = sent[n..].iter().take_while(|at| **at <= begun + tip).count() as f64;
            // A hundred steps of the window are near enough to the integral.
            let bears: f64 = (0..100).map(|s| ramp(begun + tip * (f64::from(s) + 0.5) / 100.0) / 100.0).sum();
            let most = d.tip_multiple * rate * tip * bears;
            if count > most + 2.0 * most.sqrt() + 2.0 {
                let what = format!(
                    "{worker} got {count} in {tip} s, {begun:.1} s after its start, and bears {most:.0}"
                );
                broken.push(Broken { rule: Rule::Cold, what });
                break;
            }
        }
    }
    broken
}
