//! Operators' configurations: routes, services and limits. No I/O.
//!
//! [`Configuration::parse`] accepts one in full or refuses it with every fault that was found.
//! Whether it may replace the one in force is for the caller to decide, see
//! [`Configuration::is_newer_than`]. Data planes are sent only a part of it,
//! [`DataPlaneConfiguration`].
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

/// A configuration that was validated.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its number. Versions rise, not always by one.
    pub version: u64,
    /// The routes, one for each queue of jobs.
    pub routes: Vec<Route>,
    /// The services that run the queues' tasks.
    pub services: Vec<Service>,
    /// Limits on clients' requests.
    pub limits: Limits,
}

impl Configuration {
    /// Parses a configuration, JSON, and validates it.
    ///
    /// # Errors
    /// If it is malformed, or contradicts itself: with all faults.
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

    /// Whether this may replace a configuration of version `current`.
    #[must_use]
    pub fn is_newer_than(&self, current: u64) -> bool {
        self.version > current
    }

    /// The route of a request: of those of its host, the one with the longest prefix of its path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let matching = |route: &&Route| route.host == host && path.starts_with(&route.path_prefix);
        self.routes.iter().filter(matching).max_by_key(|route| route.path_prefix.len())
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
