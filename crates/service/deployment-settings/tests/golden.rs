//! The settings object of a deployment: what each key is read as, and what stands in where it is
//! absent.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_balancing_policy::{
    DeduplicationScope, Idempotency, LoadReport, LoadReporting, RequestClass, Settings,
};
use spanlead_deployment_settings::{Deployment, ReportedFigures};
use std::fmt::Debug;

const LEAST: &str = r#"{"grades":[{"name":"a","aim":1,"deadline":2,"effect":"idempotent"}]}"#;

fn read(text: &str) -> Deployment {
    Deployment::from_options(serde_json::from_str(text).expect("a settings object")).expect("good settings")
}

/// Numbers, words and lists of them only: none of the names in the code.
struct Lines(String);

impl Lines {
    fn put(&mut self, key: &str, value: impl Debug) {
        self.0.push_str(&format!("{key}\t{value:?}\n"));
    }

    fn class(&mut self, class: &RequestClass) {
        self.put("grade aim", class.latency_target);
        self.put("grade aimStretch", class.latency_target_stretch);
        self.put("grade deadline", class.deadline);
        self.put("grade value", class.value);
        self.put("grade lateShare", class.late_value_fraction);
        let effect = match class.idempotency {
            Idempotency::Idempotent => "idempotent".to_owned(),
            Idempotency::AtMostOnce => "at_most_once".to_owned(),
            Idempotency::Deduplicated { scope, window } => {
                let scope = match scope {
                    DeduplicationScope::All => "all",
                    DeduplicationScope::Zone => "zone",
                    DeduplicationScope::Cell => "cell",
                };
                format!("deduplicated {scope} {window}")
            }
        };
        self.put("grade effect", effect);
        self.put("grade streaming", class.streaming);
        self.put("grade classKind", class.machine_kind);
        self.put("grade classPriority", class.priority);
    }

    fn settings(&mut self, all: &Settings) {
        self.put("me", all.instance);
        self.put("nInstances", all.instance_count);
        self.put("az", all.zone);
        self.put("kinds", all.machine_kind_count);
        self.put("round", all.tick);
        all.classes.iter().for_each(|class| self.class(class));
        all.tenants.iter().for_each(|tenant| self.put("tenant quotaPerS", tenant.quota_per_second));
        self.put("overShareWorth", all.over_quota_value_fraction);
        self.put("worthBy work", all.value_by_work);
        self.put("discovery subscribe", all.must_request_endpoints);
        self.put("limits maxAttempts", all.limits.max_attempts);
        self.put("limits cancel", all.limits.can_cancel);
        self.put("limits probes", all.limits.can_probe);
        self.put("limits peerMessages", all.limits.can_message_peers);
        self.put("limits secondCopies", all.limits.can_hedge);
        self.put("limits retryAfter", all.limits.can_send_retry_after);
        self.put("limits maxRetryAfter", all.limits.max_retry_after);
        self.put("limits connectTimeout", all.limits.connect_timeout);
        self.put("limits connIdle", all.limits.idle_connection_timeout);
        self.put("limits streamsPerConn", all.limits.streams_per_connection);
        self.put("prices crossZone", all.prices.cross_zone);
        self.put("prices waste", all.prices.wasted_work);
        self.put("prices connection", all.prices.open_connections);
        self.put("prices handshake", all.prices.new_connection);
        self.put("prices origin", all.prices.origin_fetch);
        self.put("prices probe", all.prices.probe);
        self.put("prices peer", all.prices.peer_message);
        self.put("prices lateFail", all.prices.late_failure);
        let via = match all.load_reporting {
            LoadReporting::InResponses => "answers",
            LoadReporting::InProbes => "probe",
            LoadReporting::Disabled => "none",
        };
        self.put("report via", via);
        self.put("rules askEvery", all.rules.endpoint_poll_interval);
        self.put("rules cold", all.rules.slow_start_duration);
        self.put("rules coldFrom", all.rules.slow_start_initial_fraction);
        self.put("rules drainGrace", all.rules.drain_grace);
        self.put("rules tipAfter", all.rules.overload_window);
        self.put("rules tipMultiple", all.rules.overload_multiple);
        self.put("familyInfo progress", all.progress_interval);
        self.put("familyInfo tellsStart", all.reports_attempt_start);
    }

    fn report(&mut self, report: &LoadReport) {
        self.put("report x0", report.free_slots);
        self.put("report x1", report.free_memory);
        self.put("report utilization", report.utilization);
        self.put("report outstanding", report.in_flight);
        self.put("report backlog", report.queue_depth);
        self.put("report recent_ms", report.service_time_ms);
        self.put("report errors_per_s", report.errors_per_second);
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
    let figures: ReportedFigures = serde_json::from_str(LONG_FIGURES).expect("figures");
    lines.report(&deployment.report_mapping.to_load_report(figures));
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
    let [long, short] = [LONG_FIGURES, SHORT_FIGURES].map(serde_json::from_str::<ReportedFigures>);
    let (long, short) = (long.expect("figures"), short.expect("figures"));
    assert_eq!(long, short);
    let none: ReportedFigures = serde_json::from_str(r#"{"other":1}"#).expect("figures");
    assert_eq!(none, ReportedFigures::default());
}
