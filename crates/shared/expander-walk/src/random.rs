//! Uniform random numbers. Both functions draw exactly one 32-bit number from the generator, so
//! that runs with the same seed are reproducible.

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// The number of different 32-bit numbers, 2^32.
const DRAW_RANGE: f64 = 4_294_967_296.0;

/// Draws a uniform number below `bound`. Returns 0 if `bound` is 0.
pub fn uniform_below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}

/// Draws a uniform number from 0 up to, but not including, 1.
pub fn uniform_unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / DRAW_RANGE
}
