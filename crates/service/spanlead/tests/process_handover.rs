//! The end of a process, and a second process that takes over.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Scheduler, Server, folder, take, with_worker};
use insta::assert_snapshot;
use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixListener;

/// A good head, but for what says how long the body is.
fn head(id: &str, deadline_ms: u64) -> String {
    format!(
        "POST /status-check/x HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: {deadline_ms}\r\n"
    )
}

// Guards a planned restart: what is owed is answered, notices still come in, nothing else is taken
// for long, and the process ends by itself.
#[test]
fn shutdown_finishes_open_jobs() {
    let (mut scheduler, worker, _discovery) = with_worker();
    let (mut client, mut idle) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 10_000);
    take(worker.next());
    scheduler.terminate();
    // The idle connection closes only when new requests have stopped being taken.
    assert!(idle.closed());
    assert_eq!(scheduler.health(), "HTTP/1.1 503 Service Unavailable");
    let mut late = scheduler.client();
    late.job("status-check", "id-2", 10_000);
    assert_snapshot!(late.answer().show(), @r"
    HTTP/1.1 503 Service Unavailable
    retry-after: 0.300
    connection: close
    content-length: 8

    no room
    ");
    assert!(late.closed());
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    let answer = client.answer();
    assert_eq!((answer.body.as_str(), answer.header("connection")), ("r", Some("close")));
    assert!(scheduler.wait().success());
    assert!(worker.unasked());
}

// Guards a hand-over in a folder whose path is longer than a Unix socket's address holds.
#[test]
fn a_successor_connects_in_a_folder_with_a_long_path() {
    let (discovery, worker) = (Server::start(), Server::start());
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = folder().join("f".repeat(120));
    std::fs::create_dir_all(&folder).expect("a writable folder");
    let known = [worker.entry("s-a", "active")];
    let start = || Scheduler::start_beside(&platform, &folder, discovery.addr, &known, &[]);
    let mut old = start();
    let mut client = old.client();
    client.job("once", "id-1", 60_000);
    take(worker.next());
    let new = start();
    old.logged("successor=true");
    old.terminate();
    assert!(old.wait().success());
    new.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

// Guards an upgrade: two processes serve by one inherited socket. Neither a file left behind nor
// the peers' address, which the old one holds, hinders the new one; a notice that reaches the wrong
// process finds its job; the old one, told to end, takes no connection any more, hands what is open
// to the new one with its clients' connections, and ends before that is done; the rules on repeats
// go on from what was tried.
#[test]
fn a_successor_takes_over_without_loss() {
    let (discovery, worker) = (Server::start(), Server::start());
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peers = UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a port");
    let edits = [
        (r#""cancel":true"#, r#""cancel":true,"peerMessages":true"#),
        (r#""seed":"#, &format!(r#""peer_listen":"{peers}","seed":"#)),
    ];
    let folder = folder();
    // By way of the open folder, whose own path may be longer than a socket's address holds.
    let open = File::open(&folder).expect("a folder");
    let left_behind = format!("/proc/self/fd/{}/n0.sock", open.as_raw_fd());
    drop(UnixListener::bind(left_behind).expect("a socket that is left behind"));
    let known = [worker.entry("s-a", "active")];
    let start = || Scheduler::start_beside(&platform, &folder, discovery.addr, &known, &edits);
    let mut old = start();
    let [mut soon, mut client, mut lost, mut slow, mut idle] = std::array::from_fn(|_| old.client());
    for (id, client) in [("id-0", &mut soon), ("id-1", &mut client), ("id-2", &mut lost)] {
        client.job("once", id, 60_000);
        take(worker.next());
    }
    slow.write(&head("id-3", 60_000));
    // It serves all these connections before there is another who could.
    old.health();
    let new = start();
    old.logged("successor=true");
    assert_eq!(new.operate("GET /ops/readiness"), "200 yes\n");
    old.terminate();
    old.logged("stopping");
    // Only the new one accepts by now, and the old one has the job.
    let done = r#""state":"done","result":"r""#;
    assert_eq!(new.client().notice("id-0", "s-a", done), "HTTP/1.1 200 OK");
    assert_eq!(soon.answer().body, "r");
    assert!(idle.closed());
    slow.write("Content-Length: 0\r\n\r\n");
    take(worker.next());
    assert!(old.wait().success());
    new.logged("predecessor=false");
    for (id, client) in [("id-1", &mut client), ("id-3", &mut slow)] {
        new.client().notice(id, "s-a", done);
        assert_eq!(client.answer().body, "r");
    }
    new.client().notice("id-2", "s-a", r#""state":"lost""#);
    assert_eq!(lost.answer().start, "HTTP/1.1 502 Bad Gateway");
    assert!(worker.unasked());
    // The connection goes on where it is now.
    client.job("once", "id-4", 60_000);
    assert_eq!(worker.next().message.header("req-id"), Some("id-4"));
    UdpSocket::bind(peers).expect_err("the new one has taken the peers' address");
    assert_snapshot!(new.operate("GET /ops/stats").replace("},", "},\n"), @r#"
    200 {"downstream_requests":{"guest-visit":{"completed":0,"rejected":0,"failed":0},
    "once":{"completed":1,"rejected":0,"failed":1},
    "status-check":{"completed":1,"rejected":0,"failed":0}},
    "upstream_requests":1,"pending":1,"members":1,"members_unavailable":0,"config_reloads":0,"config_reload_errors":0}
    "#);
}
