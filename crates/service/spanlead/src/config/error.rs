//! What is wrong with the configuration.
use std::fmt;

/// What is wrong, and with which key.
#[derive(Debug, thiserror::Error)]
#[error("configuration key `{key}`: {reason}")]
pub(crate) struct ConfigError {
    key: String,
    reason: String,
}

impl ConfigError {
    pub(super) fn new(key: impl Into<String>, reason: impl fmt::Display) -> Self {
        // One line, whatever the text came from.
        ConfigError { key: key.into(), reason: reason.to_string().replace('\n', " ") }
    }
}

/// Why the operators' settings do not fit the configuration, with the place of the setting.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MembershipError {
    /// The deployment does not allow messages between schedulers.
    #[error("{0}: membership: the settings bar messages between schedulers (`settings.limits.peerMessages`)")]
    MessagesBarred(String),
    /// There is no address for datagrams.
    #[error("{0}: membership: the configuration has no `peer_listen`")]
    NoPeerAddress(String),
    /// There are no peers.
    #[error("{0}: membership: the configuration has no `peers`")]
    NoPeers(String),
    /// The peers are not the schedulers of the deployment.
    #[error(
        "{0}: membership: `peers` doesn't name each scheduler, this one included, in the order of their numbers"
    )]
    WrongPeers(String),
    /// There are too many peers.
    #[error("{0}: membership: there are more than 65535 `peers`")]
    TooManyPeers(String),
    /// The other set of a change of the quorum is not the smaller one.
    #[error("{place}: joint-with: is not less than the {count} `peers`; the larger set has its `peers` here")]
    JointSetNotSmaller {
        /// Where `joint-with` stands.
        place: String,
        /// How many schedulers are configured.
        count: u16,
    },
}
