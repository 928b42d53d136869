//! The forms of a configuration, on the wire and for data planes, and what operators are told of
//! faults: they must not
//! change.
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

fn full() -> Configuration {
    Configuration {
        version: 42,
        routes: vec![
            Route {
                name: "nightly".into(),
                host: "jobs.example".into(),
                path_prefix: "/v1/nightly/".into(),
                route_type: Some("jobs".into()),
                timeout_ms: 3_000,
                target_latency_ms: Some(1_500.5),
                priority: Some(2),
                service: "batch".into(),
                max_attempts: Some(5),
                extension: Some(1.25),
            },
            Route {
                name: "bare".into(),
                host: "jobs.example".into(),
                path_prefix: "/".into(),
                route_type: None,
                timeout_ms: 1,
                target_latency_ms: None,
                priority: None,
                service: "plain".into(),
                max_attempts: None,
                extension: None,
            },
        ],
        services: vec![
            Service {
                name: "batch".into(),
                health_path: Some("/healthz".into()),
                max_connections: Some(17),
                guards: Some(true),
            },
            Service { name: "plain".into(), health_path: None, max_connections: None, guards: None },
        ],
        limits: limits(),
    }
}

#[test]
fn a_configuration_with_all_fields_is_read() {
    assert_eq!(Configuration::parse(&read_text("configuration.json")).expect("good"), full());
}

#[test]
fn the_parts_of_a_configuration_are_written_with_the_golden_names() {
    let configuration = full();
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
fn what_data_planes_are_told_is_encoded_to_the_golden_bytes() {
    let told = DataPlaneConfiguration::from(&full());
    compare_bytes(
        DATA_PLANE,
        &[
            ("all_limits", told.encode()),
            ("no_limits", DataPlaneConfiguration { version: 1, limits: Limits::default() }.encode()),
        ],
    );
}

#[test]
fn golden_bytes_are_decoded_to_what_data_planes_are_told() {
    let all = DataPlaneConfiguration::decode(&read_example(DATA_PLANE, "all_limits")).expect("decoded");
    assert_eq!(all, DataPlaneConfiguration { version: 42, limits: limits() });
    let none = DataPlaneConfiguration::decode(&read_example(DATA_PLANE, "no_limits")).expect("decoded");
    assert_eq!(none, DataPlaneConfiguration { version: 1, limits: Limits::default() });
}

#[test]
fn operators_are_told_of_faults_in_the_golden_words() {
    let text = r#"{"version":0,"routes":[
        {"name":"a","host":"h","pathPrefix":"/p/","timeoutMs":0,"service":"nobody"},
        {"name":"b","host":"h","pathPrefix":"/p/","timeoutMs":1,"service":"s"},
        {"name":"c","host":"h","pathPrefix":"p","timeoutMs":1,"service":"s"}],
        "services":[{"name":"s"},{"name":"s"}]}"#;
    let mut lines = String::new();
    for text in [text, "{", r#"{"version":1}"#] {
        lines += &format!("{}\n", Configuration::parse(text).expect_err("faulty"));
    }
    compare_text("faults.txt", &lines);
}
