//! What a trial ends with.
use crate::clients::Tally;
use comfy_table::Table;

/// The value below which that share of the numbers lies.
#[must_use]
pub fn quantile(numbers: &[u64], share: f64) -> u64 {
    let mut sorted = numbers.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * share) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// The table of what was served.
#[must_use]
pub fn table(tally: &Tally, starts: u64, faults: &[(String, usize)]) -> Table {
    let mut table = Table::new();
    table.set_header(["what", "figure"]);
    let row = |table: &mut Table, what: &str, figure: String| {
        table.add_row([what.to_owned(), figure]);
    };
    row(&mut table, "jobs handed in", tally.asked.to_string());
    row(&mut table, "accepted", tally.accepted.len().to_string());
    row(&mut table, "refused", tally.refused.to_string());
    row(&mut table, "without a clear answer", tally.unclear.to_string());
    row(&mut table, "succeeded", tally.succeeded.to_string());
    row(&mut table, "failed", tally.failed.to_string());
    row(&mut table, "tasks started", starts.to_string());
    for (name, numbers) in [("accepted after", &tally.accept_ms), ("over after", &tally.over_ms)] {
        let (half, most) = (quantile(numbers, 0.5), quantile(numbers, 0.99));
        row(&mut table, name, format!("half within {half} ms, 99 of 100 within {most} ms"));
    }
    for (fault, count) in faults {
        row(&mut table, fault, count.to_string());
    }
    table
}
