//! Rendezvous hashing: who watches whom, without anybody who decides it.
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The `count` of `others` with the highest weights for `me`. A process that joins or leaves changes few choices.
#[must_use]
pub fn pick<'a>(me: &str, others: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(me.as_bytes(), 0);
    let weight = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
    let mut all: Vec<&str> = others.filter(|other| *other != me).collect();
    all.sort_by_key(|other| std::cmp::Reverse((weight(other), *other)));
    all.dedup();
    all.truncate(count);
    all
}
