//! The state of one process in the dissemination.
use crate::message::{Item, Message};
use crate::peer_selection::{PEERS_PER_PROCESS, select_peers};
use std::collections::{BTreeMap, BTreeSet};

/// How often the version is advertised to the peers, milliseconds.
const ADVERTISE_INTERVAL_MS: u64 = 500;
/// A peer from which nothing was received for longer counts as failed, milliseconds.
const PEER_TIMEOUT_MS: u64 = 2_500;

/// What the embedder has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may get lost.
    Send {
        /// The name of the receiver.
        to: String,
        /// The message.
        message: Message,
    },
    /// Use this newer item.
    Updated(Item),
    /// A peer failed, or is alive again.
    PeerStatus {
        /// The name of the peer.
        name: String,
        /// Whether it is alive.
        alive: bool,
    },
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    last_contact_ms: u64,
    alive: bool,
}

/// One process. Times are milliseconds of any monotonic clock.
#[derive(Clone, Debug)]
pub struct Disseminator {
    name: String,
    processes: BTreeSet<String>,
    /// The peers that it advertises to and watches, a selection of `processes`.
    peers: BTreeMap<String, PeerState>,
    item: Option<Item>,
    next_advertisement_ms: u64,
    outputs: Vec<Output>,
}

impl Disseminator {
    /// A process of that name that knows no others and has no item.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Disseminator {
            name: name.to_owned(),
            processes: BTreeSet::new(),
            peers: BTreeMap::new(),
            item: None,
            next_advertisement_ms: 0,
            outputs: Vec::new(),
        }
    }

    /// The item that it has.
    #[must_use]
    pub fn item(&self) -> Option<&Item> {
        self.item.as_ref()
    }

    /// The version of its item; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.item.as_ref().map_or(0, |item| item.version)
    }

    /// The names of the peers that it advertises to and watches.
    pub fn peers(&self) -> impl Iterator<Item = &str> {
        self.peers.keys().map(String::as_str)
    }

    /// What is to be carried out since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Replaces the names of all known processes, and selects the peers among them.
    pub fn set_processes(&mut self, names: &[String], now_ms: u64) {
        self.processes = names.iter().filter(|name| **name != self.name).cloned().collect();
        let candidates = self.processes.iter().map(String::as_str);
        let selected = select_peers(&self.name, candidates, PEERS_PER_PROCESS);
        let mut peers = BTreeMap::new();
        for name in selected {
            let new = PeerState { last_contact_ms: now_ms, alive: true };
            peers.insert(name.to_owned(), self.peers.get(name).copied().unwrap_or(new));
        }
        self.peers = peers;
    }

    /// Takes an item if it is newer, and advertises it to the peers at once.
    pub fn update(&mut self, item: Item, now_ms: u64) {
        if item.version <= self.version() {
            return;
        }
        self.outputs.push(Output::Updated(item.clone()));
        self.item = Some(item);
        self.next_advertisement_ms = now_ms;
        self.tick(now_ms);
    }

    /// Handles a message from the process of that name.
    pub fn handle(&mut self, from: &str, message: Message, now_ms: u64) {
        self.record_contact(from, now_ms);
        let own = self.version();
        match message {
            Message::Advertise { version } if version > own => {
                self.send(from, Message::Request { version: own });
            }
            // A process with an older version is sent the item at once.
            Message::Advertise { version } | Message::Request { version } if version < own => {
                if let Some(item) = self.item.clone() {
                    self.send(from, Message::Deliver { item });
                }
            }
            Message::Advertise { .. } => self.send(from, Message::Acknowledge),
            Message::Request { .. } | Message::Acknowledge => {}
            Message::Deliver { item } => self.update(item, now_ms),
        }
    }

    /// Advertises the version and checks the peers, if that is due.
    pub fn tick(&mut self, now_ms: u64) {
        if now_ms < self.next_advertisement_ms {
            return;
        }
        self.next_advertisement_ms = now_ms + ADVERTISE_INTERVAL_MS;
        let version = self.version();
        for name in self.peers.keys().cloned().collect::<Vec<_>>() {
            self.send(&name, Message::Advertise { version });
        }
        self.report_failed_peers(now_ms);
    }

    fn report_failed_peers(&mut self, now_ms: u64) {
        for (name, peer) in &mut self.peers {
            if peer.alive && now_ms > peer.last_contact_ms + PEER_TIMEOUT_MS {
                peer.alive = false;
                self.outputs.push(Output::PeerStatus { name: name.clone(), alive: false });
            }
        }
    }

    fn record_contact(&mut self, from: &str, now_ms: u64) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        peer.last_contact_ms = now_ms;
        if !std::mem::replace(&mut peer.alive, true) {
            self.outputs.push(Output::PeerStatus { name: from.to_owned(), alive: true });
        }
    }

    fn send(&mut self, to: &str, message: Message) {
        self.outputs.push(Output::Send { to: to.to_owned(), message });
    }
}
