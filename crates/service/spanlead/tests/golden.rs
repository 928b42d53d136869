//! What operators, scripts and the processes of the version before rely on, word for word: folders
//! at rest, the commands' help and output, and the JSON of the operators' door.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{PATIENCE, Scheduler, Server, folder, run_plain, run_with_conf};
use serde_json::{Value, json};
use spanlead_durable_jobs::{
    AcceptedJob, ClockAnchor, FencingToken, Job, JobNumber, JobOutcome, JobState, Lease, PastAttempt, Record,
    RetrySafety, Session, WorkerLocation, encode,
};
use spanlead_wal::{DiskDirectory, LogOptions, WriteAheadLog};
use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- a ledger's folder

const LEDGER: &str = "ledger";
/// A busy machine's disk may take longer for a sync than a client waits; what is compared here
/// doesn't hang on it.
const NO_SYNC: &str = "  sync no\n";
/// The second group closes the first segment.
const SEGMENT: u64 = 900;
const SEC: u64 = 1_000_000_000;
/// The first day of 2026.
const BEGIN: u64 = 1_767_225_600 * SEC;

/// A moment that no run of this test comes to: the first day of 2200.
const FAR: u64 = 7_258_118_400 * SEC;

fn session(boot: &str, next: u64) -> Record {
    let anchor = ClockAnchor { boot_id: boot.into(), uptime: 1_000 * SEC, process_clock: BEGIN };
    Record::Session(Session { anchor, next_job: JobNumber(next), next_token: FencingToken(next) })
}

/// A request as the ledger keeps it: method, path, headers and body, each with its length before
/// it.
fn text(class: &str, id: &str) -> Vec<u8> {
    let word = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
    [word("POST"), word(&format!("/{class}/x")), vec![1], word("req-id"), word(id), word("payload")].concat()
}

fn taken(job: u64, class: &str, key: Option<&str>, retry_safety: RetrySafety) -> AcceptedJob {
    let id = format!("id-{job}");
    AcceptedJob {
        number: JobNumber(job),
        id: id.as_str().into(),
        key: key.map(Into::into),
        class: class.into(),
        tenant: "norrtrim".into(),
        fingerprint: [job as u8; 16],
        retry_safety,
        accepted_at: BEGIN + job * SEC,
        deadline: BEGIN + (job + 15) * SEC,
        slots: 1.0,
        memory: 0.5,
        affinity_key: job.is_multiple_of(2).then_some(job * 1_000),
        encoded_request: text(class, &id).into(),
        inherited_attempts: Vec::new(),
    }
}

fn place(worker: &str) -> WorkerLocation {
    WorkerLocation { worker: worker.into(), addr: ([127, 0, 0, 1], 9).into(), zone: "solna".into(), cell: 3 }
}

fn leased(job: u64, token: u64, worker: &str) -> Record {
    let (sent_at, expires_at) = (BEGIN + (job + 1) * SEC, BEGIN + (job + 11) * SEC);
    Record::Leased {
        job: JobNumber(job),
        token: FencingToken(token),
        location: place(worker),
        sent_at,
        expires_at,
    }
}

fn past(token: u64, may_have_run: bool) -> PastAttempt {
    PastAttempt { location: place("s-a"), sent_at: BEGIN + 5 * SEC, may_have_run, token: FencingToken(token) }
}

fn ended(job: u64, outcome: JobOutcome) -> Record {
    Record::Finished { job: JobNumber(job), finished_at: BEGIN + (job + 2) * SEC, outcome }
}

fn carried(accepted: AcceptedJob, past_attempts: Vec<PastAttempt>, state: JobState) -> Record {
    Record::Snapshot(Box::new(Job { accepted, past_attempts, state }))
}

/// The records in their groups: open jobs at each stage, ended ones with each end, with keys and
/// without.
fn groups() -> Vec<Vec<Record>> {
    let (job, token) = (JobNumber, FencingToken);
    let window = RetrySafety::Deduplicated(25 * SEC);
    let lease = Lease {
        token: token(41),
        location: place("s-b"),
        sent_at: BEGIN + 41 * SEC,
        expires_at: BEGIN + 51 * SEC,
        acknowledged: true,
        lease_aware: true,
    };
    let again = AcceptedJob {
        inherited_attempts: vec![past(4, true)],
        ..taken(8, "guest-visit", Some("k-4"), window)
    };
    vec![
        vec![session("boot-1", 1)],
        vec![
            Record::Accepted(taken(1, "status-check", None, RetrySafety::Idempotent)),
            Record::Accepted(taken(2, "once", Some("k-2"), RetrySafety::NonIdempotent)),
            Record::Accepted(taken(3, "guest-visit", Some("k-3"), window)),
            Record::Accepted(taken(4, "guest-visit", Some("k-4"), window)),
            leased(1, 1, "s-a"),
            leased(2, 2, "s-b"),
            leased(3, 3, "s-a"),
            leased(4, 4, "s-a"),
        ],
        vec![
            Record::Acknowledged { job: job(2), token: token(2), lease_aware: true },
            Record::Renewed { job: job(2), token: token(2), expires_at: BEGIN + 30 * SEC },
            Record::Started { job: job(1), token: token(1) },
            Record::Started { job: job(2), token: token(2) },
            Record::Released { job: job(3), token: token(3), may_have_run: true },
            ended(2, JobOutcome::Succeeded("the result".into())),
            Record::Delivered { job: job(2) },
            leased(3, 5, "s-b"),
            ended(4, JobOutcome::Failed),
        ],
        vec![
            session("boot-2", 5),
            Record::Accepted(taken(5, "once", Some("k-5"), RetrySafety::NonIdempotent)),
            Record::Accepted(taken(6, "status-check", None, RetrySafety::Idempotent)),
            ended(6, JobOutcome::Succeeded("gone at once".into())),
            Record::Accepted(taken(7, "once", Some("k-7"), RetrySafety::NonIdempotent)),
            ended(7, JobOutcome::Unprocessable),
            Record::Accepted(again),
        ],
        vec![
            carried(
                taken(40, "once", Some("k-40"), RetrySafety::NonIdempotent),
                vec![past(39, false)],
                JobState::Running(lease),
            ),
            carried(
                taken(41, "once", Some("k-41"), RetrySafety::NonIdempotent),
                vec![past(40, true)],
                JobState::Delivered { finished_at: BEGIN + 50 * SEC, outcome: JobOutcome::Failed },
            ),
            Record::Accepted(taken(42, "status-check", Some("k-42"), RetrySafety::Idempotent)),
            ended(42, JobOutcome::Rejected),
            Record::Accepted(AcceptedJob {
                fingerprint: DIGEST,
                deadline: FAR,
                ..taken(43, "once", Some("k-43"), RetrySafety::NonIdempotent)
            }),
            ended(43, JobOutcome::Succeeded("written down".into())),
        ],
    ]
}

fn write_ledger(folder: &Path) {
    let _ = fs::remove_dir_all(folder);
    let disk = DiskDirectory::lock(folder).expect("a writable folder").expect("nobody holds it");
    let options = LogOptions { max_segment_bytes: SEGMENT, sync_on_commit: true };
    let (mut log, _) = WriteAheadLog::open(Box::new(disk), options, |_, _| Ok(())).expect("an empty folder");
    for group in groups() {
        let group: Vec<Vec<u8>> = group.iter().map(|record| encode(record).expect("it encodes")).collect();
        log.append(&group).expect("room");
    }
    drop(log);
    fs::remove_file(folder.join("lock")).expect("it was there");
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).expect("a writable folder");
    for entry in fs::read_dir(from).expect("the committed folder") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("a writable folder");
    }
}

/// A copy of the committed folder, in a new folder of this test's.
fn ledger_copy() -> (PathBuf, String) {
    let dir = folder();
    let ledger = dir.join(LEDGER);
    let _ = fs::remove_dir_all(&ledger);
    copy(&golden::path(LEDGER), &ledger);
    let name = ledger.to_str().expect("text").to_owned();
    (dir, name)
}

/// What a command prints on both outputs, with this folder's name taken out, and whether it was
/// content.
fn output(args: &[&str], folder: &str) -> String {
    let output = run_plain(args);
    let code = output.status.code().expect("it ends by itself");
    let [out, err] = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
    let shown = args.join(" ").replace(folder, "FOLDER");
    format!("$ spanlead {shown}\n{out}{err}exit status {code}\n").replace(folder, "FOLDER")
}

// Guards folders of the version before: each record, and all that is shown of what they add up to.
#[test]
fn a_committed_ledger_is_shown_whole() {
    if golden::should_write() {
        write_ledger(&golden::path(LEDGER));
    }
    let (dir, ledger) = ledger_copy();
    let ledger = ledger.as_str();
    let said = [
        output(&["ledger", "verify", ledger], ledger),
        output(&["ledger", "show", ledger], ledger),
        output(&["ledger", "show", "--open", ledger], ledger),
        output(&["ledger", "show", "--key", "k-2", ledger], ledger),
        output(&["ledger", "export", ledger], ledger),
        output(&["ledger", "export", "--jobs", ledger], ledger),
    ];
    golden::assert_text("ledger.txt", &said.join("\n"));
    drop(dir);
}

// Guards the writing side beside it: the same records make the same folder, but for the salts that
// are drawn.
#[test]
fn a_ledger_written_now_is_shown_as_the_committed_one() {
    let ledger = folder().join("new");
    write_ledger(&ledger);
    let name = ledger.to_str().expect("text");
    let said = ["verify", "export"].map(|command| output(&["ledger", command, name], name));
    let committed = golden::read("ledger.txt");
    for text in said {
        assert!(committed.contains(&text), "{text}");
    }
}

/// The digest of a client's repeat, `POST /once/x` with this harness's body: the line
/// `repeat-fingerprint` in the golden data of `spanlead-net`.
const DIGEST: [u8; 16] = [195, 62, 209, 179, 230, 249, 240, 91, 127, 188, 170, 165, 74, 76, 130, 125];

// Guards a start on such a folder: all of it is read, the jobs whose clients have long given up are
// ended, and a client that comes back has the answer that the version before wrote down.
#[test]
fn a_process_goes_on_with_a_committed_ledger() {
    let (dir, ledger) = ledger_copy();
    let discovery = Server::start();
    let scheduler = Scheduler::start_durable(discovery.addr, &[], &dir, NO_SYNC);
    scheduler.has_logged("durable job log read records=31 bytes=");
    let mut client = scheduler.client();
    client.keyed("once", "id-new", "k-43", "payload");
    assert_eq!(client.answer().body, "written down");
    let mut other = scheduler.client();
    other.keyed("once", "id-other", "k-43", "something else");
    assert_eq!(other.answer().start, "HTTP/1.1 422 Unprocessable Entity");
    let stats = scheduler.operate("GET /ops/stats");
    assert!(stats.contains(r#""recovered":5,"joined":0,"replayed":1,"mismatched":1,"#), "{stats}");
    scheduler.kill();

    let golden = golden::read("ledger.txt");
    let committed: Vec<&str> = golden.lines().filter(|line| line.starts_with(r#"{"lsn":"#)).collect();
    let now = output(&["ledger", "export", &ledger], &ledger);
    let kept: Vec<&str> = now.lines().filter(|line| line.starts_with(r#"{"lsn":"#)).collect();
    assert_eq!(kept[..committed.len()], committed, "what was there is still there");
    let shown = output(&["ledger", "show", &ledger], &ledger);
    let states: Vec<String> = shown.lines().skip(2).map(|line| first_words(line, 2)).collect();
    let wanted = [
        "2 answered",
        "3 ended",
        "5 ended",
        "7 ended",
        "8 ended",
        "40 ended",
        "41 answered",
        "43 answered",
        "8 shown;",
        "exit status",
    ];
    assert_eq!(states, wanted);
}

fn first_words(line: &str, count: usize) -> String {
    line.split_whitespace().take(count).collect::<Vec<_>>().join(" ")
}

// ---------------------------------------------------------------- the operators' door

fn free_port() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port")
}

const HOSTS: &str = "host;zone;pod;weight\ns-a;solna;0;1\ns-b;kista;3;2\n";

/// Two schedulers with all that they can have: a ledger, an inventory, membership and a duty.
struct Tier {
    schedulers: Vec<Scheduler>,
    worker: Server,
    _discovery: Server,
    _called: Server,
    folders: Vec<PathBuf>,
}

impl Tier {
    fn start() -> Self {
        let [discovery, worker, called] = std::array::from_fn(|_| Server::start());
        let ports = [free_port(), free_port()];
        let dir = folder();
        let folders: Vec<PathBuf> = (0..2).map(|me| dir.join(format!("n{me}"))).collect();
        let start = |(me, folder): (usize, &PathBuf)| {
            let _ = fs::remove_dir_all(folder);
            fs::create_dir_all(folder).expect("a writable folder");
            fs::write(folder.join("hosts.csv"), HOSTS).expect("a writable folder");
            let at = folder.display();
            let conf = format!(
                "ledger\n  folder '{at}/ledger'\n{NO_SYNC}inventory clubs\n  file '{at}/hosts.csv'\n  settle 0ms\n\
                 membership\n  every 50ms\nleases\n  lease 600ms\n  clock-bound 60ms\nduty beacon\n  \
                 call http://{}/beat\n  every 20ms\n",
                called.addr
            );
            fs::write(folder.join("spanlead.conf"), conf).expect("a writable folder");
            let peers =
                format!(r#""peer_listen":"{}","peers":["{}","{}"],"seed":"#, ports[me], ports[0], ports[1]);
            let edits = [
                (r#""cancel":true"#, r#""cancel":true,"peerMessages":true"#),
                (r#""seed":"#, peers.as_str()),
                (r#""name":"n0""#, &format!(r#""name":"n{me}""#)),
                (r#""me":0,"nInstances":1"#, &format!(r#""me":{me},"nInstances":2"#)),
            ];
            let known = [worker.entry("s-a", "active")];
            Scheduler::start_edited_with_conf(discovery.addr, &known, &edits, &folder.join("spanlead.conf"))
        };
        let schedulers = folders.iter().enumerate().map(start).collect();
        Tier { schedulers, worker, _discovery: discovery, _called: called, folders }
    }
}

/// Asks again and again until an answer is as wanted.
fn until<T>(what: &str, mut ask: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(answer) = ask() {
            return answer;
        }
        assert!(Instant::now() < end, "no {what}");
        // As the harness waits for a process's end.
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// The JSON that an operator's call is answered with.
fn ask(scheduler: &Scheduler, call: &str) -> Value {
    let answer = scheduler.operate(call);
    let (status, body) = answer.split_once(' ').expect("a status");
    assert_eq!(status, "200", "{call}: {body}");
    serde_json::from_str(body).unwrap_or_else(|error| panic!("{call}: {error}: {body}"))
}

/// Keys whose values differ from run to run, beside those of times, sizes and what the membership
/// counts.
const VARYING: [&str; 16] = [
    "view",
    "incarnation",
    "version",
    "term",
    "terms",
    "calls",
    "renewals",
    "holder",
    "digest",
    "commits",
    "records",
    "living",
    "suspects",
    "refutations",
    "datagrams_in",
    "datagrams_out",
];

/// Puts a plain value in the place of what differs from run to run: the names and forms are left.
fn normalise(value: &mut Value, folder: &str) {
    let varies = |key: &str| {
        VARYING.contains(&key)
            || ["_ms", "_us", "bytes", "bytes_in", "bytes_out"].iter().any(|e| key.ends_with(e))
    };
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                match value {
                    Value::Number(_) if varies(key) => *value = json!("NUMBER"),
                    Value::String(_) if varies(key) => *value = json!("TEXT"),
                    _ => normalise(value, folder),
                }
            }
        }
        Value::Array(list) => list.iter_mut().for_each(|value| normalise(value, folder)),
        Value::String(text) => *text = text.replace(folder, "FOLDER"),
        _ => {}
    }
}

fn shown(call: &str, mut answer: Value, folder: &Path) -> String {
    normalise(&mut answer, folder.to_str().expect("text"));
    format!("{call}\n{}\n", serde_json::to_string_pretty(&answer).expect("JSON"))
}

/// Whether both are known by their names, in these states.
fn members_are(answer: &Value, states: [&str; 2]) -> bool {
    let members = answer["members"].as_array().expect("a list");
    let as_wanted = |(member, state): (&Value, &str)| member["state"] == state && member["name"].is_string();
    members.len() == states.len() && members.iter().zip(states).all(as_wanted)
}

// Guards every script that reads the door: all keys of each answer, and their forms, with all
// sections in use.
#[test]
fn the_doors_answers_keep_their_json() {
    let mut tier = Tier::start();
    let folder = tier.folders[0].clone();
    let first = &tier.schedulers[0];
    let mut client = first.taken(&tier.worker, "once", "id-1", 15_000);
    first.client().notice("id-1", "s-a", r#""state":"done","result":"R""#);
    assert_eq!(client.answer().body, "R");

    let stats = until("figures", || {
        Some(ask(first, "GET /ops/stats")).filter(|answer| {
            answer["facts"]["matched"] == 1 && answer["downstream_requests"]["once"]["completed"] == 1
        })
    });
    let members = until("members", || {
        Some(ask(first, "GET /ops/members")).filter(|answer| members_are(answer, ["alive", "alive"]))
    });
    // Whichever of the two holds it.
    let duties = until("holder", || {
        let mut answers: Vec<Value> =
            tier.schedulers.iter().map(|scheduler| ask(scheduler, "GET /ops/duties")).collect();
        answers.sort_by_key(|answer| answer["duties"][0]["state"].to_string());
        let found: Vec<&str> =
            answers.iter().filter_map(|answer| answer["duties"][0]["state"].as_str()).collect();
        (found == ["granted", "held"]).then_some(answers)
    });
    let inventory = until("inventory", || {
        Some(ask(first, "GET /ops/inventory")).filter(|answer| {
            !answer["inventories"][0]["version"].is_null() && answer["report"]["counts"]["matched"] == 1
        })
    });
    let mut said = vec![
        shown("GET /ops/stats", stats, &folder),
        shown("GET /ops/members", members, &folder),
        shown("GET /ops/duties, granted", duties[0].clone(), &folder),
        shown("GET /ops/duties, held", duties[1].clone(), &folder),
        shown("GET /ops/inventory", inventory, &folder),
        shown("GET /ops/inventory/hosts/s-a", ask(first, "GET /ops/inventory/hosts/s-a"), &folder),
    ];

    // A version that waits for confirmation, and one that can't be used.
    let hosts = folder.join("hosts.csv");
    for (text, key) in [(HOSTS.replace(";1\n", ";9\n"), "held"), ("none\n".to_owned(), "refused")] {
        // As tools do: a file that is written in its place may be read before it is whole.
        let new = folder.join("hosts.csv.new");
        fs::write(&new, text).expect("a writable folder");
        fs::rename(&new, &hosts).expect("a writable folder");
        first.hang_up();
        let answer = until(key, || {
            Some(ask(first, "GET /ops/inventory")).filter(|answer| !answer["inventories"][0][key].is_null())
        });
        said.push(shown(&format!("GET /ops/inventory, {key}"), answer, &folder));
    }

    // One that has gone.
    tier.schedulers.remove(1).kill();
    let first = &tier.schedulers[0];
    let gone = until("dead member", || {
        Some(ask(first, "GET /ops/members")).filter(|answer| members_are(answer, ["alive", "dead"]))
    });
    said.push(shown("GET /ops/members, one dead", gone, &folder));
    golden::assert_text("door.json.txt", &said.join("\n"));
}

// Guards the calls that are answered in words.
#[test]
fn the_doors_other_answers_keep_their_words() {
    let discovery = Server::start();
    let bare = Scheduler::start(discovery.addr, &[], &[]);
    let calls = [
        "GET /ops/readiness",
        "GET /ops/stats",
        "GET /ops/members",
        "GET /ops/duties",
        "GET /ops/inventory",
        "GET /ops/inventory/hosts/s-a",
        "GET /ops/inventory/hosts/..",
        "POST /ops/inventory/clubs/accept/0011",
        "POST /ops/duties/beacon/release",
        "POST /ops/readiness",
        "GET /ops/other",
        "POST /ops/drain/stop",
        "POST /ops/drain/start",
        "GET /ops/readiness",
    ];
    let said = calls.map(|call| format!("{call}\t{}\n", bare.operate(call).trim_end()));
    golden::assert_text("door.words.txt", &said.concat());
}

// ---------------------------------------------------------------- the command line

/// Every command, with those below it.
const COMMANDS: [&str; 21] = [
    "",
    "serve",
    "check",
    "try",
    "ledger",
    "ledger show",
    "ledger verify",
    "ledger export",
    "ledger compact",
    "inventory",
    "inventory check",
    "inventory show",
    "inventory report",
    "inventory diff",
    "inventory convert",
    "inventory schema",
    "inventory history",
    "inventory accept",
    "members",
    "duties",
    "version",
];

#[test]
fn help_keeps_its_text() {
    let help = |command: &str| {
        let args: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
        output(&args, "/nonexistent")
    };
    golden::assert_text("help.txt", &COMMANDS.map(help).join("\n"));
}

/// A configuration with every key that is read, none with its default.
const CONFIG: &str = "config.json";

fn checked(config: &str, conf: &str) -> String {
    let output = run_with_conf("check", config, conf);
    let [out, err] = [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text"));
    format!("{out}{err}exit status {}\n", output.status.code().expect("it ends by itself"))
}

#[test]
fn check_says_what_it_said() {
    let conf = "log\nmembership\n  every 50ms\nleases\n  joint-with 1\nledger\n  folder /srv/ledger\n  lease 4s\n\
                inventory clubs\n  file /srv/hosts.csv\n";
    // The environment goes before the file: the harness sets an address.
    golden::assert_text("check.txt", &checked(&golden::read(CONFIG), conf));
}

/// The paths of all keys below a value, each with a number for its place in a list.
fn paths(value: &Value, path: &str, to: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(list) => {
            list.iter().enumerate().filter(|(_, v)| v.is_object()).map(|(i, v)| (i.to_string(), v)).collect()
        }
        _ => Vec::new(),
    };
    for (key, child) in children {
        let path = format!("{path}/{key}");
        if !value.is_array() {
            to.push(path.clone());
        }
        paths(child, &path, to);
    }
}

// Guards the keys' names: a value that none of them can have is refused by the key's name. One that
// was not known any more would be passed over.
#[test]
fn each_key_of_the_configuration_is_read() {
    let config: Value = serde_json::from_str(&golden::read(CONFIG)).expect("JSON");
    let mut all = Vec::new();
    paths(&config, "", &mut all);
    let mut said = String::new();
    for path in all {
        let mut faulty = config.clone();
        let value = faulty.pointer_mut(&path).expect("it is there");
        *value = if value.is_object() { json!("none") } else { json!({ "a": [true] }) };
        let answer = checked(&faulty.to_string(), "");
        let line = answer.lines().next().unwrap_or("");
        // Neither where in the text it stands nor the name of a type in the code is a promise.
        let line = line.split(" at line ").next().unwrap_or(line);
        let line = line.split(" expected struct ").next().unwrap_or(line);
        said.push_str(&format!("{path}\t{line}\n"));
    }
    golden::assert_text("keys.txt", &said);
}

// Guards the words that keys take.
#[test]
fn each_word_of_the_configuration_is_read() {
    let words = [
        ("/settings/discovery", "automatic subscribe"),
        ("/settings/worthBy", "request work"),
        ("/settings/report/via", "answers probe none"),
        ("/settings/grades/0/effect", "idempotent at_most_once deduplicated"),
        ("/settings/grades/0/dedupScope", "all zone cell"),
        ("/known/hosts/0/health", "active leaving left"),
    ];
    let config: Value = serde_json::from_str(&golden::read(CONFIG)).expect("JSON");
    let with = |path: &str, word: &str| {
        let mut changed = config.clone();
        *changed.pointer_mut(path).expect("it is there") = json!(word);
        checked(&changed.to_string(), "")
    };
    let mut said = String::new();
    for (path, words) in words {
        for word in words.split(' ') {
            let answer = with(path, word);
            assert!(answer.ends_with("exit status 0\n"), "{path} {word}: {answer}");
        }
        let answer = with(path, "other");
        said.push_str(&format!("{path}\t{}\n", answer.lines().next().unwrap_or("")));
    }
    golden::assert_text("words.txt", &said);
}
