//! Base settings, which the tests adapt.

use super::{MS, SEC};
use spanlead_balancing_policy::{Idempotency, LoadReporting, RequestClass, Settings};

/// Settings with one request class, without probes or load reports.
pub fn default_settings(idempotency: Idempotency) -> Settings {
    let mut settings = Settings { instance_count: 4, tick: 5 * MS, ..Settings::default() };
    settings.classes.push(RequestClass {
        idempotency,
        latency_target_stretch: 2.0,
        ..RequestClass::new(200 * MS, 2 * SEC)
    });
    settings.limits.max_attempts = 3;
    settings.limits.can_cancel = true;
    settings.limits.can_send_retry_after = true;
    settings.limits.max_retry_after = SEC;
    settings.rules.slow_start_duration = 8 * SEC;
    settings.rules.slow_start_initial_fraction = 0.3;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_window = 2 * SEC;
    settings.rules.drain_grace = SEC;
    settings.rules.endpoint_poll_interval = 10 * SEC;
    settings
}

/// Settings with one idempotent request class, load probes and load reports in responses. Jobs are
/// pending until their probes end.
pub fn probing_settings() -> Settings {
    let mut settings = default_settings(Idempotency::Idempotent);
    settings.limits.can_probe = true;
    settings.prices.probe = 0.002;
    settings.load_reporting = LoadReporting::InResponses;
    settings
}
