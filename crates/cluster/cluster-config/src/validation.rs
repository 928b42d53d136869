//! Validation of a configuration.
use crate::Configuration;
use quick_error::quick_error;
use std::collections::BTreeSet;

quick_error! {
    /// A rule that a configuration violates. The text is shown to operators.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ValidationError {
        /// The service of a route is not defined.
        UnknownService(route: String, service: String) {
            display("route {}: service {} is not known", route, service)
        }
        /// Two routes have the same host and path prefix.
        DuplicateRoute(route: String, host: String, prefix: String) {
            display("route {}: {}{} has a route already", route, host, prefix)
        }
        /// The time-out of a route is zero.
        ZeroTimeout(route: String) {
            display("route {}: timeoutMs is 0", route)
        }
        /// Two services have the same name.
        DuplicateService(name: String) {
            display("service {}: is there twice", name)
        }
        /// A path prefix does not begin with `/`, so no path matches it.
        InvalidPathPrefix(route: String, prefix: String) {
            display("route {}: pathPrefix {:?} does not begin with /", route, prefix)
        }
        /// The version is zero, which denotes the absence of a configuration.
        ZeroVersion {
            display("version is 0")
        }
    }
}

quick_error! {
    /// The reason for which a configuration is refused. The text is shown to operators.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ConfigurationError {
        /// The document is truncated or not JSON, or a field is missing or has the wrong type.
        Malformed {
            display("can't be read in full")
        }
        /// The configuration violates rules: all violations.
        Invalid(errors: Vec<ValidationError>) {
            display("{}", errors.iter().map(ValidationError::to_string).collect::<Vec<_>>().join("; "))
        }
    }
}

/// Returns all rules that a configuration violates.
pub(crate) fn validate(configuration: &Configuration) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    if configuration.version == 0 {
        errors.push(ValidationError::ZeroVersion);
    }
    let mut services = BTreeSet::new();
    for service in &configuration.services {
        if !services.insert(service.name.as_str()) {
            errors.push(ValidationError::DuplicateService(service.name.clone()));
        }
    }
    validate_routes(configuration, &services, &mut errors);
    errors
}

fn validate_routes(
    configuration: &Configuration,
    services: &BTreeSet<&str>,
    errors: &mut Vec<ValidationError>,
) {
    let mut prefixes = BTreeSet::new();
    for route in &configuration.routes {
        let name = || route.name.clone();
        let path_prefix = || route.path_prefix.clone();
        if !services.contains(route.service.as_str()) {
            errors.push(ValidationError::UnknownService(name(), route.service.clone()));
        }
        if !prefixes.insert((route.host.as_str(), route.path_prefix.as_str())) {
            errors.push(ValidationError::DuplicateRoute(name(), route.host.clone(), path_prefix()));
        }
        if route.timeout_ms == 0 {
            errors.push(ValidationError::ZeroTimeout(name()));
        }
        if !route.path_prefix.starts_with('/') {
            errors.push(ValidationError::InvalidPathPrefix(name(), path_prefix()));
        }
    }
}
