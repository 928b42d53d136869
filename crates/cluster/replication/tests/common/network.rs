//! The simulated network: messages in flight, and links that are cut, delayed or slow, or that
//! duplicate messages.
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use spanlead_replication::{Change, Envelope, LeafChunk, Message, StreamItem, TrafficClass};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum delay of a duplicate after the original message, milliseconds.
const MAX_DUPLICATE_DELAY_MS: u64 = 5_000;

/// A link in one direction between two machines, by their indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

/// A message that was sent and has not arrived.
#[derive(Clone)]
pub struct InFlightMessage {
    pub link: Link,
    pub envelope: Envelope,
}

/// The arrival of a message; messages that arrive in the same millisecond are ordered by number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Arrival {
    at_ms: u64,
    number: u64,
}

/// The network between all machines.
#[derive(Clone, Default)]
pub struct SimulatedNetwork {
    in_flight: BTreeMap<Arrival, InFlightMessage>,
    scheduled_deliveries: u64,
    last_arrival_ms: BTreeMap<(Link, TrafficClass), u64>,
    delayed_until_ms: BTreeMap<Link, u64>,
    /// Links that lose all messages.
    pub cut_links: BTreeSet<Link>,
    /// The additional latency of data messages, milliseconds.
    pub data_delay_ms: BTreeMap<Link, u64>,
    /// The maximum rate of data messages, bytes per millisecond; a link without an entry has no
    /// limit. Applies only if `preserves_order` is set.
    pub data_bytes_per_ms: BTreeMap<Link, usize>,
    /// Whether messages of the same link and class are delivered in order.
    pub preserves_order: bool,
    /// Whether both classes of a link share one connection, so that data messages delay the control
    /// messages behind them. Applies only if `preserves_order` is set.
    pub shared_connection: bool,
    /// The delay after which a duplicate of each [`Message::Resign`] arrives, milliseconds; `None`
    /// for no duplicates.
    pub resign_duplicate_delay_ms: Option<u64>,
    /// The probability that a message is duplicated.
    pub duplicate_rate: f64,
    /// The size of the largest data message sent, bytes.
    pub max_data_message_bytes: usize,
    /// The total size of the data messages sent on each link, bytes.
    pub data_bytes: BTreeMap<Link, usize>,
}

impl SimulatedNetwork {
    /// Holds back the messages sent on a link before `until_ms`, and then delivers them in the
    /// order in which they were sent.
    pub fn delay_until(&mut self, link: Link, until_ms: u64) {
        self.delayed_until_ms.insert(link, until_ms);
    }

    /// Sends a message, with a latency of 1 to 3 ms plus the delays of its link.
    pub fn send(&mut self, rng: &mut ChaCha8Rng, now_ms: u64, message: InFlightMessage) {
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
        if let Some(delay_ms) = self.resign_duplicate_delay_ms.filter(|_| is_resignation) {
            self.schedule_delivery(at_ms + delay_ms, message.clone());
        }
        if self.duplicate_rate > 0.0 && rng.random_bool(self.duplicate_rate) {
            self.schedule_delivery(at_ms + rng.random_range(0..MAX_DUPLICATE_DELAY_MS), message.clone());
        }
        self.schedule_delivery(at_ms, message);
    }

    /// The arrival time of a message that must not overtake earlier messages of its connection.
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

    /// Schedules the arrival of a message.
    pub fn schedule_delivery(&mut self, at_ms: u64, message: InFlightMessage) {
        self.scheduled_deliveries += 1;
        self.in_flight.insert(Arrival { at_ms, number: self.scheduled_deliveries }, message);
    }

    /// Removes and returns the next message that has arrived at `now_ms`. Messages on cut links are
    /// lost.
    pub fn take_arrived(&mut self, now_ms: u64) -> Option<InFlightMessage> {
        loop {
            let first = self.in_flight.first_entry().filter(|entry| entry.key().at_ms <= now_ms)?;
            let message = first.remove();
            if !self.cut_links.contains(&message.link) {
                return Some(message);
            }
        }
    }
}

/// The size of the chunks or changes in a data message, bytes; 0 for any other message.
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
