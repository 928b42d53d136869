//! Seeded runs of the scheduler among workers that crash, are cut off, fail tasks and carry orders out late, while the
//! scheduler itself is killed: no rule breaks, and every accepted job ends.
mod common;
use common::World;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_job_scheduler::*;

fn stage(rng: &mut ChaCha8Rng, number: u16) -> Stage {
    Stage {
        count: rng.random_range(1..6),
        cpu_millicores: rng.random_range(200..4_000),
        memory_mb: rng.random_range(100..6_000),
        estimated_runtime_ms: rng.random_range(100..2_500),
        depends_on: if number > 0 && rng.random_bool(0.8) { vec![number - 1] } else { Vec::new() },
        gang: rng.random_bool(0.15),
        speculative: rng.random_bool(0.3),
        anti_affinity: if rng.random_bool(0.2) { 1 } else { 0 },
        affinity: rng.random_bool(0.2).then(|| format!("r{}", rng.random_range(0..3))),
        ..Stage::default()
    }
}

fn job(rng: &mut ChaCha8Rng, now: u64) -> JobSpec {
    let stages = (0..rng.random_range(1..4)).map(|number| stage(rng, number)).collect();
    let timed = rng.random_bool(0.1);
    JobSpec {
        payload: "text".into(),
        stages,
        repeats: if timed { 2 } else { 0 },
        start_at_ms: if timed { now + 1_000 } else { 0 },
        interval_ms: 1_500,
        ..JobSpec::default()
    }
}

fn trouble(world: &mut World, rng: &mut ChaCha8Rng) {
    let i = rng.random_range(0..world.workers.len());
    match rng.random_range(0..7) {
        0 => world.kill_scheduler(rng.random_range(5..3_000)),
        1 => world.kill_scheduler(rng.random_range(5_000..9_000)),
        2 => world.crash_worker(i),
        3 => world.workers[i].cut_until = world.now + rng.random_range(200..7_000),
        4 => world.late_share = 0.06,
        5 => world.workers[i].failing = if world.workers[i].failing > 0.5 { 0.02 } else { 0.9 },
        _ => world.late_share = 0.0,
    }
}

fn story(seed: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xB0B);
    let mut world = World::new(seed, 9);
    world.run(1_500);
    let mut ids = Vec::new();
    for round in 0..200 {
        if rng.random_bool(0.6) {
            let spec = job(&mut rng, world.now);
            ids.extend(world.submit(spec));
        }
        if rng.random_bool(0.05)
            && let Some(id) = ids.last().copied()
        {
            world.cancel(id);
        }
        if round > 10 && rng.random_bool(0.08) {
            trouble(&mut world, &mut rng);
        }
        world.run(100);
    }
    world.late_share = 0.0;
    world.workers.iter_mut().for_each(|w| w.failing = 0.0);
    world.run(45_000);
    for id in world.accepted.clone() {
        let state = world.state(id);
        let view = world.scheduler.as_ref().and_then(|s| s.inspect_job(id));
        let over = matches!(state, Some(JobState::Closed(_)));
        assert!(over, "seed {seed}: job {id} at the end: {view:#?}");
        if state == Some(JobState::Closed(JobOutcome::Succeeded)) {
            assert!(world.rules.all_done(id.0), "seed {seed}: MIXED: {id}");
        }
        if state == Some(JobState::Closed(JobOutcome::Cancelled)) {
            assert!(world.cancelled.contains(&id), "seed {seed}: LOST: {id} was never cancelled");
        }
    }
    world.rules.starts
}

#[test]
fn no_rule_breaks_whatever_happens() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    let starts: u64 = (0..seeds).map(story).sum();
    assert!(starts > seeds * 200, "{starts} starts");
}
