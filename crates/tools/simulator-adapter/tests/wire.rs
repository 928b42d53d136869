//! The adapter as the simulator sees it: lines in, lines out, and a message on bad input.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const OPTIONS: &str = r#"{"az":0,"azs":["a","b"],"discovery":"subscribe","later":{"unknown":[1,2]},
"familyInfo":{"classKind":[-1,-1],"classPriority":[0,1],"classStretch":[2.0,1.5],"progress":0,"queueOrder":"fifo","reportX0":"free slots"},
"grades":[{"aim":120000000,"deadline":5000000000,"dedupScope":"all","effect":"at_most_once","keyTtl":5000000000,"lateShare":0.5,"name":"x","streaming":false,"value":2.0},
{"aim":750000000,"deadline":20000000000,"dedupScope":"cell","effect":"deduplicated","keyTtl":30000000000,"lateShare":0.2,"name":"y","streaming":true,"value":5.0}],
"kinds":["k"],"limits":{"cancel":true,"maxAttempts":3,"probes":PROBES,"retryAfter":true,"maxRetryAfter":2000000000,"secondCopies":true},
"me":0,"nInstances":2,"prices":{"probe":0.002},"report":{"fields":["x0"],"via":"answers"},"round":5000000,
"rules":{"answerSlack":20000000,"askEvery":10000000000,"cold":8700000000,"coldFrom":0.31,"drainGrace":500000000,"tipAfter":2000000000,"tipMultiple":3.0},"tenants":[]}"#;

const LIST: &str = r#"{"ANNOUNCE":{"who":3,"generation":1,"scope":"restored","rowsIn":[{"readyAt":null,"familyType":0,"worker":"worker_a","scale":1,"readiness":"healthy","az":0,"cell":0}]}}"#;

fn configure(probes: bool) -> String {
    let options = OPTIONS.replace("PROBES", &probes.to_string()).replace('\n', "");
    format!(r#"{{"CONFIGURE":{{"who":3,"salt":9,"options":{options}}}}}"#)
}

fn batch(number: u64, now: u64, events: &[&str]) -> String {
    format!(r#"{{"simTime":{now},"batch":{number},"input":[{}]}}"#, events.join(","))
}

fn call(id: u64, class: u32) -> String {
    format!(
        r#"{{"CALL":{{"who":3,"msgId":{id},"slots":1,"team":0,"mem":null,"type":{class},"item":null,"isRetry":false,"estimate":null,"timeLeft":4000000000,"again":false,"write":false,"novel":1}}}}"#
    )
}

fn ended(id: u64, how: &str, closed: bool) -> String {
    format!(
        r#"{{"ENDED":{{"who":3,"msgId":{id},"info":null,"how":"{how}","roundNo":0,"noMore":{closed},"lag":18500000,"worker":"worker_a","telemetry":{{"utilization":0.62,"x0":1}}}}}}"#
    )
}

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_spanlead-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // A rejected line ends the adapter early; what is then left unwritten does not matter.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn replies(lines: &[String]) -> Vec<String> {
    let output = run(lines);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text").lines().map(str::to_owned).collect()
}

#[test]
fn request_is_delivered_and_its_answer_accepted() {
    let lines = [
        batch(1, 1_000, &[]),
        batch(2, 2_000, &[&configure(false), LIST]),
        batch(3, 3_000, &[&call(7, 0)]),
        batch(4, 4_000, &[&ended(7, "Ok", true), r#"{"GONE":{"who":3,"msgId":7}}"#]),
        batch(5, 5_000, &[r#"{"SHUTDOWN":{"who":3}}"#, &configure(false), LIST]),
    ];
    let replies = replies(&lines);
    assert_eq!(replies[0], r#"{"batch":1,"decisions":[]}"#);
    assert!(replies[1].contains(r#"{"SCHEDULE":{"who":3,"offset":"#), "{}", replies[1]);
    let send = r#"{"batch":3,"decisions":[{"DELIVER":{"who":3,"msgId":7,"tryFor":0,"worker":"worker_a"}}]}"#;
    assert_eq!(replies[2], send);
    assert_eq!(replies[3], r#"{"batch":4,"decisions":[]}"#);
    assert_eq!(replies.len(), 5);
}

#[test]
fn every_outcome_is_read() {
    for (how, answer) in [
        ("Failed", "ERROR"),
        ("TimedOut", "ERROR"),
        ("ResetByPeer", "ERROR"),
        ("Canceled", "ERROR"),
        ("Ignored", "BOUNCE"),
        ("QueueFull", "SCHEDULE"),
        ("ConnectError", "SCHEDULE"),
    ] {
        let lines = [
            batch(1, 2_000, &[&configure(false), LIST]),
            batch(2, 3_000, &[&call(7, 0)]),
            batch(3, 4_000, &[&ended(7, how, false)]),
        ];
        let reply = replies(&lines).pop().expect("three replies");
        assert!(reply.contains(&format!(r#"{{"{answer}":{{"who":3"#)), "{how}: {reply}");
    }
}

#[test]
fn probes_timers_streams_notices_and_mail_are_read() {
    let lines = [
        batch(1, 2_000, &[&configure(true), LIST]),
        batch(2, 3_000, &[&call(7, 1)]),
        batch(
            3,
            2_003_000,
            &[
                r#"{"HEALTH_RESULT":{"who":3,"how":"Ok","lag":1400000,"worker":"worker_a","telemetry":{"x0":2}}}"#,
                r#"{"MAIL":{"who":3,"neighbour":1,"data":"68692037"}}"#,
            ],
        ),
        batch(4, 7_003_000, &[r#"{"RING":{"who":3,"ref":4}}"#]),
        batch(
            5,
            8_003_000,
            &[
                r#"{"NOTICE":{"who":3,"msgId":7,"roundNo":0,"worker":"worker_a","what":1,"level":null}}"#,
                r#"{"NOTICE":{"who":3,"msgId":7,"roundNo":0,"worker":"worker_a","what":2,"level":0.5}}"#,
                r#"{"STREAMING":{"who":3,"msgId":7,"worker":"worker_a","roundNo":0,"lag":9250000}}"#,
                r#"{"ANNOUNCE":{"who":3,"generation":2,"scope":"unavailable","rowsIn":[]}}"#,
            ],
        ),
    ];
    let replies = replies(&lines);
    assert!(replies[1].contains(r#"{"INSPECT":{"who":3,"worker":"worker_a"}}"#), "{}", replies[1]);
    assert!(replies[2].contains(r#"{"SCHEDULE":{"who":3,"offset":0,"ref":4}}"#), "{}", replies[2]);
    assert!(replies[3].contains("DELIVER"), "{}", replies[3]);
    assert_eq!(replies.len(), 5);
}

#[test]
fn bad_line_is_named_and_ends_the_adapter() {
    let cases = [
        ("{\"simTime\":1,".to_owned(), "batch"),
        (batch(5, 1, &[r#"{"CALL":{"who":"x"}}"#]), "batch 5: field input[0]"),
        (batch(6, 1, &[r#"{"RING":{"who":8,"ref":1}}"#]), "batch 6: "),
        (batch(7, 1, &[r#"{"NOVEL":{"who":8}}"#]), "NOVEL"),
        (batch(8, 1, &[&configure(false).replace("at_most_once", "maybe")]), "unknown effect `maybe`"),
        (batch(9, 1, &[&configure(false).replace("\"waste\"", "\"w\"").replace("0.002", "-1")]), "prices"),
        (batch(10, 1, &[&configure(false), LIST, &call(1, 9)]), "type 9"),
        (batch(11, 1, &[&configure(false), LIST, &ended(1, "Odd", true)]), "unknown how `Odd`"),
    ];
    for (line, words) in cases {
        let output = run(std::slice::from_ref(&line));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(message.contains(words) && message.trim_end().lines().count() == 1, "{words}: {message}");
        assert!(output.stdout.is_empty(), "{line}");
    }
}

/// The text of a rejected line is read by others: it names containers by the words that it always
/// had, whatever the types are called.
#[test]
fn messages_of_rejected_lines_keep_their_names() {
    let options = |field: &str| {
        let options = format!(r#"{{"grades":[],{field}}}"#);
        batch(4, 1, &[&format!(r#"{{"CONFIGURE":{{"who":3,"salt":9,"options":{options}}}}}"#)])
    };
    let cases = [
        (batch(4, 1, &[r#"{"CONFIGURE":{"who":3,"salt":9,"options":5}}"#]), "struct Options"),
        (options(r#""familyInfo":3"#), "struct FamilyInfo"),
        (options(r#""limits":3"#), "struct Limits"),
        (options(r#""prices":3"#), "struct Prices"),
        (options(r#""report":3"#), "struct ReportForm"),
        (options(r#""rules":3"#), "struct Rules"),
        (options(r#""tenants":[3]"#), "struct Tenant"),
        (batch(4, 1, &[&configure(false).replace(r#""grades":["#, r#""grades":[3,"#)]), "struct Grade"),
        (
            batch(4, 1, &[r#"{"ENDED":{"who":3,"msgId":1,"how":"Ok","roundNo":0,"telemetry":3}}"#]),
            "struct Figures",
        ),
    ];
    for (line, expected) in cases {
        let output = run(std::slice::from_ref(&line));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(message.contains(&format!("expected {expected} at ")), "{expected}: {message}");
    }
}
