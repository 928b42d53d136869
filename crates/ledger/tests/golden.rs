//! The ledger's records as bytes. Folders that processes of an earlier version wrote must be read, and must be readable
//! by such a process, so each kind of record keeps its bytes.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "golden/data.rs"]
mod golden;

use spanlead_ledger::*;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::sync::Arc;

const FILE: &str = "records.txt";
const JOB: JobNo = JobNo(300);
const TOKEN: Token = Token(70_000);

fn place(worker: &str) -> Place {
    Place { worker: worker.into(), addr: ([127, 0, 0, 1], 9_001).into(), zone: "kista".into(), cell: 513 }
}

fn distant_place() -> Place {
    let addr = SocketAddr::new(IpAddr::V6(Ipv6Addr::new(0xfd00, 1, 2, 3, 4, 5, 6, 7)), 443);
    Place { worker: "s-é".into(), addr, zone: "".into(), cell: u32::MAX }
}

fn past(ran: bool) -> Past {
    Past { place: place("s-a"), sent: 1_767_225_601_000_000_000, ran, token: Token(69_999) }
}

fn bare(repeats: Repeats) -> Taken {
    Taken {
        job: JobNo(1),
        id: "id-1".into(),
        key: None,
        class: "guest-visit".into(),
        owner: "norrtrim".into(),
        fingerprint: [0; 16],
        repeats,
        at: 0,
        due: 1,
        slots: 1.0,
        memory: 0.0,
        subject: None,
        text: "".into(),
        before: Vec::new(),
    }
}

fn full() -> Taken {
    Taken {
        job: JOB,
        id: "id-300".into(),
        key: Some("key-å".into()),
        class: "once".into(),
        owner: "norrtrim".into(),
        fingerprint: std::array::from_fn(|at| at as u8 * 17),
        repeats: Repeats::Dropped(45_000_000_000),
        at: 1_767_225_600_000_000_000,
        due: 1_767_225_615_000_000_000,
        slots: 2.5,
        memory: -0.125,
        subject: Some(u64::MAX),
        text: "POST /once/x HTTP/1.1\r\n\r\npayload".into(),
        before: vec![past(true), Past { place: distant_place(), ..past(false) }],
    }
}

fn lease(held: bool, aware: bool) -> Lease {
    let (sent, until) = (1_767_225_602_000_000_000, 1_767_225_613_000_000_000);
    Lease { token: TOKEN, place: distant_place(), sent, until, held, aware }
}

fn carried(taken: Taken, past: Vec<Past>, stage: Stage) -> Record {
    Record::Carried(Box::new(Job { taken, past, stage }))
}

fn ended(end: End) -> Record {
    Record::Ended { job: JOB, at: 1_767_225_604_000_000_000, end }
}

fn records() -> Vec<(&'static str, Record)> {
    let anchor =
        Anchor { boot: Arc::from("b3b1f2e0"), up: 86_400_000_000_000, clock: 1_767_225_599_000_000_000 };
    let at = 1_767_225_605_000_000_000;
    vec![
        ("session", Record::Session(Session { anchor, next_job: 301, next_token: 70_001 })),
        ("taken-harmless", Record::Taken(bare(Repeats::Harmless))),
        ("taken-never", Record::Taken(bare(Repeats::Never))),
        ("taken-dropped-full", Record::Taken(full())),
        (
            "leased",
            Record::Leased { job: JOB, token: TOKEN, place: place("s-b"), sent: at, until: at + 1_000 },
        ),
        (
            "leased-ipv6",
            Record::Leased { job: JOB, token: TOKEN, place: distant_place(), sent: 0, until: u64::MAX },
        ),
        ("held", Record::Held { job: JOB, token: TOKEN, aware: false }),
        ("held-aware", Record::Held { job: JOB, token: TOKEN, aware: true }),
        ("renewed", Record::Renewed { job: JOB, token: TOKEN, until: at }),
        ("started", Record::Started { job: JOB, token: TOKEN }),
        ("released", Record::Released { job: JOB, token: TOKEN, ran: false }),
        ("released-ran", Record::Released { job: JOB, token: TOKEN, ran: true }),
        ("ended-served", ended(End::Served("result R".into()))),
        ("ended-refused", ended(End::Refused)),
        ("ended-failed", ended(End::Failed)),
        ("ended-unusable", ended(End::Unusable)),
        ("answered", Record::Answered { job: JOB }),
        ("carried-taken", carried(bare(Repeats::Harmless), vec![], Stage::Taken)),
        ("carried-leased", carried(full(), vec![past(false)], Stage::Leased(lease(true, false)))),
        ("carried-started", carried(full(), vec![past(true)], Stage::Started(lease(true, true)))),
        (
            "carried-ended",
            carried(full(), vec![past(true)], Stage::Ended { at, end: End::Served("R".into()) }),
        ),
        ("carried-answered", carried(full(), vec![], Stage::Answered { at, end: End::Failed })),
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
    let committed = golden::bytes(FILE);
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
