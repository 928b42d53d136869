//! Policies to compare with, in the laboratory only. Each is a scheduler of the plainest kind round
//! one rule of choice: it sends
//! a job to the worker that the rule names, tries another where the class allows it and time is
//! left, and answers at once when
//! nothing is left to try. It knows what the list tells and what comes back to it, no more; except
//! [`PolicyName::Ideal`].
use crate::Nanos;
use crate::spec::PolicyName;
use crate::streams::{Concern, Stream};
use rustc_hash::FxHashMap;
use spanlead_balancing_policy::{
    DeduplicationScope, EndpointUpdate, Idempotency, Outcome, RequestId, WorkerState,
};
use spanlead_engine::{
    Answer, AttemptId, DispatchResult, Effect, Input, JobUpdate, WorkerEndpoint, WorkerNotice,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a worker that was full, or failed, is left alone.
const AVOID: Nanos = 300_000_000;
/// The most attempts for one request.
const ATTEMPTS: usize = 6;
/// Workers of a subset.
const APERTURE: usize = 12;
/// Where the ideal's jobs go: the world knows.
pub(crate) const ANYWHERE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

struct Known {
    host: WorkerEndpoint,
    own: f64,
    avoid: Nanos,
}

struct Tried {
    worker: u32,
    sent: Nanos,
    out: bool,
    may_have_run: bool,
}

struct Open {
    id: Arc<str>,
    class: u32,
    due: Nanos,
    tries: Vec<Tried>,
}

/// A rival.
pub struct Rival {
    rule: PolicyName,
    rng: Stream,
    me: usize,
    effects: Vec<Idempotency>,
    workers: Vec<Known>,
    by_name: FxHashMap<Arc<str>, u32>,
    ready: Vec<u32>,
    open: FxHashMap<RequestId, Open>,
    by_id: FxHashMap<Arc<str>, RequestId>,
    dues: BinaryHeap<Reverse<(Nanos, RequestId)>>,
    turn: usize,
    remembered: Option<u32>,
    idle: BTreeMap<u32, ()>,
    discovery: SocketAddr,
    asked: bool,
}

impl Rival {
    /// The `me`-th scheduler under a rule, for classes of these effects.
    pub fn new(rule: PolicyName, me: usize, effects: Vec<Idempotency>, rng: Stream) -> Self {
        Rival {
            rule,
            rng,
            me,
            effects,
            workers: Vec::new(),
            by_name: FxHashMap::default(),
            ready: Vec::new(),
            open: FxHashMap::default(),
            by_id: FxHashMap::default(),
            dues: BinaryHeap::new(),
            turn: me,
            remembered: None,
            idle: BTreeMap::new(),
            discovery: ([127, 0, 0, 1], 9).into(),
            asked: false,
        }
    }

    /// When it wants to be ticked.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.dues.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes an input.
    pub fn step(&mut self, now: Nanos, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::RequestReceived { request_id, job, .. } => {
                self.by_id.insert(job.id.clone(), request_id);
                self.dues.push(Reverse((job.deadline, request_id)));
                self.open.insert(
                    request_id,
                    Open { id: job.id, class: job.class, due: job.deadline, tries: Vec::new() },
                );
                self.next_try(now, request_id, out);
            }
            Input::ClientDisconnected { request_id } => self.close(request_id, None, out),
            Input::DispatchFinished { attempt, result: DispatchResult::Ended(outcome, _) } => {
                self.over(now, attempt, outcome, out);
            }
            Input::WorkerNotice(WorkerNotice { job_id: id, worker: from, update: news, .. }) => {
                let Some(&request_id) = self.by_id.get(id.as_str()) else { return };
                let Some(&worker) = self.by_name.get(from.as_str()) else { return };
                let tries = self.open.get(&request_id).map(|o| &o.tries);
                let Some(number) = tries.and_then(|t| t.iter().rposition(|t| t.out && t.worker == worker))
                else {
                    return;
                };
                let attempt = AttemptId { request: request_id, number: number as u32 };
                match news {
                    JobUpdate::Done(result) => {
                        self.release(attempt, true);
                        if self.workers[worker as usize].own <= 0.0 {
                            self.idle.insert(worker, ());
                        }
                        self.close(request_id, Some(Answer::Succeeded(result)), out);
                    }
                    JobUpdate::Failed => self.over(now, attempt, Outcome::Error, out),
                    JobUpdate::Returned => self.over(now, attempt, Outcome::Rejected, out),
                    JobUpdate::Lost => self.over(now, attempt, Outcome::Reset, out),
                    JobUpdate::Started | JobUpdate::Running(_) => {}
                }
            }
            Input::EndpointList { scope, hosts, .. } => self.list(scope, hosts),
            Input::Tick => {
                if !self.asked {
                    self.asked = true;
                    out.push(Effect::WatchEndpoints { addr: self.discovery, version: 0 });
                }
                while let Some(Reverse((at, request_id))) =
                    self.dues.peek().copied().filter(|Reverse((at, _))| *at <= now)
                {
                    let _ = at;
                    self.dues.pop();
                    self.close(request_id, Some(Answer::Failed), out);
                }
            }
            _ => {}
        }
    }

    fn list(&mut self, scope: EndpointUpdate, hosts: Vec<WorkerEndpoint>) {
        if scope == EndpointUpdate::Unavailable {
            self.asked = false;
            return;
        }
        if matches!(scope, EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot) {
            self.workers.iter_mut().for_each(|w| w.host.state = WorkerState::Removed);
        }
        for host in hosts {
            if let Some(&known) = self.by_name.get(&host.name) {
                self.workers[known as usize].host = host;
            } else {
                self.by_name.insert(host.name.clone(), self.workers.len() as u32);
                self.workers.push(Known { host, own: 0.0, avoid: 0 });
            }
        }
        let ready = |(_, w): &(usize, &Known)| w.host.state == WorkerState::Ready;
        self.ready = self.workers.iter().enumerate().filter(ready).map(|(i, _)| i as u32).collect();
    }

    fn allowed(&self, open: &Open, worker: u32, now: Nanos) -> bool {
        let known = &self.workers[worker as usize];
        if open.tries.iter().any(|t| t.worker == worker) {
            return false;
        }
        let mut exposed = open.tries.iter().filter(|t| t.may_have_run);
        match self.effects[open.class as usize] {
            Idempotency::Idempotent => true,
            Idempotency::AtMostOnce => exposed.next().is_none(),
            Idempotency::Deduplicated { scope, window } => exposed.all(|t| {
                let first = &self.workers[t.worker as usize].host;
                let same = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == known.host.zone,
                    DeduplicationScope::Cell => first.cell == known.host.cell,
                };
                same && now < t.sent + window
            }),
        }
    }

    /// The worker that the rule names among those that it looks at.
    fn choose(&mut self, now: Nanos, request_id: RequestId) -> Option<u32> {
        let n = self.ready.len();
        if n == 0 {
            return None;
        }
        let mut rng = std::mem::replace(&mut self.rng, Stream::new(0, Concern::Rivals));
        let (mut turn, mut remembered) = (self.turn, self.remembered);
        let open = self.open.get(&request_id)?;
        let own = |w: u32| self.workers[w as usize].own;
        let usable = |w: u32| self.workers[w as usize].avoid <= now && self.allowed(open, w, now);
        let drawn = |rng: &mut Stream, k: usize| -> Vec<u32> {
            let mut all = Vec::new();
            for _ in 0..4 * k {
                let w = self.ready[rng.below(n)];
                if usable(w) && !all.contains(&w) {
                    all.push(w);
                }
                if all.len() == k {
                    break;
                }
            }
            all
        };
        let fewest = |all: &mut dyn Iterator<Item = u32>| -> Option<u32> {
            all.min_by(|a, b| own(*a).total_cmp(&own(*b)))
        };
        let chosen = match self.rule {
            PolicyName::Random => drawn(&mut rng, 1).first().copied(),
            PolicyName::RoundRobin => {
                let found = (0..n).map(|k| self.ready[(turn + k) % n]).find(|w| usable(*w));
                turn = (turn + 1) % n.max(1);
                found
            }
            PolicyName::LeastOwn => {
                let from = rng.below(n);
                fewest(&mut (0..n).map(|k| self.ready[(from + k) % n]).filter(|w| usable(*w)))
            }
            PolicyName::WeightedLeast => {
                let from = rng.below(n);
                let cost =
                    |w: u32| (own(w) + 1.0) / self.workers[w as usize].host.weight.unwrap_or(1.0).max(1e-6);
                let all = (0..n).map(|k| self.ready[(from + k) % n]).filter(|w| usable(*w));
                all.min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
            }
            PolicyName::TwoChoices => fewest(&mut drawn(&mut rng, 2).into_iter()),
            PolicyName::Memory => {
                let kept = remembered.filter(|w| self.ready.binary_search(w).is_ok() && usable(*w));
                let best = fewest(&mut drawn(&mut rng, 2).into_iter().chain(kept));
                remembered = best;
                best
            }
            PolicyName::IdleQueue => {
                let idle =
                    self.idle.keys().copied().find(|w| self.ready.binary_search(w).is_ok() && usable(*w));
                idle.or_else(|| drawn(&mut rng, 1).first().copied())
            }
            PolicyName::Aperture => {
                let width = APERTURE.min(n);
                let from = self.me * width;
                let subset = (0..width).map(|k| self.ready[(from + k) % n]).filter(|w| usable(*w));
                fewest(&mut subset.into_iter()).or_else(|| drawn(&mut rng, 1).first().copied())
            }
            PolicyName::Ideal | PolicyName::Walkers => self.ready.first().copied(),
        };
        (self.rng, self.turn, self.remembered) = (rng, turn, remembered);
        if let Some(w) = chosen {
            self.idle.remove(&w);
        }
        chosen
    }

    fn next_try(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&request_id) else { return };
        let (due, tries) = (open.due, open.tries.len());
        let ran = open.tries.iter().any(|t| t.may_have_run);
        let chosen = if tries < ATTEMPTS && now < due { self.choose(now, request_id) } else { None };
        let Some(worker) = chosen else {
            let answer = if ran { Answer::Failed } else { Answer::Rejected { retry_after: Some(AVOID) } };
            return self.close(request_id, Some(answer), out);
        };
        let addr = match self.rule {
            PolicyName::Ideal => ANYWHERE,
            _ => self.workers[worker as usize].host.addr,
        };
        self.workers[worker as usize].own += 1.0;
        let attempt = AttemptId { request: request_id, number: tries as u32 };
        if let Some(open) = self.open.get_mut(&request_id) {
            open.tries.push(Tried { worker, sent: now, out: true, may_have_run: true });
        }
        out.push(Effect::SendAttempt { attempt, addr, until: due, lease: None, encoded_request: None });
    }

    /// For the ideal: the world has chosen.
    pub fn sent_to(&mut self, attempt: AttemptId, name: &str) {
        let Some(&worker) = self.by_name.get(name) else { return };
        let Some(this) =
            self.open.get_mut(&attempt.request).and_then(|o| o.tries.get_mut(attempt.number as usize))
        else {
            return;
        };
        self.workers[this.worker as usize].own -= 1.0;
        this.worker = worker;
        self.workers[worker as usize].own += 1.0;
    }

    fn release(&mut self, AttemptId { request: request_id, number }: AttemptId, ran: bool) {
        let Some(this) = self.open.get_mut(&request_id).and_then(|o| o.tries.get_mut(number as usize)) else {
            return;
        };
        if std::mem::take(&mut this.out) {
            this.may_have_run = ran;
            self.workers[this.worker as usize].own -= 1.0;
        }
    }

    fn over(&mut self, now: Nanos, attempt: AttemptId, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&attempt.request) else { return };
        let Some(this) = open.tries.get(attempt.number as usize).filter(|t| t.out) else { return };
        let worker = this.worker;
        self.release(attempt, !outcome.never_ran());
        self.workers[worker as usize].avoid = now + AVOID;
        self.next_try(now, attempt.request, out);
    }

    fn close(&mut self, request_id: RequestId, answer: Option<Answer>, out: &mut Vec<Effect>) {
        let Some(open) = self.open.remove(&request_id) else { return };
        self.by_id.remove(&open.id);
        for (number, this) in open.tries.iter().enumerate().filter(|(_, t)| t.out) {
            let known = &mut self.workers[this.worker as usize];
            known.own -= 1.0;
            let attempt = AttemptId { request: request_id, number: number as u32 };
            out.push(Effect::CancelAttempt {
                attempt,
                addr: known.host.addr,
                job_id: open.id.clone(),
                accepted: true,
                until: open.due,
            });
        }
        out.extend(answer.map(|answer| Effect::Answer { request_id, answer, job: None }));
    }
}
