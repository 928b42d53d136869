//! Job specifications as clients submit them.
use quick_error::quick_error;
use rkyv::{Archive, Deserialize as Unarchive, Serialize as ToArchive};
use serde::Deserialize;

/// The largest number of tasks of all stages of one occurrence.
const MAX_TASKS_PER_OCCURRENCE: u64 = 20_000;
/// The longest payload, bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;

quick_error! {
    /// Why a job specification is invalid.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SpecError {
        /// The body is not a JSON object of the expected form.
        InvalidJson(reason: String) {
            display("{}", reason)
        }
        /// A stage depends on itself or on a later stage.
        DependsOnLaterStage(stage: usize) {
            display("stages[{}].dependsOn: not an earlier step", stage)
        }
        /// The job has no stages, or a stage has no tasks.
        NoTasks(stage: usize) {
            display("stages[{}].count: no tasks", stage)
        }
        /// A field exceeds its limit.
        TooLarge(field: &'static str) {
            display("{}: too large", field)
        }
    }
}

/// A stage: a set of identical tasks.
#[derive(Archive, ToArchive, Unarchive, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Stage {
    /// The number of tasks.
    pub count: u32,
    /// Processor demand of a task, thousandths of a core.
    #[serde(rename = "cpu")]
    pub cpu_millicores: u64,
    /// Memory demand of a task, MB.
    #[serde(rename = "memMb")]
    pub memory_mb: u64,
    /// The number of accelerators that a task needs.
    pub gpus: u64,
    /// The client's rough estimate of a task's running time, milliseconds.
    #[serde(rename = "estRuntimeMs")]
    pub estimated_runtime_ms: u64,
    /// The numbers of the stages that must be done before this one starts.
    pub depends_on: Vec<u16>,
    /// Whether tasks save checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks must run at the same time (gang scheduling).
    pub gang: bool,
    /// Whether a gang runs slower when it spans more than one rack.
    pub rack_local: bool,
    /// The labels that a worker must have.
    #[serde(deserialize_with = "deserialize_labels")]
    pub constraints: Vec<String>,
    /// The rack of the tasks' data.
    pub affinity: Option<String>,
    /// The largest number of tasks of this stage on one worker; 0 for any number.
    pub anti_affinity: u32,
    /// Whether hedged runs of a task are allowed.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

/// A job specification as the client submitted it.
#[derive(Archive, ToArchive, Unarchive, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct JobSpec {
    /// Opaque text that is passed to the worker with each start.
    #[serde(rename = "spec")]
    pub payload: String,
    /// The stages.
    pub stages: Vec<Stage>,
    /// The number of occurrences; 0 for a single one that is due at once.
    pub repeats: u32,
    /// When the first occurrence is due, milliseconds since the Unix epoch.
    pub start_at_ms: u64,
    /// The interval between two occurrences, milliseconds.
    pub interval_ms: u64,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

impl JobSpec {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    ///
    /// [`SpecError`] with the field that is invalid, or with the reason why the body cannot be
    /// parsed.
    pub fn from_json(body: &[u8]) -> Result<Self, SpecError> {
        let mut job: JobSpec =
            serde_json::from_slice(body).map_err(|error| SpecError::InvalidJson(error.to_string()))?;
        if job.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::TooLarge("spec"));
        }
        if job.stages.is_empty() {
            return Err(SpecError::NoTasks(0));
        }
        let tasks: u64 = job.stages.iter().map(|stage| u64::from(stage.count)).sum();
        if tasks > MAX_TASKS_PER_OCCURRENCE {
            return Err(SpecError::TooLarge("stages"));
        }
        for (i, stage) in job.stages.iter_mut().enumerate() {
            if stage.count == 0 {
                return Err(SpecError::NoTasks(i));
            }
            if stage.depends_on.iter().any(|dependency| usize::from(*dependency) >= i) {
                return Err(SpecError::DependsOnLaterStage(i));
            }
            stage.long_running |= job.long_running;
            stage.affinity = stage.affinity.take().filter(|rack| !rack.is_empty());
        }
        job.long_running |= job.stages.iter().any(|stage| stage.long_running);
        Ok(job)
    }

    /// The number of occurrences, at least 1.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.repeats.max(1)
    }

    /// When an occurrence is due, milliseconds since the Unix epoch; 0 for at once.
    #[must_use]
    pub fn due_at_ms(&self, occurrence: u32) -> u64 {
        if self.repeats == 0 { 0 } else { self.start_at_ms + u64::from(occurrence) * self.interval_ms }
    }
}

/// Deserializes a single label or a list of labels; null and an empty string give no labels.
fn deserialize_labels<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
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
