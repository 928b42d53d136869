//! The report at the end of a trial.
use crate::clients::JobTally;
use crate::fault_plan::FaultCount;
use comfy_table::Table;

const MEDIAN: f64 = 0.5;
const PERCENTILE_99: f64 = 0.99;

/// The quantile of some values, `share` from 0 to 1; 0 if there are none.
#[must_use]
pub fn quantile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * share) as usize;
    sorted.get(rank.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// The table of jobs, latencies and faults; `starts` counts the started tasks.
#[must_use]
pub fn table(tally: &JobTally, starts: u64, faults: &[FaultCount]) -> Table {
    let mut table = Table::new();
    table.set_header(["what", "figure"]);
    let counts = [
        ("jobs handed in", tally.submitted.to_string()),
        ("accepted", tally.accepted.len().to_string()),
        ("refused", tally.rejected.to_string()),
        ("without a clear answer", tally.unknown.to_string()),
        ("succeeded", tally.succeeded.to_string()),
        ("failed", tally.failed.to_string()),
        ("tasks started", starts.to_string()),
    ];
    for (name, count) in counts {
        table.add_row([name.to_owned(), count]);
    }
    for (name, values) in [("accepted after", &tally.accept_ms), ("over after", &tally.close_ms)] {
        let (median, percentile_99) = (quantile(values, MEDIAN), quantile(values, PERCENTILE_99));
        let figure = format!("half within {median} ms, 99 of 100 within {percentile_99} ms");
        table.add_row([name.to_owned(), figure]);
    }
    for FaultCount { fault, count } in faults {
        table.add_row([format!("{fault:?}"), count.to_string()]);
    }
    table
}
