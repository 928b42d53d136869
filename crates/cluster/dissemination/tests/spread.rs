//! Seeded simulations on a lossy network: the latest item reaches every process, no process reverts
//! to an older item, and failed processes are detected.
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_dissemination::{Disseminator, Item, Message, Output, PEERS_PER_PROCESS, select_peers};
use std::collections::BTreeMap;

/// Size of a message without its content, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 100;

struct SimulatedNetwork {
    now_ms: u64,
    nodes: BTreeMap<String, Disseminator>,
    failed: Vec<String>,
    /// Messages in flight, by arrival time and sequence number.
    in_flight: BTreeMap<(u64, u64), (String, String, Message)>,
    sent_messages: u64,
    loss: f64,
    /// Bandwidth of each process's outgoing link, in bytes per millisecond; `None` for unlimited.
    bytes_per_ms: Option<usize>,
    /// When each process's outgoing link has transmitted all its messages, in milliseconds.
    link_free_at_ms: BTreeMap<String, u64>,
    rng: ChaCha8Rng,
    /// The version of each process's last item.
    versions: BTreeMap<String, u64>,
    /// Reported changes of liveness: the reporting process, the peer, and whether it is alive.
    reports: Vec<(String, String, bool)>,
}

impl SimulatedNetwork {
    fn new(seed: u64, count: usize, loss: f64) -> Self {
        let names: Vec<String> = (0..count).map(|i| format!("node-{i}")).collect();
        let mut nodes: BTreeMap<String, Disseminator> =
            names.iter().map(|name| (name.clone(), Disseminator::new(name))).collect();
        nodes.values_mut().for_each(|node| node.set_processes(&names, 0));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (in_flight, versions, failed, reports, link_free_at_ms) = Default::default();
        let bytes_per_ms = None;
        SimulatedNetwork {
            now_ms: 0,
            nodes,
            failed,
            in_flight,
            sent_messages: 0,
            loss,
            bytes_per_ms,
            link_free_at_ms,
            rng,
            versions,
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

    /// Queues a message on the sender's link behind the previous ones. Returns the time at which
    /// its last byte is transmitted, in milliseconds.
    fn transmit(&mut self, from: &str, message: &Message) -> u64 {
        let Some(bytes_per_ms) = self.bytes_per_ms else { return self.now_ms };
        let bytes = MESSAGE_OVERHEAD_BYTES
            + if let Message::Deliver { item } = message { item.content.len() } else { 0 };
        let free_at_ms = self.link_free_at_ms.entry(from.to_owned()).or_default();
        *free_at_ms = (*free_at_ms).max(self.now_ms) + bytes.div_ceil(bytes_per_ms) as u64;
        *free_at_ms
    }

    fn carry_out(&mut self, name: &str, output: Output) {
        match output {
            Output::Send { to, message } => {
                if !self.rng.random_bool(self.loss) {
                    self.sent_messages += 1;
                    let transmitted_at_ms = self.transmit(name, &message);
                    let arrival_ms = transmitted_at_ms + self.rng.random_range(1..20);
                    self.in_flight.insert((arrival_ms, self.sent_messages), (name.to_owned(), to, message));
                }
            }
            Output::Updated(item) => {
                let before = self.versions.insert(name.to_owned(), item.version).unwrap_or(0);
                assert!(item.version > before, "{name} reverted from version {before} to {}", item.version);
            }
            Output::PeerStatus { name: peer, alive } => self.reports.push((name.to_owned(), peer, alive)),
        }
    }
}

fn all_processes_have_the_last_version(seed: u64) -> bool {
    let mut network = SimulatedNetwork::new(seed, 40, 0.2);
    network.run(1_000);
    for version in 1..=5 {
        let index = network.rng.random_range(0..40);
        let now = network.now_ms;
        let node = network.nodes.get_mut(&format!("node-{index}")).expect("known");
        node.update(Item { version, content: vec![version as u8] }, now);
        let interval_ms = network.rng.random_range(0..300);
        network.run(interval_ms);
    }
    network.run(4_000);
    network.nodes.values().all(|node| node.item().map(|i| i.version) == Some(5))
}

quickcheck! {
    fn an_item_reaches_every_process_despite_message_loss(seed: u64) -> bool {
        all_processes_have_the_last_version(seed)
    }
}

/// Ten updates a second on links of 2 Mbit/s, each item of the size of a data plane configuration:
/// no process is reported as failed, and every process has the last version one second later.
#[test]
fn frequent_updates_do_not_delay_heartbeats_on_slow_links() {
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
fn failure_and_recovery_of_a_process_are_reported_by_all_processes_that_monitor_it() {
    let mut network = SimulatedNetwork::new(3, 30, 0.05);
    network.run(2_000);
    network.failed.push("node-7".to_owned());
    network.run(5_000);
    let failures = network.reports.iter().filter(|(_, peer, alive)| peer == "node-7" && !alive).count();
    let monitors = network.nodes.values().filter(|node| node.peers().any(|p| p == "node-7")).count();
    assert!(monitors > 0, "no process monitors node-7");
    assert_eq!(failures, monitors);
    network.failed.clear();
    network.run(3_000);
    let recoveries = network.reports.iter().filter(|(_, peer, alive)| peer == "node-7" && *alive).count();
    assert_eq!(recoveries, monitors);
}

#[test]
fn a_joining_process_changes_few_peer_selections() {
    let names: Vec<String> = (0..100).map(|i| format!("node-{i}")).collect();
    let all = || names.iter().map(String::as_str);
    let before: Vec<Vec<&str>> = names.iter().map(|me| select_peers(me, all(), PEERS_PER_PROCESS)).collect();
    let after: Vec<Vec<&str>> = names
        .iter()
        .map(|me| select_peers(me, all().chain(std::iter::once("new")), PEERS_PER_PROCESS))
        .collect();
    let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(changed < 12, "{changed} of 100 selections changed");
}
