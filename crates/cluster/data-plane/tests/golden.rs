//! The help of the program and its words about settings: they must not change.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use spanlead_cluster_runtime::settings::SETTINGS_PATH_VARIABLE;
use std::process::Command;
use support::{compare_text, path_of};

const NAME: &str = "spanlead-data-plane";
const PROGRAM: &str = env!("CARGO_BIN_EXE_spanlead-data-plane");

#[test]
fn help_of_the_program_stays() {
    let output = Command::new(PROGRAM).arg("--help").output().expect("it runs");
    assert!(output.status.success());
    compare_text(&format!("help-{NAME}.txt"), &String::from_utf8(output.stdout).expect("text"));
}

#[test]
fn the_program_checks_settings_in_the_golden_words() {
    let check = |file: &str, name: &str| {
        let file = path_of(file);
        let output = Command::new(PROGRAM)
            .arg("--check")
            .env(SETTINGS_PATH_VARIABLE, &file)
            .output()
            .expect("it runs");
        let text = [output.stdout, output.stderr].concat();
        let path = file.to_string_lossy().into_owned();
        (output.status.code(), String::from_utf8(text).expect("text").replace(&path, name))
    };
    let good = check("../../../runtime/tests/golden/boot.json", "boot.json");
    assert_eq!(
        good,
        (
            Some(0),
            "core-1: settings are good
"
            .to_owned()
        )
    );
    let what = "worker_report.json: no settings: a field is missing or of another type
"
    .to_owned();
    assert_eq!(
        check("../../../control-plane/tests/golden/worker_report.json", "worker_report.json"),
        (Some(2), what)
    );
}
