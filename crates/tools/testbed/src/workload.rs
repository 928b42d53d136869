//! Classes of jobs and kinds of workers, as a deployment describes them.
use std::time::Duration;

/// Who drops a class's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Repeats are harmless.
    Safe,
    /// The workers of a cell.
    Cell,
    /// The workers of a zone.
    Zone,
    /// All workers.
    All,
    /// Nobody: it must never run twice.
    Never,
}

/// How load is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    Answers,
    Probe,
    None,
}

/// How the list of workers is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It is asked for.
    Watch,
    /// It is pushed to an agent beside each scheduler.
    Push,
}

/// A kind of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    pub name: String,
    /// Its share of the workers.
    pub share: f64,
    pub cores: usize,
    /// Work that a core does in a second of time.
    pub speed: f64,
    /// Jobs that run at a time.
    pub slots: usize,
    /// Memory units; 0 where jobs need none.
    pub memory: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    pub scope: Scope,
    /// How long repeats are dropped.
    pub window: Duration,
    /// How long a job runs on average at speed 1, and the coefficient of variation of that.
    pub run: Duration,
    pub cv: f64,
    /// Wanted within this and `stretch` times its own running time.
    pub aim: Duration,
    pub stretch: f64,
    /// How long clients wait.
    pub deadline: Duration,
    pub worth: f64,
    /// The part of its worth that a late answer earns.
    pub late: f64,
    /// Its share of the jobs.
    pub share: f64,
    /// The least and the most memory that a job needs.
    pub memory: (f64, f64),
}
