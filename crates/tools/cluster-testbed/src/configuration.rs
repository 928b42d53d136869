//! The configurations that a trial or a soak puts in force.
use crate::clients::{HOST, PATH_PREFIX};
use serde_json::{Value, json};

/// The service of all workers.
const SERVICE: &str = "s";

/// The body of a configuration with the queue of the clients' jobs and one for each further prefix.
#[must_use]
pub fn configuration(version: u64, further_prefixes: &[String]) -> String {
    let prefixes = std::iter::once(PATH_PREFIX).chain(further_prefixes.iter().map(String::as_str));
    let routes: Vec<Value> = (1..).zip(prefixes).map(|(number, prefix)| route(number, prefix)).collect();
    let service = json!({ "name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "guards": false });
    json!({ "version": version, "routes": routes, "services": [service], "limits": {} }).to_string()
}

fn route(number: u32, prefix: &str) -> Value {
    json!({ "name": format!("r-{number}"), "host": HOST, "pathPrefix": prefix, "routeType": "mutating",
        "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 1, "service": SERVICE, "maxAttempts": 3,
        "extension": 2.0 })
}
