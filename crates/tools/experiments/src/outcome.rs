//! What came of a run: figures for the whole, and a series of seconds.
use crate::spec::TroubleSpec;
use serde::{Deserialize, Serialize};

/// Rows of the heat map: workers are put together when there are more.
pub const ROWS: usize = 60;

/// One second, by when jobs came; attempts, probes and retries by when they went out.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Series {
    /// Jobs that came, and their worth.
    pub offered: u64,
    /// See `offered`.
    pub worth: f64,
    /// The worth that was served, late answers at their part.
    pub served: f64,
    /// How they ended.
    pub in_time: u64,
    /// See `in_time`.
    pub late: u64,
    /// See `in_time`.
    pub refused: u64,
    /// See `in_time`.
    pub failed: u64,
    /// The client left, for the last time.
    pub left: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Attempts sent to workers.
    pub attempts: u64,
    /// Probes.
    pub probes: u64,
    /// The median and the 99 in 100 of how long the served ones took, milliseconds.
    pub p50: f64,
    /// See `p50`.
    pub p99: f64,
    /// Deviation over mean of what workers hold for their capacity, and the most over the mean.
    pub uneven: f64,
    /// See `uneven`.
    pub most: f64,
    /// How long the served ones took.
    #[serde(skip)]
    pub lags: Vec<f64>,
}

/// How long a trouble was felt.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Recovery {
    /// When it ended, seconds.
    pub ended_s: f64,
    /// The share of worth served in the five seconds before it.
    pub before: f64,
    /// The least share in a second from its begin on.
    pub least: f64,
    /// Seconds from its end until the share is within 0.02 of before, in two seconds running; none
    /// if it never is.
    pub after_s: Option<f64>,
}

/// A run's figures.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Outcome {
    /// Jobs that came after the warm-up.
    pub jobs: u64,
    /// The share of their worth that was served.
    pub served: f64,
    /// Shares of jobs.
    pub in_time: f64,
    /// See `in_time`.
    pub late: f64,
    /// See `in_time`.
    pub refused: f64,
    /// See `in_time`.
    pub failed: f64,
    /// See `in_time`.
    pub left: f64,
    /// How long the served ones took, milliseconds: the mean and quantiles.
    pub mean: f64,
    /// See `mean`.
    pub p50: f64,
    /// See `mean`.
    pub p99: f64,
    /// See `mean`.
    pub p999: f64,
    /// For each job.
    pub attempts: f64,
    /// For each job.
    pub probes: f64,
    /// For each job.
    pub retries: f64,
    /// Means over the seconds.
    pub uneven: f64,
    /// See `uneven`.
    pub most: f64,
    /// Cold workers that were pushed over, and the most that one was strained, against what it
    /// bears.
    pub pushed_over: u64,
    /// See `pushed_over`.
    pub strain: f64,
    /// Jobs that ran twice where nobody drops the second, and attempts beside another.
    pub double_runs: u64,
    /// See `double_runs`.
    pub overlaps: u64,
    /// Lines of lists told, and datagrams sent.
    pub list_lines: u64,
    /// See `list_lines`.
    pub datagrams: u64,
    /// Troubles and what came after.
    pub recoveries: Vec<Recovery>,
    /// Events of the simulation, and the time that it covers.
    pub events: u64,
    /// See `events`.
    pub simulated_s: f64,
    /// Jobs that have no end yet.
    #[serde(skip)]
    pub open: u64,
    /// The seconds.
    pub windows: Vec<Series>,
    /// How busy workers were in each second, in up to [`ROWS`] rows, in hundredths.
    pub heat: Vec<Vec<u8>>,
    #[serde(skip)]
    workers: usize,
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let at = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len());
    sorted[at - 1]
}

impl Outcome {
    pub(crate) fn new(windows: usize, workers: usize) -> Self {
        let rows = workers.min(ROWS);
        Outcome {
            windows: vec![Series::default(); windows.max(1)],
            heat: vec![Vec::with_capacity(windows); rows],
            workers,
            ..Outcome::default()
        }
    }

    pub(crate) fn asked(&mut self, window: usize, worth: f64) {
        let last = self.windows.len() - 1;
        let series = &mut self.windows[window.min(last)];
        series.offered += 1;
        series.worth += worth;
    }

    pub(crate) fn sampled(&mut self, window: usize, loads: &[f64], busy: &[f32]) {
        let n = loads.len().max(1) as f64;
        let mean = loads.iter().sum::<f64>() / n;
        let variance = loads.iter().map(|l| (l - mean) * (l - mean)).sum::<f64>() / n;
        let last = self.windows.len() - 1;
        let series = &mut self.windows[window.min(last)];
        if mean > 0.0 {
            series.uneven = variance.sqrt() / mean;
            series.most = loads.iter().copied().fold(0.0, f64::max) / mean;
        }
        let rows = self.heat.len();
        for (row, cells) in self.heat.iter_mut().enumerate() {
            let part = &busy[self.workers * row / rows..self.workers * (row + 1) / rows];
            let mean = part.iter().sum::<f32>() / part.len().max(1) as f32;
            cells.push((mean * 100.0).round().clamp(0.0, 255.0) as u8);
        }
    }

    /// Adds up, without the warm-up.
    pub(crate) fn finish(&mut self, warm_up_s: f64, troubles: &[TroubleSpec]) {
        for series in &mut self.windows {
            series.lags.sort_by(f64::total_cmp);
            series.p50 = quantile(&series.lags, 0.5);
            series.p99 = quantile(&series.lags, 0.99);
        }
        let counted = &self.windows[(warm_up_s as usize).min(self.windows.len() - 1)..];
        let sum = |f: fn(&Series) -> u64| counted.iter().map(f).sum::<u64>();
        let jobs = sum(|s| s.offered);
        let share = |n: u64| n as f64 / jobs.max(1) as f64;
        let worth: f64 = counted.iter().map(|s| s.worth).sum();
        let mut lags: Vec<f64> = counted.iter().flat_map(|s| s.lags.iter().copied()).collect();
        lags.sort_by(f64::total_cmp);
        let mean = |f: fn(&Series) -> f64| counted.iter().map(f).sum::<f64>() / counted.len() as f64;
        let figures = Outcome {
            jobs,
            served: counted.iter().map(|s| s.served).sum::<f64>() / worth.max(1e-12),
            in_time: share(sum(|s| s.in_time)),
            late: share(sum(|s| s.late)),
            refused: share(sum(|s| s.refused)),
            failed: share(sum(|s| s.failed)),
            left: share(sum(|s| s.left)),
            mean: lags.iter().sum::<f64>() / lags.len().max(1) as f64,
            p50: quantile(&lags, 0.5),
            p99: quantile(&lags, 0.99),
            p999: quantile(&lags, 0.999),
            attempts: share(sum(|s| s.attempts)),
            probes: share(sum(|s| s.probes)),
            retries: share(sum(|s| s.retries)),
            uneven: mean(|s| s.uneven),
            most: mean(|s| s.most),
            ..Outcome::default()
        };
        self.windows.iter_mut().for_each(|s| s.lags = Vec::new());
        let recoveries = troubles.iter().map(|t| self.recovery(t)).collect();
        *self = Outcome {
            pushed_over: self.pushed_over,
            strain: self.strain,
            double_runs: self.double_runs,
            overlaps: self.overlaps,
            list_lines: self.list_lines,
            datagrams: self.datagrams,
            events: self.events,
            simulated_s: self.simulated_s,
            open: self.open,
            windows: std::mem::take(&mut self.windows),
            heat: std::mem::take(&mut self.heat),
            recoveries,
            ..figures
        };
    }

    fn share(&self, from: usize, to: usize) -> f64 {
        let part = &self.windows[from.min(self.windows.len())..to.min(self.windows.len())];
        let worth: f64 = part.iter().map(|s| s.worth).sum();
        part.iter().map(|s| s.served).sum::<f64>() / worth.max(1e-12)
    }

    fn recovery(&self, t: &TroubleSpec) -> Recovery {
        let (begin, end) = (t.at_s as usize, (t.at_s + t.for_s).ceil() as usize);
        let before = self.share(begin.saturating_sub(5), begin);
        let least = (begin..self.windows.len()).map(|w| self.share(w, w + 1)).fold(1.0, f64::min);
        let good = |w: usize| {
            w + 2 <= self.windows.len() && (w..w + 2).all(|w| self.share(w, w + 1) >= before - 0.02)
        };
        let after = (end..self.windows.len()).find(|w| good(*w)).map(|w| (w - end) as f64);
        Recovery { ended_s: end as f64, before, least, after_s: after }
    }
}
