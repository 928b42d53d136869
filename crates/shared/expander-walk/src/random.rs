//! Uniform random numbers. Both functions draw exactly one 32-bit number, so runs with the same
//! seed repeat.

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// The number of values that a 32-bit draw may take.
const DRAW_RANGE: f64 = 4_294_967_296.0;

/// A uniform number below `bound`.
pub fn uniform_below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    ((u64::from(rng.next_u32()) * bound as u64) >> 32) as usize
}

/// A uniform number from 0 up to, but not including, 1.
pub fn uniform_unit(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / DRAW_RANGE
}
