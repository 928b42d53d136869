//! What the operators' program tells of its commands and options, and of a configuration's file:
//! this must not change.
#[path = "../../../cluster/replication/tests/golden/support.rs"]
mod support;

use std::process::{Command, Output};
use support::{compare_text, golden_path};

/// The program with all its commands, as they are asked for help.
const COMMANDS: [&str; 10] =
    ["", "try", "soak", "members", "workers", "job", "config", "config show", "config check", "config put"];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_spanlead-cluster")).args(arguments).output().expect("it runs")
}

#[test]
fn help_stays() {
    let mut text = String::new();
    for command in COMMANDS {
        let mut arguments: Vec<&str> = command.split_whitespace().collect();
        arguments.push("--help");
        let output = run(&arguments);
        assert!(output.status.success(), "{command}");
        text += &format!("$ spanlead-cluster {}\n", arguments.join(" "));
        text += &String::from_utf8(output.stdout).expect("text");
        text += "\n";
    }
    compare_text("help.txt", &text);
}

/// A command that is not in `COMMANDS` would have no golden help.
#[test]
fn every_command_has_golden_help() {
    for parent in ["", "config"] {
        let mut arguments: Vec<&str> = parent.split_whitespace().collect();
        arguments.push("--help");
        let help = String::from_utf8(run(&arguments).stdout).expect("text");
        let commands = help.lines().skip_while(|line| *line != "Commands:").skip(1);
        let names =
            commands.take_while(|line| !line.is_empty()).filter_map(|line| line.split_whitespace().next());
        let names: Vec<String> =
            names.filter(|name| *name != "help").map(|n| format!("{parent} {n}")).collect();
        assert!(!names.is_empty());
        for name in names {
            assert!(COMMANDS.contains(&name.trim()), "{name}");
        }
    }
}

#[test]
fn a_configuration_is_checked_with_the_golden_words() {
    let good = golden_path("../../../../cluster/cluster-config/tests/golden/configuration.json");
    let output = run(&["config", "check", &good.to_string_lossy()]);
    assert_eq!(String::from_utf8_lossy(&output.stdout), "version 42: 2 routes are good\n");
    assert_eq!(output.status.code(), Some(0));
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("faulty.json");
    let faulty =
        std::fs::read_to_string(&good).expect("read").replace(r#""timeoutMs": 1,"#, r#""timeoutMs": 0,"#);
    std::fs::write(&file, faulty).expect("written");
    let output = run(&["config", "check", &file.to_string_lossy()]);
    let told = String::from_utf8_lossy(&output.stderr).replace(&file.to_string_lossy().into_owned(), "FILE");
    assert_eq!(told, "FILE: route bare: timeoutMs is 0\n");
    assert_eq!(output.status.code(), Some(2));
}
