//! Random numbers, a stream a concern: drawing more in one does not move the others, so that two
//! policies meet the same
//! arrivals, running times and troubles under one seed.
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

/// What numbers are drawn for.
#[derive(Clone, Copy, Debug)]
#[repr(u64)]
pub enum Concern {
    /// When jobs come, and where.
    Arrivals = 1,
    /// What they are, and how long they run.
    Work,
    /// How long messages take.
    Network,
    /// When clients come again.
    Clients,
    /// Who is hit by troubles.
    Troubles,
    /// What rival policies draw.
    Rivals,
    /// The schedulers' own seeds.
    Seeds,
}

/// A stream.
pub struct Stream(ChaCha8Rng);

impl Stream {
    /// The stream of a concern under a seed.
    pub fn new(seed: u64, concern: Concern) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(concern as u64);
        Stream(rng)
    }

    /// Between 0 and 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        self.0.random_range(0..n.max(1))
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// By the exponential law with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// By the lognormal law with mean 1 and this deviation.
    pub fn lognormal(&mut self, deviation: f64) -> f64 {
        let sigma2 = (1.0 + deviation * deviation).ln();
        // A deviation that is a number over 0 always makes a law.
        LogNormal::new(-sigma2 / 2.0, sigma2.sqrt()).map_or(1.0, |law| law.sample(&mut self.0))
    }

    /// So many of `n`, each once, in no order.
    pub fn some(&mut self, n: usize, count: usize) -> Vec<usize> {
        let mut all: Vec<usize> = (0..n).collect();
        let count = count.min(n);
        for i in 0..count {
            let j = i + self.below(n - i);
            all.swap(i, j);
        }
        all.truncate(count);
        all
    }
}
