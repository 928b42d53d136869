//! How a settings object is read: its defaults, its faults, and settings that replace earlier ones.

use serde_json::{Value, json};
use spanlead_balancing_policy::{DeduplicationScope, Idempotency, LoadReporting, SettingsError};
use spanlead_deployment_settings::{
    Deployment, DeploymentOptions, FieldProblem, InvalidField, Names, ReportedFigures, index_of,
};

/// A class with the fields that it must have.
fn class(name: &str) -> Value {
    json!({"name": name, "aim": 100, "deadline": 1_000, "effect": "idempotent"})
}

/// A settings object with one class and these fields beside it.
fn object(fields: Value) -> Value {
    let mut object = json!({"grades": [class("a")]});
    for (name, value) in fields.as_object().expect("an object") {
        object[name] = value.clone();
    }
    object
}

fn read(object: Value) -> Result<Deployment, InvalidField> {
    let options: DeploymentOptions = serde_json::from_value(object).expect("readable");
    Deployment::from_options(options)
}

fn deployment(fields: Value) -> Deployment {
    read(object(fields)).expect("valid")
}

#[test]
fn absent_fields_get_their_documented_meaning() {
    let settings = deployment(json!({})).settings;
    assert_eq!((settings.instance, settings.instance_count, settings.tick), (0, 1, 1_000_000));
    assert_eq!(settings.load_reporting, LoadReporting::Disabled);
    assert_eq!((settings.limits.max_attempts, settings.limits.streams_per_connection), (1, 1));
    assert!(!settings.must_request_endpoints && !settings.value_by_work);
    assert_eq!((settings.classes[0].value, settings.classes[0].priority), (1.0, 0));
    assert_eq!(settings.rules.slow_start_initial_fraction, 1.0);
}

#[test]
fn operators_names_reach_the_settings() {
    let settings = deployment(json!({
        "az": 1, "me": 2, "nInstances": 3, "round": 7, "overShareWorth": 0.5, "worthBy": "work",
        "discovery": "subscribe", "report": {"via": "probe"}, "kinds": ["k"],
        "grades": [{"name": "a", "aim": 1, "deadline": 2, "effect": "deduplicated", "dedupScope": "cell",
            "keyTtl": 3, "aimStretch": 4.0, "lateShare": 0.25, "value": 5.0, "streaming": true}],
        "familyInfo": {"classKind": [0], "classPriority": [6], "queueOrder": "priority", "progress": 8, "tellsStart": true},
        "limits": {"maxAttempts": 9, "cancel": true, "probes": true, "peerMessages": true, "secondCopies": true,
            "retryAfter": true, "maxRetryAfter": 10, "connectTimeout": 11, "connIdle": 12, "streamsPerConn": 13},
        "prices": {"crossZone": 1.0, "waste": 2.0, "connection": 3.0, "handshake": 4.0, "origin": 5.0, "probe": 6.0,
            "peer": 7.0, "lateFail": 8.0},
        "rules": {"askEvery": 14, "cold": 15, "coldFrom": 0.3, "drainGrace": 16, "tipAfter": 17, "tipMultiple": 3.0},
        "tenants": [{"name": "t", "quotaPerS": 18.0}],
    }))
    .settings;
    assert_eq!((settings.zone, settings.instance, settings.instance_count, settings.tick), (1, 2, 3, 7));
    assert_eq!((settings.over_quota_value_fraction, settings.value_by_work), (0.5, true));
    assert_eq!((settings.must_request_endpoints, settings.load_reporting), (true, LoadReporting::InProbes));
    assert_eq!((settings.progress_interval, settings.reports_attempt_start), (8, true));
    assert_eq!((settings.machine_kind_count, settings.tenants[0].quota_per_second), (1, 18.0));
    let class = &settings.classes[0];
    let scope = DeduplicationScope::Cell;
    assert_eq!(class.idempotency, Idempotency::Deduplicated { scope, window: 3 });
    assert_eq!((class.latency_target, class.deadline, class.latency_target_stretch), (1, 2, 4.0));
    assert_eq!((class.late_value_fraction, class.value, class.streaming), (0.25, 5.0, true));
    assert_eq!((class.machine_kind, class.priority), (Some(0), 6));
    let limits = &settings.limits;
    assert!(limits.can_cancel && limits.can_probe && limits.can_message_peers && limits.can_hedge);
    assert_eq!((limits.max_attempts, limits.can_send_retry_after, limits.max_retry_after), (9, true, 10));
    assert_eq!((limits.connect_timeout, limits.idle_connection_timeout), (11, 12));
    assert_eq!(limits.streams_per_connection, 13);
    let prices = &settings.prices;
    assert_eq!((prices.cross_zone, prices.wasted_work, prices.open_connections), (1.0, 2.0, 3.0));
    assert_eq!((prices.new_connection, prices.origin_fetch, prices.probe), (4.0, 5.0, 6.0));
    assert_eq!((prices.peer_message, prices.late_failure), (7.0, 8.0));
    let rules = &settings.rules;
    assert_eq!((rules.endpoint_poll_interval, rules.slow_start_duration, rules.drain_grace), (14, 15, 16));
    assert_eq!((rules.overload_window, rules.overload_multiple), (17, 3.0));
    assert_eq!(rules.slow_start_initial_fraction, 0.3);
}

#[test]
fn invalid_field_is_named_with_its_problem() {
    let with_class = |changes: Value| {
        let mut class = class("a");
        for (name, value) in changes.as_object().expect("an object") {
            class[name] = value.clone();
        }
        json!({ "grades": [class] })
    };
    let cases = [
        (with_class(json!({"deadline": 0})), "field grades[0].deadline: must be positive"),
        (with_class(json!({"effect": "q"})), "field grades[0].effect: unknown effect `q`"),
        (
            with_class(json!({"effect": "deduplicated", "dedupScope": "q"})),
            "field grades[0].dedupScope: unknown scope `q`",
        ),
        (json!({"grades": [class("a"), class("a")]}), "field grades[1].name: is another class's name too"),
        (json!({"discovery": "q"}), "field discovery: unknown mode `q`"),
        (json!({"report": {"via": "q"}}), "field report.via: unknown value `q`"),
        (json!({"worthBy": "q"}), "field worthBy: unknown value `q`"),
        (json!({"limits": {"maxAttempts": 0}}), "field limits.maxAttempts: must be positive"),
    ];
    for (fields, message) in cases {
        assert_eq!(read(object(fields)).expect_err(message).to_string(), message);
    }
}

#[test]
fn what_the_policy_rejects_gets_the_operators_name() {
    let error = InvalidField::from(SettingsError::UnknownMachineKind);
    assert_eq!(error.field, "familyInfo.classKind");
    assert_eq!(error.problem, FieldProblem::RejectedByPolicy(SettingsError::UnknownMachineKind));
    let message = InvalidField::from(SettingsError::InstanceOutOfRange).to_string();
    assert_eq!(message, "field nInstances: must be greater than this dispatcher's instance number");
}

/// Requests that are open keep the numbers that they arrived with.
#[test]
fn successor_keeps_every_number_in_use() {
    let earlier = Names {
        classes: vec!["a".into(), "b".into()],
        zones: vec!["north".into(), "south".into()],
        kinds: vec!["small".into()],
        ..Names::default()
    };
    let new = deployment(json!({
        "grades": [class("b"), class("c")], "azs": ["west", "south"], "az": 1, "kinds": ["large", "small"],
        "familyInfo": {"classKind": [1, 0]},
    }));
    let successor = new.succeed(&earlier);
    let Deployment { settings, names, .. } = successor.deployment;
    assert_eq!(successor.continues, [Some(1), None]);
    assert_eq!((names.classes.join(" "), names.first_current_class), ("a b b c".into(), 2));
    assert_eq!((names.class_index("b"), names.class_index("a")), (Some(2), None));
    assert_eq!((names.zones.join(" "), settings.zone), ("north south west".into(), 1));
    assert_eq!((names.kinds.join(" "), settings.machine_kind_count), ("small large".into(), 2));
    let kinds: Vec<Option<u32>> = settings.classes.iter().map(|class| class.machine_kind).collect();
    assert_eq!(kinds, [Some(0), Some(1)]);
    assert_eq!(index_of(&names.zones, "west"), Some(2));
}

#[test]
fn unnamed_report_values_count_only_by_their_names() {
    let figures: ReportedFigures = serde_json::from_value(
        json!({"util": 0.5, "inflight": 3, "queue": 1, "eps": 2, "latency_ms": 9, "x0": 4, "x1": 7}),
    )
    .expect("readable");
    let unnamed = deployment(json!({})).report_mapping.to_load_report(figures);
    assert_eq!((unnamed.free_slots, unnamed.free_memory), (None, None));
    assert_eq!(
        (unnamed.utilization, unnamed.in_flight, unnamed.queue_depth),
        (Some(0.5), Some(3.0), Some(1.0))
    );
    assert_eq!((unnamed.errors_per_second, unnamed.service_time_ms), (Some(2.0), Some(9.0)));
    let family = json!({"familyInfo": {"reportX0": "free slots", "reportX1": "free memory"}});
    let named = deployment(family).report_mapping.to_load_report(figures);
    assert_eq!((named.free_slots, named.free_memory), (Some(4.0), Some(7.0)));
}
