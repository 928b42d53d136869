//! Golden test of the program's help text and of its output when it checks settings.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use spanlead_cluster_runtime::settings::SETTINGS_PATH_VARIABLE;
use std::process::Command;
use support::{compare_text, golden_path};

const PROGRAM_NAME: &str = "spanlead-data-plane";
const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_spanlead-data-plane");

#[test]
fn help_text_matches_the_golden_file() {
    let output = Command::new(PROGRAM_PATH).arg("--help").output().expect("the program runs");
    assert!(output.status.success());
    compare_text(
        &format!("help-{PROGRAM_NAME}.txt"),
        &String::from_utf8(output.stdout).expect("UTF-8 output"),
    );
}

#[test]
fn check_option_accepts_valid_settings_and_rejects_invalid_ones_with_status_2() {
    let check = |file: &str, name: &str| {
        let file = golden_path(file);
        let output = Command::new(PROGRAM_PATH)
            .arg("--check")
            .env(SETTINGS_PATH_VARIABLE, &file)
            .output()
            .expect("the program runs");
        let text = [output.stdout, output.stderr].concat();
        let path = file.to_string_lossy().into_owned();
        (output.status.code(), String::from_utf8(text).expect("UTF-8 output").replace(&path, name))
    };
    let valid = check("../../../runtime/tests/golden/boot.json", "boot.json");
    assert_eq!(valid, (Some(0), "core-1: settings are good\n".to_owned()));
    let expected = "worker_report.json: no settings: a field is missing or of another type\n".to_owned();
    assert_eq!(
        check("../../../control-plane/tests/golden/worker_report.json", "worker_report.json"),
        (Some(2), expected)
    );
}
