//! Dispatch of jobs to workers, and the workers' notices.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Scheduler, Server, take, with_worker};
use insta::assert_snapshot;

// Guards the passage of a job: what a worker needs goes on unchanged, and its result comes back
// whole.
#[test]
fn a_job_is_dispatched_and_its_result_returned() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 5000);
    let call = worker.next();
    let left = call.message.header("req-deadline-ms").expect("a deadline").to_owned();
    assert!((1..=5000).contains(&left.parse::<u64>().expect("whole milliseconds")));
    assert_snapshot!(call.message.show().replace(&left, "LEFT"), @r"
    POST /status-check/x?y=1 HTTP/1.1
    host: backend.local
    req-id: id-1
    req-deadline-ms: LEFT
    idempotency-key: k-id-1
    content-length: 7

    payload
    ");
    take(call);
    notices.notice("id-1", "s-a", r#""state":"started""#);
    notices.notice("id-1", "s-a", r#""state":"done","result":"a \"result\"","load":{"x0":1}"#);
    assert_snapshot!(client.answer().show(), @r#"
    HTTP/1.1 200 OK
    content-length: 10

    a "result"
    "#);
}

// Guards the matching of notices: they overtake the 202, repeat, come late or for another's job,
// and are malformed.
#[test]
fn only_a_matching_notice_changes_anything() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 10_000);
    let call = worker.next();
    let ok = "HTTP/1.1 200 OK";
    assert_eq!(notices.notice("id-1", "s-other", r#""state":"done","result":"wrong worker""#), ok);
    assert_eq!(notices.notice("id-2", "s-a", r#""state":"done","result":"wrong job""#), ok);
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"done","result":"right""#), ok);
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"done","result":"again""#), ok);
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"failed""#), ok);
    take(call);
    assert_eq!(client.answer().body, "right");
    assert_eq!(notices.notice("id-1", "s-a", r#""state":"strange""#), "HTTP/1.1 400 Bad Request");
    notices.post("/callback", "", "{");
    assert_eq!(notices.answer().start, "HTTP/1.1 400 Bad Request");
}

// Guards against two attempts under one id: a second request with the id of one still open is not
// taken.
#[test]
fn a_second_request_with_an_open_id_is_refused() {
    let (scheduler, worker, _discovery) = with_worker();
    let (mut first, mut second) = (scheduler.client(), scheduler.client());
    first.job("status-check", "id-1", 10_000);
    take(worker.next());
    second.job("status-check", "id-1", 10_000);
    assert_eq!(second.answer().start, "HTTP/1.1 409 Conflict");
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(first.answer().body, "r");
    assert!(worker.unasked());
}

// Guards the end of a request whose worker has gone silent: an answer by its deadline, and the job
// called off.
#[test]
fn a_silent_worker_times_out_at_the_deadline() {
    let (scheduler, worker, _discovery) = with_worker();
    let mut client = scheduler.taken(&worker, "guest-visit", "id-1", 300);
    assert_eq!(client.answer().start, "HTTP/1.1 502 Bad Gateway");
    let call = worker.next();
    assert_eq!(call.message.start, "DELETE /jobs/id-1 HTTP/1.1");
    // Unheard, it is said again.
    call.hang_up();
    assert_eq!(worker.next().message.start, "DELETE /jobs/id-1 HTTP/1.1");
}

// Guards against work for nobody: when the client leaves, the worker is told.
#[test]
fn a_job_is_cancelled_when_its_client_disconnects() {
    let (scheduler, worker, _discovery) = with_worker();
    let client = scheduler.taken(&worker, "status-check", "id-1", 10_000);
    // Before the 202 closing the connection would do; this answer shows that it has been read.
    scheduler.client().notice("id-1", "s-a", r#""state":"started""#);
    drop(client);
    assert_eq!(worker.next().message.start, "DELETE /jobs/id-1 HTTP/1.1");
}

// Guards the passage of load reports, whose names on sockets are their own: the module waits for a
// free slot.
#[test]
fn a_health_check_report_decides_whether_a_job_is_dispatched() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [
        (r#""cancel":true"#, r#""cancel":true,"probes":true"#),
        (r#""round":"#, r#""report":{"via":"answers"},"familyInfo":{"reportX0":"free slots"},"round":"#),
    ];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 10_000);
    for report in ["TEXT x0=0, util=0.9", r#"{"x0":0.0,"util":0.9}"#, "TEXT x0=2.1, util=0.1"] {
        let probe = worker.next();
        assert_eq!(probe.message.start, "GET /load HTTP/1.1");
        probe.reply("200 OK", "", report);
    }
    assert_eq!(worker.next().message.header("req-id"), Some("id-1"));
}
