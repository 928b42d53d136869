//! The item and the messages between processes.
//!
//! `rkyv` serialises them by the order and the types of variants and fields: they must stay.
#![allow(missing_docs, reason = "the types that rkyv derives have undocumented fields")]
use rkyv::{Archive, Deserialize, Serialize};

/// What is disseminated.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// A higher version replaces a lower one, never the other way round.
    pub version: u64,
    /// Its content.
    pub content: Vec<u8>,
}

/// A message between two processes.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender is alive and has this version.
    Advertise {
        /// The version; 0 for none.
        version: u64,
    },
    /// The response to an advertisement of the version that the sender has too: it is alive.
    Acknowledge,
    /// The sender has an older version and requests the item.
    Request {
        /// The version that it has; 0 for none.
        version: u64,
    },
    /// The item.
    Deliver {
        /// The item that the receiver lacks.
        item: Item,
    },
}
