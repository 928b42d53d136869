//! What a client asks for.
use quick_error::quick_error;
use rkyv::{Archive, Deserialize as Unarchive, Serialize as ToArchive};
use serde::Deserialize;

/// The most tasks that all steps of one time have together.
const MAX_TASKS: u64 = 20_000;
/// The longest `spec`, bytes.
const MAX_SPEC: usize = 4_000;

quick_error! {
    /// Why a job can't be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SpecError {
        /// No JSON of this form.
        Unreadable(why: String) {
            display("{}", why)
        }
        /// A step depends on one that does not come before it.
        Order(stage: usize) {
            display("stages[{}].dependsOn: not an earlier step", stage)
        }
        /// A step without tasks.
        Empty(stage: usize) {
            display("stages[{}].count: no tasks", stage)
        }
        /// Too much of something.
        Large(what: &'static str) {
            display("{}: too large", what)
        }
    }
}

/// A step.
#[derive(Archive, ToArchive, Unarchive, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Stage {
    /// How many tasks it has.
    pub count: u32,
    /// Thousandths of a core that a task needs.
    pub cpu: u64,
    /// Memory that a task needs, MB.
    pub mem_mb: u64,
    /// Accelerators that a task needs.
    pub gpus: u64,
    /// A rough guess of a task's running time, milliseconds.
    pub est_runtime_ms: u64,
    /// The steps that must be done before.
    pub depends_on: Vec<u16>,
    /// Whether tasks save their progress.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether they are slower on more than one rack.
    pub rack_local: bool,
    /// Labels that the worker must have.
    #[serde(deserialize_with = "one_or_more")]
    pub constraints: Vec<String>,
    /// The rack where the data lies.
    pub affinity: Option<String>,
    /// The most tasks of this step on one worker; 0 for any number.
    pub anti_affinity: u32,
    /// Whether copies of a task may run at once.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

/// A job as it was handed in.
#[derive(Archive, ToArchive, Unarchive, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct JobSpec {
    /// A text for the workers.
    pub spec: String,
    /// The steps.
    pub stages: Vec<Stage>,
    /// How often the steps run; 0 for once, at once.
    pub repeats: u32,
    /// When the first time is due, milliseconds since 1970.
    pub start_at_ms: u64,
    /// Between two times, milliseconds.
    pub interval_ms: u64,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

impl JobSpec {
    /// Reads the body of a request.
    ///
    /// # Errors
    /// With what is wrong.
    pub fn read(body: &[u8]) -> Result<Self, SpecError> {
        let mut job: JobSpec =
            serde_json::from_slice(body).map_err(|error| SpecError::Unreadable(error.to_string()))?;
        if job.spec.len() > MAX_SPEC {
            return Err(SpecError::Large("spec"));
        }
        if job.stages.is_empty() {
            return Err(SpecError::Empty(0));
        }
        let tasks: u64 = job.stages.iter().map(|stage| u64::from(stage.count)).sum();
        if tasks > MAX_TASKS {
            return Err(SpecError::Large("stages"));
        }
        for (i, stage) in job.stages.iter_mut().enumerate() {
            if stage.count == 0 {
                return Err(SpecError::Empty(i));
            }
            if stage.depends_on.iter().any(|before| usize::from(*before) >= i) {
                return Err(SpecError::Order(i));
            }
            stage.long_running |= job.long_running;
            stage.affinity = stage.affinity.take().filter(|rack| !rack.is_empty());
        }
        job.long_running |= job.stages.iter().any(|stage| stage.long_running);
        Ok(job)
    }

    /// How often the steps run.
    #[must_use]
    pub fn times(&self) -> u32 {
        self.repeats.max(1)
    }

    /// When a time is due, milliseconds since 1970; 0 for at once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> u64 {
        if self.repeats == 0 { 0 } else { self.start_at_ms + u64::from(occurrence) * self.interval_ms }
    }
}

/// Reads one label or a list of them.
fn one_or_more<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Labels {
        One(String),
        More(Vec<String>),
    }
    let labels = Option::<Labels>::deserialize(deserializer)?;
    Ok(match labels {
        None => Vec::new(),
        Some(Labels::One(label)) if label.is_empty() => Vec::new(),
        Some(Labels::One(label)) => vec![label],
        Some(Labels::More(labels)) => labels,
    })
}
