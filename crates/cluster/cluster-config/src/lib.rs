//! Operators' configurations: routes, services and limits. No I/O.
//!
//! [`Configuration::parse`] accepts a configuration as a whole or refuses it with all errors found.
//! The caller decides whether it replaces the current one, see [`Configuration::is_newer_than`].
//! Data planes are sent only a part of it, [`DataPlaneConfiguration`].
#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
mod data_plane;
mod document;
mod validation;

pub use data_plane::{DataPlaneConfiguration, DecodeError};
pub use document::{Limits, Route, Service};
pub use validation::{ConfigurationError, ValidationError};

use document::Document;
use miniserde::json;

/// A validated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The version. Versions increase, not always by one.
    pub version: u64,
    /// The routes, one for each queue of jobs.
    pub routes: Vec<Route>,
    /// The services that run the queues' tasks.
    pub services: Vec<Service>,
    /// Limits on clients' requests.
    pub limits: Limits,
}

impl Configuration {
    /// Parses and validates a configuration in JSON.
    ///
    /// # Errors
    /// If the document is malformed, or violates a rule; then the error holds all violations.
    pub fn parse(text: &str) -> Result<Self, ConfigurationError> {
        let document: Document = json::from_str(text).map_err(|_| ConfigurationError::Malformed)?;
        let configuration = Configuration {
            version: document.version,
            routes: document.routes,
            services: document.services,
            limits: document.limits.unwrap_or_default(),
        };
        let errors = validation::validate(&configuration);
        if errors.is_empty() { Ok(configuration) } else { Err(ConfigurationError::Invalid(errors)) }
    }

    /// Returns whether this configuration may replace one of version `current`.
    #[must_use]
    pub fn is_newer_than(&self, current: u64) -> bool {
        self.version > current
    }

    /// Returns the route of a request: the one with the longest matching path prefix among the
    /// routes of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
        self.routes.iter().filter(matching).max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
