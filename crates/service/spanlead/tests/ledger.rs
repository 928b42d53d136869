//! Durable jobs as clients, workers and operators meet them: processes that are killed, folders
//! that are taken, torn, damaged or full, repeats, and leases that end. One test for each thing
//! that can go wrong.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Call, Client, Scheduler, Server, config, durable_conf, folder, nobody, run_plain};
use insta::assert_snapshot;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};

const DONE: &str = r#""state":"done","result":"R""#;
const STARTED: &str = r#""state":"started""#;

struct World {
    discovery: Server,
    workers: Vec<Server>,
    folder: PathBuf,
}

impl World {
    fn new(workers: usize) -> Self {
        let folder = folder();
        let _ = std::fs::remove_dir_all(folder.join("ledger"));
        World { discovery: Server::start(), workers: (0..workers).map(|_| Server::start()).collect(), folder }
    }

    fn known(&self) -> Vec<String> {
        let names = ["s-a", "s-b", "s-c"];
        self.workers.iter().zip(names).map(|(w, name)| w.entry(name, "active")).collect()
    }

    fn start(&self, more: &str) -> Scheduler {
        Scheduler::start_durable(self.discovery.addr, &self.known(), &self.folder, more)
    }

    fn ledger(&self) -> PathBuf {
        self.folder.join("ledger")
    }
}

fn take(call: Call) {
    call.reply("202 Accepted", "", "");
}

/// A job of class `once` that the one worker has begun.
fn begun(scheduler: &Scheduler, world: &World) -> (Client, Client) {
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.keyed("once", "id-1", "k", "payload");
    take(world.workers[0].next());
    assert_eq!(notices.notice("id-1", "s-a", STARTED), "HTTP/1.1 200 OK");
    (client, notices)
}

// Guards the heart of it: a job that ran while its scheduler was killed is not run again, and its
// client, which comes back under a new id, has its answer; also again, after another crash.
#[test]
fn a_job_outlives_its_scheduler_and_runs_once() {
    let world = World::new(1);
    let first = world.start("");
    let (mut client, _) = begun(&first, &world);
    first.kill();
    assert!(client.closed());

    let second = world.start("");
    let mut again = second.client();
    again.keyed("once", "id-2", "k", "payload");
    // The worker goes on under the id that it knows.
    assert_eq!(second.client().notice("id-1", "s-a", DONE), "HTTP/1.1 200 OK");
    assert_eq!(again.answer().body, "R");
    second.kill();

    let third = world.start("");
    let mut late = third.client();
    late.keyed("once", "id-3", "k", "payload");
    assert_eq!(late.answer().body, "R");
    assert!(world.workers[0].unasked(), "it was sent once");
    assert!(third.operate("GET /ops/stats").contains(r#""replayed":1"#));
}

// Guards the order of a result: when the worker is told that it has been heard, the result outlives
// the process.
#[test]
fn an_acknowledged_result_is_never_lost() {
    let world = World::new(1);
    let first = world.start("");
    let (client, mut notices) = begun(&first, &world);
    drop(client);
    assert_eq!(notices.notice("id-1", "s-a", DONE), "HTTP/1.1 200 OK");
    first.kill();
    let second = world.start("");
    let mut again = second.client();
    again.keyed("once", "id-2", "k", "payload");
    assert_eq!(again.answer().body, "R");
}

// Guards against a send that isn't written down: the worker that has read the first byte of an
// attempt finds its lease in the folder, whatever happens next.
#[test]
fn an_attempt_is_written_down_before_it_goes_out() {
    let world = World::new(1);
    let first = world.start("");
    let mut client = first.client();
    client.keyed("once", "id-1", "k", "payload");
    let call = world.workers[0].next();
    first.kill();
    let shown = run_plain(&["ledger", "export", world.ledger().to_str().expect("text")]);
    let kinds: Vec<String> = String::from_utf8_lossy(&shown.stdout)
        .lines()
        .map(|line| line.split('"').nth(5).unwrap_or("").to_owned())
        .collect();
    assert_eq!(kinds[..3], ["Session", "Taken", "Leased"]);
    // What may have run is not sent again; its client is told so when nothing more is heard of it.
    drop(call);
    let second = world.start("");
    let mut again = second.client();
    again.keyed("once", "id-2", "k", "payload");
    let abandoned = world.workers[0].next();
    assert_eq!(abandoned.message.start, "DELETE /jobs/id-1 HTTP/1.1");
    abandoned.reply("200 OK", "", "");
    assert_eq!(again.answer().start, "HTTP/1.1 502 Bad Gateway");
}

// Guards repeats while the first runs: both are answered, each once, from one run; and nobody
// else's key is meant.
#[test]
fn repeats_join_and_other_requests_under_the_key_are_turned_down() {
    let world = World::new(1);
    let scheduler = world.start("");
    let (mut client, mut notices) = begun(&scheduler, &world);
    let mut twin = scheduler.client();
    twin.keyed("once", "id-2", "k", "payload");
    let mut other = scheduler.client();
    other.keyed("once", "id-3", "k", "something else");
    assert_snapshot!(other.answer().show(), @r"
    HTTP/1.1 422 Unprocessable Entity
    content-length: 50

    this Idempotency-Key was used for another request
    ");
    let mut stranger = scheduler.client();
    stranger.post(
        "/once/x",
        "Req-Id: id-4\r\nReq-Owner: kraftverket\r\nReq-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\n",
        "payload",
    );
    assert_eq!(world.workers[0].next().message.header("req-id"), Some("id-4"), "keys are their owner's");
    notices.notice("id-1", "s-a", DONE);
    assert_eq!((client.answer().body, twin.answer().body), ("R".to_owned(), "R".to_owned()));
    let figures = scheduler.operate("GET /ops/stats");
    assert!(figures.contains(r#""joined":1,"replayed":0,"mismatched":1"#), "{figures}");
    assert!(figures.contains(r#""once":{"completed":2,"rejected":0,"failed":1}"#), "{figures}");
}

// Guards the job against its first client: it goes on for whoever comes back, and a repeat's own
// deadline ends only that.
#[test]
fn a_job_goes_on_when_its_client_leaves_and_a_joined_one_has_its_own_time() {
    let world = World::new(1);
    let scheduler = world.start("");
    let (client, mut notices) = begun(&scheduler, &world);
    drop(client);
    let mut hasty = scheduler.client();
    hasty.post(
        "/once/x",
        "Req-Id: id-2\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: 300\r\nIdempotency-Key: k\r\n",
        "payload",
    );
    assert_eq!(hasty.answer().start, "HTTP/1.1 502 Bad Gateway");
    assert!(world.workers[0].unasked(), "nothing was called off");
    let mut patient = scheduler.client();
    patient.keyed("once", "id-3", "k", "payload");
    notices.notice("id-1", "s-a", DONE);
    assert_eq!(patient.answer().body, "R");
}

// Guards both orders of a repeat at the moment of the end: at once before it and at once behind it.
#[test]
fn a_repeat_at_the_moment_of_the_end_is_answered_from_it() {
    let world = World::new(1);
    let scheduler = world.start("");
    for round in 0..20 {
        let (id, key) = (format!("a-{round}"), format!("k-{round}"));
        let (mut client, mut notices) = (scheduler.client(), scheduler.client());
        let mut repeats: Vec<Client> = (0..4).map(|_| scheduler.client()).collect();
        client.keyed("once", &id, &key, "payload");
        take(world.workers[0].next());
        for (i, repeat) in repeats.iter_mut().enumerate() {
            if i == 2 {
                notices.post("/callback", "", &format!(r#"{{"id":"{id}","from":"s-a",{DONE}}}"#));
            }
            repeat.keyed("once", &format!("b-{round}-{i}"), &key, "payload");
        }
        for repeat in repeats.iter_mut().chain([&mut client]) {
            assert_eq!(repeat.answer().body, "R", "round {round}");
        }
    }
    assert!(world.workers[0].unasked());
}

// Guards leases: a worker that knows them is told of one and renews it; when it falls silent its
// attempt ends by the clock, another goes where the class allows it, and what the first says then
// is not wanted.
#[test]
fn a_silent_worker_s_lease_ends_and_its_late_word_is_fenced_off() {
    let world = World::new(2);
    let scheduler = world.start("  lease 1s\n  clock-bound 50ms\n");
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.keyed("guest-visit", "id-1", "k", "payload");
    let asked = |w: &Server| w.try_next();
    let (at, call) = loop {
        if let Some(found) = world.workers.iter().enumerate().find_map(|(i, w)| Some((i, asked(w)?))) {
            break found;
        }
    };
    let (name, other) = (["s-a", "s-b"][at], ["s-b", "s-a"][at]);
    let token = call.message.header("lease-token").expect("a lease").to_owned();
    assert_eq!(call.message.header("lease-ms"), Some("1000"));
    call.reply("202 Accepted", &format!("Lease-Token: {token}\r\n"), "");
    let renewed = notices.leased_notice("id-1", name, &token, STARTED);
    let left: u64 = renewed.header("lease-ms").expect("how long it goes on").parse().expect("a number");
    assert!((900..=1000).contains(&left), "{left}");
    // Silence. It is told that it need not finish, and the other worker of its cell has the job.
    let next = world.workers[1 - at].next();
    let fresh = next.message.header("lease-token").expect("a lease").to_owned();
    assert!(fresh.parse::<u64>().expect("a number") > token.parse().expect("a number"));
    take(next);
    assert_eq!(world.workers[at].next().message.start, "DELETE /jobs/id-1 HTTP/1.1");
    assert_eq!(notices.leased_notice("id-1", name, &token, DONE).start, "HTTP/1.1 410 Gone");
    let done = r#""state":"done","result":"the other's""#;
    assert_eq!(notices.leased_notice("id-1", other, &fresh, done).start, "HTTP/1.1 200 OK");
    assert_eq!(client.answer().body, "the other's");
    // Its repeat is heard as before; the first worker's word stays unwanted.
    assert_eq!(notices.leased_notice("id-1", other, &fresh, done).start, "HTTP/1.1 200 OK");
    assert_eq!(notices.leased_notice("id-1", name, &token, DONE).start, "HTTP/1.1 410 Gone");
}

// Guards a class that must never run twice, and leases over a crash: the one who recovers waits
// until the lease is over, then gives the job up; and one who didn't know leases is waited for as
// ever.
#[test]
fn after_a_crash_a_lease_ends_when_it_would_have() {
    let world = World::new(1);
    let lease = "  lease 1s\n  clock-bound 50ms\n";
    let first = world.start(lease);
    let (mut client, mut plain) = (first.client(), first.client());
    client.keyed("once", "id-1", "k", "payload");
    let call = world.workers[0].next();
    let token = call.message.header("lease-token").expect("a lease").to_owned();
    call.reply("202 Accepted", &format!("Lease-Token: {token}\r\n"), "");
    assert_eq!(first.client().leased_notice("id-1", "s-a", &token, STARTED).start, "HTTP/1.1 200 OK");
    plain.keyed("once", "id-2", "k2", "payload");
    take(world.workers[0].next());
    assert_eq!(first.client().notice("id-2", "s-a", STARTED), "HTTP/1.1 200 OK");
    first.kill();
    let second = world.start(lease);
    let (mut again, mut plain) = (second.client(), second.client());
    plain.keyed("once", "id-22", "k2", "payload");
    again.keyed("once", "id-12", "k", "payload");
    assert_eq!(again.answer().start, "HTTP/1.1 502 Bad Gateway");
    assert_eq!(second.client().leased_notice("id-1", "s-a", &token, DONE).start, "HTTP/1.1 410 Gone");
    assert_eq!(second.client().notice("id-2", "s-a", DONE), "HTTP/1.1 200 OK");
    assert_eq!(plain.answer().body, "R");
}

// Guards notices that come while the ledger is not open yet: they wait, and change what they are
// about.
#[test]
fn a_notice_before_the_ledger_is_read_is_not_lost() {
    let world = World::new(1);
    let first = world.start("");
    let (_client, _) = begun(&first, &world);
    first.kill();
    // As if the process before were not gone yet.
    let lock = OpenOptions::new().write(true).open(world.ledger().join("lock")).expect("a lock");
    lock.try_lock().expect("free");
    let second = world.start("");
    let (mut notices, mut again) = (second.client(), second.client());
    notices.post("/callback", "", &format!(r#"{{"id":"id-1","from":"s-a",{DONE}}}"#));
    again.keyed("once", "id-2", "k", "payload");
    drop(lock);
    assert_eq!(notices.answer().start, "HTTP/1.1 200 OK");
    assert_eq!(again.answer().body, "R");
}

// Guards the folder against two writers.
#[test]
fn a_folder_that_another_process_holds_is_not_touched() {
    let world = World::new(1);
    let first = world.start("");
    let _open = begun(&first, &world);
    let mut second = world.start("");
    second.logged("another process holds it");
    assert!(!second.wait().success());
    assert_eq!(first.health(), "HTTP/1.1 200 OK");
}

fn last_segment(ledger: &Path) -> PathBuf {
    let files = std::fs::read_dir(ledger).expect("there").map(|e| e.expect("readable").path());
    files.filter(|p| p.extension().is_some_and(|e| e == "log")).max().expect("a segment")
}

// Guards the start: a torn tail is cut with a word, damage elsewhere stops it with file and offset.
#[test]
fn a_torn_tail_is_cut_and_damage_stops_the_start() {
    let world = World::new(1);
    let first = world.start("");
    let _open = begun(&first, &world);
    first.kill();
    let segment = last_segment(&world.ledger());
    let whole = std::fs::read(&segment).expect("there");
    let torn = File::options().append(true).open(&segment).expect("there").write_all(&[1, 2, 3]);
    torn.expect("room");
    let verified = run_plain(&["ledger", "verify", world.ledger().to_str().expect("text")]);
    assert!(verified.status.success());
    let said = String::from_utf8_lossy(&verified.stdout).into_owned();
    assert!(said.contains("the last write was cut short: 3 bytes at"), "{said}");
    let second = world.start("");
    second.has_logged("was cut short, and is cut off");
    let mut again = second.client();
    again.keyed("once", "id-2", "k", "payload");
    second.client().notice("id-1", "s-a", DONE);
    assert_eq!(again.answer().body, "R");
    second.kill();

    let mut hurt = whole;
    hurt[60] ^= 1;
    std::fs::write(&segment, &hurt).expect("room");
    let mut third = world.start("");
    assert!(!third.wait().success());
    let verified = run_plain(&["ledger", "verify", world.ledger().to_str().expect("text")]);
    let said = String::from_utf8_lossy(&verified.stderr).into_owned();
    assert!(said.contains("damaged at byte 32: a frame's checksum does not match"), "{said}");
}

// Guards against a disk that takes nothing more: new durable jobs are refused at once with advice,
// the open ones end with their results, what needs no ledger is served, and operators see it. The
// next process goes on from what was whole.
#[test]
fn a_full_disk_turns_new_jobs_away_and_ends_the_open_ones() {
    let world = World::new(1);
    let scheduler = Scheduler::start_cramped(world.discovery.addr, &world.known(), &world.folder, 8);
    let (mut client, mut notices) = begun(&scheduler, &world);
    let mut more = scheduler.client();
    more.keyed("once", "id-2", "k-2", &"x".repeat(5000));
    let refused = more.answer();
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(refused.start, "HTTP/1.1 503 Service Unavailable");
    scheduler.logged("durable job log failed");
    assert!(scheduler.operate("GET /ops/readiness").starts_with("503"));
    assert_eq!(scheduler.health(), "HTTP/1.1 503 Service Unavailable");
    let figures = scheduler.operate("GET /ops/stats");
    assert!(figures.contains(r#""failed":true"#), "{figures}");
    let mut plain = scheduler.client();
    plain.post("/status-check/x", "Req-Id: id-3\r\nReq-Owner: norrtrim\r\nReq-Deadline-Ms: 9000\r\n", "");
    take(world.workers[0].next());
    notices.notice("id-3", "s-a", r#""state":"done","result":"plain""#);
    assert_eq!(plain.answer().body, "plain");
    assert_eq!(notices.notice("id-1", "s-a", DONE), "HTTP/1.1 200 OK");
    assert_eq!(client.answer().body, "R");
    scheduler.kill();
    // That answer was given without being written down: the job is open again, and not sent again.
    let next = world.start("");
    let mut again = next.client();
    again.keyed("once", "id-4", "k", "payload");
    next.client().notice("id-1", "s-a", DONE);
    assert_eq!(again.answer().body, "R");
    assert!(world.workers[0].unasked());
}

// Guards upgrades: the successor has the folder and the open jobs, with their clients' connections,
// and never writes beside its predecessor.
#[test]
fn a_successor_takes_the_ledger_over_with_the_open_jobs() {
    let world = World::new(1);
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let conf = durable_conf(&world.folder, "");
    let start = || {
        Scheduler::start_beside_with(&platform, &world.folder, world.discovery.addr, &world.known(), &conf)
    };
    let mut first = start();
    let (mut client, _) = begun(&first, &world);
    let mut twin = first.client();
    twin.keyed("once", "id-2", "k", "payload");
    let second = start();
    first.logged("successor=true");
    first.terminate();
    first.logged("durable job log released to the successor");
    second.logged("durable job log open");
    assert!(first.wait().success());
    assert_eq!(second.client().notice("id-1", "s-a", DONE), "HTTP/1.1 200 OK");
    assert_eq!((client.answer().body, twin.answer().body), ("R".to_owned(), "R".to_owned()));
    let mut again = second.client();
    again.keyed("once", "id-3", "k", "payload");
    assert_eq!(again.answer().body, "R");
    assert!(world.workers[0].unasked());
}

// Guards the operators' commands, on a folder at rest.
#[test]
fn operators_see_and_compact_a_folder_at_rest() {
    let world = World::new(1);
    let scheduler = world.start("");
    let _open = begun(&scheduler, &world);
    let mut done = scheduler.client();
    done.keyed("once", "id-2", "k-2", "payload");
    take(world.workers[0].next());
    scheduler.client().notice("id-2", "s-a", DONE);
    assert_eq!(done.answer().body, "R");
    let path = world.ledger();
    let path = path.to_str().expect("text");
    let refused = run_plain(&["ledger", "compact", path]);
    assert!(String::from_utf8_lossy(&refused.stderr).contains("a process serves on this folder"));
    scheduler.kill();
    let words = |args: &[&str]| {
        let output = run_plain(args);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        String::from_utf8(output.stdout).expect("text")
    };
    let shown = words(&["ledger", "show", path]);
    let rows: Vec<Vec<&str>> = shown.lines().map(|l| l.split_whitespace().take(8).collect()).collect();
    assert_eq!(rows[1], ["1", "started", "once", "norrtrim", "k", "id-1", "s-a", "(1)"]);
    assert!(rows[2][1] == "answered" || rows[2][1] == "ended", "{shown}");
    assert!(shown.contains("2 shown; 1 open and 1 ended in all"), "{shown}");
    assert!(words(&["ledger", "show", path, "--key", "k-2"]).contains("1 shown"));
    assert!(words(&["ledger", "compact", path]).contains("1 open and 1 ended jobs kept, 0 expired"));
    // But for the due times, which another process's clock may read a little differently.
    let after = words(&["ledger", "show", path]);
    let again: Vec<Vec<&str>> = after.lines().map(|l| l.split_whitespace().take(8).collect()).collect();
    assert_eq!(again, rows);
    assert!(words(&["ledger", "verify", path]).contains("carried"));
    let jobs = words(&["ledger", "export", path, "--jobs"]);
    assert_eq!(jobs.lines().count(), 2);
    let second = world.start("");
    let mut again = second.client();
    again.keyed("once", "id-3", "k-2", "payload");
    assert_eq!(again.answer().body, "R");
}

#[test]
fn faulty_settings_are_told_before_anything_starts() {
    let world = World::new(0);
    let conf = durable_conf(&world.folder, "  leese 5s\n  keep forever\n");
    let conf = conf.to_str().expect("text");
    let output = run_plain(&["check", "--conf", conf]);
    assert!(!output.status.success());
    assert_snapshot!(String::from_utf8_lossy(&output.stderr).replace(conf, "FILE"), @r"
    spanlead: the settings can't be used:
    FILE:3: leese: is unknown in section `ledger`; `lease` is near
    FILE:4: keep: `forever` is not a span with a unit, such as 250ms, 10s or 5min
    ");
    let good = config(nobody(), "");
    assert!(good.contains("once"));
}
