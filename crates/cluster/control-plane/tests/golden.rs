//! What workers and the platform are asked and answer, and the help of the program: none of it may
//! change.
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
use support::{compare_text, path_of, read};

/// A server that gives one answer to each request, and tells the requests.
fn serve(status: &'static str, body: String) -> (String, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let (requests, received) = channel();
    let own = address.clone();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let request = read_request(&mut stream).replace(&own, "ADDRESS");
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

/// A request: its first line, its other lines in order of the alphabet, its body.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).expect("text");
    let mut lines: Vec<&str> = head.trim_end().split("\r\n").collect();
    lines[1..].sort_unstable();
    let length =
        lines.iter().find_map(|line| line.to_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).expect("a body");
    format!("{}\n\n{}\n", lines.join("\n"), String::from_utf8(body).expect("text"))
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

/// What a call comes to at a worker that gives this answer, and the request as it was sent.
fn call(request: WorkerRequest, status: &'static str, body: &str) -> (WorkerResponse, String) {
    let (address, requests) = serve(status, body.to_owned());
    let (answers, answer) = channel();
    let address = address.as_str().into();
    let call = WorkerCall {
        worker_id: "worker-1-incarnation-9".into(),
        address,
        request,
        timeout_ms: 5_000,
        fencing_token: 41,
    };
    WorkerClient::new(4).spawn(call, move |_, response| {
        let _ = answers.send(response);
    });
    (answer.recv().expect("told"), requests.recv().expect("requested"))
}

#[test]
fn workers_are_sent_the_golden_requests() {
    let sent = requests().into_iter().map(|request| call(request, "200 OK", r#"{"clockMs":1}"#).1);
    compare_text("worker_requests.txt", &sent.collect::<Vec<_>>().join("\n"));
}

#[test]
fn golden_answers_of_workers_are_read() {
    let [start, _, stop, renewal, _] = &requests()[..] else { panic!("five requests") };
    for request in [start, stop] {
        let (response, _) = call(request.clone(), "200 OK", r#"{"clockMs":987654}"#);
        assert_eq!(response, WorkerResponse::Acknowledged { clock_ms: 987_654 });
        let (response, _) = call(request.clone(), "409 Conflict", r#"{"clockMs":1,"reason":"room"}"#);
        assert_eq!(response, WorkerResponse::Rejected { status: 409, reason: "room".into() });
        let (response, _) = call(request.clone(), "421 Misdirected Request", "{}");
        assert_eq!(response, WorkerResponse::WrongIncarnation);
    }
    let (response, _) = call(renewal.clone(), "200 OK", &read("worker_report.json"));
    let running =
        vec![RunningTask { task: TASK, run: 5, checkpoint: "checkpoint-4".into(), progress_percent: 37.5 }];
    let finished = vec![FinishedTask {
        number: 10,
        task: TaskId { index: 12, ..TASK },
        run: 1,
        outcome: "failed".into(),
        checkpoint: "checkpoint-1".into(),
    }];
    let report = WorkerReport { clock_ms: 987_654, running, finished, drain_remaining_ms: Some(4_321) };
    assert_eq!(response, WorkerResponse::Report(report));
}

#[test]
fn the_platform_is_sent_the_golden_request_and_its_golden_list_is_read() {
    let (address, requests) = serve("200 OK", read("platform_list.json"));
    let list = task::block_on(worker_list::fetch(&address)).expect("a list");
    compare_text("platform_request.txt", &requests.recv().expect("requested"));
    let full = ListedWorker {
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
    let bare = ListedWorker {
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
    assert_eq!(list, [full, bare]);
}

const NAME: &str = "spanlead-control-plane";
const PROGRAM: &str = env!("CARGO_BIN_EXE_spanlead-control-plane");

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
    assert_eq!(check("worker_report.json", "worker_report.json"), (Some(2), what));
}
