//! The dissemination protocol of one process.
use crate::message::{Item, Message};
use crate::peer_selection::{PEERS_PER_PROCESS, select_peers};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between advertisements to the peers, in milliseconds.
const ADVERTISE_INTERVAL_MS: u64 = 500;
/// Time without a message from a peer after which the peer counts as failed, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 2_500;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message. Message loss is tolerated.
    Send {
        /// Name of the receiver.
        to: String,
        /// The message.
        message: Message,
    },
    /// Apply this item, which is newer than the one before.
    Updated(Item),
    /// A peer has failed or recovered.
    PeerStatus {
        /// Name of the peer.
        name: String,
        /// Whether the peer is alive.
        alive: bool,
    },
}

/// The liveness of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    last_contact_ms: u64,
    alive: bool,
}

/// The protocol state of one process. Times are milliseconds of any monotonic clock.
#[derive(Clone, Debug)]
pub struct Disseminator {
    name: String,
    /// The names of all other known processes.
    processes: BTreeSet<String>,
    /// The peers that the process advertises to and monitors, selected from `processes`.
    peers: BTreeMap<String, PeerState>,
    item: Option<Item>,
    next_advertisement_ms: u64,
    outputs: Vec<Output>,
}

impl Disseminator {
    /// Creates the state of the process `name`, without other processes and without an item.
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

    /// Returns the current item.
    #[must_use]
    pub fn item(&self) -> Option<&Item> {
        self.item.as_ref()
    }

    /// Returns the version of the current item; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.item.as_ref().map_or(0, |item| item.version)
    }

    /// Returns the names of the peers that the process advertises to and monitors.
    pub fn peers(&self) -> impl Iterator<Item = &str> {
        self.peers.keys().map(String::as_str)
    }

    /// Returns the actions that have accumulated since the last call.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Replaces the set of known processes and selects the peers from it. Peers that stay selected
    /// keep their liveness.
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

    /// Replaces the item if `item` is newer, and advertises it to the peers immediately.
    pub fn update(&mut self, item: Item, now_ms: u64) {
        if item.version <= self.version() {
            return;
        }
        self.outputs.push(Output::Updated(item.clone()));
        self.item = Some(item);
        self.next_advertisement_ms = now_ms;
        self.tick(now_ms);
    }

    /// Handles a message from the process `from`.
    pub fn handle(&mut self, from: &str, message: Message, now_ms: u64) {
        self.record_contact(from, now_ms);
        let own_version = self.version();
        match message {
            Message::Advertise { version } if version > own_version => {
                self.send(from, Message::Request { version: own_version });
            }
            // The sender has an older version, so it is sent the item immediately.
            Message::Advertise { version } | Message::Request { version } if version < own_version => {
                if let Some(item) = self.item.clone() {
                    self.send(from, Message::Deliver { item });
                }
            }
            Message::Advertise { .. } => self.send(from, Message::Acknowledge),
            Message::Request { .. } | Message::Acknowledge => {}
            Message::Deliver { item } => self.update(item, now_ms),
        }
    }

    /// Advertises the version and reports failed peers, if an advertisement is due.
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

    /// Records that a message was received from `from`, and reports a recovered peer.
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
