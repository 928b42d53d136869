//! Where a job goes: walkers, and the one with the fewest own slots in flight.
use super::*;

impl Dispatcher {
    /// Takes a request, perhaps one that another process of this dispatcher has begun.
    pub(super) fn request(&mut self, now: Nanos, req: Request, tried: &[Tried], out: &mut Vec<Action>) {
        self.serial += 1;
        let serial = self.serial;
        self.ids.insert(req.id, serial);
        let class = req.class as usize;
        let longest = self.classes[class].longest.max(req.left);
        self.classes[class].longest = longest.min(self.set.classes[class].deadline);
        self.limiter.arrived(self.lot(&req));
        self.retry_tokens = (self.retry_tokens + 0.3).min(10.0);
        let mut tries = Vec::new();
        for t in tried {
            let Some(&worker) = self.index.get(&t.worker.0) else { continue };
            let fate =
                t.may_have_run.map_or(Fate::Out, |ran| if ran { Fate::MayHaveRan } else { Fate::NeverRan });
            if fate == Fate::Out {
                self.workers[worker as usize].add_own(now, req.slots, self.report_age);
            }
            let (sent, heard) = (t.sent, Some(now));
            tries.push(Try { worker, sent, fate, started: true, heard, fetches: false, top: false });
        }
        let out_there = tries.iter().any(|t| t.fate == Fate::Out);
        self.jobs.insert(
            serial,
            Job {
                arrived: now,
                due: now + req.left,
                attempts: self.set.limits.attempts as usize,
                phase: if out_there { Phase::Sent } else { Phase::Held },
                streaming: false,
                tries,
                candidates: Vec::new(),
                round_at: now,
                rounds: 0,
                settling: false,
                req,
            },
        );
        if !out_there {
            self.decide(now, serial, out);
        }
    }

    /// A round for a job in hand: draw candidates, then send at once or hold it for their probes.
    pub(super) fn decide(&mut self, now: Nanos, serial: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&serial) else { return };
        let class = &self.set.classes[job.req.class as usize];
        let spent = now >= job.last(&self.set) || job.tries.len() >= job.attempts;
        if spent || self.too_large(&job.req, class.kind) {
            return self.give_up(serial, out);
        }
        let graph = self.graphs.iter().position(|g| g.kind == class.kind).unwrap_or(0);
        let drawn = self.draw(now, serial, graph);
        for w in &drawn {
            // Walkers stand anywhere, so what is known of their places is a fair sample of the fleet.
            let worker = &self.workers[*w as usize];
            let known = worker.report.free_slots.filter(|_| self.lately(worker, now));
            if let Some(free) = known.filter(|_| !self.warm.contains(w)) {
                self.limiter.observe(free >= 0.5, ROOM_TARGET);
            }
        }
        let Some(job) = self.jobs.get(&serial) else { return };
        if job.rounds == 0 && job.tries.is_empty() && unit(&mut self.rng) > self.taken(&job.req) {
            return self.give_up(serial, out);
        }
        if drawn.is_empty() {
            return self.hold(now, serial, 50 * MS, out);
        }
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        job.candidates.extend(drawn.iter().filter(|w| !job.candidates.contains(w)).collect::<Vec<_>>());
        let spend = PROBE_SPEND / self.set.prices.probe.max(1e-9);
        let blind = !self.set.limits.probes || self.set.reports == ReportVia::None;
        if blind || spend < 2.0 {
            if !self.bind(now, serial, Heard::Ever, out) {
                self.wait_round(now, serial, out);
            }
            return;
        }
        if self.bind(now, serial, Heard::Lately, out) {
            return;
        }
        // Those not heard of just now, in the order of its choice: probing the ones heard of last would
        // ask busy workers again and again, while a free slot elsewhere stays unknown.
        let rank = |w: &u32| {
            let worker = &self.workers[*w as usize];
            (self.lately(worker, now), worker.own, self.cost(worker, now))
        };
        let mut asked = drawn;
        asked.sort_by(|a, b| rank(a).partial_cmp(&rank(b)).unwrap_or(std::cmp::Ordering::Equal));
        for w in asked.into_iter().take(spend as usize) {
            let worker = &mut self.workers[w as usize];
            if worker.probe_out.is_none() {
                worker.probe_out = Some(now);
                out.push(Action::Probe { worker: worker.id.clone() });
            }
        }
        self.wait_round(now, serial, out);
    }

    /// Whether a job needs more memory than any worker has been seen with since it started, all having been
    /// heard of: it would be held in vain, and its sends would make one worker after the other look full.
    fn too_large(&self, req: &Request, kind: Option<u32>) -> bool {
        let fits = |w: &Worker| w.most_memory.is_none_or(|most| req.memory <= most);
        let eligible = |w: &&Worker| w.state == WorkerState::Ready && kind.is_none_or(|k| k == w.kind);
        let mut ready = self.workers.iter().filter(eligible).peekable();
        req.memory > 0.0 && ready.peek().is_some() && !ready.any(fits)
    }

    pub(super) fn wait_round(&mut self, now: Nanos, serial: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        job.round_at = now;
        let wait = (40 * MS) << job.rounds.min(4);
        job.rounds += 1;
        self.hold(now, serial, wait, out);
    }

    /// Positions of the walkers, each stepped on past ineligible workers; then every walker steps on.
    pub(super) fn draw(&mut self, now: Nanos, serial: u64, graph: usize) -> Vec<u32> {
        let mut drawn = Vec::with_capacity(WALKERS);
        let panic = self.panic();
        if now >= self.counted_at + COUNT_EVERY {
            let ready = self.workers.iter().filter(|w| w.state == WorkerState::Ready);
            let warm: f64 = ready.filter(|w| w.ramp(&self.set.rules, now) >= 1.0).map(|w| w.weight).sum();
            self.own_share = if warm > 0.0 { self.serve_rate.at(now) / warm } else { self.own_share };
            let seen = self.workers.iter().filter(|w| w.state == WorkerState::Ready && w.most_slots > 0.0);
            let (heard, slots) = seen.fold((0.0, 0.0), |(n, sum), w| (n + 1.0, sum + w.most_slots));
            // Those that just started were not heard of yet.
            self.slots = if heard > 0.0 { slots / heard } else { self.slots };
            self.counted_at = now;
        }
        let Some(job) = self.jobs.get(&serial) else { return drawn };
        let graph = &mut self.graphs[graph];
        let n = graph.len();
        if n == 0 {
            return drawn;
        }
        let window_s = self.set.rules.tip_after as f64 / SEC as f64;
        let mean_weight = self.weight_sum / n as f64;
        // What a warm worker does in a window, as far as that is known: by its slots. Where they are untold,
        // what it would if all had the traffic of this one; with one slot while there was no warm one.
        let instances = f64::from(self.set.instances);
        let by_slots = self.slots.max(1.0) * SEC as f64 / self.mean_run.max(1.0) / mean_weight.max(1e-3);
        let told = self.slots > 0.0 || self.own_share == 0.0;
        let mut scene = Scene {
            share: window_s * if told { by_slots } else { self.own_share * instances },
            part: 1.0 / instances,
            looks: &mut self.looks,
            mean_weight,
            set: &self.set,
            workers: &mut self.workers,
            rng: &mut self.rng,
            now,
            panic,
        };
        if let Some(key) = job.req.key {
            // Workers keep what a key needs. Walkers start again at the key's home and their steps follow
            // from the key, so all dispatchers look for it in the same few places; later rounds walk
            // further.
            let home = xxh3_64_with_seed(&key.to_le_bytes(), CYCLES as u64);
            let p = graph.cycles[0].partition_point(|(h, _)| *h < home) % n;
            let mut walker = Walker { at: graph.cycles[0][p].1, from: u32::MAX };
            let mut steps = Pcg64Mcg::seed_from_u64(home);
            let want = KEY_PLACES + job.rounds as usize;
            for _ in 0..want * HOPS {
                let near = scene.workers[walker.at as usize].zone == scene.set.zone;
                let crosses = near || job.rounds > 0 || scene.set.prices.cross_zone == 0.0;
                if crosses && !drawn.contains(&walker.at) && scene.eligible(job, walker.at) {
                    drawn.push(walker.at);
                }
                if drawn.len() >= want.min(n) {
                    break;
                }
                walker = graph.step(scene.workers, walker, &mut steps);
            }
            if !drawn.is_empty() {
                return drawn;
            }
        }
        // The chance that a worker is looked at in a window, walkers standing anywhere: its share of the
        // windows that nobody looks in would be lost, and with few requests to a scheduler those are nearly
        // all. A key's own places are looked at far oftener, so there the share is not raised.
        // Guards the sum after a rest: what is looked at for this job counts as looked at, else the part of
        // one that has rested is raised without bound, and a crowd of jobs at all takes all these parts.
        let looks = scene.looks.at(now).max((WALKERS + WARM) as f64 / Rate::SPAN_S);
        scene.part /= 1.0 - (-looks * window_s / n as f64).exp();
        // The workers heard of last stand beside the walkers' places: a slot just came back there and a
        // connection is open. This is the memory that the paper names among the variants of its scheme.
        for &w in self.warm.iter().rev() {
            let worker = &scene.workers[w as usize];
            let open = worker.connected(&scene.set.limits, now);
            if open && drawn.len() < WARM && graph.holds(scene.workers, w) && scene.eligible(job, w) {
                drawn.push(w);
            }
        }
        graph.start_walkers(WALKERS, scene.rng);
        let mut walkers = std::mem::take(&mut graph.walkers);
        for walker in &mut walkers {
            for _ in 0..=HOPS {
                if !drawn.contains(&walker.at) && scene.eligible(job, walker.at) {
                    drawn.push(walker.at);
                    break;
                }
                *walker = graph.step(scene.workers, *walker, scene.rng);
            }
        }
        for walker in &mut walkers {
            *walker = graph.step(scene.workers, *walker, scene.rng);
        }
        graph.walkers = walkers;
        if drawn.is_empty() {
            // No walker stands well: an eligible worker is drawn at random.
            let from = below(scene.rng, n);
            let ring = &graph.cycles[0];
            drawn.extend((0..n).map(|k| ring[(from + k) % n].1).find(|&w| scene.eligible(job, w)));
        }
        drawn
    }

    pub(super) fn panic(&self) -> bool {
        self.ejected * 2 > self.graphs[0].len()
    }

    pub(super) fn hold(&mut self, now: Nanos, serial: u64, wait: Nanos, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        job.phase = Phase::Held;
        if !self.held.contains(&serial) {
            self.held.push(serial);
        }
        let after = wait.min(job.last(&self.set).saturating_sub(now));
        out.push(Action::Timer { after, token: serial << 2 | Alarm::Round as u64 });
    }

    /// Sends a job to the candidate with the fewest own slots in flight. With `heard`, only candidates
    /// whose probe came back in this round with room count.
    pub(super) fn bind(&mut self, now: Nanos, serial: u64, heard: Heard, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&serial) else { return false };
        let mut best: Option<(f64, f64, Permit)> = None;
        for &w in &job.candidates {
            let worker = &self.workers[w as usize];
            let probed = worker.probe_ok_at.is_some_and(|t| t >= job.round_at);
            let lately = self.lately(worker, now);
            if heard == Heard::Lately && !lately || heard == Heard::Probed && !(probed || lately) {
                continue;
            }
            if !self.room(worker, job, now) {
                continue;
            }
            if worker.ejected_until > now && !self.panic() {
                continue;
            }
            // Guards a fresh worker: many jobs may have drawn it before the first of them went there.
            if !worker.within_budget(&self.set.rules, now) {
                continue;
            }
            let Some(permit) = job.permit(&self.set, &self.workers, w, now) else { continue };
            let home = job.candidates.first() == Some(&w);
            let fetch = !home && job.req.key.is_some_and(|k| !self.keeps(k, w, now));
            let rank = (worker.own + self.fetch_cost() * f64::from(u8::from(fetch)), self.cost(worker, now));
            if best.as_ref().is_none_or(|b| rank < (b.0, b.1)) {
                best = Some((rank.0, rank.1, permit));
            }
        }
        match best {
            Some((_, _, permit)) => self.send(now, serial, permit, out),
            None => return false,
        }
        true
    }

    pub(super) fn lately(&self, worker: &Worker, now: Nanos) -> bool {
        self.set.reports == ReportVia::Answers && worker.report_at.is_some_and(|t| now < t + FRESH)
    }

    pub(super) fn room(&self, worker: &Worker, job: &Job, now: Nanos) -> bool {
        if worker.report.free_memory.is_some_and(|free| free < job.req.memory) {
            return false;
        }
        let top = self.set.classes[job.req.class as usize].priority == self.top;
        let ahead = if top { worker.waiting_top } else { worker.waiting };
        room(worker, job.req.slots, ahead, now, self.set.tick, self.report_age)
    }

    /// The tie-break: what a send to this worker costs beside its own slots, in shares of a request's worth.
    pub(super) fn cost(&self, worker: &Worker, now: Nanos) -> f64 {
        let prices = &self.set.prices;
        let mut cost = 0.0;
        if worker.zone != self.set.zone {
            cost += ZONE_WEIGHT * prices.cross_zone;
        }
        if !worker.connected(&self.set.limits, now) {
            cost += prices.handshake;
        }
        if let (Some(free), Some(_)) = (worker.report.free_slots, worker.report_at) {
            cost += 0.1 * (2.0 - (free - worker.recent(now, self.report_age)).clamp(-1.0, 2.0));
        }
        cost + 0.2 * worker.slow * worker.samples / (worker.samples + 2.0) + 0.1 / worker.weight.max(0.1)
    }

    pub(super) fn keeps(&self, key: u64, w: u32, now: Nanos) -> bool {
        self.placed.get(&(key, w)).is_some_and(|at| now < at + KEPT)
    }

    /// What fetching a key holds up, in jobs: measured, so keys that cost nothing to move move freely.
    pub(super) fn fetch_cost(&self) -> f64 {
        if self.lag_kept == 0.0 || self.lag_fetched == 0.0 {
            return FETCH_GUESS;
        }
        (self.lag_fetched / self.lag_kept - 1.0).clamp(0.0, 8.0)
    }

    /// The one place that sends.
    pub(super) fn send(&mut self, now: Nanos, serial: u64, permit: Permit, out: &mut Vec<Action>) {
        let key = self.jobs.get(&serial).and_then(|j| j.req.key);
        let fetches = key.is_some_and(|k| !self.keeps(k, permit.0, now));
        if let Some(key) = key {
            if self.placed.len() > MAX_PLACED {
                self.placed.retain(|_, at| now < *at + KEPT);
            }
            self.placed.insert((key, permit.0), now);
        }
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let worker = &mut self.workers[permit.0 as usize];
        let top = self.set.classes[job.req.class as usize].priority == self.top;
        self.held.retain(|s| *s != serial);
        job.phase = Phase::Sent;
        job.settling = false;
        job.tries.push(Try {
            worker: permit.0,
            sent: now,
            fate: Fate::Out,
            started: !self.set.tells_start,
            heard: None,
            fetches,
            top,
        });
        worker.add_own(now, job.req.slots, self.report_age);
        if self.set.tells_start {
            worker.waiting += 1;
            worker.waiting_top += u32::from(top);
        }
        if now > worker.used_at + self.set.limits.conn_idle {
            worker.idle_conns = 0;
        }
        worker.idle_conns = worker.idle_conns.saturating_sub(1);
        worker.used_at = now;
        if worker.ramp(&self.set.rules, now) < 1.0 {
            worker.window_left -= job.req.slots;
        }
        out.push(Action::Send { id: job.req.id, worker: worker.id.clone(), timeout: None });
    }
}

/// Whether a worker seems to have room for `slots` more: by its report, own sends since then counted, or by
/// this dispatcher's own jobs, where workers tell starts: none may still wait there that goes before.
pub(super) fn room(worker: &Worker, slots: f64, ahead: u32, now: Nanos, tick: Nanos, age: f64) -> bool {
    match (worker.report.free_slots, worker.report.backlog) {
        (Some(free), queue) => {
            // Nobody waits there by its report, nor does a job of ours.
            let first = queue.is_some_and(|q| q < 1.0) && worker.waiting == 0;
            free - worker.recent(now, age) >= slots - 0.5 - if first { SHORT } else { 0.0 }
        }
        (None, Some(backlog)) => backlog + worker.recent(now, age) < 1.0,
        (None, None) => ahead == 0 || now < worker.used_at + 3 * tick,
    }
}

/// What the test of a worker's eligibility needs beside the job.
struct Scene<'a> {
    set: &'a Settings,
    workers: &'a mut [Worker],
    rng: &'a mut Pcg64Mcg,
    now: Nanos,
    /// So many are ejected that ejection says nothing any more.
    panic: bool,
    /// Slots that a warm worker of weight 1 has served in a window of the cold budget, 0 while unknown.
    share: f64,
    /// This dispatcher's part of it, one of equal ones, so that all add up whatever each sees of the traffic;
    /// for places of walkers, over the chance that it looks at the worker in that window.
    part: f64,
    /// How often it looks at workers.
    looks: &'a mut Rate,
    mean_weight: f64,
}

impl Scene<'_> {
    fn eligible(&mut self, job: &Job, at: u32) -> bool {
        let now = self.now;
        self.looks.add(now, 1.0);
        let tried = job.tries.iter().any(|t| t.worker == at);
        if tried || job.permit(self.set, self.workers, at, now).is_none() {
            return false;
        }
        let worker = &mut self.workers[at as usize];
        if !self.panic && worker.avoided(now) {
            return false;
        }
        let rules = &self.set.rules;
        if worker.ramp(rules, now) >= 1.0 {
            return true;
        }
        // A fresh worker looks idle to every dispatcher at once, and together they would push it over. Each
        // keeps to its own part of what such a worker can do, and as it warms up of up to half of what the
        // rule lets it bear: of few jobs chance brings twice as many. Where that is under one job a window,
        // by chance. All together have one a window at the least: of a fleet that has just started whole
        // nobody would ever learn how long jobs run. A weight that falls with load would make it look large,
        // so it counts for the mean at most; a job of several slots goes into debt with windows to come.
        if now >= worker.window_end {
            let ramp = worker.ramp(rules, now);
            let bears = 1.0 + (rules.tip_multiple / 2.0 - 1.0).max(0.0) * ramp;
            let fair = self.part * (bears * ramp * self.share * worker.weight.min(self.mean_weight)).max(1.0);
            let granted = fair.floor() + f64::from(u8::from(unit(self.rng) < fair.fract()));
            worker.window_left = worker.window_left.min(0.0) + granted;
            worker.window_end = now + rules.tip_after;
        }
        worker.within_budget(rules, now)
    }
}
