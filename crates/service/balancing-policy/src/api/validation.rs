//! Validation of the settings.

use super::settings::{Prices, RequestClass, SafetyRules, Settings, Tenant};
use super::settings_error::{SettingsError, SettingsSection};

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub(crate) fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for class in &self.classes {
            validate_class(class, self.machine_kind_count)?;
        }
        validate_prices(&self.prices)?;
        validate_rules(&self.rules)?;
        validate_tenants(&self.tenants, self.over_quota_value_fraction)?;
        if self.instance_count == 0 || self.instance >= self.instance_count {
            return Err(SettingsError::InstanceOutOfRange);
        }
        Ok(())
    }
}

fn validate_class(class: &RequestClass, machine_kind_count: u32) -> Result<(), SettingsError> {
    let values = [class.value, class.late_value_fraction, class.latency_target_stretch];
    validate_numbers(values, SettingsSection::Classes)?;
    if class.machine_kind.is_some_and(|kind| kind >= machine_kind_count.max(1)) {
        return Err(SettingsError::UnknownMachineKind);
    }
    Ok(())
}

fn validate_prices(prices: &Prices) -> Result<(), SettingsError> {
    let values = [
        prices.cross_zone,
        prices.wasted_work,
        prices.open_connections,
        prices.new_connection,
        prices.origin_fetch,
        prices.probe,
        prices.peer_message,
        prices.late_failure,
    ];
    validate_numbers(values, SettingsSection::Prices)
}

fn validate_rules(rules: &SafetyRules) -> Result<(), SettingsError> {
    let values = [rules.slow_start_initial_fraction, rules.overload_multiple];
    validate_numbers(values, SettingsSection::Rules)
}

fn validate_tenants(tenants: &[Tenant], over_quota_value_fraction: f64) -> Result<(), SettingsError> {
    let quotas = tenants.iter().map(|tenant| tenant.quota_per_second);
    validate_numbers(quotas.chain([over_quota_value_fraction]), SettingsSection::Tenants)
}

fn validate_numbers(
    values: impl IntoIterator<Item = f64>,
    section: SettingsSection,
) -> Result<(), SettingsError> {
    if values.into_iter().any(|value| !value.is_finite() || value < 0.0) {
        return Err(SettingsError::InvalidNumber(section));
    }
    Ok(())
}
