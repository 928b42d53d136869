//! Golden files of the JSON and `rkyv` forms of a configuration and of the error messages shown to
//! operators: none of them may change.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use miniserde::json;
use spanlead_cluster_config::{Configuration, DataPlaneConfiguration, Limits, Route, Service};
use support::{compare_bytes, compare_text, read_example, read_text};

const DATA_PLANE: &str = "data_plane.txt";

fn limits() -> Limits {
    Limits {
        max_header_bytes: Some(8_192),
        max_body_bytes: Some(65_536),
        header_timeout_ms: Some(2_500),
        idle_timeout_ms: Some(30_000),
    }
}

fn full_configuration() -> Configuration {
    Configuration {
        version: 42,
        routes: vec![
            Route {
                name: "nightly".into(),
                host: "jobs.example".into(),
                path_prefix: "/v1/nightly/".into(),
                route_type: Some("jobs".into()),
                timeout_ms: 3_000,
                latency_target_offset_ms: Some(1_500.5),
                priority: Some(2),
                service: "batch".into(),
                max_attempts: Some(5),
                latency_target_factor: Some(1.25),
            },
            Route {
                name: "bare".into(),
                host: "jobs.example".into(),
                path_prefix: "/".into(),
                route_type: None,
                timeout_ms: 1,
                latency_target_offset_ms: None,
                priority: None,
                service: "plain".into(),
                max_attempts: None,
                latency_target_factor: None,
            },
        ],
        services: vec![
            Service {
                name: "batch".into(),
                health_path: Some("/healthz".into()),
                max_connections: Some(17),
                enforces_capacity: Some(true),
            },
            Service {
                name: "plain".into(),
                health_path: None,
                max_connections: None,
                enforces_capacity: None,
            },
        ],
        limits: limits(),
    }
}

#[test]
fn a_configuration_with_all_fields_is_read() {
    assert_eq!(Configuration::parse(&read_text("configuration.json")).expect("valid"), full_configuration());
}

#[test]
fn routes_services_and_limits_are_written_as_the_golden_json() {
    let configuration = full_configuration();
    let mut lines = String::new();
    for route in &configuration.routes {
        lines += &(json::to_string(route) + "\n");
    }
    for service in &configuration.services {
        lines += &(json::to_string(service) + "\n");
    }
    lines += &(json::to_string(&configuration.limits) + "\n");
    compare_text("written.txt", &lines);
}

#[test]
fn the_data_plane_configuration_is_encoded_to_the_golden_bytes() {
    let all_limits = DataPlaneConfiguration::from(&full_configuration());
    compare_bytes(
        DATA_PLANE,
        &[
            ("all_limits", all_limits.encode()),
            ("no_limits", DataPlaneConfiguration { version: 1, limits: Limits::default() }.encode()),
        ],
    );
}

#[test]
fn golden_bytes_are_decoded_to_the_data_plane_configuration() {
    let all = DataPlaneConfiguration::decode(&read_example(DATA_PLANE, "all_limits")).expect("decoded");
    assert_eq!(all, DataPlaneConfiguration { version: 42, limits: limits() });
    let none = DataPlaneConfiguration::decode(&read_example(DATA_PLANE, "no_limits")).expect("decoded");
    assert_eq!(none, DataPlaneConfiguration { version: 1, limits: Limits::default() });
}

#[test]
fn invalid_configurations_are_refused_with_the_golden_messages() {
    let text = r#"{"version":0,"routes":[
        {"name":"a","host":"h","pathPrefix":"/p/","timeoutMs":0,"service":"nobody"},
        {"name":"b","host":"h","pathPrefix":"/p/","timeoutMs":1,"service":"s"},
        {"name":"c","host":"h","pathPrefix":"p","timeoutMs":1,"service":"s"}],
        "services":[{"name":"s"},{"name":"s"}]}"#;
    let mut lines = String::new();
    for text in [text, "{", r#"{"version":1}"#] {
        lines += &format!("{}\n", Configuration::parse(text).expect_err("invalid"));
    }
    compare_text("faults.txt", &lines);
}
