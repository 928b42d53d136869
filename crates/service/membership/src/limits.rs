//! Sizes of datagrams and of what they carry.

/// The longest datagram that the platform carries, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The most bytes of another protocol that a datagram carries.
pub const MAX_PAYLOAD_BYTES: usize = 200;
/// The longest name or version that is sent, bytes; longer ones are truncated.
pub const MAX_TEXT_BYTES: usize = 64;
/// No datagram has room for more heartbeats.
pub const MAX_DIGEST_ENTRIES: usize = 60;
/// Heartbeats that fit into a datagram in service: after some minutes of them one takes 10 to 11
/// bytes.
pub(crate) const TYPICAL_DIGEST_ENTRIES: usize = 22;
/// The size of the checksum behind a datagram, bytes.
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// The most bytes of a datagram of heartbeats beside the heartbeats: protocol version, tier,
/// sender, receiver, kind of message, whether a reply is requested, number of heartbeats, checksum.
pub(crate) const DIGEST_OVERHEAD_BYTES: usize = 1 + 4 + 3 + 3 + 1 + 1 + 1 + CHECKSUM_BYTES;
