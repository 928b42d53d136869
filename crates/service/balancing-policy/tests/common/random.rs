//! A deterministic source of the tests' choices.

/// A splitmix64 generator; the field is its state.
pub struct TestRng(pub u64);

impl TestRng {
    /// The next number.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// True in so many of a hundred cases.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
