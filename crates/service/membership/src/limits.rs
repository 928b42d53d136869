//! Size limits of datagrams and of their contents.

/// The maximum size of a datagram that the platform carries, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The maximum size of a message of another protocol in a datagram, bytes.
pub const MAX_PAYLOAD_BYTES: usize = 200;
/// The maximum size of a name or version in a datagram, bytes. Longer texts are truncated.
pub const MAX_TEXT_BYTES: usize = 64;
/// The maximum number of heartbeats in a datagram. More do not fit into its maximum size.
pub const MAX_DIGEST_ENTRIES: usize = 60;
/// The number of heartbeats that typically fit into a datagram: after some minutes of operation an
/// encoded heartbeat takes 10 to 11 bytes.
pub(crate) const TYPICAL_DIGEST_ENTRIES: usize = 22;
/// The size of the checksum at the end of a datagram, bytes.
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// The maximum size of the rest of a datagram with heartbeats, bytes: protocol version, tier,
/// sender, receiver, message type, reply request, number of heartbeats, checksum.
pub(crate) const DIGEST_OVERHEAD_BYTES: usize = 1 + 4 + 3 + 3 + 1 + 1 + 1 + CHECKSUM_BYTES;
