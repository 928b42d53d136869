//! Translates the operators' settings object into the balancing policy's settings.

use crate::error::{FieldProblem, InvalidField};
use crate::options::{
    ClassOptions, DeploymentOptions, FamilyOptions, LimitOptions, PriceOptions, RuleOptions, TenantOptions,
};
use spanlead_balancing_policy::{
    DeduplicationScope, Idempotency, Limits, LoadReporting, Prices, RequestClass, SafetyRules, Settings,
    Tenant,
};

/// The tick of a deployment that states none, in nanoseconds.
const DEFAULT_TICK_NANOS: u64 = 1_000_000;

/// The order of the workers' queues in which class priorities count.
const PRIORITY_ORDER: &str = "priority";

/// Translates the settings object; the fields are checked in the order of their use.
pub(crate) fn translate(options: &DeploymentOptions) -> Result<Settings, InvalidField> {
    let classes = translate_classes(options)?;
    let must_request_endpoints = translate_discovery(options.discovery.as_deref())?;
    let load_reporting = translate_load_reporting(options.report.via.as_deref())?;
    let value_by_work = translate_value_basis(options.value_basis.as_deref())?;
    let limits = translate_limits(&options.limits)?;
    Ok(Settings {
        instance: options.instance,
        instance_count: options.instance_count.unwrap_or(1),
        zone: options.zone,
        machine_kind_count: options.kinds.len() as u32,
        tick: options.tick.unwrap_or(DEFAULT_TICK_NANOS),
        classes,
        tenants: options.tenants.iter().map(translate_tenant).collect(),
        over_quota_value_fraction: options.over_quota_value_fraction.unwrap_or(1.0),
        value_by_work,
        must_request_endpoints,
        limits,
        prices: translate_prices(&options.prices),
        load_reporting,
        rules: translate_rules(&options.rules),
        progress_interval: options.family.progress_interval,
        reports_attempt_start: options.family.reports_attempt_start,
    })
}

fn translate_classes(options: &DeploymentOptions) -> Result<Vec<RequestClass>, InvalidField> {
    let mut classes = Vec::with_capacity(options.classes.len());
    for (index, class) in options.classes.iter().enumerate() {
        if class.deadline == 0 {
            return Err(InvalidField::of_class(index, "deadline", FieldProblem::NotPositive));
        }
        if options.classes[..index].iter().any(|earlier| earlier.name == class.name) {
            return Err(InvalidField::of_class(index, "name", FieldProblem::DuplicateClassName));
        }
        classes.push(translate_class(index, class, &options.family)?);
    }
    Ok(classes)
}

fn translate_class(
    index: usize,
    class: &ClassOptions,
    family: &FamilyOptions,
) -> Result<RequestClass, InvalidField> {
    let by_priority = family.queue_order.as_deref() == Some(PRIORITY_ORDER);
    let family_stretch = family.class_stretch.get(index).copied();
    Ok(RequestClass {
        latency_target: class.latency_target,
        latency_target_stretch: class.latency_target_stretch.or(family_stretch).unwrap_or(0.0),
        deadline: class.deadline,
        value: class.value.unwrap_or(1.0),
        late_value_fraction: class.late_value_fraction.unwrap_or(0.0),
        idempotency: translate_idempotency(index, class)?,
        streaming: class.streaming,
        machine_kind: family.class_kind.get(index).and_then(|kind| u32::try_from(*kind).ok()),
        priority: family.class_priority.get(index).copied().filter(|_| by_priority).unwrap_or(0),
    })
}

fn translate_idempotency(index: usize, class: &ClassOptions) -> Result<Idempotency, InvalidField> {
    match class.effect.as_str() {
        "idempotent" => Ok(Idempotency::Idempotent),
        "at_most_once" => Ok(Idempotency::AtMostOnce),
        "deduplicated" => Ok(Idempotency::Deduplicated {
            scope: translate_scope(index, class.deduplication_scope.as_deref())?,
            window: class.deduplication_window.unwrap_or(0),
        }),
        other => {
            let problem = FieldProblem::UnknownEffect(other.to_owned());
            Err(InvalidField::of_class(index, "effect", problem))
        }
    }
}

fn translate_scope(index: usize, scope: Option<&str>) -> Result<DeduplicationScope, InvalidField> {
    match scope {
        Some("all") | None => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        Some(other) => {
            let problem = FieldProblem::UnknownScope(other.to_owned());
            Err(InvalidField::of_class(index, "dedupScope", problem))
        }
    }
}

/// Whether the dispatcher must request the endpoint list itself.
fn translate_discovery(mode: Option<&str>) -> Result<bool, InvalidField> {
    match mode {
        Some("automatic") | None => Ok(false),
        Some("subscribe") => Ok(true),
        Some(other) => Err(InvalidField::new("discovery", FieldProblem::UnknownMode(other.to_owned()))),
    }
}

fn translate_load_reporting(via: Option<&str>) -> Result<LoadReporting, InvalidField> {
    match via {
        Some("answers") => Ok(LoadReporting::InResponses),
        Some("probe") => Ok(LoadReporting::InProbes),
        Some("none") | None => Ok(LoadReporting::Disabled),
        Some(other) => Err(InvalidField::new("report.via", FieldProblem::UnknownValue(other.to_owned()))),
    }
}

/// Whether a request's value counts for each unit of its work.
fn translate_value_basis(basis: Option<&str>) -> Result<bool, InvalidField> {
    match basis {
        Some("request") | None => Ok(false),
        Some("work") => Ok(true),
        Some(other) => Err(InvalidField::new("worthBy", FieldProblem::UnknownValue(other.to_owned()))),
    }
}

fn translate_tenant(tenant: &TenantOptions) -> Tenant {
    Tenant { quota_per_second: tenant.quota_per_second.unwrap_or(0.0) }
}

fn translate_limits(limits: &LimitOptions) -> Result<Limits, InvalidField> {
    if limits.max_attempts == Some(0) {
        return Err(InvalidField::new("limits.maxAttempts", FieldProblem::NotPositive));
    }
    Ok(Limits {
        max_attempts: limits.max_attempts.unwrap_or(1),
        can_cancel: limits.can_cancel,
        can_probe: limits.can_probe,
        can_message_peers: limits.can_message_peers,
        can_hedge: limits.can_hedge,
        can_send_retry_after: limits.can_send_retry_after,
        max_retry_after: limits.max_retry_after,
        connect_timeout: limits.connect_timeout,
        idle_connection_timeout: limits.idle_connection_timeout,
        streams_per_connection: limits.streams_per_connection.unwrap_or(1),
    })
}

fn translate_prices(prices: &PriceOptions) -> Prices {
    Prices {
        cross_zone: prices.cross_zone,
        wasted_work: prices.wasted_work,
        open_connections: prices.open_connections,
        new_connection: prices.new_connection,
        origin_fetch: prices.origin_fetch,
        probe: prices.probe,
        peer_message: prices.peer_message,
        late_failure: prices.late_failure,
    }
}

fn translate_rules(rules: &RuleOptions) -> SafetyRules {
    SafetyRules {
        endpoint_poll_interval: rules.endpoint_poll_interval,
        slow_start_duration: rules.slow_start_duration,
        slow_start_initial_fraction: rules.slow_start_initial_fraction.unwrap_or(1.0),
        drain_grace: rules.drain_grace,
        overload_multiple: rules.overload_multiple.unwrap_or(1.0),
        overload_window: rules.overload_window,
    }
}
