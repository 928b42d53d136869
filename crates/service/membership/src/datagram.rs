//! Datagrams between schedulers. A datagram is postcard's form of [`Datagram`] with a CRC-32 behind
//! it; whatever is not exactly that is dropped and counted by reason. Names are not part of the
//! form; order and types of fields and variants are, and a change of them is a new
//! [`PROTOCOL_VERSION`].
use crate::digest::HeartbeatEntry;
use crate::limits::{CHECKSUM_BYTES, MAX_DATAGRAM_BYTES, MAX_TEXT_BYTES};
use crate::member::{Incarnation, MemberNumber};
use serde::{Deserialize, Serialize};

/// The version of the form. Datagrams of another version are dropped and counted.
pub const PROTOCOL_VERSION: u8 = 2;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Datagram {
    /// [`PROTOCOL_VERSION`].
    pub protocol_version: u8,
    /// The tier that sender and receiver belong to.
    pub tier_id: [u8; 4],
    /// The sender.
    pub from: MemberNumber,
    /// The receiver. A datagram that reaches another member is dropped.
    pub to: MemberNumber,
    /// The message.
    pub body: MessageBody,
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum MessageBody {
    /// Heartbeats, the sender's own first.
    Heartbeats {
        /// The sender wants heartbeats in return at once.
        reply_requested: bool,
        /// At most [`MAX_DIGEST_ENTRIES`](crate::MAX_DIGEST_ENTRIES) heartbeats.
        digest: Vec<HeartbeatEntry>,
    },
    /// A message of another protocol between the same members.
    Payload {
        /// The number of the other protocol.
        protocol: u8,
        /// At most `MAX_PAYLOAD_BYTES`.
        bytes: Vec<u8>,
    },
    /// What does not change while the sender's process lives.
    Metadata {
        /// The sender wants the receiver's metadata in return.
        reply_requested: bool,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The sender's name.
        name: String,
        /// The version of the sender's program.
        version: String,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// It was cut short or damaged, or never was one of ours.
    #[error("malformed datagram")]
    #[serde(rename = "garbled")]
    Malformed,
    /// It has the form of another protocol version.
    #[error("another protocol version")]
    #[serde(rename = "protocol")]
    ProtocolVersion,
    /// It is of another tier.
    #[error("another tier")]
    Tier,
    /// It was sent to another scheduler, or from an address that is not its sender's.
    #[error("another sender or receiver than its addresses say")]
    #[serde(rename = "misled")]
    Misaddressed,
    /// It names a member that does not exist, or figures that no member can have.
    #[error("impossible member or figures")]
    #[serde(rename = "absurd")]
    Implausible,
}

impl DropReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [DropReason; 5] = [
        DropReason::Malformed,
        DropReason::ProtocolVersion,
        DropReason::Tier,
        DropReason::Misaddressed,
        DropReason::Implausible,
    ];
}

impl Datagram {
    /// The bytes of the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Why it is to be dropped.
    pub fn decode(bytes: &[u8]) -> Result<Self, DropReason> {
        let (message, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(DropReason::Malformed)?;
        if bytes.len() > MAX_DATAGRAM_BYTES || crc32fast::hash(message) != u32::from_le_bytes(*checksum) {
            return Err(DropReason::Malformed);
        }
        // Another version may have anything behind its first byte.
        if message.first().is_some_and(|version| *version != PROTOCOL_VERSION) {
            return Err(DropReason::ProtocolVersion);
        }
        match postcard::take_from_bytes::<Datagram>(message) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(DropReason::Malformed),
        }
    }
}

/// A text as it may be sent: truncated to [`MAX_TEXT_BYTES`] at a character's boundary.
pub fn truncate_text(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
