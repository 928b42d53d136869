//! Several processes of the program for a test.
use spanlead_testbed::{Deployment, FleetPlan, Rig, RigPlan};
use std::path::PathBuf;
use std::time::Duration;

/// Only ends a test that would hang.
pub const PATIENCE: Duration = Duration::from_secs(60);
#[allow(dead_code, reason = "each test program uses a part of it")]
pub const COUNT: usize = 5;

/// So many schedulers over so many workers, each with these settings of the operators'.
#[allow(dead_code, reason = "each test program uses a part of it")]
pub async fn start(name: &str, schedulers: usize, workers: usize, conf: &str) -> Rig {
    let mut fleet = FleetPlan::of(Deployment::default_one(None), workers, 7);
    fleet.schedulers = schedulers;
    start_fleet(name, fleet, conf).await
}

/// The schedulers of this plan over its workers, each with these settings of the operators'.
#[allow(dead_code, reason = "each test program uses a part of it")]
pub async fn start_fleet(name: &str, fleet: FleetPlan, conf: &str) -> Rig {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let binary = env!("CARGO_BIN_EXE_spanlead").into();
    let plan = RigPlan { fleet, sockets: 512, conf: conf.into(), binary, other: None, folder };
    Rig::start(plan, 7).await.unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Runs a test to its end.
pub fn play(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(test);
}
