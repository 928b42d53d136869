//! The disseminated item and the messages between processes.
//!
//! `rkyv` serialises them by the order and the types of variants and fields, so these must not
//! change.
#![allow(missing_docs, reason = "the types that rkyv derives have undocumented fields")]
use rkyv::{Archive, Deserialize, Serialize};

/// The versioned item that is disseminated.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// Version of the content. An item is replaced only by one of a higher version.
    pub version: u64,
    /// Opaque content.
    pub content: Vec<u8>,
}

/// A message between two processes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Announces the version of the sender's item, and that the sender is alive.
    Advertise {
        /// Version of the sender's item; 0 for none.
        version: u64,
    },
    /// Response to a [`Message::Advertise`] of the version that the sender has too: shows that the
    /// sender is alive.
    Acknowledge,
    /// Response to a [`Message::Advertise`] of a newer version: requests the item.
    Request {
        /// Version of the sender's item; 0 for none.
        version: u64,
    },
    /// Sends the item to a process with an older version.
    Deliver {
        /// The sender's item.
        item: Item,
    },
}
