//! The configuration file, read again at SIGHUP.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{Scheduler, Server, config, nobody, take, with_worker};
use insta::assert_snapshot;
use std::time::{Duration, Instant};

// Guards a new configuration under load: SIGHUP ended the program before. The file's address goes
// before the variable's, the watch moves there at once though the old one's call still waits, a
// faulty file changes nothing, and the job that was out all the while is answered.
#[test]
fn a_reload_moves_the_watch_and_nothing_else() {
    let (scheduler, worker, discovery) = with_worker();
    let (mut client, mut notices) = (scheduler.client(), scheduler.client());
    client.job("status-check", "id-1", 60_000);
    take(worker.next());
    discovery.next().reply("200 OK", "", r#"{"seq":42,"whole":false,"hosts":[]}"#);
    let _waiting = discovery.next();
    scheduler.reload(&config(nobody(), "").replace(r#""sockets":128"#, r#""sockets":"many""#));
    let faulty = scheduler.logged("ERROR");
    assert!(faulty.contains("configuration key `limits.sockets`"), "{faulty}");
    for (seq, members, moved) in [(42, 2, Server::start()), (43, 3, Server::start())] {
        scheduler.reload(&config(moved.addr, ""));
        let call = moved.next();
        assert_eq!(call.message.start, format!("GET /v1/servers?index={seq}&wait=0 HTTP/1.1"));
        let host = moved.entry(&format!("s-{seq}"), "active");
        call.reply("200 OK", "", &format!(r#"{{"seq":43,"whole":false,"hosts":[{host}]}}"#));
        assert_eq!(moved.next().message.start, "GET /v1/servers?index=43&wait=4000 HTTP/1.1");
        // The watch calls again before the scheduler has taken the list in, and a reload goes on
        // from what the scheduler has.
        await_members(&scheduler, members);
    }
    discovery.ended();
    assert!(discovery.unasked());
    notices.notice("id-1", "s-a", r#""state":"done","result":"r""#);
    assert_eq!(client.answer().body, "r");
}

/// Waits until the scheduler knows so many workers.
fn await_members(scheduler: &Scheduler, members: usize) {
    let until = Instant::now() + Duration::from_secs(20);
    let wanted = format!(r#""members":{members},"#);
    while !scheduler.operate("GET /ops/stats").contains(&wanted) {
        assert!(Instant::now() < until, "{members} workers are not known");
    }
}

// Guards new settings under load: classes come and go and their rules change, from then on. A job
// that is open keeps the rules and the attempts that it came under, and a dropped class its counts.
#[test]
fn new_settings_apply_to_new_jobs_only() {
    let (discovery, worker, other) = (Server::start(), Server::start(), Server::start());
    let known = [worker.entry("s-a", "active"), other.entry("s-b", "active")];
    let scheduler = Scheduler::start(discovery.addr, &known, &[]);
    let asked = || {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            if let Some(call) = worker.try_next().or_else(|| other.try_next()) {
                return call;
            }
        }
        panic!("nobody is asked");
    };
    let (mut client, mut open) = (scheduler.client(), scheduler.client());
    client.job("guest-visit", "no-worker/", 60_000);
    client.answer();
    open.job("status-check", "open", 60_000);
    let call = asked();
    let edits = [
        // The class that is open may not be repeated any more, the one before it in the list is
        // gone, one is new.
        (r#""name":"status-check""#, r#""name":"card""#),
        (r#""name":"guest-visit""#, r#""name":"status-check""#),
        (r#""effect":"deduplicated""#, r#""effect":"at_most_once""#),
        (r#""maxAttempts":6"#, r#""maxAttempts":1"#),
    ];
    let known = known.join(",");
    let text = edits.iter().fold(config(discovery.addr, &known), |text, (from, to)| text.replace(from, to));
    scheduler.reload(&text);
    scheduler.logged("configuration reloaded");
    // Safe to repeat, as it was when it came in, and with more than one attempt.
    call.hang_up();
    take(asked());
    let mut notices = scheduler.client();
    for worker in ["s-a", "s-b"] {
        notices.notice("open", worker, r#""state":"done","result":"r""#);
    }
    assert_eq!(open.answer().body, "r");
    client = scheduler.client();
    client.job("guest-visit", "dropped", 60_000);
    assert_eq!(client.answer().start, "HTTP/1.1 404 Not Found");
    for (class, status) in [("card", "503 Service Unavailable"), ("status-check", "502 Bad Gateway")] {
        client = scheduler.client();
        client.job(class, class, 60_000);
        asked().hang_up();
        assert_eq!(client.answer().start, format!("HTTP/1.1 {status}"));
    }
    assert!(worker.unasked() && other.unasked());
    assert_snapshot!(scheduler.operate("GET /ops/stats").replace("},", "},\n"), @r#"
    200 {"downstream_requests":{"card":{"completed":0,"rejected":1,"failed":0},
    "guest-visit":{"completed":0,"rejected":0,"failed":1},
    "once":{"completed":0,"rejected":0,"failed":0},
    "status-check":{"completed":1,"rejected":0,"failed":1}},
    "upstream_requests":4,"pending":0,"members":2,"members_unavailable":0,"config_reloads":1,"config_reload_errors":0,"bad_input":{"Req-Id is not a plain word":1,"unknown class":1}}
    "#);
}

// Guards against half a configuration: from a file that is broken in any way nothing is taken, and
// one line says why.
#[test]
fn a_broken_configuration_file_changes_nothing() {
    let (scheduler, worker, discovery) = with_worker();
    let good = config(discovery.addr, "");
    let cases = [
        String::new(),
        good[..good.find(r#""once""#).expect("a class")].to_owned(),
        good[..good.len() - 1].to_owned(),
        good.replacen(r#""deadline":7500000000,"#, "", 1),
        good.replacen(r#""deadline":7500000000"#, r#""deadline":0"#, 1),
        good.replacen(r#""deadline":7500000000"#, r#""deadline":-7500000000"#, 1),
        good.replace(r#""maxAttempts":6"#, r#""maxAttempts":0"#),
        good.replace(r#""maxAttempts":6"#, r#""maxAttempts":"six""#),
        good.replace(r#""maxAttempts":6,"#, ""),
        good.replace(r#","drainGrace":750000000"#, ""),
        good.replace(r#""discovery":"subscribe","#, ""),
        good.replace(r#""name":"once""#, r#""name":"guest-visit""#),
    ];
    let lines = cases.clone().map(|text| {
        scheduler.reload(&text);
        let line = scheduler.logged("ERROR");
        line.split_once("not used: ").expect("a reason").1.to_owned() + "\n"
    });
    assert_snapshot!(lines.concat(), @r#"
    configuration key `ROUTER_CONFIG`: EOF while parsing a value at line 1 column 0
    configuration key `settings.grades[2].name`: EOF while parsing a value at line 4 column 290
    configuration key `ROUTER_CONFIG`: EOF while parsing an object at line 8 column 72
    configuration key `settings.grades[0]`: missing field `deadline` at line 4 column 133
    configuration key `settings.grades[0].deadline`: must be positive
    configuration key `settings.grades[0].deadline`: invalid value: integer `-7500000000`, expected u64 at line 4 column 133
    configuration key `settings.limits.maxAttempts`: must be positive
    configuration key `settings.limits.maxAttempts`: invalid type: string "six", expected u32 at line 6 column 93
    configuration key `settings.limits.maxAttempts`: is missing
    configuration key `settings.rules.drainGrace`: is missing
    configuration key `settings.discovery`: is missing
    configuration key `settings.grades[2].name`: is another class's name too
    "#);
    let figures = scheduler.operate("GET /ops/stats");
    assert!(
        figures.ends_with(&format!(r#""config_reloads":0,"config_reload_errors":{}}}"#, cases.len())),
        "{figures}"
    );
    let mut client = scheduler.client();
    client.job("guest-visit", "id-1", 60_000);
    assert_eq!(worker.next().message.header("req-id"), Some("id-1"));
}
