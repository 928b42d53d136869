//! Seeded runs on a network that loses messages: every item reaches every process, no process goes
//! back to an older one, and failed processes are detected.
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_dissemination::{Disseminator, Item, Message, Output, PEERS_PER_PROCESS, select_peers};
use std::collections::BTreeMap;

/// Bytes of a message beside its content.
const MESSAGE_OVERHEAD_BYTES: usize = 100;

struct SimulatedNetwork {
    now_ms: u64,
    nodes: BTreeMap<String, Disseminator>,
    failed: Vec<String>,
    /// Messages on their way, by arrival and number.
    in_flight: BTreeMap<(u64, u64), (String, String, Message)>,
    sent_messages: u64,
    loss: f64,
    /// What each process's link carries, bytes a millisecond, and when it is free again.
    bytes_per_ms: Option<usize>,
    free_at: BTreeMap<String, u64>,
    rng: ChaCha8Rng,
    seen: BTreeMap<String, u64>,
    reports: Vec<(String, String, bool)>,
}

impl SimulatedNetwork {
    fn new(seed: u64, count: usize, loss: f64) -> Self {
        let names: Vec<String> = (0..count).map(|i| format!("node-{i}")).collect();
        let mut nodes: BTreeMap<String, Disseminator> =
            names.iter().map(|name| (name.clone(), Disseminator::new(name))).collect();
        nodes.values_mut().for_each(|node| node.set_processes(&names, 0));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (in_flight, seen, failed, reports, free_at) = Default::default();
        let bytes_per_ms = None;
        SimulatedNetwork {
            now_ms: 0,
            nodes,
            failed,
            in_flight,
            sent_messages: 0,
            loss,
            bytes_per_ms,
            free_at,
            rng,
            seen,
            reports,
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now_ms += 10;
            while let Some(entry) = self.in_flight.first_entry() {
                if entry.key().0 > self.now_ms {
                    break;
                }
                let (from, to, message) = self.in_flight.pop_first().expect("peeked").1;
                if !self.failed.contains(&to) {
                    self.nodes.get_mut(&to).expect("known").handle(&from, message, self.now_ms);
                }
            }
            let names: Vec<String> =
                self.nodes.keys().filter(|n| !self.failed.contains(n)).cloned().collect();
            for name in names {
                let node = self.nodes.get_mut(&name).expect("known");
                node.tick(self.now_ms);
                for output in node.take_outputs() {
                    self.carry_out(&name, output);
                }
            }
        }
    }

    /// When the last byte of a message has left: bytes wait for those before them on the same link.
    fn sent(&mut self, from: &str, message: &Message) -> u64 {
        let Some(bytes_per_ms) = self.bytes_per_ms else { return self.now_ms };
        let bytes = MESSAGE_OVERHEAD_BYTES
            + if let Message::Deliver { item } = message { item.content.len() } else { 0 };
        let free_at = self.free_at.entry(from.to_owned()).or_default();
        *free_at = (*free_at).max(self.now_ms) + bytes.div_ceil(bytes_per_ms) as u64;
        *free_at
    }

    fn carry_out(&mut self, name: &str, output: Output) {
        match output {
            Output::Send { to, message } => {
                if !self.rng.random_bool(self.loss) {
                    self.sent_messages += 1;
                    let sent_at = self.sent(name, &message);
                    let at = sent_at + self.rng.random_range(1..20);
                    self.in_flight.insert((at, self.sent_messages), (name.to_owned(), to, message));
                }
            }
            Output::Updated(item) => {
                let before = self.seen.insert(name.to_owned(), item.version).unwrap_or(0);
                assert!(item.version > before, "{name} went back from {before} to {}", item.version);
            }
            Output::PeerStatus { name: peer, alive } => self.reports.push((name.to_owned(), peer, alive)),
        }
    }
}

fn all_have_the_last_version(seed: u64) -> bool {
    let mut network = SimulatedNetwork::new(seed, 40, 0.2);
    network.run(1_000);
    for version in 1..=5 {
        let at = network.rng.random_range(0..40);
        let now = network.now_ms;
        let node = network.nodes.get_mut(&format!("node-{at}")).expect("known");
        node.update(Item { version, content: vec![version as u8] }, now);
        let between = network.rng.random_range(0..300);
        network.run(between);
    }
    network.run(4_000);
    network.nodes.values().all(|node| node.item().map(|i| i.version) == Some(5))
}

quickcheck! {
    fn an_item_reaches_every_process_despite_message_loss(seed: u64) -> bool {
        all_have_the_last_version(seed)
    }
}

/// Ten versions a second on links of 2 Mbit/s, each of the size of what data planes are sent of a
/// configuration: no process counts as failed, and every one has the last version a second later.
#[test]
fn frequent_versions_delay_no_heartbeat_on_narrow_links() {
    const ITEM_BYTES: usize = 128;
    const LINK_BYTES_PER_MS: usize = 250;
    const UPDATE_INTERVAL_MS: u64 = 100;
    for seed in 0..6 {
        let mut network = SimulatedNetwork::new(seed, 32, 0.02);
        network.bytes_per_ms = Some(LINK_BYTES_PER_MS);
        network.run(1_000);
        for version in 1..=100 {
            let now = network.now_ms;
            for name in ["node-0", "node-1"] {
                let item = Item { version, content: vec![0; ITEM_BYTES] };
                network.nodes.get_mut(name).expect("known").update(item, now);
            }
            network.run(UPDATE_INTERVAL_MS);
        }
        assert!(network.reports.is_empty(), "seed {seed}: {:?}", network.reports);
        network.run(1_000);
        let versions: Vec<u64> = network.nodes.values().map(|n| n.item().map_or(0, |i| i.version)).collect();
        assert!(versions.iter().all(|version| *version == 100), "seed {seed}: {versions:?}");
    }
}

#[test]
fn a_failed_process_and_its_return_are_reported_by_all_that_watch_it() {
    let mut network = SimulatedNetwork::new(3, 30, 0.05);
    network.run(2_000);
    network.failed.push("node-7".to_owned());
    network.run(5_000);
    let reports = network.reports.iter().filter(|(_, peer, alive)| peer == "node-7" && !alive).count();
    let watched = network.nodes.values().filter(|node| node.peers().any(|p| p == "node-7")).count();
    assert!(watched > 0, "nobody watches node-7");
    assert_eq!(reports, watched);
    network.failed.clear();
    network.run(3_000);
    let back = network.reports.iter().filter(|(_, peer, alive)| peer == "node-7" && *alive).count();
    assert_eq!(back, watched);
}

#[test]
fn a_process_that_joins_changes_few_selections() {
    let names: Vec<String> = (0..100).map(|i| format!("node-{i}")).collect();
    let all = || names.iter().map(String::as_str);
    let before: Vec<Vec<&str>> = names.iter().map(|me| select_peers(me, all(), PEERS_PER_PROCESS)).collect();
    let after: Vec<Vec<&str>> = names
        .iter()
        .map(|me| select_peers(me, all().chain(std::iter::once("new")), PEERS_PER_PROCESS))
        .collect();
    let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(changed < 12, "{changed} of 100 changed");
}
