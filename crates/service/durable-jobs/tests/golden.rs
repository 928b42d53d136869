//! The ledger's records as bytes. Folders that processes of an earlier version wrote must be read,
//! and must be readable
//! by such a process, so each kind of record keeps its bytes.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_durable_jobs::{
    AcceptedJob, ClockAnchor, FencingToken, Job, JobNumber, JobOutcome, JobState, Lease, PastAttempt, Record,
    RetrySafety, Session, WorkerLocation, decode, encode,
};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

const FILE: &str = "records.txt";
const JOB: JobNumber = JobNumber(300);
const TOKEN: FencingToken = FencingToken(70_000);

fn place(worker: &str) -> WorkerLocation {
    WorkerLocation {
        worker: worker.into(),
        addr: ([127, 0, 0, 1], 9_001).into(),
        zone: "kista".into(),
        cell: 513,
    }
}

fn distant_place() -> WorkerLocation {
    let addr = SocketAddr::new(IpAddr::V6(Ipv6Addr::new(0xfd00, 1, 2, 3, 4, 5, 6, 7)), 443);
    WorkerLocation { worker: "s-é".into(), addr, zone: "".into(), cell: u32::MAX }
}

fn past(may_have_run: bool) -> PastAttempt {
    PastAttempt {
        location: place("s-a"),
        sent_at: 1_767_225_601_000_000_000,
        may_have_run,
        token: FencingToken(69_999),
    }
}

fn bare(retry_safety: RetrySafety) -> AcceptedJob {
    AcceptedJob {
        number: JobNumber(1),
        id: "id-1".into(),
        key: None,
        class: "guest-visit".into(),
        owner: "norrtrim".into(),
        fingerprint: [0; 16],
        retry_safety,
        accepted_at: 0,
        deadline: 1,
        slots: 1.0,
        memory: 0.0,
        subject: None,
        request_body: "".into(),
        inherited_attempts: Vec::new(),
    }
}

fn full() -> AcceptedJob {
    AcceptedJob {
        number: JOB,
        id: "id-300".into(),
        key: Some("key-å".into()),
        class: "once".into(),
        owner: "norrtrim".into(),
        fingerprint: std::array::from_fn(|at| at as u8 * 17),
        retry_safety: RetrySafety::Deduplicated(45_000_000_000),
        accepted_at: 1_767_225_600_000_000_000,
        deadline: 1_767_225_615_000_000_000,
        slots: 2.5,
        memory: -0.125,
        subject: Some(u64::MAX),
        request_body: "POST /once/x HTTP/1.1\r\n\r\npayload".into(),
        inherited_attempts: vec![past(true), PastAttempt { location: distant_place(), ..past(false) }],
    }
}

fn lease(acknowledged: bool, lease_aware: bool) -> Lease {
    let (sent_at, expires_at) = (1_767_225_602_000_000_000, 1_767_225_613_000_000_000);
    Lease { token: TOKEN, location: distant_place(), sent_at, expires_at, acknowledged, lease_aware }
}

fn carried(accepted: AcceptedJob, past_attempts: Vec<PastAttempt>, state: JobState) -> Record {
    Record::Snapshot(Box::new(Job { accepted, past_attempts, state }))
}

fn ended(outcome: JobOutcome) -> Record {
    Record::Finished { job: JOB, finished_at: 1_767_225_604_000_000_000, outcome }
}

fn records() -> Vec<(&'static str, Record)> {
    let anchor = ClockAnchor {
        boot_id: Arc::from("b3b1f2e0"),
        uptime: 86_400_000_000_000,
        process_clock: 1_767_225_599_000_000_000,
    };
    let at = 1_767_225_605_000_000_000;
    vec![
        (
            "session",
            Record::Session(Session { anchor, next_job: JobNumber(301), next_token: FencingToken(70_001) }),
        ),
        ("taken-harmless", Record::Accepted(bare(RetrySafety::Idempotent))),
        ("taken-never", Record::Accepted(bare(RetrySafety::NonIdempotent))),
        ("taken-dropped-full", Record::Accepted(full())),
        (
            "leased",
            Record::Leased {
                job: JOB,
                token: TOKEN,
                location: place("s-b"),
                sent_at: at,
                expires_at: at + 1_000,
            },
        ),
        (
            "leased-ipv6",
            Record::Leased {
                job: JOB,
                token: TOKEN,
                location: distant_place(),
                sent_at: 0,
                expires_at: u64::MAX,
            },
        ),
        ("held", Record::Acknowledged { job: JOB, token: TOKEN, lease_aware: false }),
        ("held-aware", Record::Acknowledged { job: JOB, token: TOKEN, lease_aware: true }),
        ("renewed", Record::Renewed { job: JOB, token: TOKEN, expires_at: at }),
        ("started", Record::Started { job: JOB, token: TOKEN }),
        ("released", Record::Released { job: JOB, token: TOKEN, may_have_run: false }),
        ("released-ran", Record::Released { job: JOB, token: TOKEN, may_have_run: true }),
        ("ended-served", ended(JobOutcome::Succeeded("result R".into()))),
        ("ended-refused", ended(JobOutcome::Rejected)),
        ("ended-failed", ended(JobOutcome::Failed)),
        ("ended-unusable", ended(JobOutcome::Unschedulable)),
        ("answered", Record::Delivered { job: JOB }),
        ("carried-taken", carried(bare(RetrySafety::Idempotent), vec![], JobState::Accepted)),
        ("carried-leased", carried(full(), vec![past(false)], JobState::Leased(lease(true, false)))),
        ("carried-started", carried(full(), vec![past(true)], JobState::Running(lease(true, true)))),
        (
            "carried-ended",
            carried(
                full(),
                vec![past(true)],
                JobState::Finished { finished_at: at, outcome: JobOutcome::Succeeded("R".into()) },
            ),
        ),
        (
            "carried-answered",
            carried(full(), vec![], JobState::Delivered { finished_at: at, outcome: JobOutcome::Failed }),
        ),
    ]
}

// Guards the folders on disk: what this version writes is what the versions before wrote.
#[test]
fn each_kind_of_record_keeps_its_bytes() {
    let found: Vec<_> =
        records().iter().map(|(name, record)| (*name, encode(record).expect("it encodes"))).collect();
    golden::assert_bytes(FILE, &found);
}

// Guards recovery: the committed bytes are read as the same records, whole.
#[test]
fn committed_bytes_are_read_as_the_same_records() {
    let committed = golden::read_bytes(FILE);
    assert_eq!(committed.len(), records().len());
    for ((name, bytes), (wanted_name, wanted)) in committed.iter().zip(records()) {
        assert_eq!(name, wanted_name);
        assert_eq!(decode(bytes).expect(name), wanted, "{name}");
    }
}

// Guards the places of the variants: the first byte of a record is its number, for good.
#[test]
fn each_kind_of_record_keeps_its_number() {
    let mut kinds: Vec<(u8, &str)> =
        records().iter().map(|(_, record)| (encode(record).expect("it encodes")[0], record.kind())).collect();
    kinds.dedup();
    let wanted = [
        "session", "taken", "leased", "held", "renewed", "started", "released", "ended", "answered",
        "carried",
    ];
    let numbered: Vec<(u8, &str)> = (0..).zip(wanted).collect();
    assert_eq!(kinds, numbered);
}
