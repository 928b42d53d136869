//! The configuration among the control state: which is in force, and which were ever taken.
use rkyv::{Archive, Deserialize, Serialize};
use spanlead_cluster_config::Configuration;
use spanlead_replication::{Change, Keyspace};
use xxhash_rust::xxh3::xxh3_128;

const CURRENT: &[u8] = b"c";
const HISTORY: u8 = b'h';

/// The configuration as it is kept.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct CurrentRecord {
    version: u64,
    text: String,
}

/// What came of an operator's order.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// It is in force once these changes last.
    New(Vec<Change>),
    /// Exactly this was taken before.
    Again,
    /// It builds on another version than the current one.
    Conflict,
    /// It can't be used, for this reason.
    Invalid(String),
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Configurations {
    current: Option<(Configuration, String)>,
}

/// Whether a record of the key space belongs to configurations and is one that this version reads; `None` if it belongs
/// to something else.
#[must_use]
pub fn is_readable(key: &[u8], value: &[u8]) -> Option<bool> {
    match key.first()? {
        _ if key == CURRENT => Some(decode(value).is_some_and(|r| Configuration::read(&r.text).is_ok())),
        &HISTORY => Some(key.len() == 1 + size_of::<u64>() && value.len() == size_of::<u128>()),
        _ => None,
    }
}

/// Whether a key belongs to configurations.
#[must_use]
pub fn owns(key: &[u8]) -> bool {
    key == CURRENT || key.first() == Some(&HISTORY)
}

/// The keys of records of configurations that can't be read.
#[must_use]
pub fn unreadable(keyspace: &Keyspace) -> Vec<Vec<u8>> {
    let damaged = |(key, value): &(&[u8], &[u8])| is_readable(key, value) == Some(false);
    keyspace.iter().filter(damaged).map(|(key, _)| key.to_vec()).collect()
}

impl Configurations {
    /// What the key space holds, which must be readable, see `is_readable`.
    #[must_use]
    pub fn load(keyspace: &Keyspace) -> Self {
        let record = keyspace.get(CURRENT).and_then(decode);
        let read = |r: CurrentRecord| Configuration::read(&r.text).ok().map(|c| (c, r.text));
        Configurations { current: record.and_then(read) }
    }

    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<&Configuration> {
        self.current.as_ref().map(|(configuration, _)| configuration)
    }

    /// Its text, as the operator sent it.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        self.current.as_ref().map(|(_, text)| text.as_str())
    }

    /// Its version; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current().map_or(0, |c| c.version)
    }

    /// Judges an order, and takes it if it is new and good.
    pub fn replace(&mut self, keyspace: &Keyspace, base: u64, text: &str) -> Taken {
        let read = Configuration::read(text);
        let digest = xxh3_128(text.as_bytes()).to_le_bytes();
        if let Ok(configuration) = &read
            && keyspace.get(&history_key(configuration.version)) == Some(&digest)
        {
            return Taken::Again;
        }
        let configuration = match read {
            Ok(configuration) => configuration,
            Err(error) => return Taken::Invalid(error.to_string()),
        };
        if base != self.version() {
            return Taken::Conflict;
        }
        if !configuration.follows(self.version()) {
            return Taken::Invalid(format!("version: not above {}", self.version()));
        }
        let version = configuration.version;
        let record = CurrentRecord { version, text: text.to_owned() };
        self.current = Some((configuration, text.to_owned()));
        let value = rkyv::to_bytes::<rkyv::rancor::Error>(&record).map(|b| b.to_vec()).ok();
        Taken::New(vec![
            Change { key: CURRENT.to_vec(), value },
            Change { key: history_key(version), value: Some(digest.to_vec()) },
        ])
    }
}

fn decode(bytes: &[u8]) -> Option<CurrentRecord> {
    rkyv::from_bytes::<CurrentRecord, rkyv::rancor::Error>(bytes).ok()
}

fn history_key(version: u64) -> Vec<u8> {
    [&[HISTORY][..], &version.to_be_bytes()].concat()
}
