//! What becomes of attempts and probes, and what that says of their workers.
use super::*;

impl Dispatcher {
    pub(super) fn probed(
        &mut self,
        now: Nanos,
        name: &str,
        outcome: Outcome,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        let Some(&w) = self.index.get(name) else { return };
        self.workers[w as usize].probe_out = None;
        self.learn_report(w, now, report);
        if outcome == Outcome::ConnectFailed || outcome == Outcome::Error {
            self.strike(w, now, 2 * SEC);
        }
        if outcome != Outcome::Ok {
            return;
        }
        if let Some(free) = report.and_then(|r| r.free_slots) {
            self.limiter.observe(free >= 0.5, ROOM_TARGET);
        }
        let worker = &mut self.workers[w as usize];
        worker.probe_ok_at = Some(now);
        let mut ready = Vec::new();
        for &serial in &self.held {
            let Some(job) = self.jobs.get_mut(&serial) else { continue };
            if !job.settling
                && job.candidates.contains(&w)
                && room(worker, job.req.slots, 0, now, self.set.tick, self.report_age)
            {
                job.settling = true;
                ready.push(serial);
            }
        }
        for serial in ready {
            // Answers that left together come within a tick of each other: settle on the next one.
            out.push(Action::Timer { after: 0, token: serial << 2 | Alarm::Settle as u64 });
        }
    }

    pub(super) fn learn_report(&mut self, w: u32, now: Nanos, report: Option<Report>) {
        if let Some(report) = report {
            let worker = &mut self.workers[w as usize];
            if report == worker.report {
                worker.repeats += 1;
            } else {
                // Reports that repeat until they change show how long the workers keep one.
                if worker.repeats > 0 {
                    self.report_age += 0.05 * ((now - worker.changed_at) as f64 - self.report_age);
                }
                (worker.repeats, worker.changed_at) = (0, now);
            }
            worker.report = report;
            worker.most_slots = worker.most_slots.max(report.free_slots.unwrap_or(0.0));
            if let Some(free) = report.free_memory {
                worker.most_memory = Some(worker.most_memory.map_or(free, |most| most.max(free)));
            }
            worker.report_at = Some(now);
        }
    }

    pub(super) fn strike(&mut self, w: u32, now: Nanos, base: Nanos) {
        let worker = &mut self.workers[w as usize];
        if now > worker.struck_at + MEMORY {
            worker.strikes = 0;
        }
        worker.strikes = (worker.strikes + 1).min(4);
        worker.struck_at = now;
        let long = base << (worker.strikes - 1);
        self.eject(w, now, long);
    }

    pub(super) fn eject(&mut self, w: u32, now: Nanos, long: Nanos) {
        let worker = &mut self.workers[w as usize];
        worker.ejected_until = worker.ejected_until.max(now + long);
        self.ejected =
            self.workers.iter().filter(|w| w.ejected_until > now && w.state == WorkerState::Ready).count();
    }

    /// News of an attempt: it runs.
    pub(super) fn note(&mut self, now: Nanos, id: RequestId, attempt: usize) {
        let Some(&serial) = self.ids.get(&id) else { return };
        self.started(now, serial, attempt, true);
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let Some(this) = job.tries.get_mut(attempt) else { return };
        this.heard.get_or_insert(now);
    }

    /// An attempt has left its worker's queue, by starting (`ran`) or by ending unstarted.
    pub(super) fn started(&mut self, now: Nanos, serial: u64, attempt: usize, ran: bool) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let Some(attempt) = job.tries.get_mut(attempt).filter(|t| !t.started) else { return };
        attempt.started = true;
        let worker = &mut self.workers[attempt.worker as usize];
        worker.waiting = worker.waiting.saturating_sub(1);
        let class = &self.set.classes[job.req.class as usize];
        worker.waiting_top = worker.waiting_top.saturating_sub(u32::from(attempt.top));
        if ran {
            let (lag, slack) = (now - attempt.sent, class.aim / 2);
            self.limiter.observe(lag < slack, START_TARGET);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        closed: bool,
        lag: Nanos,
        report: Option<Report>,
        out: &mut Vec<Action>,
    ) {
        let Some(&serial) = self.ids.get(&id) else { return };
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let number = attempt;
        let Some(attempt) = job.tries.get_mut(number).filter(|t| t.fate == Fate::Out) else { return };
        attempt.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRan };
        let (w, class, fetches) = (attempt.worker, job.req.class as usize, attempt.fetches);
        let slots = job.req.slots;
        let (keyed, hint, job_heard) = (job.req.key.is_some(), job.req.hint, attempt.heard);
        let worker = &mut self.workers[w as usize];
        worker.add_own(now, -job.req.slots, self.report_age);
        if outcome != Outcome::ConnectFailed && outcome != Outcome::Moot {
            worker.idle_conns += 1;
            worker.used_at = now;
            self.warm.retain(|x| *x != w);
            self.warm.push(w);
            if self.warm.len() > 4 * WARM {
                self.warm.remove(0);
            }
        }
        self.started(now, serial, number, false);
        self.learn_report(w, now, report);
        match outcome {
            Outcome::Ok => {
                // Served, not sent: in a crowd most sends come back full, whatever workers can do.
                self.bold = (self.bold * 1.1).min(1.0);
                self.workers[w as usize].fulls = 0;
                self.workers[w as usize].strikes = 0;
                // Not by fresh ones: what they get goes by this, and would sink with it.
                if self.workers[w as usize].ramp(&self.set.rules, now) >= 1.0 {
                    self.serve_rate.add(now, slots);
                }
                let run = job_heard.filter(|_| self.set.tells_start).map_or(lag, |t| now - t);
                let mean = &mut self.mean_run;
                *mean = if mean.is_finite() { 0.98 * *mean + 0.02 * run as f64 } else { run as f64 };
                let mean = if fetches { &mut self.lag_fetched } else { &mut self.lag_kept };
                if keyed {
                    let first = *mean == 0.0;
                    *mean += (lag as f64 - *mean) * if first { 1.0 } else { 0.02 };
                } else {
                    // Jobs with keys do not count: an evicted key's fetch would pass for slowness.
                    self.learn_lag(w, now, class, run, hint);
                }
            }
            Outcome::Full => {
                // One that turns everything away looks idle by reports and own slots and would win for ever.
                let worker = &mut self.workers[w as usize];
                worker.full_until = now + ((300 * MS) << worker.fulls.min(5));
                worker.fulls += 1;
                self.bold = (self.bold * 0.8).max(0.1);
                (0..FULL_SIGNS).for_each(|_| self.limiter.observe(false, ROOM_TARGET));
            }
            Outcome::ConnectFailed | Outcome::Reset => self.strike(w, now, 2 * SEC),
            Outcome::Error | Outcome::Timeout => self.strike(w, now, 4 * SEC),
            Outcome::Cancelled | Outcome::Moot => {}
        }
        let Some(job) = self.jobs.get(&serial) else { return };
        if closed || job.phase == Phase::Closed {
            return self.close(serial);
        }
        if job.out() || job.phase == Phase::Held {
            return;
        }
        let again = match self.set.classes[class].effect {
            Effect::Unsafe => job.exposed().next().is_none(),
            _ => !job.streaming,
        };
        if again && self.retry_tokens >= 1.0 && outcome != Outcome::Moot {
            self.retry_tokens -= 1.0;
            if let Some(job) = self.jobs.get_mut(&serial) {
                job.candidates.clear();
                job.rounds = 0;
            }
            self.decide(now, serial, out);
        } else {
            self.give_up(serial, out);
        }
    }

    /// A job's running time, against its hint or else its class, tells how slow the worker is beside the
    /// others.
    pub(super) fn learn_lag(&mut self, w: u32, now: Nanos, class: usize, run: Nanos, hint: Option<Nanos>) {
        let worker = &mut self.workers[w as usize];
        let stat = &mut self.classes[class];
        let log = (run.max(1) as f64 / hint.unwrap_or(1).max(1) as f64).ln();
        stat.samples += 1.0;
        let alpha = (1.0 / stat.samples).max(0.02);
        stat.log_lag += alpha * (log - stat.log_lag);
        let off = log - stat.log_lag;
        stat.spread += alpha * (off.abs() - stat.spread);
        worker.samples = (worker.samples + 1.0).min(6.0);
        worker.slow += (off - worker.slow) / worker.samples;
        let sure = worker.slow * worker.samples.sqrt() > 3.0 * stat.spread.max(0.2);
        if sure && worker.slow > SLOW && stat.samples > 30.0 {
            // It answers, but several times slower than the others: a slot there looks free and is not
            // worth it.
            worker.samples = 1.0;
            self.eject(w, now, 5 * SEC);
        }
    }
}
