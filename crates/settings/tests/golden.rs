//! The settings object of a deployment: what each key is read as, and what stands in where it is absent.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "golden/data.rs"]
mod golden;

use oatdock::{Class, Effect, Report, ReportVia, Scope, Settings};
use settings::{Deployment, Figures};
use std::fmt::Debug;

const LEAST: &str = r#"{"grades":[{"name":"a","aim":1,"deadline":2,"effect":"idempotent"}]}"#;

fn read(text: &str) -> Deployment {
    Deployment::read(serde_json::from_str(text).expect("a settings object")).expect("good settings")
}

/// Numbers, words and lists of them only: none of the names in the code.
struct Lines(String);

impl Lines {
    fn put(&mut self, key: &str, value: impl Debug) {
        self.0.push_str(&format!("{key}\t{value:?}\n"));
    }

    fn class(&mut self, class: &Class) {
        self.put("grade aim", class.aim);
        self.put("grade aimStretch", class.stretch);
        self.put("grade deadline", class.deadline);
        self.put("grade value", class.worth);
        self.put("grade lateShare", class.late_share);
        let effect = match class.effect {
            Effect::Safe => "idempotent".to_owned(),
            Effect::Unsafe => "at_most_once".to_owned(),
            Effect::Keyed { scope, ttl } => {
                let scope = match scope {
                    Scope::All => "all",
                    Scope::Zone => "zone",
                    Scope::Cell => "cell",
                };
                format!("deduplicated {scope} {ttl}")
            }
        };
        self.put("grade effect", effect);
        self.put("grade streaming", class.streaming);
        self.put("grade classKind", class.kind);
        self.put("grade classPriority", class.priority);
    }

    fn settings(&mut self, all: &Settings) {
        self.put("me", all.me);
        self.put("nInstances", all.instances);
        self.put("az", all.zone);
        self.put("kinds", all.kinds);
        self.put("round", all.tick);
        all.classes.iter().for_each(|class| self.class(class));
        all.tenants.iter().for_each(|tenant| self.put("tenant quotaPerS", tenant.quota_per_s));
        self.put("overShareWorth", all.over_share_worth);
        self.put("worthBy work", all.worth_by_work);
        self.put("discovery subscribe", all.must_ask);
        self.put("limits maxAttempts", all.limits.attempts);
        self.put("limits cancel", all.limits.cancel);
        self.put("limits probes", all.limits.probes);
        self.put("limits peerMessages", all.limits.peers);
        self.put("limits secondCopies", all.limits.second_copies);
        self.put("limits retryAfter", all.limits.retry_after);
        self.put("limits maxRetryAfter", all.limits.max_retry_after);
        self.put("limits connectTimeout", all.limits.connect_timeout);
        self.put("limits connIdle", all.limits.conn_idle);
        self.put("limits streamsPerConn", all.limits.streams_per_conn);
        self.put("prices crossZone", all.prices.cross_zone);
        self.put("prices waste", all.prices.waste);
        self.put("prices connection", all.prices.connection);
        self.put("prices handshake", all.prices.handshake);
        self.put("prices origin", all.prices.origin);
        self.put("prices probe", all.prices.probe);
        self.put("prices peer", all.prices.peer);
        self.put("prices lateFail", all.prices.late_fail);
        let via = match all.reports {
            ReportVia::Answers => "answers",
            ReportVia::Probe => "probe",
            ReportVia::None => "none",
        };
        self.put("report via", via);
        self.put("rules askEvery", all.rules.ask_every);
        self.put("rules cold", all.rules.cold);
        self.put("rules coldFrom", all.rules.cold_from);
        self.put("rules drainGrace", all.rules.drain_grace);
        self.put("rules tipAfter", all.rules.tip_after);
        self.put("rules tipMultiple", all.rules.tip_multiple);
        self.put("familyInfo progress", all.progress);
        self.put("familyInfo tellsStart", all.tells_start);
    }

    fn report(&mut self, report: &Report) {
        self.put("report x0", report.free_slots);
        self.put("report x1", report.free_memory);
        self.put("report utilization", report.utilization);
        self.put("report outstanding", report.outstanding);
        self.put("report backlog", report.backlog);
        self.put("report recent_ms", report.latency_ms);
        self.put("report errors_per_s", report.errors_per_s);
    }
}

const LONG_FIGURES: &str = r#"{"utilization":0.5,"errors_per_s":1.5,"outstanding":2.5,"backlog":3.5,"recent_ms":4.5,
    "throughput":5.5,"x0":6.5,"x1":7.5}"#;
const SHORT_FIGURES: &str =
    r#"{"util":0.5,"eps":1.5,"inflight":2.5,"queue":3.5,"latency_ms":4.5,"qps":5.5,"x0":6.5,"x1":7.5}"#;

fn shown(deployment: &Deployment) -> String {
    let mut lines = Lines(String::new());
    lines.settings(&deployment.settings);
    lines.put("classes", &deployment.names.classes);
    lines.put("tenants", &deployment.names.tenants);
    lines.put("zones", &deployment.names.zones);
    lines.put("kinds", &deployment.names.kinds);
    let figures: Figures = serde_json::from_str(LONG_FIGURES).expect("figures");
    lines.report(&deployment.reports.report(figures));
    lines.0
}

#[test]
fn every_key_is_read_as_ever() {
    golden::assert_text("full.txt", &shown(&read(&golden::read("full.json"))));
}

#[test]
fn every_default_is_as_ever() {
    golden::assert_text("defaults.txt", &shown(&read(LEAST)));
}

// Guards workers' load reports: a figure has a long name and a short one.
#[test]
fn figures_are_read_by_both_names() {
    let [long, short] = [LONG_FIGURES, SHORT_FIGURES].map(serde_json::from_str::<Figures>);
    let (long, short) = (long.expect("figures"), short.expect("figures"));
    assert_eq!(long, short);
    let none: Figures = serde_json::from_str(r#"{"other":1}"#).expect("figures");
    assert_eq!(none, Figures::default());
}
