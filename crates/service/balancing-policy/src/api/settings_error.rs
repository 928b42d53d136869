//! Why settings are rejected.

use std::fmt;

/// The part of the settings that holds a bad figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsSection {
    /// [`Settings::classes`](crate::Settings::classes).
    Classes,
    /// [`Settings::prices`](crate::Settings::prices).
    Prices,
    /// [`Settings::rules`](crate::Settings::rules).
    Rules,
    /// [`Settings::tenants`](crate::Settings::tenants) and what requests past their quota are
    /// worth.
    Tenants,
}

impl SettingsSection {
    /// The section's name in messages.
    fn name(self) -> &'static str {
        match self {
            SettingsSection::Classes => "classes",
            SettingsSection::Prices => "prices",
            SettingsSection::Rules => "rules",
            SettingsSection::Tenants => "tenants",
        }
    }
}

/// Why settings were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no request class.
    NoClasses,
    /// A class names a machine kind that does not exist.
    UnknownMachineKind,
    /// A figure is negative or not finite.
    InvalidNumber(SettingsSection),
    /// The dispatcher's own number is not below the number of dispatchers.
    InstanceOutOfRange,
}

impl SettingsError {
    /// The setting at fault.
    pub fn setting(&self) -> &'static str {
        match self {
            SettingsError::NoClasses => "classes",
            SettingsError::UnknownMachineKind => "classes.kind",
            SettingsError::InvalidNumber(section) => section.name(),
            SettingsError::InstanceOutOfRange => "instances",
        }
    }

    /// What is wrong with it.
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
