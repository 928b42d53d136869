//! Clients: each hands one job in and asks until it is over.
use crate::operate::{Answer, call};
use crate::platform::Platform;
use async_std::task;
use http_types::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use spanlead_job_scheduler::JobSpec;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The host of the trial's queue.
pub const HOST: &str = "jobs.example";
/// The prefix of its paths.
pub const PREFIX: &str = "/q/";
/// How often a client tries to hand a job in.
const TRIES: usize = 8;
/// How long a client waits for an answer, milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Between two tries.
const PAUSE: Duration = Duration::from_millis(400);
/// Between two questions for a job's state.
const POLL: Duration = Duration::from_millis(300);

/// What became of the jobs.
#[derive(Debug, Default)]
pub struct Tally {
    /// Jobs that clients began to hand in.
    pub asked: usize,
    /// Accepted ones.
    pub accepted: Vec<u64>,
    /// Refused ones: never accepted in all tries, the last answer clear.
    pub refused: usize,
    /// Of which nobody knows.
    pub unclear: usize,
    /// Milliseconds from the first try to the first answer 200.
    pub accept_ms: Vec<u64>,
    /// Milliseconds from the first try until the job was shown as over.
    pub over_ms: Vec<u64>,
    /// Jobs that were shown as succeeded.
    pub succeeded: usize,
    /// Jobs that were shown as failed.
    pub failed: usize,
    /// What clients saw that may not be.
    pub broken: Vec<String>,
}

/// The tally as the clients share it.
pub type Shared = Arc<Mutex<Tally>>;

/// Locks the tally.
pub fn lock(tally: &Shared) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A job of one to three steps, drawn.
#[must_use]
pub fn draw(rng: &mut ChaCha8Rng) -> Value {
    let steps = rng.random_range(1..4);
    let stages: Vec<Value> = (0..steps)
        .map(|number: u32| {
            let gang = rng.random_bool(0.1);
            json!({
                "count": rng.random_range(1..5),
                "cpu": rng.random_range(200..2_000),
                "memMb": rng.random_range(100..3_000),
                "estRuntimeMs": rng.random_range(50..900),
                "dependsOn": if number > 0 { vec![number - 1] } else { Vec::new() },
                "gang": gang,
            })
        })
        .collect();
    json!({ "spec": "trial", "stages": stages })
}

/// Hands one job in and follows it until it is over or `until`.
pub async fn client(platform: Platform, fronts: Arc<Vec<String>>, shared: Shared, seed: u64, until: Instant) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let id: u64 = rng.random();
    let job = draw(&mut rng);
    let body = job.to_string();
    if let Ok(spec) = JobSpec::from_json(body.as_bytes()) {
        platform.fleet().rules.asked(id, &spec);
    }
    lock(&shared).asked += 1;
    let began = Instant::now();
    let mut clear = true;
    for _ in 0..TRIES {
        let Some(answer) = ask(Method::Post, &fronts, id, Some(body.clone()), &mut rng).await else {
            clear = false;
            task::sleep(PAUSE).await;
            continue;
        };
        match answer.status {
            200 => {
                accepted(&shared, id, began);
                return follow(&fronts, &platform, &shared, id, began, until, &mut rng).await;
            }
            502 | 504 => clear = false,
            _ => {}
        }
        task::sleep(PAUSE).await;
    }
    let mut tally = lock(&shared);
    if clear { tally.refused += 1 } else { tally.unclear += 1 }
}

fn accepted(shared: &Shared, id: u64, began: Instant) {
    let mut tally = lock(shared);
    tally.accepted.push(id);
    tally.accept_ms.push(began.elapsed().as_millis() as u64);
}

async fn follow(
    fronts: &[String],
    platform: &Platform,
    tally: &Shared,
    id: u64,
    began: Instant,
    until: Instant,
    rng: &mut ChaCha8Rng,
) {
    while Instant::now() < until {
        task::sleep(POLL).await;
        let Some(answer) = ask(Method::Get, fronts, id, None, rng).await else { continue };
        if answer.status == 410 {
            lock(tally).broken.push(format!("LOST: {id:016x} is not known any more"));
            return;
        }
        if answer.body.contains("succeeded") {
            if !platform.fleet().rules.all_done(id) {
                lock(tally).broken.push(format!("MIXED: {id:016x} is shown as succeeded and is not"));
            }
            let mut tally = lock(tally);
            tally.succeeded += 1;
            tally.over_ms.push(began.elapsed().as_millis() as u64);
            return;
        }
        if answer.body.contains("failed") {
            lock(tally).failed += 1;
            return;
        }
        if answer.body.contains("cancelled") {
            lock(tally).broken.push(format!("LOST: {id:016x} was never cancelled"));
            return;
        }
    }
    lock(tally).broken.push(format!("LOST: {id:016x} was not over in time"));
}

async fn ask(
    method: Method,
    fronts: &[String],
    id: u64,
    body: Option<String>,
    rng: &mut ChaCha8Rng,
) -> Option<Answer> {
    let front = fronts.choose(rng)?;
    let path = format!("{PREFIX}{id:016x}");
    let headers = [("Spanlead-Request-Deadline", DEADLINE_MS.to_string())];
    call(method, front, Some(HOST), &path, &headers, body).await.ok().map(|(answer, _)| answer)
}
