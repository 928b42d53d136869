//! What part of the new requests is taken when the fleet has no room for all, and of which classes.
//!
//! How much is taken in all follows signs of room. Which lots it is made of (a lot: the requests of a class
//! that can still be in time, or those that can't) follows what a second of a worker is worth with each: of
//! the work that can be taken, a lot gets its part by the square root of the worth of its work, never more
//! than comes of it. So one whose jobs are short and dear is taken nearly whole, and the others share what
//! is left. The root, since the worst-served class counts too: by the worth itself the whole day's worth is
//! a little higher and the worst class's lower.
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
pub struct Limiter {
    /// The part of the work that comes which is taken.
    admit: f64,
    /// Requests of late, by lot.
    seen: Vec<f64>,
}

impl Default for Limiter {
    /// One that takes everything.
    fn default() -> Self {
        Limiter { admit: 1.0, seen: Vec::new() }
    }
}

impl Limiter {
    /// A request came.
    pub fn arrived(&mut self, lot: usize) {
        self.admit = (self.admit * (1.0 + DRIFT)).min(1.0);
        self.seen.iter_mut().for_each(|n| *n *= 1.0 - FORGET);
        if self.seen.len() <= lot {
            self.seen.resize(lot + 1, 0.0);
        }
        self.seen[lot] += 1.0;
    }

    /// Takes one sign of whether the fleet has room and moves the admitted part towards the target share of
    /// such signs. Signs are shares over many workers, so their age matters little.
    pub fn observe(&mut self, room: bool, target: f64) {
        let sign = f64::from(u8::from(room)) - target;
        self.admit = (self.admit * (GAIN * sign).exp()).clamp(FLOOR, 1.0);
    }

    /// The part of a lot's requests that is taken. `worth` is that of a second of a worker with each lot,
    /// `work` how long its jobs run, 0 where that is not known; while it is unknown of a lot that comes, all
    /// are taken alike.
    pub fn part(&self, lot: usize, worth: impl Fn(usize) -> f64, work: impl Fn(usize) -> f64) -> f64 {
        let all: Vec<usize> = (0..self.seen.len()).filter(|l| self.seen[*l] > 1e-3).collect();
        let known = all.iter().all(|l| work(*l) > 0.0 && worth(*l) > 0.0);
        if self.admit >= 1.0 || !known || !all.contains(&lot) {
            return self.admit;
        }
        let load = |l: usize| self.seen[l] * work(l);
        let worth = |l: usize| worth(l).sqrt();
        let mut left = self.admit * all.iter().map(|l| load(*l)).sum::<f64>();
        let mut open = all;
        // Lots that would get more than comes of them are taken whole, and the others share what is left.
        loop {
            let scale = left / open.iter().map(|l| load(*l) * worth(*l)).sum::<f64>().max(1e-12);
            let (whole, rest): (Vec<usize>, Vec<usize>) =
                open.iter().partition(|l| scale * worth(**l) >= 1.0);
            if whole.contains(&lot) {
                return 1.0;
            }
            if whole.is_empty() {
                return scale * worth(lot);
            }
            left -= whole.iter().map(|l| load(*l)).sum::<f64>();
            open = rest;
        }
    }
}
