//! Connections to workers: kept, reused and closed.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Scheduler, Server, take};
use std::time::{Duration, Instant};

// Guards against a reset that leaves open whether a job has run: a worker may close a kept
// connection at any time, so each job goes out on a new one; what abandons it may use one that
// holds, also behind one that doesn't.
#[test]
fn jobs_are_dispatched_on_new_connections() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [(r#""connIdle":10000000000"#, r#""connIdle":1000000000000"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let (mut client, mut other, mut notices) = (scheduler.client(), scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 60_000);
    let first = worker.next();
    let kept = first.stream.peer_addr().expect("open");
    take(first);
    // The notices' answers show that the 202s have been read, and at last the end of a connection.
    notices.notice("id-1", "s-a", r#""state":"started""#);
    other.job("status-check", "id-2", 60_000);
    let second = worker.next();
    assert_ne!(second.stream.peer_addr().expect("open"), kept);
    let closed = second.stream.try_clone().expect("a handle");
    take(second);
    notices.notice("id-2", "s-a", r#""state":"started""#);
    closed.shutdown(std::net::Shutdown::Both).expect("open");
    worker.ended();
    notices.notice("id-2", "s-a", r#""state":"running","share":0.5"#);
    // A connection is used again when it has settled.
    std::thread::sleep(Duration::from_millis(60));
    drop(other);
    let call = worker.next();
    assert_eq!(call.message.start, "DELETE /jobs/id-2 HTTP/1.1");
    assert_eq!(call.stream.peer_addr().expect("open"), kept);
}

// Guards the price of handshakes: where the settings name one, a job goes out on the connection
// that the last one left, and on a new one where the worker has closed that. One that breaks under
// a job takes the other kept ones to that worker with it.
#[test]
fn jobs_reuse_connections_where_handshakes_have_a_price() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [(r#""round":"#, r#""prices":{"handshake":0.05},"round":"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let mut notices = scheduler.client();
    let mut clients: Vec<_> = (1..=6).map(|_| scheduler.client()).collect();
    let mut send = |class: &str, n: usize| {
        clients[n - 1].job(class, &format!("id-{n}"), 60_000);
        let call = worker.next();
        assert_eq!(call.message.header("req-id"), Some(format!("id-{n}").as_str()));
        (call.stream.peer_addr().expect("open"), call)
    };
    // The notices' answers show that the 202s have been read.
    let mut started = |n: usize| {
        notices.notice(&format!("id-{n}"), "s-a", r#""state":"started""#);
        // A connection is used again when it has settled.
        std::thread::sleep(Duration::from_millis(60));
    };
    let (kept, first) = send("status-check", 1);
    take(first);
    started(1);
    let (again, second) = send("status-check", 2);
    assert_eq!(again, kept);
    // While that one is in use, a second one opens.
    let (beside, third) = send("status-check", 3);
    assert_ne!(beside, kept);
    take(third);
    started(3);
    take(second);
    started(2);
    let (last, fourth) = send("once", 4);
    assert_eq!(last, kept);
    fourth.hang_up();
    (0..2).for_each(|_| worker.ended());
    // Closed by the worker between jobs, it costs no job anything.
    let (new, fifth) = send("status-check", 5);
    assert!(new != kept && new != beside);
    let closed = fifth.stream.try_clone().expect("a handle");
    take(fifth);
    started(5);
    closed.shutdown(std::net::Shutdown::Both).expect("open");
    worker.ended();
    assert_ne!(send("once", 6).0, new);
    assert_eq!(clients[3].answer().start, "HTTP/1.1 502 Bad Gateway");
}

// Guards workers against blame for our own want of descriptors: it passed for a refused connection,
// and the worker was set aside for seconds.
#[test]
fn no_worker_is_ejected_for_lack_of_own_descriptors() {
    let (discovery, workers) = (Server::start(), [Server::start(), Server::start(), Server::start()]);
    let names = ["s-a", "s-b", "s-c"];
    let known: Vec<_> = workers.iter().zip(names).map(|(w, name)| w.entry(name, "active")).collect();
    let edits = [(r#""sockets":128"#, r#""sockets":81"#), (r#""maxAttempts":6"#, r#""maxAttempts":1"#)];
    let scheduler = Scheduler::start(discovery.addr, &known, &edits);
    let ask = |id: String| {
        let mut client = scheduler.client();
        client.job("status-check", &id, 60_000);
        client
    };
    let asked = |n: usize| {
        let mut calls = Vec::new();
        let began = Instant::now();
        while calls.len() < n {
            assert!(began.elapsed() < Duration::from_secs(20), "{} of {n} are asked", calls.len());
            calls.extend(workers.iter().zip(names).filter_map(|(w, name)| Some((name, w.try_next()?))));
        }
        calls
    };
    let mut clients: Vec<_> = (0..10).map(|n| ask(format!("id-{n}"))).collect();
    // All ten connections are taken while these wait for their 202.
    let held = asked(10);
    assert_eq!(ask("late".to_owned()).answer().start, "HTTP/1.1 503 Service Unavailable");
    let mut notices = scheduler.client();
    for (name, call) in held {
        let id = call.message.header("req-id").expect("an id").to_owned();
        take(call);
        notices.notice(&id, name, r#""state":"done","result":"r""#);
    }
    clients.iter_mut().for_each(|client| assert_eq!(client.answer().body, "r"));
    let _clients: Vec<_> = (0..3).map(|n| ask(format!("again-{n}"))).collect();
    let mut used: Vec<_> = asked(3).into_iter().map(|(name, _)| name).collect();
    used.sort_unstable();
    assert_eq!(used, names);
}

// Guards against a reset under a request: idle connections go well before the worker's limit for
// them.
#[test]
fn an_idle_connection_is_closed_before_the_worker_would() {
    let (discovery, worker) = (Server::start(), Server::start());
    let edits = [(r#""connIdle":10000000000"#, r#""connIdle":400000000"#)];
    let scheduler = Scheduler::start(discovery.addr, &[worker.entry("s-a", "active")], &edits);
    let _client = scheduler.taken(&worker, "status-check", "id-1", 10_000);
    worker.ended();
}
