//! What is taken, for how long it is held, and what is given up.
use super::*;

impl Dispatcher {
    /// What the limiter counts a request under: its class, and whether its answer can only be late.
    pub(super) fn lot(&self, req: &Request) -> usize {
        2 * req.class as usize + usize::from(self.slack(req) == 0)
    }

    /// The part of such new requests that is taken.
    pub(super) fn taken(&self, req: &Request) -> f64 {
        let typical =
            |c: usize| self.classes[c].log_lag.exp() * f64::from(u8::from(self.classes[c].samples > 0.0));
        let work = |lot: usize| typical(lot / 2);
        let worth = |lot: usize| {
            let class = &self.set.classes[lot / 2];
            let earned = class.worth * if lot % 2 == 1 { class.late_share.max(0.01) } else { 1.0 };
            if self.set.worth_by_work { earned } else { earned / work(lot) }
        };
        self.limiter.part(self.lot(req), worth, work)
    }

    /// The final answer when no attempt can serve any more: a refusal while that is harmless, else a failure.
    pub(super) fn give_up(&mut self, serial: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        let id = job.req.id;
        if job.out() {
            job.phase = Phase::Sent;
            return self.held.retain(|s| *s != serial);
        }
        if job.may_refuse(&self.set) {
            let wait = self.set.limits.max_retry_after.min(300 * MS);
            let retry_after = self.set.limits.retry_after.then_some(wait);
            out.push(Action::Refuse { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.close(serial);
    }

    /// Ends a job; it is kept only while attempts are still out, for the count of slots.
    pub(super) fn close(&mut self, serial: u64) {
        let Some(job) = self.jobs.get_mut(&serial) else { return };
        if job.phase == Phase::Held {
            self.held.retain(|s| *s != serial);
        }
        job.phase = Phase::Closed;
        if !job.out() {
            self.ids.remove(&job.req.id);
            self.jobs.remove(&serial);
        }
    }

    /// How long a request may still wait for its start and end in time, at the class's typical running time.
    /// A client's later tries come with what is left of the first one's time, from which the aim counts.
    pub(super) fn slack(&self, req: &Request) -> Nanos {
        let class = &self.set.classes[req.class as usize];
        let typical = self.classes[req.class as usize].log_lag.exp();
        let work = typical * req.hint.map_or(1.0, |h| h as f64);
        let whole = (class.aim as f64 + (class.stretch - 1.0) * work).max(class.aim as f64 / 4.0) as Nanos;
        whole.saturating_sub(self.classes[req.class as usize].longest.saturating_sub(req.left))
    }

    pub(super) fn timer(&mut self, now: Nanos, token: u64, out: &mut Vec<Action>) {
        let serial = token >> 2;
        match token & 3 {
            t if t == Alarm::Discovery as u64 => self.ask(out),
            t if t == Alarm::Settle as u64 => {
                let Some(job) = self.jobs.get_mut(&serial).filter(|j| j.phase == Phase::Held) else { return };
                job.settling = false;
                // Others see the same free slot: turned away often, it takes only some of its chances.
                if unit(&mut self.rng) < self.bold {
                    self.bind(now, serial, Heard::Probed, out);
                }
            }
            _ => {
                let Some(job) = self.jobs.get(&serial).filter(|j| j.phase == Phase::Held) else { return };
                // No walker has found room for as long as the job could wait and still end in time: the
                // fleet is overloaded. Joining a queue now would make this job late and the next ones too.
                let aim = self.set.classes[job.req.class as usize].aim;
                if now >= job.arrived + self.slack(&job.req).max(aim / 4) {
                    return self.give_up(serial, out);
                }
                self.decide(now, serial, out);
            }
        }
    }
}
