//! Golden test of the requests to workers and the platform, of the parsing of their responses, and
//! of the program's help text and its output when it checks settings.
#[path = "../../replication/tests/golden/support.rs"]
mod support;

use async_std::task;
use spanlead_cluster_runtime::settings::SETTINGS_PATH_VARIABLE;
use spanlead_control_plane::worker_client::WorkerClient;
use spanlead_control_plane::worker_list;
use spanlead_job_scheduler::{
    FinishedTask, JobId, ListedWorker, ListedWorkerState, RunningTask, TaskId, WorkerCall, WorkerReport,
    WorkerRequest, WorkerResponse,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use support::{compare_text, golden_path, read_text};

/// Starts a server that gives the same response to each request. Returns its address and the
/// requests that it receives.
fn serve(status: &'static str, body: String) -> (String, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let (requests, received) = channel();
    let own_address = address.clone();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let request = read_request(&mut stream).replace(&own_address, "ADDRESS");
            let _ = requests.send(request);
            let _ = write!(
                stream,
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
        }
    });
    (address, received)
}

/// Reads a request and formats it: its request line, its headers in alphabetical order, its body.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a complete head");
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).expect("a UTF-8 head");
    let mut lines: Vec<&str> = head.trim_end().split("\r\n").collect();
    lines[1..].sort_unstable();
    let length =
        lines.iter().find_map(|line| line.to_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).expect("a complete body");
    format!("{}\n\n{}\n", lines.join("\n"), String::from_utf8(body).expect("a UTF-8 body"))
}

const TASK: TaskId = TaskId { job: JobId(0x0123_4567_89ab_cdef), occurrence: 3, stage: 2, index: 11 };

fn requests() -> Vec<WorkerRequest> {
    let start = |checkpoint: &str| WorkerRequest::Start {
        task: TASK,
        run: 5,
        payload: "a text for the workers".into(),
        lease_expires_at_ms: 1_234_567,
        checkpoint: checkpoint.into(),
    };
    vec![
        start("checkpoint-4"),
        start(""),
        WorkerRequest::Stop { task: TASK, run: 5 },
        WorkerRequest::RenewLease {
            serial: 77,
            lease_expires_at_ms: Some(1_234_567),
            acknowledged_end: 9,
            wait_ms: 600,
        },
        WorkerRequest::RenewLease { serial: 78, lease_expires_at_ms: None, acknowledged_end: 0, wait_ms: 0 },
    ]
}

/// Calls a worker that gives this response. Returns the response as it was parsed and the request
/// as it was sent.
fn call(request: WorkerRequest, status: &'static str, body: &str) -> (WorkerResponse, String) {
    let (address, requests) = serve(status, body.to_owned());
    let (responses, response) = channel();
    let address = address.as_str().into();
    let call = WorkerCall {
        worker_id: "worker-1-incarnation-9".into(),
        address,
        request,
        timeout_ms: 5_000,
        fencing_token: 41,
    };
    WorkerClient::new(4).spawn(call, move |_, response| {
        let _ = responses.send(response);
    });
    (response.recv().expect("a response"), requests.recv().expect("a request"))
}

#[test]
fn worker_requests_match_the_golden_file() {
    let sent = requests().into_iter().map(|request| call(request, "200 OK", r#"{"clockMs":1}"#).1);
    compare_text("worker_requests.txt", &sent.collect::<Vec<_>>().join("\n"));
}

#[test]
fn golden_worker_responses_are_parsed_in_all_their_fields() {
    let [start, _, stop, renewal, _] = &requests()[..] else { panic!("expected five requests") };
    for request in [start, stop] {
        let (response, _) = call(request.clone(), "200 OK", r#"{"clockMs":987654}"#);
        assert_eq!(response, WorkerResponse::Acknowledged { clock_ms: 987_654 });
        let (response, _) = call(request.clone(), "409 Conflict", r#"{"clockMs":1,"reason":"room"}"#);
        assert_eq!(response, WorkerResponse::Rejected { status: 409, reason: "room".into() });
        let (response, _) = call(request.clone(), "421 Misdirected Request", "{}");
        assert_eq!(response, WorkerResponse::WrongIncarnation);
    }
    let (response, _) = call(renewal.clone(), "200 OK", &read_text("worker_report.json"));
    let running =
        vec![RunningTask { task: TASK, run: 5, checkpoint: "checkpoint-4".into(), progress_percent: 37.5 }];
    let finished = vec![FinishedTask {
        number: 10,
        task: TaskId { index: 12, ..TASK },
        run: 1,
        outcome: "failed".into(),
        checkpoint: "checkpoint-1".into(),
    }];
    let report = WorkerReport {
        clock_ms: 987_654,
        running,
        finished,
        lists_all_ends: true,
        drain_remaining_ms: Some(4_321),
    };
    assert_eq!(response, WorkerResponse::Report(report));
}

/// Guards against taking a full list of ends for a complete one, also if some of its ends can't be
/// parsed: further ends may wait at the worker.
#[test]
fn report_with_500_ends_does_not_list_all_ends() {
    let renewal = requests().pop().expect("the last request is a renewal");
    let reported = |ends: &[String]| {
        let body = format!(r#"{{"clockMs":1,"running":[],"finished":[{}]}}"#, ends.join(","));
        match call(renewal.clone(), "200 OK", &body).0 {
            WorkerResponse::Report(report) => (report.finished.len(), report.lists_all_ends),
            response => panic!("expected a report: {response:?}"),
        }
    };
    let mut ends: Vec<String> =
        (1..=499).map(|number| format!(r#"[{number},"{TASK}",1,"done",""]"#)).collect();
    assert_eq!(reported(&ends), (499, true));

    ends.push(r#"[500,"not a task",1,"done",""]"#.to_owned());
    assert_eq!(reported(&ends), (499, false), "the last end can't be parsed");

    ends[499] = format!(r#"[500,"{TASK}",1,"done",""]"#);
    assert_eq!(reported(&ends), (500, false));
}

#[test]
fn worker_list_request_matches_the_golden_file_and_the_golden_list_is_parsed() {
    let (address, requests) = serve("200 OK", read_text("platform_list.json"));
    let list = task::block_on(worker_list::fetch(&address)).expect("a valid list");
    compare_text("platform_request.txt", &requests.recv().expect("a request"));
    let with_all_fields = ListedWorker {
        id: "worker-1-incarnation-9".into(),
        service: "batch".into(),
        address: "10.1.0.1:9000".into(),
        zone: "zone-a".into(),
        state: ListedWorkerState::Ready,
        cpu_millicores: 16_000,
        memory_mb: 65_536,
        gpus: 4,
        labels: vec!["ssd".into(), "rack-9".into()],
    };
    let with_required_fields = ListedWorker {
        id: "worker-2".into(),
        service: "batch".into(),
        address: "10.1.0.2:9000".into(),
        zone: "".into(),
        state: ListedWorkerState::Draining,
        cpu_millicores: 0,
        memory_mb: 0,
        gpus: 0,
        labels: Vec::new(),
    };
    assert_eq!(list, [with_all_fields, with_required_fields]);
}

const PROGRAM_NAME: &str = "spanlead-control-plane";
const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_spanlead-control-plane");

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
    assert_eq!(check("worker_report.json", "worker_report.json"), (Some(2), expected));
}
