//! The reasons for rejecting settings.

use std::fmt;

/// The section of the settings that contains an invalid number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsSection {
    /// [`Settings::classes`](crate::Settings::classes).
    Classes,
    /// [`Settings::prices`](crate::Settings::prices).
    Prices,
    /// [`Settings::rules`](crate::Settings::rules).
    Rules,
    /// [`Settings::tenants`](crate::Settings::tenants) and
    /// [`Settings::over_quota_value_fraction`](crate::Settings::over_quota_value_fraction).
    Tenants,
}

impl SettingsSection {
    /// Returns the section's name in error messages.
    fn name(self) -> &'static str {
        match self {
            SettingsSection::Classes => "classes",
            SettingsSection::Prices => "prices",
            SettingsSection::Rules => "rules",
            SettingsSection::Tenants => "tenants",
        }
    }
}

/// The reason for which settings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The settings have no request class.
    NoClasses,
    /// A class names a machine kind that does not exist.
    UnknownMachineKind,
    /// A number in this section is negative or not finite.
    InvalidNumber(SettingsSection),
    /// The dispatcher's instance number is not less than the number of dispatchers.
    InstanceOutOfRange,
}

impl SettingsError {
    /// Returns the name of the invalid setting.
    pub fn setting(&self) -> &'static str {
        match self {
            SettingsError::NoClasses => "classes",
            SettingsError::UnknownMachineKind => "classes.kind",
            SettingsError::InvalidNumber(section) => section.name(),
            SettingsError::InstanceOutOfRange => "instances",
        }
    }

    /// Returns what is wrong with the setting, as a phrase that follows its name.
    pub fn reason(&self) -> &'static str {
        match self {
            SettingsError::NoClasses => "names no class",
            SettingsError::UnknownMachineKind => "names a machine kind that does not exist",
            SettingsError::InvalidNumber(_) => "contains a negative or non-finite number",
            SettingsError::InstanceOutOfRange => "must be greater than this dispatcher's instance number",
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}` {}", self.setting(), self.reason())
    }
}

impl std::error::Error for SettingsError {}
