//! The laboratory's command line, word for word.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../../service/wal/tests/golden/data.rs"]
mod golden;

use std::process::Command;

const COMMANDS: [&str; 8] = ["", "check", "run", "compare", "report", "load", "relay", "replay"];

fn help(command: &str) -> String {
    let args: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
    let output = Command::new(env!("CARGO_BIN_EXE_spanlead-lab")).args(&args).output().expect("it starts");
    let [out, err] = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
    let code = output.status.code().expect("it ends by itself");
    format!("$ spanlead-lab {}\n{out}{err}exit status {code}\n", args.join(" "))
}

#[test]
fn help_keeps_its_text() {
    golden::assert_text("help.txt", &COMMANDS.map(help).join("\n"));
}
