//! The endpoint list of discovery, as JSON, and the requests for it.
use super::headers::bare_request;
use super::{Body, NANOS_PER_MS};
use hyper::{Method, Request};
use serde::Deserialize;
use spanlead_balancing_policy::WorkerState;
use spanlead_deployment_settings::{Names, index_of};
use spanlead_engine::WorkerEndpoint;
use spanlead_worker_attributes::{LiveHost, normalize_host_name};
use std::sync::Arc;

/// The number of a name that the deployment's settings do not have.
const UNKNOWN_NUMBER: u32 = u32::MAX;

/// The endpoint list, or the changes in it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct EndpointList {
    /// Version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// It is the full list, not the changes in it.
    #[serde(rename = "whole")]
    pub is_full: bool,
    hosts: Vec<EndpointEntry>,
}

#[derive(Debug, Deserialize)]
struct EndpointEntry {
    host: String,
    #[serde(rename = "dial")]
    addr: String,
    #[serde(rename = "site")]
    zone: Option<String>,
    #[serde(rename = "class")]
    kind: Option<String>,
    #[serde(rename = "block")]
    pod: Option<u32>,
    health: Health,
    #[serde(rename = "share")]
    weight: Option<f64>,
    #[serde(default, rename = "born_ms")]
    started_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Active,
    Leaving,
    Left,
}

impl EndpointList {
    /// Decodes discovery's answer; `None` if the bytes are no list.
    pub fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Its entries, with the numbers of the deployment's settings for names. One without a usable
    /// address cannot be reached and is left out.
    pub fn endpoints(self, names: &Names) -> Vec<WorkerEndpoint> {
        self.hosts.into_iter().filter_map(|entry| entry.endpoint(names)).collect()
    }

    /// Its entries that have not left, with what it says of them, for comparison with inventories.
    pub fn live_hosts(self) -> Vec<LiveHost> {
        let live = self.hosts.into_iter().filter(|entry| !matches!(entry.health, Health::Left));
        live.map(EndpointEntry::live_host).collect()
    }
}

impl EndpointEntry {
    fn endpoint(self, names: &Names) -> Option<WorkerEndpoint> {
        let Ok(addr) = self.addr.parse() else {
            tracing::warn!(worker = %self.host, dial = self.addr, "worker without a usable address");
            return None;
        };
        Some(WorkerEndpoint {
            addr,
            state: self.health.worker_state(),
            // The scheduler's clock is anchored to the wall clock at its start: see `crate::Clock`.
            started: Some(self.started_ms * NANOS_PER_MS).filter(|started| *started > 0),
            kind: number(&names.kinds, self.kind),
            zone: number(&names.zones, self.zone),
            cell: self.pod,
            weight: self.weight,
            name: Arc::from(self.host),
        })
    }

    fn live_host(self) -> LiveHost {
        let stated = |name: Option<String>| name.filter(|name| !name.is_empty()).map(Arc::from);
        LiveHost {
            normalized_name: normalize_host_name(&self.host)
                .map_or_else(|_| Arc::from(&*self.host), |name| Arc::from(&*name)),
            name: Arc::from(self.host),
            zone: stated(self.zone),
            pod: self.pod.map(|pod| Arc::from(pod.to_string())),
            kind: stated(self.kind),
            weight: self.weight,
            since_ms: self.started_ms,
            gone_ms: None,
        }
    }
}

impl Health {
    fn worker_state(self) -> WorkerState {
        match self {
            Health::Active => WorkerState::Ready,
            Health::Leaving => WorkerState::Draining,
            Health::Left => WorkerState::Removed,
        }
    }
}

/// The number of a name. One that is stated but unknown to the settings is told apart from one that
/// is not stated.
fn number(names: &[String], name: Option<String>) -> Option<u32> {
    let name = name.filter(|name| !name.is_empty())?;
    Some(index_of(names, &name).unwrap_or(UNKNOWN_NUMBER))
}

/// The request for the full list.
pub fn full_list_request() -> Option<Request<Body>> {
    bare_request(Method::GET, "/v1/servers")
}

/// The request that waits up to `wait_ms` for changes after `version`.
pub fn watch_request(version: u64, wait_ms: u64) -> Option<Request<Body>> {
    bare_request(Method::GET, &format!("/v1/servers?index={version}&wait={wait_ms}"))
}
