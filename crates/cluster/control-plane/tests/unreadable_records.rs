//! State in the data folder that a node must not use: a node with records that are damaged or of a
//! newer version must not be primary, a started repair is marked incomplete until the next batch,
//! and a folder of a newer format is refused.
use spanlead_control_plane::store::{Store, StoreError};
use spanlead_control_plane::unreadable_records::unreadable_keys;
use spanlead_replication::{
    Change, Input, Keyspace, MemberId, Output, Position, Record, RecoveredState, Replica, ReplicaConfig, Term,
};
use std::path::Path;

fn keyspace(records: &[(&[u8], &[u8])]) -> Keyspace {
    let mut keyspace = Keyspace::default();
    for (key, value) in records {
        keyspace.apply(&Change { key: key.to_vec(), value: Some(value.to_vec()) });
    }
    keyspace
}

#[test]
fn each_unreadable_record_is_reported_by_its_key() {
    let job = [b"j".as_slice(), &7u64.to_be_bytes()].concat();
    let history = [b"h".as_slice(), &3u64.to_be_bytes()].concat();
    let readable = keyspace(&[(&history, &[1; 16])]);
    assert!(unreadable_keys(&readable).is_empty());
    let unreadable: [(&[u8], &[u8]); 4] =
        [(b"c", b"cut short"), (&job, b"\xff\x00"), (&history, &[1; 5]), (b"zzz", b"of a newer version")];
    for record in unreadable {
        assert_eq!(unreadable_keys(&keyspace(&[record])), [record.0.to_vec()], "{record:?}");
    }
}

/// Runs the only node of a cluster. Returns whether it becomes primary, if it is eligible.
///
/// An ineligible node is marked as such when it starts, and again if it becomes primary all the
/// same, since a node checks its records at both times. Returns whether it is primary at any time
/// in the 8 s after the second mark.
fn serves_as_primary(ineligible: bool) -> bool {
    let config = ReplicaConfig {
        node_name: "core-1".into(),
        peer_address: "p1".into(),
        operator_address: "c1".into(),
        seeds: vec!["p1".into()],
        bootstrap: true,
        max_failures: 0,
        lease_ms: 500,
        heartbeat_ms: 100,
        random: 9,
    };
    let mut replica = Replica::start(config, RecoveredState::default(), 1_000);
    if ineligible {
        replica.mark_ineligible(1_000);
    }
    for now in (1_000..6_000).step_by(10) {
        replica.handle(now, Input::Tick);
        let mut last_token = None;
        for output in replica.take_outputs() {
            if let Output::Write { token, .. } = output {
                last_token = Some(token);
            }
        }
        if let Some(token) = last_token {
            replica.handle(now, Input::Written(token));
        }
        if replica.active_term(now).is_some() {
            if !ineligible {
                return true;
            }
            replica.mark_ineligible(now);
            assert!(replica.active_term(now).is_none());
            return (now..now + 8_000).step_by(10).any(|now| {
                replica.handle(now, Input::Tick);
                replica.active_term(now).is_some()
            });
        }
    }
    false
}

#[test]
fn node_with_unreadable_records_does_not_stay_primary() {
    assert!(serves_as_primary(false), "an eligible node must become primary");
    assert!(!serves_as_primary(true), "an ineligible node must not stay primary");
}

/// Opens a store in this folder and writes the node's identity to it.
fn store_with_identity(folder: &Path) -> Store {
    let store = Store::open(folder).expect("the store opens");
    store
        .write(&[Record::Identity { id: MemberId(5), bootstrap_voter: true }])
        .expect("the record is written");
    store
}

#[test]
fn started_repair_is_marked_incomplete_until_the_next_batch() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let store = store_with_identity(folder.path());
    let recovered = store.recover().expect("the store is recovered");
    assert_eq!(
        (recovered.identity, recovered.bootstrap_voter, recovered.repair_incomplete),
        (Some(MemberId(5)), true, false)
    );
    store.write(&[Record::Repair { changes: Vec::new() }]).expect("the record is written");
    assert!(
        store.recover().expect("the store is recovered").repair_incomplete,
        "a started repair must be marked incomplete"
    );
    let position = Position { term: Term(1), sequence: 2 };
    store.write(&[Record::Batch { position, changes: Vec::new() }]).expect("the record is written");
    assert!(
        !store.recover().expect("the store is recovered").repair_incomplete,
        "a batch must clear the mark of an incomplete repair"
    );
}

#[test]
fn folder_of_a_newer_format_is_refused_with_its_format_number() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let store = store_with_identity(folder.path());
    store.recover().expect("a folder of the current format is recovered");
    store.set_format(99).expect("the format is written");
    drop(store);
    let error = Store::open(folder.path())
        .expect("the store opens")
        .recover()
        .expect_err("an error about the newer format");
    assert!(matches!(error, StoreError::NewerFormat(99)), "{error}");
}
