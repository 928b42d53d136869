//! What the operators' standing test of the whole fleet asks of the process that `run` starts: it
//! stays one process, without children, linked against the C library, with nothing but sockets of
//! IPv4, and ends on SIGTERM in order.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Client, Scheduler, Server};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Jobs under way at a time, and how often each client brings one.
const CLIENTS: usize = 12;
const ROUNDS: usize = 10;

/// The line `run` of the deploy file, with the program of this build as `$0`.
fn run_line() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/balancer.toml");
    let text = fs::read_to_string(path).expect("a deploy file");
    let run = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("a line `run`");
    let line = run.trim().trim_matches('"').replace("target/release/spanlead", "\"$0\"");
    assert!(line.contains("\"$0\""), "`{run}` starts another program");
    line
}

/// What is against the page in the process that was started, as the system shows it.
fn faults(id: u32) -> Vec<String> {
    let mut faults = Vec::new();
    let own = fs::read_link(format!("/proc/{id}/exe")).expect("it runs");
    if own != fs::canonicalize(env!("CARGO_BIN_EXE_spanlead")).expect("built") {
        faults.push(format!("the process is {}, not the program: `run` doesn't end by exec", own.display()));
    }
    for entry in fs::read_dir("/proc").expect("proc").flatten() {
        let stat = fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        // proc(5): the parent is the fourth field, counted behind the name, which ends with the
        // last bracket.
        let parent = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
        if parent == Some(id.to_string().as_str()) {
            faults.push(format!("it has a child: {}", stat.split(')').next().unwrap_or("")));
        }
    }
    // A child that has ended and was waited for shows in what its parent counts of children's page
    // faults and time.
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    for (name, at) in [("minor faults", 8), ("major faults", 10), ("user time", 13), ("system time", 14)] {
        if fields[at] != "0" {
            faults.push(format!("it had children: their {name} is {}", fields[at]));
        }
    }
    if !fs::read_to_string(format!("/proc/{id}/maps")).expect("it runs").contains("/libc.so.6") {
        faults.push("it is not linked dynamically against the C library".into());
    }
    if held(id).iter().any(|to| to.contains("io_uring")) {
        faults.push("it holds a ring of io_uring".into());
    }
    faults.extend(unix_sockets(id));
    faults
}

/// What its descriptors stand for.
fn held(id: u32) -> BTreeSet<String> {
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).expect("it runs").flatten();
    descriptors.filter_map(|fd| Some(fs::read_link(fd.path()).ok()?.to_string_lossy().into_owned())).collect()
}

/// The Unix sockets that it holds by a name where somebody could come.
fn unix_sockets(id: u32) -> Vec<String> {
    let held = held(id);
    let all = fs::read_to_string(format!("/proc/{id}/net/unix")).unwrap_or_default();
    let named = all.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        (fields.len() > 7 && held.contains(&format!("socket:[{}]", fields[6])))
            .then(|| format!("it listens at {}", fields[7]))
    });
    named.collect()
}

/// Jobs under way all the time, looked at between them; what was against the page.
fn under_load(scheduler: &Scheduler, workers: &[Server]) -> Vec<String> {
    let mut found = Vec::new();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| scheduler.client()).collect();
    let mut notices = scheduler.client();
    for round in 0..ROUNDS {
        for (i, client) in clients.iter_mut().enumerate() {
            client.job("status-check", &format!("id-{round}-{i}"), 20_000);
        }
        found.extend(faults(scheduler.id()));
        let mut done = 0;
        while done < CLIENTS {
            for (worker, name) in workers.iter().zip(["s-a", "s-b", "s-c"]) {
                let Some(call) = worker.try_next() else { continue };
                let Some(id) = call.message.header("req-id").map(str::to_owned) else {
                    call.reply("200 OK", "", "");
                    continue;
                };
                call.reply("202 Accepted", "", "");
                let said = notices.notice(&id, name, r#""state":"done","result":"R""#);
                assert_eq!(said, "HTTP/1.1 200 OK");
                done += 1;
            }
        }
        for client in &mut clients {
            assert_eq!(client.answer().start, "HTTP/1.1 200 OK");
        }
    }
    found.extend(faults(scheduler.id()));
    found
}

fn start(line: &str) -> (Scheduler, Vec<Server>, Server) {
    let discovery = Server::start();
    let workers: Vec<Server> = (0..3).map(|_| Server::start()).collect();
    let known: Vec<String> =
        workers.iter().zip(["s-a", "s-b", "s-c"]).map(|(w, name)| w.entry(name, "active")).collect();
    let scheduler = Scheduler::start_by(line, discovery.addr, &known);
    (scheduler, workers, discovery)
}

// Guards the terms of the standing test: more processes, a static link or a ring would stop the
// fleet's clock.
#[test]
fn the_program_as_deployed_stays_one_process_and_ends_in_order() {
    let (mut scheduler, workers, _discovery) = start(&run_line());
    assert_eq!(under_load(&scheduler, &workers), Vec::<String>::new());

    // What was taken before the signal is answered after it, and then the end is one in order.
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "last", 20_000);
    let (name, call) = loop {
        let mut calls = workers.iter().zip(["s-a", "s-b", "s-c"]);
        if let Some(found) = calls.find_map(|(w, name)| Some((name, w.try_next()?))) {
            break found;
        }
    };
    call.reply("202 Accepted", "", "");
    scheduler.terminate();
    scheduler.logged("stopping");
    assert_eq!(faults(scheduler.id()), Vec::<String>::new());
    assert_eq!(notices.notice("last", name, r#""state":"done","result":"R""#), "HTTP/1.1 200 OK");
    assert_eq!(client.answer().body, "R");
    assert!(client.ended_in_order(), "a reset could destroy the answer");
    assert!(scheduler.wait().success(), "its exit code says that it ended in order");
}

// Guards the guard: lines that break the terms are seen, whether the child lives on or is gone.
#[test]
fn lines_that_break_the_terms_are_seen() {
    for (line, seen) in [
        ("sleep 60 & exec \"$0\" serve", "it has a child"),
        ("/bin/true; exec \"$0\" serve", "it had children"),
        ("\"$0\" serve; exit $?", "doesn't end by exec"),
    ] {
        let (scheduler, workers, _discovery) = start(line);
        let found = under_load(&scheduler, &workers);
        assert!(found.iter().any(|fault| fault.contains(seen)), "{line}: {found:?}");
        end_children(scheduler.id());
    }
}

/// Ends what the line started beside the program.
fn end_children(parent: u32) {
    for entry in fs::read_dir("/proc").expect("proc").flatten() {
        let stat = fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        let field = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
        let id = entry.file_name().to_string_lossy().parse::<i32>();
        if let (Some(field), Ok(id)) = (field, id)
            && field == parent.to_string()
            && let Some(id) = rustix::process::Pid::from_raw(id)
        {
            let _ = rustix::process::kill_process(id, rustix::process::Signal::KILL);
        }
    }
}
