//! The encoding of each kind of log record, compared with golden data. Logs that processes of an
//! earlier version wrote must be readable by this version, and its logs by them, so the encoding of
//! a record never changes.
#[allow(dead_code, reason = "other crates use the rest of this module")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_durable_jobs::{
    AcceptedJob, ClockAnchor, FencingToken, Job, JobNumber, JobOutcome, JobState, Lease, PastAttempt, Record,
    RetrySafety, Session, WorkerLocation, decode, encode,
};
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

const GOLDEN_FILE: &str = "records.txt";
const JOB: JobNumber = JobNumber(300);
const TOKEN: FencingToken = FencingToken(70_000);

fn location(worker: &str) -> WorkerLocation {
    WorkerLocation {
        worker: worker.into(),
        addr: ([127, 0, 0, 1], 9_001).into(),
        zone: "kista".into(),
        cell: 513,
    }
}

fn ipv6_location() -> WorkerLocation {
    let addr = SocketAddr::new(IpAddr::V6(Ipv6Addr::new(0xfd00, 1, 2, 3, 4, 5, 6, 7)), 443);
    WorkerLocation { worker: "s-é".into(), addr, zone: "".into(), cell: u32::MAX }
}

fn past_attempt(may_have_run: bool) -> PastAttempt {
    PastAttempt {
        location: location("s-a"),
        sent_at: 1_767_225_601_000_000_000,
        may_have_run,
        token: FencingToken(69_999),
    }
}

/// A job without any optional part.
fn minimal_job(retry_safety: RetrySafety) -> AcceptedJob {
    AcceptedJob {
        number: JobNumber(1),
        id: "id-1".into(),
        key: None,
        class: "guest-visit".into(),
        tenant: "norrtrim".into(),
        fingerprint: [0; 16],
        retry_safety,
        accepted_at: 0,
        deadline: 1,
        slots: 1.0,
        memory: 0.0,
        affinity_key: None,
        encoded_request: "".into(),
        inherited_attempts: Vec::new(),
    }
}

/// A job with every optional part, and with extreme numbers.
fn full_job() -> AcceptedJob {
    AcceptedJob {
        number: JOB,
        id: "id-300".into(),
        key: Some("key-å".into()),
        class: "once".into(),
        tenant: "norrtrim".into(),
        fingerprint: std::array::from_fn(|index| index as u8 * 17),
        retry_safety: RetrySafety::Deduplicated(45_000_000_000),
        accepted_at: 1_767_225_600_000_000_000,
        deadline: 1_767_225_615_000_000_000,
        slots: 2.5,
        memory: -0.125,
        affinity_key: Some(u64::MAX),
        encoded_request: "POST /once/x HTTP/1.1\r\n\r\npayload".into(),
        inherited_attempts: vec![
            past_attempt(true),
            PastAttempt { location: ipv6_location(), ..past_attempt(false) },
        ],
    }
}

fn lease(acknowledged: bool, lease_aware: bool) -> Lease {
    let (sent_at, expires_at) = (1_767_225_602_000_000_000, 1_767_225_613_000_000_000);
    Lease { token: TOKEN, location: ipv6_location(), sent_at, expires_at, acknowledged, lease_aware }
}

fn snapshot(accepted: AcceptedJob, past_attempts: Vec<PastAttempt>, state: JobState) -> Record {
    Record::Snapshot(Box::new(Job { accepted, past_attempts, state }))
}

fn finished(outcome: JobOutcome) -> Record {
    Record::Finished { job: JOB, finished_at: 1_767_225_604_000_000_000, outcome }
}

/// Records of every kind, with the names of their lines in the golden file.
fn records() -> Vec<(&'static str, Record)> {
    let anchor = ClockAnchor {
        boot_id: Arc::from("b3b1f2e0"),
        uptime: 86_400_000_000_000,
        process_clock: 1_767_225_599_000_000_000,
    };
    let time = 1_767_225_605_000_000_000;
    vec![
        (
            "session",
            Record::Session(Session { anchor, next_job: JobNumber(301), next_token: FencingToken(70_001) }),
        ),
        ("taken-harmless", Record::Accepted(minimal_job(RetrySafety::Idempotent))),
        ("taken-never", Record::Accepted(minimal_job(RetrySafety::NonIdempotent))),
        ("taken-dropped-full", Record::Accepted(full_job())),
        (
            "leased",
            Record::Leased {
                job: JOB,
                token: TOKEN,
                location: location("s-b"),
                sent_at: time,
                expires_at: time + 1_000,
            },
        ),
        (
            "leased-ipv6",
            Record::Leased {
                job: JOB,
                token: TOKEN,
                location: ipv6_location(),
                sent_at: 0,
                expires_at: u64::MAX,
            },
        ),
        ("held", Record::Acknowledged { job: JOB, token: TOKEN, lease_aware: false }),
        ("held-aware", Record::Acknowledged { job: JOB, token: TOKEN, lease_aware: true }),
        ("renewed", Record::Renewed { job: JOB, token: TOKEN, expires_at: time }),
        ("started", Record::Started { job: JOB, token: TOKEN }),
        ("released", Record::Released { job: JOB, token: TOKEN, may_have_run: false }),
        ("released-ran", Record::Released { job: JOB, token: TOKEN, may_have_run: true }),
        ("ended-served", finished(JobOutcome::Succeeded("result R".into()))),
        ("ended-refused", finished(JobOutcome::Rejected)),
        ("ended-failed", finished(JobOutcome::Failed)),
        ("ended-unusable", finished(JobOutcome::Unprocessable)),
        ("answered", Record::Delivered { job: JOB }),
        ("carried-taken", snapshot(minimal_job(RetrySafety::Idempotent), vec![], JobState::Accepted)),
        (
            "carried-leased",
            snapshot(full_job(), vec![past_attempt(false)], JobState::Leased(lease(true, false))),
        ),
        (
            "carried-started",
            snapshot(full_job(), vec![past_attempt(true)], JobState::Running(lease(true, true))),
        ),
        (
            "carried-ended",
            snapshot(
                full_job(),
                vec![past_attempt(true)],
                JobState::Finished { finished_at: time, outcome: JobOutcome::Succeeded("R".into()) },
            ),
        ),
        (
            "carried-answered",
            snapshot(
                full_job(),
                vec![],
                JobState::Delivered { finished_at: time, outcome: JobOutcome::Failed },
            ),
        ),
    ]
}

// Guards logs on disk: this version writes each record as earlier versions did.
#[test]
fn each_record_kind_keeps_its_encoding() {
    let encodings: Vec<_> =
        records().iter().map(|(name, record)| (*name, encode(record).expect(name))).collect();
    golden::assert_bytes(GOLDEN_FILE, &encodings);
}

// Guards recovery: the golden bytes are decoded completely and give the same records.
#[test]
fn golden_bytes_are_decoded_as_the_same_records() {
    let golden_records = golden::read_bytes(GOLDEN_FILE);
    assert_eq!(golden_records.len(), records().len());
    for ((name, bytes), (expected_name, expected)) in golden_records.iter().zip(records()) {
        assert_eq!(name, expected_name);
        assert_eq!(decode(bytes).expect(name), expected, "{name}");
    }
}

// Guards the order of the variants of `Record`: the first byte of an encoded record is the index of
// its variant, which must never change.
#[test]
fn each_record_kind_keeps_its_variant_index() {
    let mut kinds: Vec<(u8, &str)> =
        records().iter().map(|(name, record)| (encode(record).expect(name)[0], record.kind())).collect();
    kinds.dedup();
    let expected = [
        "session", "taken", "leased", "held", "renewed", "started", "released", "ended", "answered",
        "carried",
    ];
    let expected: Vec<(u8, &str)> = (0..).zip(expected).collect();
    assert_eq!(kinds, expected);
}
