//! Settings files: valid ones are read, invalid values are refused with an error that names the
//! field, and files with a missing field or without valid JSON are refused as malformed.
use spanlead_cluster_runtime::settings::{Settings, SettingsError};

fn read(text: &str) -> Result<Settings, SettingsError> {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("written");
    Settings::read(&file.path().to_string_lossy())
}

const VALID: &str = r#"{"node":"core-1","ip":"127.0.0.1","listenAddrs":{"control":"127.0.0.1:9"},"portRange":[5,9],
 "seeds":["127.0.0.1:9","127.0.0.2:9"],"faultTolerance":{"machines":1},"later":{"field":[1]},
 "bounds":{"graceS":6,"far_x":1.5}}"#;

#[test]
fn settings_are_read_and_peer_addresses_of_seeds_have_the_peer_port() {
    let settings = read(VALID).expect("valid");
    assert_eq!(settings.seed_peer_addresses(), ["127.0.0.1:5", "127.0.0.2:5"]);
    assert_eq!((settings.tolerated_failures(), settings.shutdown_grace_ms()), (1, 6_000));
    assert!((settings.scheduler_config().remote_data_slowdown - 1.5).abs() < 1e-9);
}

#[test]
fn invalid_values_are_refused_by_field_and_incomplete_settings_as_malformed() {
    let error = |text: &str| read(text).expect_err("invalid").to_string();
    assert!(error(&VALID.replace("[5,9]", "[9,5]")).contains("portRange"));
    assert!(error(&VALID.replace("127.0.0.2:9", "nowhere")).contains("seeds"));
    assert!(error(&VALID.replace("\"node\":\"core-1\",", "")).contains("missing"));
    assert!(matches!(read("{"), Err(SettingsError::Malformed(_))));
}
