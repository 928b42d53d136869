//! A worker: cores that are shared among the jobs that run, slots, a queue in order, a cold start,
//! and the memory of its pod.
use crate::Nanos;
use rustc_hash::FxHashMap;
use spanlead_balancing_policy::LoadReport;
use std::collections::VecDeque;

/// A job at a worker: the try's number, and the work that is left, nanoseconds of a core of speed
/// 1.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The try.
    pub attempt: u64,
    /// Work left.
    pub left: f64,
}

/// How a worker is made.
#[derive(Clone, Copy, Debug)]
pub struct Make {
    /// Its cores, slots and queue.
    pub cores: u32,
    /// See `cores`.
    pub slots: u32,
    /// See `cores`.
    pub queue: u32,
    /// Its speed.
    pub speed: f64,
    /// How long it takes to warm up, and from what part of its capacity.
    pub cold: Nanos,
    /// See `cold`.
    pub cold_from: f64,
    /// What pushes it over.
    pub tip_multiple: f64,
    /// See `tip_multiple`.
    pub tip_after: Nanos,
    /// How old its reports get; `None` where it tells nothing.
    pub report: Option<Nanos>,
}

/// How it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works.
    Up,
    /// Its process is dead: connections are refused.
    Dead,
    /// Nothing is heard of it.
    Silent,
    /// It was pushed over while cold, and stays down.
    Fallen,
}

/// A worker.
pub struct Worker {
    /// How it is made.
    pub make: Make,
    /// How it is.
    pub health: Health,
    /// It takes nothing new.
    pub draining: bool,
    /// When its process started; 0 is long ago.
    pub born: Nanos,
    /// How many times slower it runs.
    pub slow: f64,
    running: Vec<Held>,
    waiting: VecDeque<Held>,
    /// Up to when the running jobs were worked off.
    at: Nanos,
    /// Counts up with each change; older ends don't count.
    pub stamp: u64,
    report: LoadReport,
    reported: Option<Nanos>,
    /// Work sent while cold, and when: the budget's window.
    sent: VecDeque<(Nanos, f64)>,
    /// Core time that it has used, and when it was first used.
    pub busy: f64,
    /// Keyed jobs that it has run: what the pod knows stands with the world.
    pub served: u64,
    /// The part of a window that it was cold and pushed beyond: the highest of sent over bearable.
    pub strain: f64,
    errors: f64,
}

impl Worker {
    /// One that is warm and idle.
    pub fn new(make: Make) -> Self {
        Worker {
            make,
            health: Health::Up,
            draining: false,
            born: 0,
            slow: 1.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            at: 0,
            stamp: 0,
            report: LoadReport::default(),
            reported: None,
            sent: VecDeque::new(),
            busy: 0.0,
            served: 0,
            strain: 0.0,
            errors: 0.0,
        }
    }

    /// The part of its capacity that it has.
    pub fn ramp(&self, now: Nanos) -> f64 {
        if self.born == 0 || self.make.cold == 0 {
            return 1.0;
        }
        let part = now.saturating_sub(self.born) as f64 / self.make.cold as f64;
        (self.make.cold_from + (1.0 - self.make.cold_from) * part).min(1.0)
    }

    /// What it can do in a second, in seconds of a core of speed 1.
    pub fn capacity(&self, now: Nanos) -> f64 {
        f64::from(self.make.cores) * self.make.speed * self.ramp(now) / self.slow
    }

    /// How fast each running job goes on.
    fn rate(&self, now: Nanos) -> f64 {
        let n = self.running.len() as f64;
        let cores = f64::from(self.make.cores);
        self.make.speed * self.ramp(now) / self.slow * (cores / n.max(1.0)).min(1.0)
    }

    /// Jobs that it holds.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Works off what has passed.
    fn settle(&mut self, now: Nanos) {
        let span = now.saturating_sub(self.at) as f64;
        if !self.running.is_empty() && span > 0.0 {
            let done = span * self.rate(self.at);
            self.busy += span * (self.running.len() as f64).min(f64::from(self.make.cores));
            for held in &mut self.running {
                held.left -= done;
            }
        }
        self.at = now;
    }

    /// When the next job ends, as things stand.
    pub fn next_end(&self, now: Nanos) -> Option<Nanos> {
        let least = self.running.iter().map(|h| h.left).min_by(f64::total_cmp)?;
        // While it warms up it gets faster: look again soon.
        let wait = (least.max(0.0) / self.rate(now)).ceil() as Nanos + 1;
        Some(now + if self.ramp(now) < 1.0 { wait.min(50_000_000) } else { wait })
    }

    /// Takes a job. Whether it has begun; an error if it is full.
    pub fn take(&mut self, now: Nanos, attempt: u64, work: f64) -> Result<bool, ()> {
        self.settle(now);
        if self.draining
            || self.waiting.len() >= self.make.queue as usize
                && self.running.len() >= self.make.slots as usize
        {
            return Err(());
        }
        self.stamp += 1;
        let held = Held { attempt, left: work };
        if self.running.len() < self.make.slots as usize {
            self.running.push(held);
            return Ok(true);
        }
        self.waiting.push_back(held);
        Ok(false)
    }

    /// What a probe or a connection costs it, spread over what runs.
    pub fn burden(&mut self, now: Nanos, work: f64) {
        self.settle(now);
        let n = self.running.len().max(1) as f64;
        self.running.iter_mut().for_each(|h| h.left += work / n);
        self.stamp += 1;
    }

    /// Notes work that was sent to it. Whether that pushes it over.
    pub fn sent(&mut self, now: Nanos, work: f64) -> bool {
        if self.ramp(now) >= 1.0 || self.make.tip_after == 0 {
            return false;
        }
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(at, _)| at + self.make.tip_after < now) {
            self.sent.pop_front();
        }
        let sum: f64 = self.sent.iter().map(|(_, w)| w).sum();
        let bearable = self.make.tip_multiple * self.capacity(now) * self.make.tip_after as f64;
        self.strain = self.strain.max(sum / bearable);
        // As the operators count it, with a little slack for chance: one job may be large.
        sum > bearable * 1.2 && self.sent.len() > 3
    }

    /// The jobs that have ended by now, and those that have begun in their place.
    pub fn ended(&mut self, now: Nanos) -> (Vec<Held>, Vec<Held>) {
        self.settle(now);
        let (mut ended, mut begun) = (Vec::new(), Vec::new());
        self.running.retain(|h| {
            let over = h.left <= 1.0;
            ended.extend(over.then_some(*h));
            !over
        });
        while self.running.len() < self.make.slots as usize
            && let Some(next) = self.waiting.pop_front()
        {
            self.running.push(next);
            begun.push(next);
        }
        self.served += ended.len() as u64;
        self.stamp += 1;
        (ended, begun)
    }

    /// A job is called off. Whether it was there; what has begun in its place.
    pub fn call_off(&mut self, now: Nanos, attempt: u64, stops: bool) -> (bool, Vec<Held>) {
        self.settle(now);
        let before = self.held();
        self.waiting.retain(|h| h.attempt != attempt);
        if stops {
            self.running.retain(|h| h.attempt != attempt);
        }
        let there = self.held() < before;
        let (ended, begun) = self.ended(now);
        // What has just ended is told by its own event: put back for it.
        self.served -= ended.len() as u64;
        self.running.extend(ended);
        (there, begun)
    }

    /// Its process ends; the jobs that are lost.
    pub fn die(&mut self, now: Nanos, health: Health) -> Vec<Held> {
        self.settle(now);
        self.health = health;
        self.stamp += 1;
        self.sent.clear();
        self.reported = None;
        self.running.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// A new process starts, cold.
    pub fn start(&mut self, now: Nanos) {
        self.at = now;
        (self.health, self.draining, self.born) = (Health::Up, false, now.max(1));
        self.strain = 0.0;
        self.stamp += 1;
    }

    /// Its speed changes.
    pub fn slow_down(&mut self, now: Nanos, factor: f64) {
        self.settle(now);
        self.slow = factor;
        self.stamp += 1;
    }

    /// Its report, which is made anew only now and then; `None` where it tells nothing.
    pub fn report(&mut self, now: Nanos) -> Option<LoadReport> {
        let every = self.make.report?;
        if self.reported.is_none_or(|at| now >= at + every) {
            self.reported = Some(now);
            let free = f64::from(self.make.slots) - self.held() as f64;
            let busy = self.running.len() as f64 / f64::from(self.make.cores);
            self.report = LoadReport {
                free_slots: Some(free.max(0.0)),
                utilization: Some(busy.min(1.0)),
                errors_per_second: Some(self.errors),
                ..LoadReport::default()
            };
        }
        Some(self.report)
    }
}

/// What the workers of a pod, or zone, remember of keyed jobs.
#[derive(Default)]
pub struct Memory(FxHashMap<u64, (Nanos, bool)>);

impl Memory {
    /// A job begins. Whether its key has run, or runs, here within the window: then it is dropped
    /// as a repeat.
    pub fn begin(&mut self, now: Nanos, key: u64, window: Nanos) -> bool {
        match self.0.get(&key) {
            Some((at, _)) if now < at + window => true,
            _ => {
                self.0.insert(key, (now, false));
                false
            }
        }
    }

    /// It was lost before it ended: it may run again.
    pub fn forget(&mut self, key: u64) {
        self.0.remove(&key);
    }
}
