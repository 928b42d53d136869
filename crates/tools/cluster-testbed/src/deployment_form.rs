//! The forms of deployments that a soak can take: the platform's bounds, and the clients' jobs.
use crate::simulated_worker::{MAX_LEASE_MS, WorkerLimits};
use clap::ValueEnum;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::time::Duration;

/// The share of stages of small jobs that are gangs.
const GANG_SHARE: f64 = 0.1;
/// The size of a large job's tasks, thousandths of a core, is that of the deployment divided by
/// this: the simulated workers are as much smaller.
const CORE_SCALE: u64 = 4;

/// The form of a deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum DeploymentForm {
    /// Small jobs, and the bounds of a small deployment.
    #[default]
    Small,
    /// The jobs and bounds of pentagrama-norte-large.
    Large,
}

/// The platform's bounds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The time after a disturbance for which a machine does not count as in touch (`contactMs`).
    pub contact_timeout: Duration,
    /// The time after its acknowledgement from which on a change of the configuration is in force
    /// everywhere (`configApplyMs`).
    pub apply_timeout: Duration,
    /// How long after the acknowledgement of its cancellation a known job may still start a task,
    /// milliseconds (`cancel_ms`).
    pub cancellation_timeout_ms: u64,
    /// The limits of the workers.
    pub worker: WorkerLimits,
    /// How much longer a task takes away from its data (`far_x`).
    pub remote_data_slowdown: f64,
    /// How long a task takes to resume from a checkpoint, milliseconds (`restore_ms`).
    pub checkpoint_restore_ms: u64,
}

impl Bounds {
    /// The bounds as a process's settings give them.
    #[must_use]
    pub fn to_settings(&self) -> Value {
        json!({
            "graceS": 6,
            "maxHoldMs": MAX_LEASE_MS,
            "gang_ms": self.worker.gang_assembly_timeout_ms,
            "stop_ms": self.worker.stop_timeout_ms,
            "restore_ms": self.checkpoint_restore_ms,
            "far_x": self.remote_data_slowdown,
        })
    }
}

/// A kind of job of the large deployment.
struct JobKind {
    /// How often it is drawn, relative to the others.
    weight: u32,
    stages: u32,
    tasks_per_stage: u32,
    task_runtime_ms: u64,
    /// Thousandths of a core.
    task_cpu: u64,
}

/// The kinds of jobs of pentagrama-norte-large. The rare ones are drawn more often than there, so
/// that a short soak has some of each.
const LARGE_JOB_KINDS: [JobKind; 4] = [
    JobKind { weight: 4, stages: 4, tasks_per_stage: 25, task_runtime_ms: 1_300, task_cpu: 12_000 },
    JobKind { weight: 2, stages: 2, tasks_per_stage: 70, task_runtime_ms: 4_700, task_cpu: 10_000 },
    JobKind { weight: 6, stages: 2, tasks_per_stage: 15, task_runtime_ms: 3_800, task_cpu: 21_000 },
    JobKind { weight: 28, stages: 1, tasks_per_stage: 4, task_runtime_ms: 620, task_cpu: 4_200 },
];

impl DeploymentForm {
    /// The platform's bounds.
    #[must_use]
    pub fn bounds(self) -> Bounds {
        match self {
            DeploymentForm::Small => Bounds {
                contact_timeout: Duration::from_millis(3_000),
                apply_timeout: Duration::from_millis(2_000),
                cancellation_timeout_ms: 3_000,
                worker: WorkerLimits::default(),
                remote_data_slowdown: 2.0,
                checkpoint_restore_ms: 600,
            },
            DeploymentForm::Large => Bounds {
                contact_timeout: Duration::from_millis(5_000),
                apply_timeout: Duration::from_millis(3_000),
                cancellation_timeout_ms: 5_000,
                worker: WorkerLimits { gang_assembly_timeout_ms: 5_000, stop_timeout_ms: 200 },
                remote_data_slowdown: 3.0,
                checkpoint_restore_ms: 100,
            },
        }
    }

    /// A random job of a client.
    #[must_use]
    pub fn random_job(self, rng: &mut ChaCha8Rng) -> Value {
        match self {
            DeploymentForm::Small => random_small_job(rng),
            DeploymentForm::Large => random_large_job(rng),
        }
    }
}

/// A random job of one to three stages, each after the one before.
pub(crate) fn random_small_job(rng: &mut ChaCha8Rng) -> Value {
    let count = rng.random_range(1..4);
    let stages: Vec<Value> = (0..count).map(|number| random_small_stage(number, rng)).collect();
    json!({ "spec": "trial", "stages": stages })
}

fn random_small_stage(number: u32, rng: &mut ChaCha8Rng) -> Value {
    let is_gang = rng.random_bool(GANG_SHARE);
    json!({
        "count": rng.random_range(1..5),
        "cpu": rng.random_range(200..2_000),
        "memMb": rng.random_range(100..3_000),
        "estRuntimeMs": rng.random_range(50..900),
        "dependsOn": if number > 0 { vec![number - 1] } else { Vec::new() },
        "gang": is_gang,
    })
}

fn random_large_job(rng: &mut ChaCha8Rng) -> Value {
    let Ok(kind) = LARGE_JOB_KINDS.choose_weighted(rng, |kind| kind.weight) else { return json!({}) };
    let stages: Vec<Value> = (0..kind.stages).map(|number| large_stage(kind, number, rng)).collect();
    json!({ "spec": "soak", "stages": stages })
}

fn large_stage(kind: &JobKind, number: u32, rng: &mut ChaCha8Rng) -> Value {
    json!({
        "count": kind.tasks_per_stage,
        "cpu": kind.task_cpu / CORE_SCALE,
        "memMb": rng.random_range(100..1_000),
        "estRuntimeMs": kind.task_runtime_ms,
        "dependsOn": if number > 0 { vec![number - 1] } else { Vec::new() },
    })
}
