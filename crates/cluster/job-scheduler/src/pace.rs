//! How fast workers are, from how long tasks take there against what was guessed.
//!
//! Guesses are off by a factor that is the same for a queue's tasks, more or less. A worker is judged by what is left
//! when that factor is taken out, and only by queues whose guesses are good enough to tell.

/// The share of a new sample in a queue's mean and spread.
const QUEUE_SHARE: f64 = 0.03;
/// The share of a new sample in a worker's pace.
const WORKER_SHARE: f64 = 0.35;
/// The largest spread of a queue's guesses (of the logarithm) by which workers are judged.
const MAX_SPREAD: f64 = 0.45;
/// Samples of a queue before workers are judged by it.
const MIN_SAMPLES: u32 = 30;
/// How much of a worker's pace is kept each time that progress is looked at.
const KEPT: f64 = 0.98;
/// The logarithm of how many times slower than the others a worker must be to count as slow.
const SLOW: f64 = 0.7;

/// How good a queue's guesses are.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Guesses {
    mean: f64,
    variance: f64,
    samples: u32,
}

impl Guesses {
    /// A task took `took_ms` where `guessed_ms` were guessed: what that says of its worker, if anything.
    pub fn sample(&mut self, took_ms: f64, guessed_ms: f64) -> Option<f64> {
        let ratio = (took_ms.max(1.0) / guessed_ms.max(1.0)).ln();
        let off = ratio - self.mean;
        let share = QUEUE_SHARE.max(1.0 / f64::from(self.samples + 1));
        self.samples = self.samples.saturating_add(1);
        self.mean += share * off.clamp(-2.0, 2.0);
        self.variance += share * (off.clamp(-2.0, 2.0).powi(2) - self.variance);
        (self.samples > MIN_SAMPLES && self.variance.sqrt() < MAX_SPREAD).then_some(off)
    }

    /// How long a task takes on a sound worker, milliseconds.
    pub fn expected_ms(&self, guessed_ms: f64) -> f64 {
        guessed_ms * self.mean.exp()
    }
}

/// How fast a worker is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    log: f64,
}

impl Pace {
    /// Takes what one task says.
    pub fn take(&mut self, off: f64) {
        self.log += WORKER_SHARE * (off.clamp(-1.0, 3.0) - self.log);
    }

    /// Lets time pass: what was seen long ago says less and less.
    pub fn fade(&mut self) {
        self.log *= KEPT;
    }

    /// Whether it is far slower than others.
    pub fn slow(&self) -> bool {
        self.log > SLOW
    }

    /// How many times slower than others it is, 1 for as fast or faster.
    pub fn factor(&self) -> f64 {
        self.log.exp().max(1.0)
    }
}
