//! The network: messages in flight, and links that are partitioned, delayed, slow, or repeat
//! messages.
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use spanlead_replication::{Change, Envelope, LeafChunk, Message, StreamItem, TrafficClass};
use std::collections::{BTreeMap, BTreeSet};

/// How late a repeated message comes at most, milliseconds.
const MAX_REPEAT_DELAY_MS: u64 = 5_000;

/// A link from one machine to another, by their indexes; the other direction is another link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

/// A message on its way.
#[derive(Clone)]
pub struct InFlight {
    pub link: Link,
    pub envelope: Envelope,
}

/// When a message arrives; messages that arrive together keep the order in which they were sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at_ms: u64,
    number: u64,
}

/// The network between all machines.
#[derive(Clone, Default)]
pub struct SimulatedNetwork {
    in_flight: BTreeMap<Arrival, InFlight>,
    sent: u64,
    last_arrival_ms: BTreeMap<(Link, TrafficClass), u64>,
    delayed_until_ms: BTreeMap<Link, u64>,
    /// Links on which nothing arrives.
    pub partitioned: BTreeSet<Link>,
    /// What a message of the data class takes longer than others, milliseconds.
    pub data_delay_ms: BTreeMap<Link, u64>,
    /// Bytes of the data class that a link carries in a millisecond; a link without an entry
    /// carries any number.
    pub data_bytes_per_ms: BTreeMap<Link, usize>,
    /// Whether messages of one link and class keep their order.
    pub preserves_order: bool,
    /// Whether both classes of a link share one connection, so that data delays everything behind
    /// it.
    pub shared_connection: bool,
    /// A copy of each resignation comes so many milliseconds late.
    pub resign_repeat_delay_ms: Option<u64>,
    /// The share of messages that come a second time.
    pub repeat_rate: f64,
    /// The largest message of the data class, bytes.
    pub max_data_message_bytes: usize,
    /// The bytes of all messages of the data class, by link.
    pub data_bytes: BTreeMap<Link, usize>,
}

impl SimulatedNetwork {
    /// Delays what is sent on a link until then; then all of it arrives, in order.
    pub fn delay_until(&mut self, link: Link, until_ms: u64) {
        self.delayed_until_ms.insert(link, until_ms);
    }

    /// Sends a message.
    pub fn send(&mut self, rng: &mut ChaCha8Rng, now_ms: u64, message: InFlight) {
        let link = message.link;
        let class = message.envelope.message.traffic_class();
        let size_bytes = data_size_bytes(&message.envelope.message);
        if class == TrafficClass::Data {
            self.max_data_message_bytes = self.max_data_message_bytes.max(size_bytes);
            *self.data_bytes.entry(link).or_default() += size_bytes;
        }
        let mut at_ms = now_ms + rng.random_range(1..4);
        if class == TrafficClass::Data {
            at_ms += self.data_delay_ms.get(&link).copied().unwrap_or(0);
        }
        at_ms = at_ms.max(self.delayed_until_ms.get(&link).copied().unwrap_or(0));
        if self.preserves_order {
            at_ms = self.arrival_in_order(link, class, size_bytes, at_ms);
        }
        let is_resignation = matches!(message.envelope.message, Message::Resign { .. });
        if let Some(delay_ms) = self.resign_repeat_delay_ms.filter(|_| is_resignation) {
            self.deliver_at(at_ms + delay_ms, message.clone());
        }
        if self.repeat_rate > 0.0 && rng.random_bool(self.repeat_rate) {
            self.deliver_at(at_ms + rng.random_range(0..MAX_REPEAT_DELAY_MS), message.clone());
        }
        self.deliver_at(at_ms, message);
    }

    /// When a message arrives that may not overtake those before it on its connection.
    fn arrival_in_order(&mut self, link: Link, class: TrafficClass, size_bytes: usize, at_ms: u64) -> u64 {
        let connection = if self.shared_connection { TrafficClass::Data } else { class };
        let last_arrival_ms = self.last_arrival_ms.entry((link, connection)).or_default();
        let mut at_ms = at_ms.max(*last_arrival_ms);
        if let Some(bytes_per_ms) = self.data_bytes_per_ms.get(&link) {
            at_ms += (size_bytes / bytes_per_ms) as u64;
        }
        *last_arrival_ms = at_ms;
        at_ms
    }

    /// Puts a message on its way that arrives at this time.
    pub fn deliver_at(&mut self, at_ms: u64, message: InFlight) {
        self.sent += 1;
        self.in_flight.insert(Arrival { at_ms, number: self.sent }, message);
    }

    /// The next message that has arrived by now. Those on partitioned links are lost.
    pub fn next_arrived(&mut self, now_ms: u64) -> Option<InFlight> {
        loop {
            let first = self.in_flight.first_entry().filter(|entry| entry.key().at_ms <= now_ms)?;
            let message = first.remove();
            if !self.partitioned.contains(&message.link) {
                return Some(message);
            }
        }
    }
}

fn data_size_bytes(message: &Message) -> usize {
    match message {
        Message::Stream { item: StreamItem::RepairChunk(chunks), .. } => {
            chunks.iter().map(LeafChunk::size_bytes).sum()
        }
        Message::Stream { item: StreamItem::Batch { changes, .. }, .. } => {
            changes.iter().map(Change::size_bytes).sum()
        }
        _ => 0,
    }
}
