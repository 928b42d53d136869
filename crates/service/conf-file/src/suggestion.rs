//! The known name that an unknown one probably means.

/// The least similarity (normalised Damerau-Levenshtein, 0 to 1) at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.6;

/// The known name that is most similar to `name`, if one is similar enough.
pub(crate) fn nearest<'n>(name: &str, known: &[&'n str]) -> Option<&'n str> {
    let similarity = |known: &&'n str| strsim::normalized_damerau_levenshtein(name, known);
    let best = known.iter().copied().max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(&best) >= MIN_SIMILARITY).then_some(best)
}
