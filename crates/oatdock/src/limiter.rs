//! What part of the new requests is taken when the fleet has no room for all, and of which classes.
//!
//! How much is taken in all follows signs of room. Which classes it is made of follows what a second of a
//! worker is worth with each: of the work that can be taken, a class gets its part by the square root of the
//! worth of its work, never more than comes of it. So a class whose jobs are short and dear is taken nearly
//! whole, and the others share what is left. The root, since the worst-served class counts too: by the worth
//! itself the whole day's worth is a little higher and the worst class's lower.
use crate::api::Class;

/// The admitted part moves by this much for a sign of room, against a target share of such signs: of probed
/// workers that report a free slot, and of jobs that start within half of their aim.
const GAIN: f64 = 0.03;
/// It never falls under the floor, and grows by this part with each request: a busy dispatcher that takes
/// little hears little, and must find out that room is back. By the clock, many quiet dispatchers would flood
/// the fleet.
const FLOOR: f64 = 0.05;
const DRIFT: f64 = 0.002;
/// How much of the count of a class's requests is forgotten with each request.
const FORGET: f64 = 0.01;

/// What is taken.
pub(crate) struct Limiter {
    /// The part of the work that comes which is taken.
    admit: f64,
    /// Requests of late, by class.
    seen: Vec<f64>,
}

impl Limiter {
    /// One that takes everything.
    pub fn new() -> Self {
        Limiter { admit: 1.0, seen: Vec::new() }
    }

    /// A request came.
    pub fn arrived(&mut self, class: usize) {
        self.admit = (self.admit * (1.0 + DRIFT)).min(1.0);
        self.seen.iter_mut().for_each(|n| *n *= 1.0 - FORGET);
        if self.seen.len() <= class {
            self.seen.resize(class + 1, 0.0);
        }
        self.seen[class] += 1.0;
    }

    /// Takes one sign of whether the fleet has room and moves the admitted part towards the target share of
    /// such signs. Signs are shares over many workers, so their age matters little.
    pub fn observe(&mut self, room: bool, target: f64) {
        let sign = f64::from(u8::from(room)) - target;
        self.admit = (self.admit * (GAIN * sign).exp()).clamp(FLOOR, 1.0);
    }

    /// The part of a class's requests that is taken. `work` is how long a class's jobs run, 0 where that is
    /// not known; while it is unknown of a class that comes, all are taken alike.
    pub fn part(&self, class: usize, classes: &[Class], work: impl Fn(usize) -> f64) -> f64 {
        let come = |c: &usize| self.seen.get(*c).is_some_and(|n| *n > 1e-3);
        let all: Vec<usize> = (0..classes.len()).filter(come).collect();
        let known = all.iter().all(|c| work(*c) > 0.0 && classes[*c].worth > 0.0);
        if self.admit >= 1.0 || !known || !all.contains(&class) {
            return self.admit;
        }
        let load = |c: usize| self.seen[c] * work(c);
        let worth = |c: usize| (classes[c].worth / work(c)).sqrt();
        let mut left = self.admit * all.iter().map(|c| load(*c)).sum::<f64>();
        let mut open = all;
        // Classes that would get more than comes of them are taken whole, and the others share what is left.
        loop {
            let scale = left / open.iter().map(|c| load(*c) * worth(*c)).sum::<f64>().max(1e-12);
            let (whole, rest): (Vec<usize>, Vec<usize>) =
                open.iter().partition(|c| scale * worth(**c) >= 1.0);
            if whole.contains(&class) {
                return 1.0;
            }
            if whole.is_empty() {
                return scale * worth(class);
            }
            left -= whole.iter().map(|c| load(*c)).sum::<f64>();
            open = rest;
        }
    }
}

#[cfg(test)]
mod tests;
