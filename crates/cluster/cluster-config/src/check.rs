//! What can be wrong with a configuration.
use crate::Configuration;
use quick_error::quick_error;
use std::collections::BTreeSet;

quick_error! {
    /// One thing that is wrong.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Fault {
        /// A route whose service is not there.
        UnknownService(route: String, service: String) {
            display("route {}: service {} is not known", route, service)
        }
        /// Two routes for the same requests.
        SamePlace(route: String, host: String, prefix: String) {
            display("route {}: {}{} has a route already", route, host, prefix)
        }
        /// A route that allows its requests no time.
        NoTimeout(route: String) {
            display("route {}: timeoutMs is 0", route)
        }
        /// Two services of one name.
        SameService(name: String) {
            display("service {}: is there twice", name)
        }
        /// A prefix that no path has.
        Prefix(route: String, prefix: String) {
            display("route {}: pathPrefix {:?} does not begin with /", route, prefix)
        }
        /// A version that is none.
        Version {
            display("version is 0")
        }
    }
}

quick_error! {
    /// Why a configuration was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ReadError {
        /// It is cut short, is no JSON, or lacks a field or has one of another type.
        Unreadable {
            display("can't be read in full")
        }
        /// It contradicts itself.
        Faulty(faults: Vec<Fault>) {
            display("{}", faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; "))
        }
    }
}

/// Everything that is wrong with it.
pub(crate) fn faults(configuration: &Configuration) -> Vec<Fault> {
    let mut faults = Vec::new();
    if configuration.version == 0 {
        faults.push(Fault::Version);
    }
    let mut names = BTreeSet::new();
    for service in &configuration.services {
        if !names.insert(service.name.as_str()) {
            faults.push(Fault::SameService(service.name.clone()));
        }
    }
    let mut places = BTreeSet::new();
    for route in &configuration.routes {
        if !names.contains(route.service.as_str()) {
            faults.push(Fault::UnknownService(route.name.clone(), route.service.clone()));
        }
        if !places.insert((route.host.as_str(), route.path_prefix.as_str())) {
            let (name, host) = (route.name.clone(), route.host.clone());
            faults.push(Fault::SamePlace(name, host, route.path_prefix.clone()));
        }
        if route.timeout_ms == 0 {
            faults.push(Fault::NoTimeout(route.name.clone()));
        }
        if !route.path_prefix.starts_with('/') {
            faults.push(Fault::Prefix(route.name.clone(), route.path_prefix.clone()));
        }
    }
    faults
}
