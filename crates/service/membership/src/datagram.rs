//! Datagrams between schedulers. A datagram is the postcard encoding of [`Datagram`], followed by a
//! CRC-32. Anything else is dropped and counted by reason. Names are not part of the encoding. The
//! order and types of fields and variants are, and changing them requires a new
//! [`PROTOCOL_VERSION`].
use crate::digest::HeartbeatEntry;
use crate::limits::{CHECKSUM_BYTES, MAX_DATAGRAM_BYTES, MAX_TEXT_BYTES};
use crate::member::{Incarnation, MemberNumber};
use serde::{Deserialize, Serialize};

/// The version of the encoding. Datagrams of another version are dropped and counted.
pub const PROTOCOL_VERSION: u8 = 2;

/// A datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Datagram {
    /// The version of the encoding, [`PROTOCOL_VERSION`].
    pub protocol_version: u8,
    /// The identifier of the tier of sender and receiver.
    pub tier_id: [u8; 4],
    /// The number of the sender.
    pub from: MemberNumber,
    /// The number of the receiver. A datagram that reaches another member is dropped.
    pub to: MemberNumber,
    /// The message.
    pub body: MessageBody,
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum MessageBody {
    /// Heartbeats, the sender's own first.
    Heartbeats {
        /// Whether the sender requests an immediate reply with heartbeats.
        reply_requested: bool,
        /// At most [`MAX_DIGEST_ENTRIES`](crate::MAX_DIGEST_ENTRIES) heartbeats.
        digest: Vec<HeartbeatEntry>,
    },
    /// A message of another protocol between members.
    Payload {
        /// The number of the other protocol.
        protocol: u8,
        /// The message, at most [`MAX_PAYLOAD_BYTES`](crate::MAX_PAYLOAD_BYTES) bytes.
        bytes: Vec<u8>,
    },
    /// Properties that are constant for the lifetime of the sender's process.
    Metadata {
        /// Whether the sender requests the receiver's metadata.
        reply_requested: bool,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The sender's name.
        name: String,
        /// The version of the sender's program.
        version: String,
    },
}

/// The reason for which a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum DropReason {
    /// It is truncated, corrupted, too long or not of this protocol.
    #[error("malformed datagram")]
    #[serde(rename = "garbled")]
    Malformed,
    /// Its protocol version differs from this scheduler's.
    #[error("another protocol version")]
    #[serde(rename = "protocol")]
    ProtocolVersion,
    /// It belongs to another tier.
    #[error("another tier")]
    Tier,
    /// It names another receiver than this scheduler, or another sender than the member whose
    /// address it came from.
    #[error("sender or receiver number does not match the addresses of the datagram")]
    #[serde(rename = "misled")]
    Misaddressed,
    /// It contains a member number beyond the configured ones, or values that no member can have.
    #[error("member number that is not configured, or implausible heartbeat values")]
    #[serde(rename = "absurd")]
    Implausible,
}

impl DropReason {
    /// All reasons, in the order in which their counters are listed.
    pub const ALL: [DropReason; 5] = [
        DropReason::Malformed,
        DropReason::ProtocolVersion,
        DropReason::Tier,
        DropReason::Misaddressed,
        DropReason::Implausible,
    ];
}

impl Datagram {
    /// Encodes the datagram, with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// Returns [`DropReason::Malformed`] or [`DropReason::ProtocolVersion`] if the bytes are not a
    /// datagram of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, DropReason> {
        let (message, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(DropReason::Malformed)?;
        if bytes.len() > MAX_DATAGRAM_BYTES || crc32fast::hash(message) != u32::from_le_bytes(*checksum) {
            return Err(DropReason::Malformed);
        }
        // Only the position of the version and of the checksum is common to all versions.
        if message.first().is_some_and(|version| *version != PROTOCOL_VERSION) {
            return Err(DropReason::ProtocolVersion);
        }
        match postcard::take_from_bytes::<Datagram>(message) {
            Ok((datagram, [])) => Ok(datagram),
            _ => Err(DropReason::Malformed),
        }
    }
}

/// Truncates a text to at most [`MAX_TEXT_BYTES`] bytes, at a character boundary.
pub fn truncate_text(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
