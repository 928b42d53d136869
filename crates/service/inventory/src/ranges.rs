//! Ranges in the names of hosts: `w[01:12].kista.example.org`, `db-[a:f]`, with a step `[0:20:5]`;
//! zeros in front set the
//! width. As Ansible's documentation of inventories describes them.

/// The names that a pattern stands for, at most `most`.
///
/// # Errors
/// If a range makes no sense, or there are more.
pub(crate) fn expand(pattern: &str, most: usize) -> Result<Vec<String>, String> {
    let Some((before, rest)) = pattern.split_once('[') else { return Ok(vec![pattern.to_owned()]) };
    let (range, after) =
        rest.split_once(']').ok_or_else(|| format!("{pattern:?} has a `[` without a `]`"))?;
    let parts = one(range)?;
    let tails = expand(after, most)?;
    if parts.len().saturating_mul(tails.len()) > most {
        return Err(format!("{pattern:?} stands for more than {most} hosts"));
    }
    Ok(parts.iter().flat_map(|part| tails.iter().map(move |tail| format!("{before}{part}{tail}"))).collect())
}

/// A range is bounded by itself too: nothing is built only to be thrown away.
const MAX_RANGE: u64 = 1_000_000;

fn one(range: &str) -> Result<Vec<String>, String> {
    let bad = |why: &str| format!("[{range}] {why}");
    let parts: Vec<&str> = range.split(':').collect();
    let (from, to, step) = match parts[..] {
        [from, to] => (from, to, 1),
        [from, to, step] => {
            let step = step.parse::<u64>().ok().filter(|s| *s > 0);
            (from, to, step.ok_or_else(|| bad("has a step that is no positive number"))?)
        }
        _ => return Err(bad("is no range: [FIRST:LAST] or [FIRST:LAST:STEP]")),
    };
    let letter = |word: &str| {
        let mut letters = word.chars();
        let first = letters.next().filter(char::is_ascii_alphabetic);
        first.filter(|_| letters.next().is_none())
    };
    if let (Some(a), Some(b)) = (letter(from), letter(to)) {
        if a > b || a.is_ascii_lowercase() != b.is_ascii_lowercase() {
            return Err(bad("ends before it begins"));
        }
        return Ok((a..=b).step_by(step as usize).map(String::from).collect());
    }
    let number = |word: &str| {
        let digits = !word.is_empty() && word.len() <= 12 && word.bytes().all(|b| b.is_ascii_digit());
        digits.then(|| word.parse::<u64>().ok()).flatten()
    };
    let (a, b) =
        number(from).zip(number(to)).ok_or_else(|| bad("has ends that are neither numbers nor letters"))?;
    if a > b {
        return Err(bad("ends before it begins"));
    }
    if (b - a) / step > MAX_RANGE {
        return Err(bad("is too long"));
    }
    let width = if from.starts_with('0') && from.len() > 1 { from.len() } else { 0 };
    if width > 0 && to.len() != width {
        return Err(bad("has ends of different width, though zeros stand in front"));
    }
    Ok((a..=b).step_by(step as usize).map(|n| format!("{n:0width$}")).collect())
}
