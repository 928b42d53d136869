//! Datagrams between schedulers: decoded once into small typed values, encoded once. A datagram is postcard's form of [`Frame`]
//! with a CRC-32 behind it; whatever is not exactly that is dropped and counted by reason.
use serde::{Deserialize, Serialize};

/// The longest datagram that the platform carries, bytes.
pub const MAX_DATAGRAM: usize = 256;
/// Raised whenever the form changes; others' datagrams are dropped and counted.
pub const PROTOCOL: u8 = 2;
/// More entries than this fit into no datagram.
pub const MAX_ENTRIES: usize = 60;
/// Entries that fit into a datagram in service: of 10 to 11 bytes, after some minutes of heartbeats.
pub const TYPICAL_ENTRIES: usize = 22;
/// Bytes of another protocol that a datagram carries.
pub const MAX_CARRIED: usize = 200;
/// The longest name or version that is told; longer ones are cut.
pub const MAX_TEXT: usize = 64;
const CHECKSUM: usize = 4;
/// Bytes of a datagram of heartbeats beside its entries, at the most: protocol, tier, two numbers, kind, question, count, checksum.
const AROUND: usize = 1 + 4 + 3 + 3 + 1 + 1 + 1 + CHECKSUM;

/// What a scheduler says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum Stage {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It takes nothing new.
    Draining,
    /// It has ended in order.
    Left,
}

/// A heartbeat, as it is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Entry {
    /// Whose it is.
    pub number: u16,
    /// Grows with each start of that scheduler.
    pub incarnation: u32,
    /// Grows with each period that it lives through.
    pub beat: u32,
    /// Periods since this heartbeat was made, as whoever passes it on reckons.
    pub age: u32,
    /// What it said of itself then.
    pub stage: Stage,
}

impl Entry {
    /// Whether it says more of its member than the other: of a later start, or later of the same.
    pub fn newer_than(&self, other: &Entry) -> bool {
        (self.incarnation, self.beat) > (other.incarnation, other.beat)
    }

    /// Its bytes in a datagram: postcard writes seven bits of a number in a byte.
    fn size(&self) -> usize {
        let number = |x: u32| (x.max(1).ilog2() as usize) / 7 + 1;
        number(self.number.into()) + number(self.incarnation) + number(self.beat) + number(self.age) + 1
    }
}

/// As many of these entries as fit into a datagram, in their order.
pub fn fitting(entries: impl Iterator<Item = Entry>) -> Vec<Entry> {
    let mut left = MAX_DATAGRAM - AROUND;
    let fits = |entry: &Entry| {
        let fits = entry.size() <= left;
        left = left.saturating_sub(entry.size());
        fits
    };
    entries.take_while(fits).collect()
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Frame {
    /// [`PROTOCOL`].
    pub protocol: u8,
    /// Which tier of schedulers this belongs to.
    pub tier: [u8; 4],
    /// Who sends it.
    pub from: u16,
    /// To whom: one that was misled is dropped.
    pub to: u16,
    /// What it says.
    pub body: Body,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum Body {
    /// Heartbeats, the sender's own first.
    Beats {
        /// An answer of the same kind is wanted at once.
        ask: bool,
        /// At most [`MAX_ENTRIES`].
        entries: Vec<Entry>,
    },
    /// Another protocol's words, between the same members.
    Carried {
        /// Which.
        kind: u8,
        /// At most [`MAX_CARRIED`].
        bytes: Vec<u8>,
    },
    /// What doesn't change while a process lives.
    Hello {
        /// The other's is wanted too.
        ask: bool,
        /// Of this start.
        incarnation: u32,
        /// Its name.
        name: String,
        /// Its program's version.
        version: String,
    },
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Drop {
    /// Cut off, spoilt, or never one of ours.
    Garbled,
    /// Of another form of datagrams.
    Protocol,
    /// Of another tier.
    Tier,
    /// Meant for another scheduler, or from an address that is not its sender's.
    Misled,
    /// A number that no scheduler has, or figures that none can have.
    Absurd,
}

/// All reasons, in the order of their counters.
pub const DROPS: [Drop; 5] = [Drop::Garbled, Drop::Protocol, Drop::Tier, Drop::Misled, Drop::Absurd];

impl Frame {
    /// The datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let sum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// Why it is to be dropped.
    pub fn decode(bytes: &[u8]) -> Result<Self, Drop> {
        let (text, sum) = bytes.split_last_chunk::<CHECKSUM>().ok_or(Drop::Garbled)?;
        if bytes.len() > MAX_DATAGRAM || crc32fast::hash(text) != u32::from_le_bytes(*sum) {
            return Err(Drop::Garbled);
        }
        // Another form may hold anything behind its first byte.
        if text.first().is_some_and(|protocol| *protocol != PROTOCOL) {
            return Err(Drop::Protocol);
        }
        match postcard::take_from_bytes::<Frame>(text) {
            Ok((frame, [])) => Ok(frame),
            _ => Err(Drop::Garbled),
        }
    }
}

/// A text as it may be told: cut at a character.
pub fn short(text: &str) -> String {
    let mut end = text.len().min(MAX_TEXT);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}
