//! Whether a difference is real: pairs of runs under the same seed and values, and an interval of
//! their mean difference by the
//! bootstrap (Efron, Annals of Statistics 7(1), 1979; the percentile method).
use crate::run::Run;
use crate::spec::PolicyName;
use crate::streams::{Concern, Stream};

/// Samples drawn for an interval.
const SAMPLES: usize = 4000;

/// A figure of a run by its name.
pub fn figure(run: &Run, name: &str) -> Option<f64> {
    let o = &run.outcome;
    Some(match name {
        "served" => o.served,
        "in_time" => o.in_time,
        "late" => o.late,
        "refused" => o.refused,
        "failed" => o.failed,
        "left" => o.left,
        "p50" => o.p50,
        "p99" => o.p99,
        "p999" => o.p999,
        "attempts" => o.attempts,
        "probes" => o.probes,
        "retries" => o.retries,
        "uneven" => o.uneven,
        "most" => o.most,
        "pushed_over" => o.pushed_over as f64,
        "strain" => o.strain,
        "double_runs" => o.double_runs as f64,
        "overlaps" => o.overlaps as f64,
        "list_lines" => o.list_lines as f64,
        "datagrams" => o.datagrams as f64,
        // One that never comes counts as the whole time that was watched after it.
        "recovery" => {
            let watched = o.windows.len() as f64;
            o.recoveries
                .iter()
                .map(|r| r.after_s.unwrap_or((watched - r.ended_s).max(0.0)))
                .fold(0.0, f64::max)
        }
        _ => return None,
    })
}

/// The names that [`figure`] knows.
pub const FIGURES: [&str; 21] = [
    "served",
    "in_time",
    "late",
    "refused",
    "failed",
    "left",
    "p50",
    "p99",
    "p999",
    "attempts",
    "probes",
    "retries",
    "uneven",
    "most",
    "pushed_over",
    "strain",
    "double_runs",
    "overlaps",
    "list_lines",
    "datagrams",
    "recovery",
];

/// The difference of a figure between two sets of runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The swept values.
    pub swept: Vec<(String, String)>,
    /// Pairs of runs.
    pub pairs: usize,
    /// The means.
    pub left: f64,
    /// See `left`.
    pub right: f64,
    /// The mean of right less left, and the interval that holds it in 95 of 100.
    pub mean: f64,
    /// See `mean`.
    pub low: f64,
    /// See `mean`.
    pub high: f64,
}

impl Difference {
    /// Whether the interval leaves out zero.
    pub fn real(&self) -> bool {
        self.pairs >= 3 && (self.low > 0.0 || self.high < 0.0)
    }
}

/// The interval of a mean by the bootstrap; the same numbers give the same interval.
pub fn bootstrap(values: &[f64]) -> (f64, f64) {
    let mut rng = Stream::new(values.len() as u64, Concern::Seeds);
    let n = values.len();
    let mean = |rng: &mut Stream| (0..n).map(|_| values[rng.below(n)]).sum::<f64>() / n as f64;
    let mut means: Vec<f64> = (0..SAMPLES).map(|_| mean(&mut rng)).collect();
    means.sort_by(f64::total_cmp);
    (means[SAMPLES / 40], means[SAMPLES - 1 - SAMPLES / 40])
}

/// Swept values, and what the two sets have of a figure, pair by pair.
type Paired = (Vec<(String, String)>, Vec<(f64, f64)>);

/// Compares a figure of two sets, pair by pair of the same swept values and seed.
pub fn compare(left: &[Run], right: &[Run], name: &str) -> Vec<Difference> {
    // Policies are compared with each other only where each side has one.
    let one = |runs: &[Run]| runs.iter().all(|r| r.policy == runs[0].policy);
    let any = one(left) && one(right);
    let mut all: Vec<Paired> = Vec::new();
    for l in left {
        let Some(r) =
            right.iter().find(|r| r.swept == l.swept && r.seed == l.seed && (any || r.policy == l.policy))
        else {
            continue;
        };
        let Some(pair) = figure(l, name).zip(figure(r, name)) else { continue };
        match all.iter_mut().find(|(swept, _)| *swept == l.swept) {
            Some((_, pairs)) => pairs.push(pair),
            None => all.push((l.swept.clone(), vec![pair])),
        }
    }
    let difference = |(swept, pairs): Paired| {
        let n = pairs.len() as f64;
        let differences: Vec<f64> = pairs.iter().map(|(l, r)| r - l).collect();
        let (low, high) = bootstrap(&differences);
        Difference {
            swept,
            pairs: pairs.len(),
            left: pairs.iter().map(|p| p.0).sum::<f64>() / n,
            right: pairs.iter().map(|p| p.1).sum::<f64>() / n,
            mean: differences.iter().sum::<f64>() / n,
            low,
            high,
        }
    };
    all.into_iter().map(difference).collect()
}

/// The runs of one policy.
pub fn of_policy(runs: &[Run], policy: PolicyName) -> Vec<Run> {
    runs.iter().filter(|r| r.policy == policy).cloned().collect()
}
