//! Slow start over a fleet: twenty and thirty processes of the program, each with a part of what a
//! worker that has just started bears, and jobs that come to all of them in the same moment. What
//! the worker gets from all together is counted at the worker.
mod rigs;

use rigs::{PATIENCE, play};
use spanlead_testbed::check::check_cold;
use spanlead_testbed::{Deployment, FleetPlan, Load, Plan, Rig, Summary, What};
use std::time::Duration;
use tokio::time::Instant;

const WORKERS: usize = 4;
/// The worker that is killed and comes back cold.
const FRESH: &str = "w00";

/// Jobs of a third of a second, and a rule that binds: a fresh worker does an eighth of what a warm
/// one does, and little more to the test's end.
fn deployment() -> Deployment {
    Deployment {
        cold: Duration::from_secs(24),
        cold_from: 0.12,
        tip: Duration::from_millis(1500),
        doubled: 0.0,
        ..Deployment::default_one(Some(0.15))
    }
}

/// So many jobs to each scheduler at this rate, at all of them at once; returns when all are done
/// with.
async fn jobs(rig: &Rig, each: u64, rate: f64, first: u64) -> Summary {
    let classes = rig.fleet.classes().to_vec();
    let mut loads = tokio::task::JoinSet::new();
    for (me, scheduler) in rig.schedulers.iter().enumerate() {
        let load = Load::of(me as u32, scheduler.addr, rig.record.clone());
        let plan = Plan {
            jobs: each,
            first: first + me as u64 * each,
            rate,
            at_once: each as usize,
            doubled: 0.0,
            only: Vec::new(),
            owners: rig.fleet.deployment().tenants.clone(),
            seed: first + me as u64,
        };
        let classes = classes.clone();
        loads.spawn(async move { load.play(&plan, &classes).await });
    }
    let mut sum: Option<Summary> = None;
    while let Some(one) = loads.join_next().await {
        let one = one.expect("it ends");
        match &mut sum {
            Some(sum) => sum.add(one),
            None => sum = Some(one),
        }
    }
    sum.expect("schedulers")
}

/// Waits until discovery has told every scheduler that the fresh worker runs again.
async fn told_to_all(rig: &Rig) {
    let until = Instant::now() + PATIENCE;
    loop {
        let events = rig.record.events();
        let born = events.iter().rposition(|e| e.what == What::Born { worker: FRESH.into() }).expect("born");
        let told = |me: usize| {
            let lives = What::Lives { scheduler: me as u32, worker: FRESH.into() };
            events[born..].iter().any(|e| e.what == lives)
        };
        if (0..rig.schedulers.len()).all(told) {
            return;
        }
        assert!(Instant::now() < until, "not all were told");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// How many jobs the fresh worker has got since its start.
fn got(rig: &Rig) -> usize {
    let events = rig.record.events();
    let born = events.iter().rposition(|e| e.what == What::Born { worker: FRESH.into() }).expect("born");
    let to_it = |what: &What| matches!(what, What::Received { worker, .. } if worker == FRESH);
    events[born..].iter().filter(|e| to_it(&e.what)).count()
}

async fn start(name: &str, schedulers: usize) -> Rig {
    let mut plan = FleetPlan::of(deployment(), WORKERS, 7);
    plan.schedulers = schedulers;
    rigs::start_fleet(name, plan, "").await
}

/// All know how long jobs run; then the worker is back cold, all are told, and a crowd of jobs
/// comes to all at once.
fn a_crowd_meets_a_fresh_worker(name: &str, schedulers: usize, restarted: bool) {
    play(async {
        let mut rig = start(name, schedulers).await;
        jobs(&rig, 4, 2.0, 0).await;
        rig.fleet.kill(FRESH);
        rig.fleet.restart(FRESH).await.expect("an address");
        told_to_all(&rig).await;
        if restarted {
            // Schedulers that start within its slow start know nothing of what was sent before. By
            // a few jobs they learn how long these run.
            jobs(&rig, 1, 100.0, 10_000).await;
            for scheduler in &mut rig.schedulers {
                scheduler.kill().await;
                scheduler.start().await.expect("it starts");
            }
            jobs(&rig, 3, 3.0, 15_000).await;
        }
        // Parts of less than a job are dealt out by chance: in one window all may come up empty, in
        // all of a slow start not.
        for crowd in 2.. {
            jobs(&rig, 6, 1000.0, 10_000 * crowd).await;
            if got(&rig) > 0 {
                break;
            }
            assert!(crowd < 7, "it is given nothing at all");
        }
        let broken = check_cold(&rig.record.events(), rig.fleet.deployment());
        assert!(broken.is_empty(), "{broken:?}");
    });
}

#[test]
fn a_crowd_at_twenty_schedulers_keeps_to_what_a_fresh_worker_bears() {
    a_crowd_meets_a_fresh_worker("slow-start-20", 20, false);
}

#[test]
fn a_crowd_at_thirty_schedulers_keeps_to_what_a_fresh_worker_bears() {
    a_crowd_meets_a_fresh_worker("slow-start-30", 30, false);
}

#[test]
fn schedulers_that_restart_within_a_slow_start_keep_to_it_too() {
    a_crowd_meets_a_fresh_worker("slow-start-again", 20, true);
}
