//! Moments in which two events cross: each test forces the bad order, by events.
//! `docs/design/crossings.md` lists them all.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Call, Client, Scheduler, Server, folder, take, with_worker};
use rustix::net::sockopt::set_socket_linger;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

fn list(seq: u64, rows: &str) -> String {
    format!(r#"{{"seq":{seq},"whole":false,"hosts":[{rows}]}}"#)
}

/// A scheduler that knows one worker, `s-a`, and has a watch at discovery that stands.
fn with_watch() -> (Scheduler, Server, Server) {
    let (scheduler, worker, discovery) = with_worker();
    discovery.next().reply("200 OK", "", &list(42, ""));
    (scheduler, worker, discovery)
}

// Guards against sends to what drains: a watch that falls silent in the moment of a change was
// given up after 6 s, by when the change counts as told, and only then came the back-off and
// another call. What the new call may take, 1 s, must fit in as well.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_its_news_counts_as_told() {
    let (_scheduler, _worker, discovery) = with_watch();
    let silent = discovery.next();
    let since = Instant::now();
    assert_eq!(discovery.next().message.start, "GET /v1/servers?index=42&wait=0 HTTP/1.1");
    assert!(since.elapsed() + Duration::from_secs(1) < TOLD, "{:?}", since.elapsed());
    drop(silent);
}

// Guards against the same after many failed calls: the back-off alone grew to 6 s.
#[test]
fn a_discovery_that_is_back_is_heard_before_its_news_counts_as_told() {
    let (scheduler, worker, discovery) = with_watch();
    let other = Server::start();
    discovery.next().reply("503 Service Unavailable", "", "");
    for _ in 0..6 {
        discovery.next().reply("503 Service Unavailable", "", "");
    }
    // From here on discovery can be reached, and has a change.
    let back = Instant::now();
    let call = discovery.next();
    assert!(back.elapsed() + Duration::from_secs(2) < TOLD, "asked only after {:?}", back.elapsed());
    call.reply(
        "200 OK",
        "",
        &list(43, &[worker.entry("s-a", "leaving"), other.entry("s-b", "active")].join(",")),
    );
    discovery.next();
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 10_000);
    take(other.next());
    assert!(worker.unasked());
}

// Guards a discovery with many callers: calls given up after 1 s, as it was about to answer them,
// came again and kept it busy for good.
#[test]
fn a_discovery_that_takes_its_time_is_waited_for() {
    let (discovery, worker) = (Server::start(), Server::start());
    let _scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &[]);
    let slow = discovery.next();
    thread::sleep(Duration::from_millis(1500));
    assert!(discovery.unasked());
    slow.reply("200 OK", "", &list(42, ""));
    assert_eq!(discovery.next().message.start, "GET /v1/servers?index=42&wait=4000 HTTP/1.1");
}

// Guards against work for nobody: HTTP reads no further than the request that it serves once there
// is more, so the end of a client that had sent more was not seen, and attempts for it went on.
#[test]
fn a_client_that_sent_more_than_its_request_is_seen_to_leave() {
    let (scheduler, worker, _discovery) = with_watch();
    let mut client = scheduler.taken(&worker, "status-check", "id-1", 60_000);
    client.write("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
    scheduler.client().notice("id-1", "s-a", r#""state":"started""#);
    drop(client);
    assert_eq!(worker.next().message.start, "DELETE /jobs/id-1 HTTP/1.1");
}

// Guards against the same where the client has left before its request was read: it is not taken at
// all.
#[test]
fn a_request_whose_client_left_before_it_was_read_is_not_sent_on() {
    let (scheduler, worker, _discovery) = with_watch();
    // It has served one before, so that nothing but the order below is left to chance.
    let _client = scheduler.taken(&worker, "status-check", "id-0", 60_000);
    scheduler.pause();
    let mut gone = scheduler.client();
    gone.job("status-check", "id-1", 60_000);
    gone.write("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
    drop(gone);
    let mut next = scheduler.client();
    next.job("status-check", "id-2", 60_000);
    scheduler.resume();
    assert_eq!(worker.next().message.header("req-id"), Some("id-2"));
    assert!(worker.unasked());
}

// Guards a planned restart: a request that had begun to come in before the end was taken when
// nobody decided any more, and had no answer.
#[test]
fn a_request_that_is_whole_only_when_the_last_connections_close_is_answered() {
    let (mut scheduler, worker, _discovery) = with_watch();
    let (mut half, mut idle) = (scheduler.client(), scheduler.client());
    half.write(
        "POST /status-check/x HTTP/1.1\r\nHost: backend.local\r\nReq-Id: id-1\r\nReq-Owner: norrtrim\r\n",
    );
    // This answer shows that the half has been read.
    assert!(scheduler.health().contains("200"));
    scheduler.terminate();
    assert!(idle.closed());
    half.write("Req-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\nContent-Length: 7\r\n\r\npayload");
    let answer = half.answer();
    assert_eq!(answer.start, "HTTP/1.1 503 Service Unavailable");
    assert!(half.ended_in_order());
    assert!(scheduler.wait().success());
    assert!(worker.unasked());
}

// Guards the grace for drains: a send waits for a descriptor, and for its connection, no longer
// than a worker that is told to drain meanwhile may still be sent to.
#[test]
fn a_job_that_waits_for_a_connection_past_the_grace_for_drains_is_not_sent() {
    let (discovery, worker) = (Server::start(), Server::start());
    // Five connections to workers at a time.
    let edits = [
        (r#""sockets":128"#, r#""sockets":64"#),
        (r#""connectTimeout":250000000"#, r#""connectTimeout":5000000000"#),
        (r#""drainGrace":750000000"#, r#""drainGrace":200000000"#),
    ];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let mut clients: Vec<Client> = (0..6).map(|_| scheduler.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.job("status-check", &format!("id-{n}"), 15_000);
    }
    let mut held: Vec<Call> = (0..5).map(|_| worker.next()).collect();
    assert!(worker.unasked());
    discovery.next().reply("200 OK", "", &list(42, &worker.entry("s-a", "leaving")));
    // The news has been read when the next call comes; then the grace passes, and a connection
    // comes free.
    discovery.next();
    thread::sleep(Duration::from_millis(400));
    let sent: Vec<String> =
        held.iter().filter_map(|c| c.message.header("req-id").map(str::to_owned)).collect();
    take(held.remove(0));
    let waits = (0..6).find(|n| !sent.contains(&format!("id-{n}"))).expect("one waits");
    assert_eq!(clients[waits].answer().start, "HTTP/1.1 503 Service Unavailable");
    assert!(worker.unasked());
}

// Guards discovery's share of the descriptors: clients fill all that they can get and rest, while
// discovery can't be reached.
#[test]
fn clients_that_fill_the_descriptors_while_discovery_is_down_shut_nobody_out() {
    let (scheduler, worker, discovery) = with_watch();
    let other = Server::start();
    discovery.next().hang_up();
    let mut idle: Vec<TcpStream> = Vec::new();
    for _ in 0..160 {
        let mut stream = TcpStream::connect(scheduler.addr).expect("it listens");
        // Every other one is proven by an answer, and rests then.
        if idle.len().is_multiple_of(2) {
            let _ = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
        }
        idle.push(stream);
    }
    let news = [worker.entry("s-a", "leaving"), other.entry("s-b", "active")].join(",");
    discovery.next().reply("200 OK", "", &list(43, &news));
    discovery.next();
    let mut client = scheduler.client();
    client.job("status-check", "id-1", 15_000);
    take(other.next());
    scheduler.client().notice("id-1", "s-b", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
    assert!(worker.unasked());
    drop(idle);
}

// Guards the exchange that follows one whose answer came twice: on a kept connection the second
// answer was taken for the next job's, and a job that its worker had declined was waited for until
// its time was over.
#[test]
fn a_second_answer_is_not_taken_for_that_of_the_next_job() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [(r#""round":"#, r#""prices":{"handshake":0.05},"round":"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let (mut first, mut second) = (scheduler.client(), scheduler.client());
    first.job("once", "id-1", 60_000);
    let call = worker.next();
    let (kept, mut late) =
        (call.stream.peer_addr().expect("open"), call.stream.try_clone().expect("a handle"));
    let taken = Instant::now();
    take(call);
    // This answer shows that the 202 has been read.
    scheduler.client().notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(first.answer().body, "r");
    second.job("once", "id-2", 60_000);
    let call = worker.next();
    let settled = taken.elapsed() >= Duration::from_millis(50);
    assert!(
        settled || call.stream.peer_addr().expect("open") != kept,
        "the next job came {:?} later",
        taken.elapsed()
    );
    // The second 202 comes while the next job waits for its own answer.
    let _ = late.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
    call.reply("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
    if !settled {
        assert_eq!(second.answer().start, "HTTP/1.1 503 Service Unavailable");
    }
}

// Guards the worker of a job that is being handed over to a successor: its client leaves before
// that has read the request, and what the predecessor began is called off all the same.
#[test]
fn a_client_that_leaves_while_its_job_is_handed_over_has_it_called_off() {
    let (discovery, worker) = (Server::start(), Server::start());
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = folder();
    let known = [worker.entry("s-a", "active")];
    let start = || Scheduler::start_beside(&platform, &folder, discovery.addr, &known, &[]);
    let mut old = start();
    let mut client = old.client();
    client.job("once", "id-1", 60_000);
    take(worker.next());
    let new = start();
    old.logged("successor=true");
    // A notice for the job shows that the link stands, in both directions.
    new.client().notice("id-1", "s-a", r#""state":"started""#);
    new.pause();
    old.terminate();
    old.logged("handed over");
    drop(client);
    new.resume();
    assert_eq!(worker.next().message.start, "DELETE /jobs/id-1 HTTP/1.1");
    assert!(old.wait().success());
}

// Guards a restart while discovery is down, with no list of workers kept: the scheduler is ready
// soon after discovery is back, well within the 10 s in which nine in ten have to be.
#[test]
fn a_scheduler_without_a_list_is_ready_soon_after_discovery_is_back() {
    let (discovery, worker) = (Server::start(), Server::start());
    let scheduler = Scheduler::start(discovery.addr, &[], &[]);
    for _ in 0..4 {
        discovery.next().hang_up();
    }
    assert!(scheduler.health().contains("503"));
    let back = Instant::now();
    discovery.next().reply("200 OK", "", &list(42, &worker.entry("s-a", "active")));
    // The next call shows that the list has been read.
    discovery.next();
    assert!(scheduler.health().contains("200"));
    assert!(back.elapsed() < Duration::from_secs(5), "ready after {:?}", back.elapsed());
}

/// A worker that reads so many bytes of a job's first attempt and resets the connection; any
/// further attempt of it is declined, and told of.
fn resetting(read: Arc<AtomicUsize>, seen: Arc<Mutex<HashSet<String>>>, again: Sender<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            // Looked at, not read: what is read decides what the system tells of the reset.
            let mut text = vec![0; 4096];
            let whole = |text: &[u8]| text.windows(11).any(|w| w == b"\r\n\r\npayload");
            let mut n = 0;
            while !whole(&text[..n]) {
                n = stream.peek(&mut text).expect("a job comes whole");
            }
            let head = String::from_utf8_lossy(&text[..n]).to_lowercase();
            let id = head.split("req-id: ").nth(1).and_then(|t| t.lines().next()).expect("an id").to_owned();
            if seen.lock().expect("whole").insert(id.clone()) {
                let mut part = vec![0; read.load(Ordering::Relaxed).min(n)];
                stream.read_exact(&mut part).expect("it is there");
                set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket");
                read.store(n, Ordering::Relaxed);
            } else {
                stream.read_exact(&mut text[..n]).expect("it is there");
                let _ = stream.write_all(
                    b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
                );
                again.send(id).expect("the test listens");
            }
        }
    });
    addr
}

// Guards a class that may never run twice: whatever a worker had read of it when it reset the
// connection, its last byte had left here, so it may have run and is not sent again.
#[test]
fn an_unsafe_job_is_not_sent_again_after_a_reset_at_any_byte() {
    let discovery = Server::start();
    let (read, seen) = (Arc::new(AtomicUsize::new(usize::MAX)), Arc::new(Mutex::new(HashSet::new())));
    let (to, again) = channel();
    let stand_in = Server::start();
    let entries: Vec<String> = ["s-a", "s-b"]
        .iter()
        .map(|name| {
            let addr = resetting(read.clone(), seen.clone(), to.clone());
            stand_in.entry(name, "active").replace(&stand_in.addr.to_string(), &addr.to_string())
        })
        .collect();
    let scheduler = Scheduler::start(discovery.addr, &entries, &[]);
    let mut client = scheduler.client();
    // The first tells how long an attempt is; then resets at every byte.
    client.job("once", "id-whole", 15_000);
    assert_eq!(client.answer().start, "HTTP/1.1 502 Bad Gateway");
    let length = read.load(Ordering::Relaxed);
    assert!((100..1000).contains(&length), "{length} bytes");
    for bytes in 0..=length {
        read.store(bytes, Ordering::Relaxed);
        client.job("once", &format!("id-{bytes:05}"), 15_000);
        assert_eq!(
            client.answer().start,
            "HTTP/1.1 502 Bad Gateway",
            "reset after {bytes} of {length} bytes"
        );
    }
    assert!(again.try_recv().is_err(), "sent again");
}
