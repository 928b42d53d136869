//! The table of what came of a trial.
use super::{Trial, TrialOutcome};
use comfy_table::{CellAlignment, Table, presets};
use spanlead_testbed::Summary;
use spanlead_testbed::check::{Broken, RULES};

/// The columns of the table.
const HEADER: [&str; 10] = [
    "class",
    "jobs",
    "served",
    "refused",
    "failed",
    "no answer",
    "tried again",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
];
/// The quantiles of the last columns.
const QUANTILES: [f64; 3] = [0.5, 0.99, 0.999];
/// The most cases of a broken rule that are shown.
const MAX_SHOWN_CASES: usize = 5;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
const MICROSECONDS_PER_MS: f64 = 1000.0;

impl Trial {
    /// Prints what came of a trial.
    pub(super) fn print_summary(&self, outcome: &TrialOutcome) {
        println!("{}", classes_table(&outcome.summary));
        let jobs: u64 = outcome.summary.classes.values().map(|counts| counts.jobs).sum();
        let seconds = outcome.summary.took.as_secs_f64();
        println!(
            "{jobs} jobs in {seconds:.1} s; the scheduler was killed {} times, workers {} times",
            outcome.kills.schedulers, outcome.kills.workers
        );
        let cpu_us = outcome.cpu.as_secs_f64() * MICROSECONDS_PER_SECOND;
        println!("{:.0} microseconds of the scheduler's CPU a job", cpu_us / jobs.max(1) as f64);
        if self.kill_scheduler == 0 {
            print_commits(&outcome.durable_jobs, jobs);
        }
        print_rules(&outcome.broken);
    }
}

fn classes_table(summary: &Summary) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(HEADER);
    for (class, counts) in &summary.classes {
        let figures =
            [counts.jobs, counts.served, counts.refused, counts.failed, counts.unanswered, counts.again];
        let latency_ms = QUANTILES.map(|quantile| {
            format!("{:.0}", counts.latency.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MS)
        });
        let cells = figures.map(|figure| figure.to_string()).into_iter().chain(latency_ms);
        table.add_row([class.clone()].into_iter().chain(cells));
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Prints the figures of group commits, if there were any.
fn print_commits(durable_jobs: &serde_json::Value, jobs: u64) {
    let figure = |name: &str| durable_jobs[name].as_u64().unwrap_or(0);
    if figure("commits") == 0 {
        return;
    }
    let commits_a_job = figure("commits") as f64 / jobs.max(1) as f64;
    let bytes_a_job = figure("disk_bytes") / jobs.max(1);
    let (p50, p99) = (figure("commit_p50_us"), figure("commit_p99_us"));
    println!(
        "{commits_a_job:.2} commits and {bytes_a_job} bytes on disk a job; a commit took {p50} us, 99 in 100 {p99} us at most"
    );
}

fn print_rules(broken: &[Broken]) {
    for rule in RULES {
        let cases: Vec<&Broken> = broken.iter().filter(|case| case.rule == rule).collect();
        match cases.len() {
            0 => println!("kept     {rule}"),
            count => println!("BROKEN   {rule}: {count} times"),
        }
        cases.iter().take(MAX_SHOWN_CASES).for_each(|case| println!("         {}", case.what));
    }
}
