//! Experiments played: points times repeats, on all cores, with a progress bar; each run is a line
//! of JSON in a file, and what
//! stands there already is not played again.
use crate::spec::{Experiment, Point, PolicyName, SpecError, points};
use crate::{Outcome, World};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use xxhash_rust::xxh3::xxh3_64;

/// Repeats that are made before an early end is thought of.
const FEWEST: usize = 3;

/// A run, as it stands in a result's file.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Run {
    /// Of the experiment with the swept values: runs of another text are others.
    pub key: String,
    /// The policy.
    pub policy: PolicyName,
    /// The swept values.
    pub swept: Vec<(String, String)>,
    /// The seed.
    pub seed: u64,
    /// What came of it.
    pub outcome: Outcome,
}

/// What can go wrong.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The experiment's file.
    #[error("{0}")]
    Spec(#[from] SpecError),
    /// The result's file.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// A line of it that is no run.
    #[error("{0}:{1}: {2}")]
    Line(String, usize, String),
}

/// What names a point: the same for the same experiment, values and policy.
pub fn key(point: &Point) -> String {
    let e = &point.experiment;
    // What doesn't change what is played has no part in it.
    let played = Experiment {
        name: String::new(),
        about: String::new(),
        repeats: 1,
        until: 0.0,
        seed: 0,
        policies: Vec::new(),
        sweep: BTreeMap::new(),
        ..e.clone()
    };
    let text = serde_json::to_string(&played).unwrap_or_default();
    format!("{:016x}", xxh3_64(format!("{:?} {text}", point.policy).as_bytes()))
}

/// Reads results. A last line that was cut off by an interruption is passed over; where the whole
/// lines end.
///
/// # Errors
/// If the file can't be read, or another line is no run.
pub fn results(path: &Path) -> Result<(Vec<Run>, u64), RunError> {
    let name = || path.display().to_string();
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok((Vec::new(), 0)),
        Err(e) => return Err(RunError::File(name(), e)),
    };
    let (mut runs, mut whole) = (Vec::new(), 0);
    let mut reader = BufReader::new(file);
    let mut line = Vec::new();
    for number in 1.. {
        line.clear();
        let n = reader.by_ref().read_until(b'\n', &mut line).map_err(|e| RunError::File(name(), e))?;
        if n == 0 || line.last() != Some(&b'\n') {
            break;
        }
        let run = serde_json::from_slice(&line).map_err(|e| RunError::Line(name(), number, e.to_string()))?;
        runs.push(run);
        whole += n as u64;
    }
    Ok((runs, whole))
}

/// Half the width of the 95% interval of the mean, by Student's law.
pub fn half_interval(values: &[f64]) -> f64 {
    const T: [f64; 10] = [12.71, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];
    let n = values.len();
    if n < 2 {
        return f64::INFINITY;
    }
    let mean = values.iter().sum::<f64>() / n as f64;
    let variance = values.iter().map(|v| (v - mean) * (v - mean)).sum::<f64>() / (n - 1) as f64;
    T.get(n - 2).copied().unwrap_or(1.96) * (variance / n as f64).sqrt()
}

/// Plays what is missing of an experiment, and adds it to the results in `to`; all its runs then,
/// in the order of points and
/// seeds. `quiet` shows no bar.
///
/// # Errors
/// If the experiment makes no sense or the file can't be used.
pub fn play(experiment: &Experiment, to: &Path, quiet: bool) -> Result<Vec<Run>, RunError> {
    let (known, whole) = results(to)?;
    let points: Vec<(Point, String)> = points(experiment)?
        .into_iter()
        .map(|p| {
            let key = key(&p);
            (p, key)
        })
        .collect();
    let failed = |e| RunError::File(to.display().to_string(), e);
    let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(to).map_err(failed)?;
    // What was cut off is written over.
    file.set_len(whole).map_err(failed)?;
    file.seek(SeekFrom::End(0)).map_err(failed)?;
    let done: Mutex<BTreeMap<(String, u64), Run>> =
        Mutex::new(known.into_iter().map(|r| ((r.key.clone(), r.seed), r)).collect());
    let file = Mutex::new(file);
    let all = points.len() as u64 * u64::from(experiment.repeats);
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(all) };
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed}, {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let lock = || done.lock().unwrap_or_else(PoisonError::into_inner);
    let trouble: Mutex<Option<io::Error>> = Mutex::new(None);
    for round in 0..experiment.repeats {
        let seed = experiment.seed + u64::from(round);
        // Decided between rounds, not within: which runs are made must not hang on which thread was
        // first.
        let narrow = |key: &str| {
            let served: Vec<f64> = (0..round)
                .filter_map(|r| {
                    lock().get(&(key.to_owned(), experiment.seed + u64::from(r))).map(|r| r.outcome.served)
                })
                .collect();
            experiment.until > 0.0 && served.len() >= FEWEST && half_interval(&served) < experiment.until
        };
        let wanted: Vec<&(Point, String)> = points
            .iter()
            .filter(|(_, key)| !narrow(key) && !lock().contains_key(&(key.clone(), seed)))
            .collect();
        bar.set_position(u64::from(round) * points.len() as u64 + (points.len() - wanted.len()) as u64);
        wanted.into_par_iter().for_each(|(point, key)| {
            bar.set_message(format!("{:?} {}", point.policy, show_swept(&point.swept)));
            let outcome = World::new(Arc::new(point.experiment.clone()), point.policy, seed).play();
            let run =
                Run { key: key.clone(), policy: point.policy, swept: point.swept.clone(), seed, outcome };
            let mut text = serde_json::to_vec(&run).unwrap_or_default();
            text.push(b'\n');
            let written = file.lock().unwrap_or_else(PoisonError::into_inner).write_all(&text);
            if let Err(error) = written {
                *trouble.lock().unwrap_or_else(PoisonError::into_inner) = Some(error);
            }
            lock().insert((key.clone(), seed), run);
            bar.inc(1);
        });
        if let Some(error) = trouble.lock().unwrap_or_else(PoisonError::into_inner).take() {
            return Err(failed(error));
        }
    }
    bar.finish_and_clear();
    let done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    let seeds = experiment.seed..experiment.seed + u64::from(experiment.repeats);
    let of_point = |(_, key): &(Point, String)| {
        let of_seed = |seed| done.get(&(key.clone(), seed)).cloned();
        seeds.clone().filter_map(of_seed).collect::<Vec<_>>()
    };
    Ok(points.iter().flat_map(of_point).collect())
}

/// Swept values in one line.
pub fn show_swept(swept: &[(String, String)]) -> String {
    swept.iter().map(|(path, value)| format!("{path}={value}")).collect::<Vec<_>>().join(" ")
}

/// Runs of one point, in the order in which points first come.
pub fn by_point(runs: &[Run]) -> Vec<(&str, Vec<&Run>)> {
    let mut points: Vec<(&str, Vec<&Run>)> = Vec::new();
    for run in runs {
        match points.iter_mut().find(|(key, _)| *key == run.key) {
            Some((_, all)) => all.push(run),
            None => points.push((&run.key, vec![run])),
        }
    }
    points
}
