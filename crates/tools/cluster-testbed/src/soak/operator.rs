//! The operator: changes of the configuration, in series and in races, and checks that they are in
//! force.
use super::SoakContext;
use crate::clients::{HOST, lock};
use crate::configuration::configuration;
use crate::http_client::{HttpRequest, HttpResponse, call, call_control_plane};
use async_std::task;
use http_types::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::ops::Range;
use std::time::{Duration, Instant};

/// The number of changes in a series.
const SERIES_LENGTH: Range<usize> = 1..6;
/// Between two changes of a series, milliseconds.
const CHANGE_GAP_MS: Range<u64> = 0..600;
/// The share of changes that race with another one.
const RACE_SHARE: f64 = 0.3;
/// Between two attempts to send a change.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const PRECONDITION_FAILED: u16 = 412;

/// A change that was acknowledged.
#[derive(Clone, Debug)]
struct Acknowledged {
    version: u64,
    text: String,
}

/// A clear answer to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Acknowledged,
    /// Another version is in force.
    Outdated,
    /// It was rejected with this status.
    Rejected(u16),
    /// None came before the end of the soak.
    None,
}

/// The operator, and what it last heard.
pub(super) struct Operator {
    context: SoakContext,
    rng: ChaCha8Rng,
    /// The change in force and the one before it.
    current: Acknowledged,
    previous_version: u64,
    /// The number of acknowledged changes.
    changes: usize,
    /// The number of routes that were checked.
    checks: usize,
}

/// The prefix of the route that only this version has.
fn prefix_of(version: u64) -> String {
    format!("/v{version}/")
}

fn configuration_text(version: u64) -> String {
    configuration(version, &[prefix_of(version)])
}

impl Operator {
    /// An operator who has not sent a configuration yet.
    pub(super) fn new(context: SoakContext, seed: u64) -> Self {
        let current = Acknowledged { version: 0, text: String::new() };
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Operator { context, rng, current, previous_version: 0, changes: 0, checks: 0 }
    }

    /// Replaces the context, with the times of the load.
    pub(super) fn set_context(&mut self, context: SoakContext) {
        self.context = context;
    }

    /// Puts the first configuration in force.
    pub(super) async fn send_first(&mut self) -> bool {
        self.change(false).await;
        self.changes > 0
    }

    /// Sends series of changes until the load ends, and reads the last one back. Returns the numbers
    /// of changes and of checked routes.
    pub(super) async fn run(mut self) -> (usize, usize) {
        while Instant::now() < self.context.load_ends_at {
            for _ in 0..self.rng.random_range(SERIES_LENGTH) {
                let is_race = self.rng.random_bool(RACE_SHARE);
                self.change(is_race).await;
                let gap_ms = self.rng.random_range(CHANGE_GAP_MS);
                task::sleep(Duration::from_millis(gap_ms)).await;
            }
            task::sleep(self.context.form.bounds().apply_timeout).await;
            self.check_routes().await;
        }
        self.check_routes_until_calm().await;
        self.read_back().await;
        (self.changes, self.checks)
    }

    /// Checks the routes again and again until each machine was in touch once: nothing is done to
    /// the processes any more.
    async fn check_routes_until_calm(&mut self) {
        let wanted = self.checks + self.context.fronts.len();
        while self.checks < wanted && Instant::now() < self.context.jobs_end_by {
            self.check_routes().await;
            task::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Sends a change, or two on top of the same version of which one must win.
    async fn change(&mut self, is_race: bool) {
        let first = self.current.version + self.rng.random_range(1..4);
        let mut versions = vec![first];
        if is_race {
            versions.push(first + self.rng.random_range(1..4));
        }
        let base = self.current.version;
        let sent: Vec<_> = versions
            .iter()
            .map(|version| {
                let (context, seed) = (self.context.clone(), self.rng.random());
                task::spawn(send_until_answered(context, seed, base, configuration_text(*version)))
            })
            .collect();
        let mut winners = Vec::new();
        for (version, sent) in versions.iter().zip(sent) {
            match sent.await {
                Answer::Acknowledged => winners.push(*version),
                Answer::Outdated if is_race => {}
                answer => self.add_violation(&format!("version {version} on {base}: {answer:?}")),
            }
        }
        if winners.len() > 1 {
            self.add_violation(&format!("versions {winners:?} on {base} are both acknowledged"));
        }
        let Some(version) = winners.last().copied() else {
            return self
                .add_violation(&format!("none of the versions {versions:?} on {base} is acknowledged"));
        };
        self.previous_version = base;
        self.current = Acknowledged { version, text: configuration_text(version) };
        self.changes += 1;
    }

    /// Asks each machine of the data plane for the route of the version in force, and for the one
    /// that it has dropped.
    async fn check_routes(&mut self) {
        let (current, previous) = (self.current.version, self.previous_version);
        for index in 0..self.context.fronts.len() {
            self.check_route(index, current, NOT_FOUND).await;
            if previous > 0 {
                self.check_route(index, previous, OK).await;
            }
        }
    }

    /// Asks for the route of a version. The status `wrong` is a violation if the machine is in
    /// touch and the control plane is stable.
    async fn check_route(&mut self, front: usize, version: u64, wrong: u16) {
        let sent_at = Instant::now();
        let path = prefix_of(version);
        let headers = [("Spanlead-Request-Deadline", "3000".to_owned())];
        let request =
            HttpRequest { method: Method::Get, host: Some(HOST), path: &path, headers: &headers, body: None };
        let Ok(response) = call(&self.context.fronts[front], &request).await else { return };
        if !self.context.is_in_touch(front, sent_at, Instant::now()) {
            return;
        }
        self.checks += 1;
        if response.status == wrong {
            let address = &self.context.fronts[front];
            let current = self.current.version;
            self.add_violation(&format!("{address} answers {wrong} to {path} while {current} is in force"));
        }
    }

    /// Reads the configuration in force, which must be the one that was acknowledged last.
    async fn read_back(&mut self) {
        while Instant::now() < self.context.jobs_end_by {
            let address = random_control(&self.context, &mut self.rng);
            let request = HttpRequest {
                method: Method::Get,
                host: None,
                path: "/config/get",
                headers: &[],
                body: None,
            };
            match call_control_plane(&address, &request).await {
                Ok(HttpResponse { status: OK, body, .. }) => return self.check_text(&body),
                _ => task::sleep(RETRY_INTERVAL).await,
            }
        }
        self.add_violation("the configuration can't be read back");
    }

    fn check_text(&self, body: &str) {
        let read: Option<Value> = serde_json::from_str(body).ok();
        let sent: Option<Value> = serde_json::from_str(&self.current.text).ok();
        if read.is_none() || read != sent {
            self.add_violation(&format!(
                "version {} is acknowledged, read back: {body}",
                self.current.version
            ));
        }
    }

    fn add_violation(&self, what: &str) {
        lock(&self.context.tally).violations.push(format!("CONFIG: {what}"));
    }
}

fn random_control(context: &SoakContext, rng: &mut ChaCha8Rng) -> String {
    context.controls.choose(rng).cloned().unwrap_or_default()
}

/// Sends a change to random machines until there is a clear answer, as the operators do.
async fn send_until_answered(context: SoakContext, seed: u64, base: u64, text: String) -> Answer {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let headers = [("Spanlead-Base-Version", base.to_string())];
    while Instant::now() < context.jobs_end_by {
        let request = HttpRequest {
            method: Method::Post,
            host: None,
            path: "/config/replace",
            headers: &headers,
            body: Some(text.clone()),
        };
        let address = random_control(&context, &mut rng);
        match call_control_plane(&address, &request).await.map(|response| response.status) {
            Ok(OK) => return Answer::Acknowledged,
            Ok(PRECONDITION_FAILED) => return Answer::Outdated,
            Ok(status @ (400 | 409 | 413 | 422)) => return Answer::Rejected(status),
            Ok(_) | Err(_) => task::sleep(RETRY_INTERVAL).await,
        }
    }
    Answer::None
}
