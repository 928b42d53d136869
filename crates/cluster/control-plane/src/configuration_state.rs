//! The configuration part of the control state: the configuration in force and a digest of each
//! configuration accepted so far.
use quick_error::quick_error;
use rkyv::{Archive, Deserialize, Serialize, rancor};
use spanlead_cluster_config::{Configuration, ConfigurationError};
use spanlead_replication::{Change, Keyspace};
use xxhash_rust::xxh3::xxh3_128;

/// The key of the configuration in force.
const CURRENT_KEY: &[u8] = b"c";
/// The first byte of the keys of the history. The version follows in big-endian order; the value is
/// the digest of the configuration's text.
const HISTORY_PREFIX: u8 = b'h';

/// The stored form of the configuration in force. The order and the types of the fields determine
/// the `rkyv` format and must not change.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq)]
struct CurrentRecord {
    version: u64,
    text: String,
}

quick_error! {
    /// The reason for which a configuration is rejected, other than a version conflict.
    #[derive(Clone, Debug, PartialEq)]
    pub enum RejectionReason {
        /// The configuration is malformed or inconsistent.
        Invalid(error: ConfigurationError) {
            from()
            display("{}", error)
        }
        /// The version is not higher than the current one.
        VersionNotHigher(current: u64) {
            display("version: not above {}", current)
        }
    }
}

/// The outcome of a request to replace the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplaceOutcome {
    /// The new configuration is in force once these changes are committed.
    Accepted(Vec<Change>),
    /// The same text was accepted before: the request is a retry.
    AlreadyAccepted,
    /// The base version of the request is not the current version.
    VersionConflict,
    /// The configuration can't come into force.
    Rejected(RejectionReason),
}

#[derive(Clone, Debug)]
struct CurrentConfiguration {
    configuration: Configuration,
    /// The text as the operator sent it.
    text: String,
}

/// The current configuration, if any: the one that was accepted last. It is in force once its
/// changes are committed.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationState {
    current: Option<CurrentConfiguration>,
}

/// Returns whether a key belongs to a configuration record.
#[must_use]
pub fn owns_key(key: &[u8]) -> bool {
    key == CURRENT_KEY || key.first() == Some(&HISTORY_PREFIX)
}

/// Returns the keys of the configuration records that this version of the program can't read.
pub fn unreadable_keys(keyspace: &Keyspace) -> impl Iterator<Item = &[u8]> {
    let records = keyspace.iter().filter(|(key, _)| owns_key(key));
    records.filter(|(key, value)| !is_readable(key, value)).map(|(key, _)| key)
}

fn is_readable(key: &[u8], value: &[u8]) -> bool {
    if key == CURRENT_KEY {
        decode(value).is_some_and(|record| Configuration::parse(&record.text).is_ok())
    } else {
        key.len() == 1 + size_of::<u64>() && value.len() == size_of::<u128>()
    }
}

impl ConfigurationState {
    /// Loads the state from the key space. All configuration records must be readable, see
    /// [`unreadable_keys`].
    #[must_use]
    pub fn load(keyspace: &Keyspace) -> Self {
        let record = keyspace.get(CURRENT_KEY).and_then(decode);
        let current = record.and_then(|CurrentRecord { text, .. }| {
            let configuration = Configuration::parse(&text).ok()?;
            Some(CurrentConfiguration { configuration, text })
        });
        ConfigurationState { current }
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn current(&self) -> Option<&Configuration> {
        self.current.as_ref().map(|current| &current.configuration)
    }

    /// Returns the text of the current configuration, as the operator sent it.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.text.as_str())
    }

    /// Returns the version of the current configuration; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current().map_or(0, |configuration| configuration.version)
    }

    /// Decides on a request to replace version `base_version` by the configuration `text`. An
    /// accepted configuration becomes the current one.
    ///
    /// Retries are recognised before the versions are checked, so that an accepted configuration is
    /// never refused when it is sent again, even after a newer one was accepted.
    pub fn replace(&mut self, keyspace: &Keyspace, base_version: u64, text: &str) -> ReplaceOutcome {
        let configuration = match Configuration::parse(text) {
            Ok(configuration) => configuration,
            Err(error) => return ReplaceOutcome::Rejected(error.into()),
        };
        let version = configuration.version;
        let digest = xxh3_128(text.as_bytes()).to_le_bytes();
        if keyspace.get(&history_key(version)) == Some(&digest) {
            return ReplaceOutcome::AlreadyAccepted;
        }
        let current = self.version();
        if base_version != current {
            return ReplaceOutcome::VersionConflict;
        }
        if !configuration.is_newer_than(current) {
            return ReplaceOutcome::Rejected(RejectionReason::VersionNotHigher(current));
        }
        let record = CurrentRecord { version, text: text.to_owned() };
        self.current = Some(CurrentConfiguration { configuration, text: text.to_owned() });
        let value = rkyv::to_bytes::<rancor::Error>(&record).map(|bytes| bytes.to_vec()).ok();
        ReplaceOutcome::Accepted(vec![
            Change { key: CURRENT_KEY.to_vec(), value },
            Change { key: history_key(version), value: Some(digest.to_vec()) },
        ])
    }
}

fn decode(bytes: &[u8]) -> Option<CurrentRecord> {
    rkyv::from_bytes::<CurrentRecord, rancor::Error>(bytes).ok()
}

fn history_key(version: u64) -> Vec<u8> {
    [&[HISTORY_PREFIX][..], &version.to_be_bytes()].concat()
}
