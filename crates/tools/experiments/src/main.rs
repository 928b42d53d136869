//! `spanlead-lab`: experiments on a modelled fleet, and the same load on real sockets.
use clap::{Parser, Subcommand};
use comfy_table::{CellAlignment, Table, presets};
use spanlead_experiments::compare::{FIGURES, compare, figure, of_policy};
use spanlead_experiments::run::{self, Run, by_point, half_interval, show_swept};
use spanlead_experiments::sockets::{self, Played, Target};
use spanlead_experiments::spec::{self, PolicyName, points};
use spanlead_experiments::{World, relay, report};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

/// A laboratory for the scheduler.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check experiments' files, and say how many runs they are.
    Check { files: Vec<PathBuf> },
    /// Play an experiment and show a table; what stands in the results is not played again.
    #[command(alias = "resume")]
    Run {
        /// The experiment.
        file: PathBuf,
        /// The results; beside the experiment's file, ending `.jsonl`, if not given.
        #[arg(long)]
        to: Option<PathBuf>,
        /// Fewer, or more, repeats.
        #[arg(long)]
        repeats: Option<u32>,
        /// No progress bar.
        #[arg(long)]
        quiet: bool,
        /// Threads; all cores if not given.
        #[arg(long)]
        threads: Option<usize>,
    },
    /// Compare two results, or two policies of one, pair by pair.
    Compare {
        /// The results.
        left: PathBuf,
        /// Others of the same experiment, for instance of another version of the program.
        right: Option<PathBuf>,
        /// Two policies of one file.
        #[arg(long, num_args = 2, value_names = ["LEFT", "RIGHT"])]
        policies: Option<Vec<String>>,
        /// The figures.
        #[arg(long, value_delimiter = ',', default_value = "served,p99,refused,attempts")]
        figures: Vec<String>,
    },
    /// Write a page with tables and plots.
    Report {
        /// The experiment.
        file: PathBuf,
        /// Its results.
        #[arg(long)]
        from: Option<PathBuf>,
        /// The page.
        #[arg(long)]
        to: PathBuf,
    },
    /// Play an experiment's load on real sockets: a scheduler among stand-in workers, and a bare
    /// relay in its place.
    Load {
        /// The experiment; its policies, troubles and sweeps don't count here.
        file: PathBuf,
        /// How long jobs run, against the file's.
        #[arg(long, default_value_t = 0.02)]
        scale: f64,
        /// The scheduler's program.
        #[arg(long, default_value = "target/release/spanlead")]
        scheduler: PathBuf,
        /// Rounds; scheduler and relay take turns.
        #[arg(long, default_value_t = 2)]
        rounds: u64,
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Be a bare relay, for `load`.
    #[command(hide = true)]
    Relay {
        #[arg(long)]
        listen: std::net::SocketAddr,
        #[arg(long, value_delimiter = ',')]
        workers: Vec<std::net::SocketAddr>,
    },
    /// Play one point again and show its seconds.
    Replay {
        /// The experiment.
        file: PathBuf,
        /// The policy.
        #[arg(long, default_value = "walkers")]
        policy: String,
        /// The seed.
        #[arg(long)]
        seed: Option<u64>,
        /// The point's number among the swept values, from 0.
        #[arg(long, default_value_t = 0)]
        point: usize,
    },
}

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Check { files } => check(&files),
        Command::Run { file, to, repeats, quiet, threads } => play(&file, to, repeats, quiet, threads),
        Command::Compare { left, right, policies, figures } => differences(&left, right, policies, &figures),
        Command::Report { file, from, to } => write_report(&file, from, &to),
        Command::Load { file, scale, scheduler, rounds, seed } => {
            load(&file, scale, &scheduler, rounds, seed)
        }
        Command::Relay { listen, workers } => relay::serve(listen, workers).map_err(Into::into),
        Command::Replay { file, policy, seed, point } => replay(&file, &policy, seed, point),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spanlead-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check(files: &[PathBuf]) -> Result<(), Failure> {
    let mut bad = 0;
    for file in files {
        match spec::read(file).and_then(|e| Ok((points(&e)?.len(), e))) {
            Ok((points, e)) => println!("{}: {points} points, {} repeats at most", file.display(), e.repeats),
            Err(error) => {
                eprintln!("{error}");
                bad += 1;
            }
        }
    }
    if bad == 0 { Ok(()) } else { Err(format!("{bad} of {} can't be used", files.len()).into()) }
}

fn results(file: &Path, to: Option<PathBuf>) -> PathBuf {
    to.unwrap_or_else(|| file.with_extension("jsonl"))
}

fn play(
    file: &Path,
    to: Option<PathBuf>,
    repeats: Option<u32>,
    quiet: bool,
    threads: Option<usize>,
) -> Result<(), Failure> {
    let mut experiment = spec::read(file)?;
    experiment.repeats = repeats.unwrap_or(experiment.repeats);
    if let Some(threads) = threads {
        rayon_threads(threads)?;
    }
    let begun = Instant::now();
    let runs = run::play(&experiment, &results(file, to), quiet)?;
    show(&runs);
    let jobs: u64 = runs.iter().flat_map(|r| &r.outcome.windows).map(|w| w.offered).sum();
    let took = begun.elapsed().as_secs_f64();
    println!("{} runs, {jobs} jobs, {took:.1} s", runs.len());
    Ok(())
}

fn rayon_threads(threads: usize) -> Result<(), Failure> {
    Ok(spanlead_experiments::threads(threads)?)
}

fn show(runs: &[Run]) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    let shown = [
        "served",
        "in_time",
        "late",
        "refused",
        "p50",
        "p99",
        "attempts",
        "probes",
        "retries",
        "uneven",
        "recovery",
        "pushed_over",
        "double_runs",
    ];
    table.set_header(["policy", "values", "runs", "+-"].into_iter().chain(shown));
    for (_, runs) in by_point(runs) {
        let mean = |name: &str| {
            let all: Vec<f64> = runs.iter().filter_map(|r| figure(r, name)).collect();
            all.iter().sum::<f64>() / all.len().max(1) as f64
        };
        let served: Vec<f64> = runs.iter().map(|r| r.outcome.served).collect();
        let cells = shown.map(|name| {
            let digits = if matches!(name, "p50" | "p99") { 0 } else { 3 };
            format!("{:.digits$}", mean(name))
        });
        let half = half_interval(&served);
        let first = [
            format!("{:?}", runs[0].policy),
            show_swept(&runs[0].swept),
            runs.len().to_string(),
            if half.is_finite() { format!("{half:.3}") } else { "-".into() },
        ];
        table.add_row(first.into_iter().chain(cells));
    }
    for column in table.column_iter_mut().skip(2) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    println!("{table}");
}

fn policy(name: &str) -> Result<PolicyName, Failure> {
    Ok(serde_json::from_value(name.into()).map_err(|e| format!("{name}: {e}"))?)
}

fn differences(
    left: &Path,
    right: Option<PathBuf>,
    policies: Option<Vec<String>>,
    figures: &[String],
) -> Result<(), Failure> {
    let (l, r) = match (right, policies) {
        (Some(right), None) => (run::results(left)?.0, run::results(&right)?.0),
        (None, Some(names)) => {
            let runs = run::results(left)?.0;
            (of_policy(&runs, policy(&names[0])?), of_policy(&runs, policy(&names[1])?))
        }
        _ => return Err("give two results, or one with --policies LEFT RIGHT".into()),
    };
    if let Some(unknown) = figures.iter().find(|f| !FIGURES.contains(&f.as_str())) {
        return Err(format!("{unknown} is none of {}", FIGURES.join(", ")).into());
    }
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["values", "figure", "pairs", "left", "right", "difference", "95% from", "to", "real"]);
    for name in figures {
        for d in compare(&l, &r, name) {
            let real = if d.real() { "yes" } else { "no" };
            let numbers = [d.left, d.right, d.mean, d.low, d.high].map(|x| format!("{x:.4}"));
            let cells = [show_swept(&d.swept), name.clone(), d.pairs.to_string()];
            table.add_row(cells.into_iter().chain(numbers).chain([real.to_owned()]));
        }
    }
    println!("{table}");
    Ok(())
}

fn write_report(file: &Path, from: Option<PathBuf>, to: &Path) -> Result<(), Failure> {
    let experiment = spec::read(file)?;
    let from = results(file, from);
    let (runs, _) = run::results(&from)?;
    let command =
        format!("spanlead-lab run {} && spanlead-lab report {0} --to {}", file.display(), to.display());
    std::fs::write(to, report::page(&experiment, &runs, &command)?)?;
    println!("{}: {} runs", to.display(), runs.len());
    Ok(())
}

fn replay(file: &Path, name: &str, seed: Option<u64>, point: usize) -> Result<(), Failure> {
    let experiment = spec::read(file)?;
    let wanted = policy(name)?;
    let all = points(&experiment)?;
    let first = all.first().map(|p| p.policy);
    let chosen = all.iter().filter(|p| Some(p.policy) == first).nth(point);
    let chosen = chosen.ok_or_else(|| format!("there are fewer than {} points", point + 1))?;
    let seed = seed.unwrap_or(experiment.seed);
    let outcome = World::new(Arc::new(chosen.experiment.clone()), wanted, seed).play();
    println!("{name} seed {seed} {}", show_swept(&chosen.swept));
    println!(
        "second offered served in_time late refused failed left retries attempts probes     p50     p99 uneven"
    );
    for (second, w) in outcome.windows.iter().enumerate() {
        println!(
            "{second:6} {:7} {:6.3} {:7} {:4} {:7} {:6} {:4} {:7} {:8} {:6} {:7.0} {:7.0} {:6.2}",
            w.offered,
            w.served / w.worth.max(1e-9),
            w.in_time,
            w.late,
            w.refused,
            w.failed,
            w.left,
            w.retries,
            w.attempts,
            w.probes,
            w.p50,
            w.p99,
            w.uneven
        );
    }
    for r in &outcome.recoveries {
        println!(
            "trouble over at {} s: {:.3} before, {:.3} at the least, back after {:?} s",
            r.ended_s, r.before, r.least, r.after_s
        );
    }
    println!(
        "served {:.4}, p99 {:.0} ms, {} pushed over (strain {:.2}), {} double runs, {} overlaps, {} events",
        outcome.served,
        outcome.p99,
        outcome.pushed_over,
        outcome.strain,
        outcome.double_runs,
        outcome.overlaps,
        outcome.events
    );
    Ok(())
}

fn load(file: &Path, scale: f64, scheduler: &Path, rounds: u64, seed: Option<u64>) -> Result<(), Failure> {
    let experiment = spec::read(file)?;
    if !(scale > 0.0 && scale <= 1.0) {
        return Err("--scale: must be over 0, and 1 at the most".into());
    }
    let seed = seed.unwrap_or(experiment.seed);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build()?;
    let own = std::env::current_exe()?;
    println!(
        "{:.0} jobs a second for {} s, seed {seed}",
        sockets::rate(&experiment, scale),
        experiment.load.duration_s
    );
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header([
        "target",
        "round",
        "jobs",
        "served",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us a job",
        "jobs a CPU second",
    ]);
    let mut costs: [Vec<f64>; 2] = Default::default();
    for round in 0..rounds {
        for (at, name) in ["scheduler", "relay"].into_iter().enumerate() {
            let target = if at == 0 { Target::Scheduler(scheduler) } else { Target::Relay(&own) };
            let played = runtime.block_on(sockets::play(&experiment, scale, seed + round, target))?;
            let (row, cost) = row(name, round, &played)?;
            costs[at].push(cost);
            table.add_row(row);
        }
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    println!("{table}");
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
    let (ours, bare) = (mean(&costs[0]), mean(&costs[1]));
    println!(
        "a job costs the scheduler {ours:.0} us of CPU and the bare relay {bare:.0} us: {:.2} times as much",
        ours / bare
    );
    Ok(())
}

fn row(name: &str, round: u64, played: &Played) -> Result<(Vec<String>, f64), Failure> {
    let mut all = hdrhistogram::Histogram::<u64>::new_with_bounds(1, 120_000_000, 3)?;
    let (mut jobs, mut served) = (0, 0);
    for counts in played.summary.classes.values() {
        all.add(&counts.latency)?;
        jobs += counts.jobs;
        served += counts.served;
    }
    let cost = played.cpu.as_secs_f64() * 1e6 / jobs.max(1) as f64;
    let ms = |q| format!("{:.1}", all.value_at_quantile(q) as f64 / 1000.0);
    let cells = [
        name.to_owned(),
        round.to_string(),
        jobs.to_string(),
        served.to_string(),
        ms(0.5),
        ms(0.99),
        ms(0.999),
    ];
    let cells = cells.into_iter().chain([format!("{cost:.0}"), format!("{:.0}", 1e6 / cost)]);
    Ok((cells.collect(), cost))
}
