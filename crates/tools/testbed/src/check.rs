//! Reads a record and says which rules were broken.
use crate::deployment::Deployment;
use crate::fleet::Scope;
use crate::record::{Event, What};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

/// The platform's tolerance for sockets, beside the grace after which nothing new may go to a worker that drains.
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
    /// What must never run twice does not; what is dropped as a repeat is repeated only where that is so.
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

struct Asked {
    scheduler: u32,
    job: u64,
    key: Option<String>,
    due: Duration,
    ends: u32,
    /// No scheduler ran, or it was killed or stopped since.
    excused: bool,
    /// It was stopped meanwhile: nobody could answer in time.
    stopped: bool,
}

/// Reads the record of a load on this deployment. A request that is open when a scheduler is killed is owed nothing; its
/// job still is.
pub fn check(events: &[Event], deployment: &Deployment) -> Vec<Broken> {
    let (classes, grace) = (&deployment.classes, deployment.drain_grace);
    let mut broken = check_cold(events, deployment);
    let mut bad = |rule, what: String| broken.push(Broken { rule, what });
    let scope: HashMap<&str, Scope> = classes.iter().map(|c| (c.name.as_str(), c.scope)).collect();
    let mut asked: HashMap<&str, Asked> = HashMap::new();
    let mut settled: BTreeMap<u64, bool> = BTreeMap::new();
    let mut began: HashMap<(&str, &str), Vec<(&str, &str)>> = HashMap::new();
    let mut ran: HashMap<(&str, &str), u32> = HashMap::new();
    let mut out: HashMap<&str, &str> = HashMap::new();
    let mut draining: HashMap<(u32, &str), Duration> = HashMap::new();
    let mut listed: HashSet<(u32, &str)> = HashSet::new();
    let mut down: HashSet<u32> = HashSet::new();
    let mut stopped: HashSet<u32> = HashSet::new();
    for Event { at, what } in events {
        match what {
            What::Asked { scheduler, request, job, key, due, .. } => {
                let (scheduler, job, key, excused) =
                    (*scheduler, *job, key.clone(), down.contains(scheduler));
                asked.insert(
                    request,
                    Asked {
                        scheduler,
                        job,
                        key,
                        due: *due,
                        ends: 0,
                        excused,
                        stopped: stopped.contains(&scheduler),
                    },
                );
            }
            What::Answered { request, status, body } => {
                let Some(a) = asked.get_mut(request.as_str()) else {
                    bad(Rule::OneAnswer, format!("{request} was answered and never asked"));
                    continue;
                };
                a.ends += 1;
                if a.ends > 1 {
                    bad(Rule::OneAnswer, format!("{request} was answered {} times", a.ends));
                }
                if *at > a.due + Duration::from_millis(50) && !a.excused {
                    bad(Rule::OneAnswer, format!("{request} was answered {:?} late", *at - a.due));
                }
                let mine = match &a.key {
                    Some(key) => body.split(' ').next() == Some(key),
                    None => body.contains(&format!("-{} by ", a.job)),
                };
                if *status == 200 && !mine {
                    bad(Rule::OwnResult, format!("{request} of job {} was answered `{body}`", a.job));
                }
            }
            What::Broke { request } if asked.get(request.as_str()).is_none_or(|a| !a.excused) => {
                bad(Rule::OneAnswer, format!("{request} lost its connection to a running scheduler"));
            }
            What::Impatient { request } if asked.get(request.as_str()).is_none_or(|a| !a.excused) => {
                bad(Rule::OneAnswer, format!("{request} had no answer in time"));
            }
            What::Settled { job, answered } => {
                settled.entry(*job).and_modify(|a| *a &= answered).or_insert(*answered);
            }
            What::Received { scheduler, request, worker, .. } => {
                let way = (*scheduler, worker.as_str());
                if !listed.contains(&way) {
                    bad(Rule::Listed, format!("{request} went to {worker}, which no list has named"));
                }
                if let Some(other) = out.insert(request, worker) {
                    bad(Rule::OneAttempt, format!("{request} went to {worker} while {other} had it"));
                }
                if let Some(told) = draining.get(&way).filter(|told| *at > **told + grace + SLACK) {
                    bad(Rule::Drain, format!("{request} went to {worker} {:?} after its drain", *at - *told));
                }
            }
            What::Over { request, worker, .. } if out.get(request.as_str()) == Some(&worker.as_str()) => {
                out.remove(request.as_str());
            }
            What::Began { request, key: Some(key), class, group, .. } => {
                began.entry((class, key)).or_default().push((group, request));
            }
            What::Ran { key: Some(key), class, .. } => *ran.entry((class, key)).or_default() += 1,
            What::Told { scheduler, worker } => {
                listed.insert((*scheduler, worker));
                draining.entry((*scheduler, worker)).or_insert(*at);
            }
            What::Lives { scheduler, worker } => {
                listed.insert((*scheduler, worker));
                draining.remove(&(*scheduler, worker.as_str()));
            }
            // One that stands still owes nothing while it does, nor does one that is told to end owe what comes later.
            What::Killed { scheduler }
            | What::Paused { scheduler, on: true }
            | What::Ending { scheduler } => {
                down.insert(*scheduler);
                let open = |a: &&mut Asked| a.scheduler == *scheduler && a.ends == 0;
                if !matches!(what, What::Ending { .. }) {
                    asked.values_mut().filter(open).for_each(|a| a.excused = true);
                }
                if matches!(what, What::Paused { .. }) {
                    stopped.insert(*scheduler);
                    let open = |a: &&mut Asked| a.scheduler == *scheduler && a.ends == 0;
                    asked.values_mut().filter(open).for_each(|a| a.stopped = true);
                }
                if matches!(what, What::Killed { .. }) {
                    // What a process was told, the next one has not heard.
                    draining.retain(|(of, _), _| of != scheduler);
                }
            }
            What::Serving { scheduler } | What::Paused { scheduler, on: false } => {
                down.remove(scheduler);
                stopped.remove(scheduler);
                if matches!(what, What::Paused { .. }) {
                    // What came while it stood still it could not hear before it went on.
                    draining
                        .iter_mut()
                        .filter(|((of, _), _)| of == scheduler)
                        .for_each(|(_, told)| *told = *at);
                }
            }
            _ => {}
        }
    }
    let stopped: HashSet<u64> = asked.values().filter(|a| a.stopped).map(|a| a.job).collect();
    for (job, _) in settled.iter().filter(|(job, answered)| !**answered && !stopped.contains(job)) {
        bad(Rule::Settled, format!("job {job} had no final answer"));
    }
    for ((class, key), runs) in began {
        let groups: HashSet<&str> = runs.iter().map(|(group, _)| *group).collect();
        match scope.get(class) {
            Some(Scope::Never) if runs.len() > 1 => {
                bad(Rule::OneRun, format!("{class} {key} began {runs:?}"))
            }
            Some(Scope::Cell | Scope::Zone | Scope::All) if groups.len() > 1 => {
                bad(Rule::OneRun, format!("{class} {key} began where no one drops its repeats: {runs:?}"));
            }
            _ => {}
        }
    }
    for ((class, key), times) in ran {
        if times > 1 && scope.get(class) != Some(&Scope::Safe) {
            bad(Rule::OneRun, format!("{class} {key} ran {times} times"));
        }
    }
    broken
}

/// Whether workers that had just started were sent more, by all schedulers together, than the deployment's rule lets them bear: within
/// `tip` more than `tip_multiple` times the jobs of mean length that they do at their capacity of then, N, and for chance twice
/// the root of N and two jobs.
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
