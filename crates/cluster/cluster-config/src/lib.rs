//! Operators' configurations: routes, services and limits.
//!
//! [`Configuration::read`] reads one in full or refuses it with every fault that was found. The base version, and
//! whether it follows the current one, is for the caller to judge: see [`Configuration::follows`].
mod check;
mod data_plane;
mod form;

pub use check::{Fault, ReadError};
pub use data_plane::{DataPlaneConfiguration, DataPlaneError};
pub use form::{Limits, Route, Service};

use miniserde::json;

/// A configuration that was checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its number. Numbers rise in uneven steps.
    pub version: u64,
    /// The queues.
    pub routes: Vec<Route>,
    /// Who runs their tasks.
    pub services: Vec<Service>,
    /// What requests may be like.
    pub limits: Limits,
}

impl Configuration {
    /// Reads a configuration and checks it.
    ///
    /// # Errors
    /// If it can't be read in full, or contradicts itself: with all faults.
    pub fn read(text: &str) -> Result<Self, ReadError> {
        let form: form::Form = json::from_str(text).map_err(|_| ReadError::Unreadable)?;
        let configuration = Configuration {
            version: form.version,
            routes: form.routes,
            services: form.services,
            limits: form.limits.unwrap_or_default(),
        };
        let faults = check::faults(&configuration);
        if faults.is_empty() { Ok(configuration) } else { Err(ReadError::Faulty(faults)) }
    }

    /// Whether this may follow a configuration of version `current`.
    #[must_use]
    pub fn follows(&self, current: u64) -> bool {
        self.version > current
    }

    /// The route of a request: of those of its host, the one with the longest prefix of its path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |r: &&Route| r.host == host && path.starts_with(&r.path_prefix);
        self.routes.iter().filter(fits).max_by_key(|r| r.path_prefix.len())
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name == name)
    }
}
