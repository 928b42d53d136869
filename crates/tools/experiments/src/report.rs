//! A page of an experiment: tables and plots in one file, with nothing fetched from anywhere;
//! readable in print and by keyboard.
use crate::compare::figure;
use crate::outcome::Outcome;
use crate::run::{Run, by_point, half_interval, key, show_swept};
use crate::spec::{Experiment, TroubleKind, points};
use minijinja::{Environment, context};
use plotters::prelude::*;
use serde::Serialize;

type Failure = Box<dyn std::error::Error>;

const TEMPLATE: &str = include_str!("report.html");
const SIZE: (u32, u32) = (900, 260);

#[derive(Serialize)]
struct Row {
    policy: String,
    values: String,
    runs: usize,
    half: String,
    cells: Vec<String>,
}

#[derive(Serialize)]
struct Section {
    title: String,
    plots: Vec<(String, String)>,
    recoveries: Vec<[String; 4]>,
}

const COLUMNS: [&str; 14] = [
    "served", "in_time", "late", "refused", "failed", "left", "p50", "p99", "p999", "attempts", "probes",
    "retries", "uneven", "recovery",
];

/// The page; `command` is what makes it.
///
/// # Errors
/// If a plot or the page can't be made.
pub fn page(experiment: &Experiment, runs: &[Run], command: &str) -> Result<String, Failure> {
    // In the order of the experiment, each with the values that were swept in it; runs of other
    // texts are left out.
    let known = by_point(runs);
    let runs_of = |key: String| known.iter().find(|(k, _)| **k == *key).map(|(_, runs)| runs.clone());
    let points: Vec<(Experiment, Vec<&Run>)> = points(experiment)?
        .into_iter()
        .filter_map(|p| Some((p.experiment.clone(), runs_of(key(&p))?)))
        .collect();
    let row = |runs: &Vec<&Run>| {
        let served: Vec<f64> = runs.iter().map(|r| r.outcome.served).collect();
        let half = half_interval(&served);
        let mean = |name: &str| {
            let all: Vec<f64> = runs.iter().filter_map(|r| figure(r, name)).collect();
            let digits = if name.starts_with('p') && name[1..].parse::<u32>().is_ok() { 0 } else { 3 };
            format!("{:.digits$}", all.iter().sum::<f64>() / all.len().max(1) as f64)
        };
        Row {
            policy: format!("{:?}", runs[0].policy),
            values: show_swept(&runs[0].swept),
            runs: runs.len(),
            half: if half.is_finite() { format!("{half:.3}") } else { "-".into() },
            cells: COLUMNS.map(mean).to_vec(),
        }
    };
    let rows: Vec<Row> = points.iter().map(|(_, runs)| row(runs)).collect();
    let mut sections = Vec::new();
    for (played, runs) in &points {
        let o = &runs[0].outcome;
        let title = format!("{:?} {} (seed {})", runs[0].policy, show_swept(&runs[0].swept), runs[0].seed);
        let recovery = |r: &crate::Recovery| {
            let after = r.after_s.map_or("not while it was watched".to_owned(), |s| format!("{s:.0} s"));
            [format!("{:.0} s", r.ended_s), format!("{:.3}", r.before), format!("{:.3}", r.least), after]
        };
        sections.push(Section {
            plots: plots(played, o)?,
            recoveries: o.recoveries.iter().map(recovery).collect(),
            title,
        });
    }
    let mut environment = Environment::new();
    environment.add_template("report.html", TEMPLATE)?;
    let text = toml::to_string_pretty(experiment)?;
    let shown: Vec<&Run> = points.iter().flat_map(|(_, runs)| runs.iter().copied()).collect();
    let all: u64 = shown.iter().map(|r| r.outcome.jobs).sum();
    Ok(environment.get_template("report.html")?.render(context! {
        name => experiment.name,
        about => experiment.about,
        command,
        columns => COLUMNS,
        rows,
        sections,
        experiment => text,
        jobs => all,
        runs => shown.len(),
    })?)
}

/// When troubles begin and end.
fn marks(experiment: &Experiment) -> Vec<(f64, f64, TroubleKind)> {
    experiment.troubles.iter().map(|t| (t.at_s, t.at_s + t.for_s, t.kind)).collect()
}

fn plots(experiment: &Experiment, o: &Outcome) -> Result<Vec<(String, String)>, Failure> {
    let line = |f: fn(&crate::Series) -> f64| {
        o.windows.iter().enumerate().map(|(i, s)| (i as f64, f(s))).collect::<Vec<_>>()
    };
    let share = |s: &crate::Series, n: u64| n as f64 / s.offered.max(1) as f64;
    let shares = |f: fn(&crate::Series) -> u64| {
        o.windows.iter().enumerate().map(|(i, s)| (i as f64, share(s, f(s)))).collect::<Vec<_>>()
    };
    let marks = marks(experiment);
    Ok(vec![
        (
            "How long served jobs took, milliseconds, by the second in which they came".into(),
            lines(&[("median", line(|s| s.p50)), ("99 in 100", line(|s| s.p99))], &marks)?,
        ),
        (
            "How jobs ended, shares of those that came in that second".into(),
            lines(
                &[
                    ("in time", shares(|s| s.in_time)),
                    ("late", shares(|s| s.late)),
                    ("refused", shares(|s| s.refused)),
                    ("failed", shares(|s| s.failed)),
                    ("left", shares(|s| s.left)),
                ],
                &marks,
            )?,
        ),
        (
            "Jobs, attempts, probes and retries a second".into(),
            lines(
                &[
                    ("jobs", line(|s| s.offered as f64)),
                    ("attempts", line(|s| s.attempts as f64)),
                    ("probes", line(|s| s.probes as f64)),
                    ("retries", line(|s| s.retries as f64)),
                ],
                &marks,
            )?,
        ),
        ("How busy workers were, each row some of them: white idle, dark full".into(), heat(&o.heat)?),
    ])
}

/// Told apart by lightness too, for print and for eyes that see few colours.
const COLOURS: [RGBColor; 5] = [
    RGBColor(0, 90, 160),
    RGBColor(220, 120, 0),
    RGBColor(0, 140, 90),
    RGBColor(160, 40, 120),
    RGBColor(90, 90, 90),
];

fn lines(series: &[(&str, Vec<(f64, f64)>)], marks: &[(f64, f64, TroubleKind)]) -> Result<String, Failure> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let end = series.iter().map(|(_, s)| s.len()).max().unwrap_or(1).max(1) as f64;
        let top = series.iter().flat_map(|(_, s)| s).map(|p| p.1).fold(1e-9, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw()?;
        for (from, to, kind) in marks {
            let (from, to) = (from.min(end), to.max(from + 0.2).min(end));
            chart.draw_series([Rectangle::new(
                [(from, 0.0), (to, top)],
                RGBColor(200, 200, 200).mix(0.5).filled(),
            )])?;
            chart.draw_series([Text::new(format!("{kind:?}"), (from, top * 0.98), ("sans-serif", 12))])?;
        }
        for (i, (name, points)) in series.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn heat(rows: &[Vec<u8>]) -> Result<String, Failure> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let end = rows.iter().map(Vec::len).max().unwrap_or(1).max(1);
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(0..end, 0..rows.len().max(1))?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").draw()?;
        // Cells side by side of the same shade are one rectangle: a page with hundreds of thousands
        // would open nowhere.
        for (y, row) in rows.iter().enumerate() {
            let shade = |v: u8| (u32::from(v).min(100) / 10 * 10) as u8;
            let mut x = 0;
            while x < row.len() {
                let wide = row[x..].iter().take_while(|v| shade(**v) == shade(row[x])).count();
                let grey = 255 - (u32::from(shade(row[x])) * 220 / 100) as u8;
                let cell = Rectangle::new(
                    [(x, y), (x + wide, y + 1)],
                    RGBColor(grey, grey, 255 - (255 - grey) / 2).filled(),
                );
                chart.draw_series([cell])?;
                x += wide;
            }
        }
        area.present()?;
    }
    Ok(svg)
}
