//! One process's part in the spreading.
use crate::rendezvous::pick;
use rkyv::{Archive, Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How many peers a process tells and watches.
pub const PEERS: usize = 3;
/// How often they are told, milliseconds.
const TELL_EVERY_MS: u64 = 500;
/// Silence after which a peer counts as lost, milliseconds.
const SILENT_MS: u64 = 2_500;

/// What is spread.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// Higher ones replace lower ones, never the other way round.
    pub version: u64,
    /// Its content.
    pub content: Vec<u8>,
}

/// What peers say to one another.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender has this version, and lives.
    Have {
        /// The version; 0 for none.
        version: u64,
    },
    /// The answer of one who has the same: it lives.
    Alive,
    /// The sender is behind and wants the item.
    Want {
        /// The version that it has.
        version: u64,
    },
    /// The item.
    Bring {
        /// It.
        item: Item,
    },
}

/// What the embedder does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Sends a message; it may get lost.
    Send {
        /// The peer.
        to: String,
        /// The message.
        message: Message,
    },
    /// Takes note of a newer item.
    Updated(Item),
    /// Takes note that a watched peer is silent, or is heard again.
    Peer {
        /// The peer.
        name: String,
        /// Whether it is heard.
        alive: bool,
    },
}

/// One process.
#[derive(Clone, Debug)]
pub struct Disseminator {
    me: String,
    known: BTreeSet<String>,
    /// The peers that it tells and watches, with when they were heard last and whether they count as lost.
    peers: BTreeMap<String, (u64, bool)>,
    item: Option<Item>,
    tell_at: u64,
    outputs: Vec<Output>,
}

impl Disseminator {
    /// A process of that name that knows nobody and has nothing.
    #[must_use]
    pub fn new(me: &str) -> Self {
        Disseminator {
            me: me.to_owned(),
            known: BTreeSet::new(),
            peers: BTreeMap::new(),
            item: None,
            tell_at: 0,
            outputs: Vec::new(),
        }
    }

    /// The item that it has.
    #[must_use]
    pub fn item(&self) -> Option<&Item> {
        self.item.as_ref()
    }

    /// The peers that it tells and watches.
    pub fn peers(&self) -> impl Iterator<Item = &str> {
        self.peers.keys().map(String::as_str)
    }

    fn version(&self) -> u64 {
        self.item.as_ref().map_or(0, |item| item.version)
    }

    /// What is to be done since this was last asked.
    pub fn drain(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes the names of all processes that are known; those that are not named any more are forgotten.
    pub fn meet(&mut self, names: &[String], now: u64) {
        self.known = names.iter().filter(|name| **name != self.me).cloned().collect();
        let picked = pick(&self.me, self.known.iter().map(String::as_str), PEERS);
        let mut peers = BTreeMap::new();
        for name in picked {
            peers.insert(name.to_owned(), self.peers.get(name).copied().unwrap_or((now, true)));
        }
        self.peers = peers;
    }

    /// Takes an item, if it is newer, and tells the peers at once.
    pub fn offer(&mut self, item: Item, now: u64) {
        if item.version <= self.version() {
            return;
        }
        self.outputs.push(Output::Updated(item.clone()));
        self.item = Some(item);
        self.tell_at = now;
        self.tick(now);
    }

    /// Takes a message.
    pub fn handle(&mut self, from: &str, message: Message, now: u64) {
        self.hear(from, now);
        let mine = self.version();
        match message {
            Message::Have { version } if version > mine => self.send(from, Message::Want { version: mine }),
            // Who is behind is helped at once.
            Message::Have { version } | Message::Want { version } if version < mine => {
                if let Some(item) = self.item.clone() {
                    self.send(from, Message::Bring { item });
                }
            }
            Message::Have { .. } => self.send(from, Message::Alive),
            Message::Want { .. } | Message::Alive => {}
            Message::Bring { item } => self.offer(item, now),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        if now < self.tell_at {
            return;
        }
        self.tell_at = now + TELL_EVERY_MS;
        let version = self.version();
        for name in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.send(&name, Message::Have { version });
        }
        let silent = self.peers.iter_mut().filter(|(_, (heard, alive))| *alive && now > *heard + SILENT_MS);
        for (name, (_, alive)) in silent {
            *alive = false;
            self.outputs.push(Output::Peer { name: name.clone(), alive: false });
        }
    }

    fn hear(&mut self, from: &str, now: u64) {
        if let Some((heard, alive)) = self.peers.get_mut(from) {
            *heard = now;
            if !std::mem::replace(alive, true) {
                self.outputs.push(Output::Peer { name: from.to_owned(), alive: true });
            }
        }
    }

    fn send(&mut self, to: &str, message: Message) {
        self.outputs.push(Output::Send { to: to.to_owned(), message });
    }
}
