//! The simulator's wire, word for word: a story with every kind of event, and all that the adapter
//! says to it.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../../service/wal/tests/golden/data.rs"]
mod golden;

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(text: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_spanlead-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // What a rejected line leaves unwritten does not matter.
    let _ = child.stdin.take().expect("piped").write_all(text.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn said(output: Output) -> String {
    let code = output.status.code().expect("it ends by itself");
    let [out, err] = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
    format!("{out}{err}exit status {code}\n")
}

// Guards the contract with the simulator: each event's names are read, and each decision's written,
// as ever. The last line
// speaks to an instance that has ended, and ends the adapter.
#[test]
fn a_story_with_every_event_is_answered_as_ever() {
    golden::assert_text("answers.txt", &said(run(&golden::read("turns.txt"))));
}

// Guards the names of all fields that must be there: without one the line is refused by its name.
#[test]
fn each_required_field_is_asked_for_by_its_name() {
    let events = [
        "CONFIGURE",
        "ANNOUNCE",
        "CALL",
        "STREAMING",
        "ENDED",
        "GONE",
        "RING",
        "HEALTH_RESULT",
        "MAIL",
        "SHUTDOWN",
        "NOTICE",
        "OTHER",
    ];
    let mut all = String::new();
    for event in events {
        let mut fields: Vec<(String, &str)> = Vec::new();
        loop {
            let body: Vec<String> =
                fields.iter().map(|(name, value)| format!(r#""{name}":{value}"#)).collect();
            let line = format!(r#"{{"simTime":1,"batch":1,"input":[{{"{event}":{{{}}}}}]}}"#, body.join(","));
            let answer = said(run(&line));
            let Some(name) = answer.split("missing field `").nth(1).and_then(|rest| rest.split('`').next())
            else {
                all.push_str(&format!("{event}\t{}\n", answer.lines().next().unwrap_or("")));
                break;
            };
            let value = match name {
                "options" => r#"{"grades":[]}"#,
                "scope" => r#""other""#,
                "how" | "worker" | "data" => r#""-""#,
                _ => "1",
            };
            all.push_str(&format!("{event}\t{name}\n"));
            fields.push((name.to_owned(), value));
        }
    }
    golden::assert_text("fields.txt", &all);
}

// Guards the names of the fields that may be absent: one of a form that none can have is refused by
// its name, where one that
// is not known would be passed over.
#[test]
fn each_optional_field_is_read_by_its_name() {
    let call = r#""who":1,"msgId":1,"type":0,"timeLeft":1"#;
    let ended = r#""who":1,"msgId":1,"how":"Ok","roundNo":0"#;
    let probed = r#""who":1,"how":"Ok","worker":"w""#;
    let notice = r#""who":1,"msgId":1,"roundNo":0,"what":1"#;
    let row = r#""worker":"w","readiness":"healthy""#;
    let events = [
        ("ANNOUNCE", r#""who":1,"scope":"update""#, "rowsIn"),
        ("CALL", call, "slots mem team item estimate"),
        ("ENDED", ended, "noMore lag telemetry"),
        ("HEALTH_RESULT", probed, "lag telemetry"),
        ("NOTICE", notice, "level"),
    ];
    let faulty = |event: &str, body: &str| {
        let answer = said(run(&format!(r#"{{"simTime":1,"batch":1,"input":[{{"{event}":{{{body}}}}}]}}"#)));
        let line = answer.lines().next().unwrap_or("").to_owned();
        // Neither where in the text it stands nor the name of a type in the code is a promise.
        let line = line.split(" at line ").next().unwrap_or("");
        line.split(" expected struct ").next().unwrap_or("").to_owned() + "\n"
    };
    let mut all = String::new();
    for (event, needed, fields) in events {
        for field in fields.split(' ') {
            all.push_str(&faulty(event, &format!(r#"{needed},"{field}":"wrong""#)));
        }
    }
    for field in ["readyAt", "familyType", "scale", "az", "cell"] {
        let body = format!(r#""who":1,"scope":"update","rowsIn":[{{{row},"{field}":"wrong"}}]"#);
        all.push_str(&faulty("ANNOUNCE", &body));
    }
    golden::assert_text("optional.txt", &all);
}
