//! Seeded runs on a network that loses messages: every item reaches everybody, nobody goes back, the silent are found.
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use spanlead_dissemination::*;
use std::collections::BTreeMap;

/// What a message takes beside its content, bytes.
const HEAD_BYTES: usize = 100;

struct World {
    now: u64,
    nodes: BTreeMap<String, Disseminator>,
    dead: Vec<String>,
    mail: BTreeMap<(u64, u64), (String, String, Message)>,
    count: u64,
    loss: f64,
    /// What each process's link carries, bytes a millisecond, and when it is free again.
    bytes_per_ms: Option<usize>,
    free_at: BTreeMap<String, u64>,
    rng: ChaCha8Rng,
    seen: BTreeMap<String, u64>,
    reports: Vec<(String, String, bool)>,
}

impl World {
    fn new(seed: u64, count: usize, loss: f64) -> Self {
        let names: Vec<String> = (0..count).map(|i| format!("node-{i}")).collect();
        let mut nodes: BTreeMap<String, Disseminator> =
            names.iter().map(|name| (name.clone(), Disseminator::new(name))).collect();
        nodes.values_mut().for_each(|node| node.meet(&names, 0));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (mail, seen, dead, reports, free_at) = Default::default();
        let bytes_per_ms = None;
        World { now: 0, nodes, dead, mail, count: 0, loss, bytes_per_ms, free_at, rng, seen, reports }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            while let Some(entry) = self.mail.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (from, to, message) = self.mail.pop_first().expect("peeked").1;
                if !self.dead.contains(&to) {
                    self.nodes.get_mut(&to).expect("known").handle(&from, message, self.now);
                }
            }
            let names: Vec<String> = self.nodes.keys().filter(|n| !self.dead.contains(n)).cloned().collect();
            for name in names {
                let node = self.nodes.get_mut(&name).expect("known");
                node.tick(self.now);
                for output in node.drain() {
                    self.carry_out(&name, output);
                }
            }
        }
    }

    /// When the last byte of a message has left: bytes wait for those before them on the same link.
    fn sent(&mut self, from: &str, message: &Message) -> u64 {
        let Some(bytes_per_ms) = self.bytes_per_ms else { return self.now };
        let bytes = HEAD_BYTES + if let Message::Bring { item } = message { item.content.len() } else { 0 };
        let free_at = self.free_at.entry(from.to_owned()).or_default();
        *free_at = (*free_at).max(self.now) + bytes.div_ceil(bytes_per_ms) as u64;
        *free_at
    }

    fn carry_out(&mut self, name: &str, output: Output) {
        match output {
            Output::Send { to, message } => {
                if !self.rng.random_bool(self.loss) {
                    self.count += 1;
                    let sent_at = self.sent(name, &message);
                    let at = sent_at + self.rng.random_range(1..20);
                    self.mail.insert((at, self.count), (name.to_owned(), to, message));
                }
            }
            Output::Updated(item) => {
                let before = self.seen.insert(name.to_owned(), item.version).unwrap_or(0);
                assert!(item.version > before, "{name} went back from {before} to {}", item.version);
            }
            Output::Peer { name: peer, alive } => self.reports.push((name.to_owned(), peer, alive)),
        }
    }
}

fn spreads(seed: u64) -> bool {
    let mut world = World::new(seed, 40, 0.2);
    world.run(1_000);
    for version in 1..=5 {
        let at = world.rng.random_range(0..40);
        let now = world.now;
        let node = world.nodes.get_mut(&format!("node-{at}")).expect("known");
        node.offer(Item { version, content: vec![version as u8] }, now);
        let between = world.rng.random_range(0..300);
        world.run(between);
    }
    world.run(4_000);
    world.nodes.values().all(|node| node.item().map(|i| i.version) == Some(5))
}

quickcheck! {
    fn an_item_reaches_everybody_and_nobody_goes_back(seed: u64) -> bool {
        spreads(seed)
    }
}

/// A storm of versions on links of 2 Mbit/s: with what data planes are told of a configuration nobody is taken for
/// silent, and the newest version is everywhere a second after the last.
#[test]
fn a_storm_of_versions_delays_no_heartbeat_on_narrow_links() {
    const ITEM_BYTES: usize = 128;
    const LINK_BYTES_PER_MS: usize = 250;
    const EVERY_MS: u64 = 100;
    for seed in 0..6 {
        let mut world = World::new(seed, 32, 0.02);
        world.bytes_per_ms = Some(LINK_BYTES_PER_MS);
        world.run(1_000);
        for version in 1..=100 {
            let now = world.now;
            for name in ["node-0", "node-1"] {
                let item = Item { version, content: vec![0; ITEM_BYTES] };
                world.nodes.get_mut(name).expect("known").offer(item, now);
            }
            world.run(EVERY_MS);
        }
        assert!(world.reports.is_empty(), "seed {seed}: {:?}", world.reports);
        world.run(1_000);
        let versions: Vec<u64> = world.nodes.values().map(|n| n.item().map_or(0, |i| i.version)).collect();
        assert!(versions.iter().all(|version| *version == 100), "seed {seed}: {versions:?}");
    }
}

#[test]
fn each_is_watched_by_some_and_the_silent_are_reported() {
    let mut world = World::new(3, 30, 0.05);
    world.run(2_000);
    world.dead.push("node-7".to_owned());
    world.run(5_000);
    let of_it = world.reports.iter().filter(|(_, peer, alive)| peer == "node-7" && !alive).count();
    let watched = world.nodes.values().filter(|node| node.peers().any(|p| p == "node-7")).count();
    assert!(watched > 0, "nobody watches node-7");
    assert_eq!(of_it, watched);
    world.dead.clear();
    world.run(3_000);
    let back = world.reports.iter().filter(|(_, peer, alive)| peer == "node-7" && *alive).count();
    assert_eq!(back, watched);
}

#[test]
fn a_process_that_joins_changes_few_choices() {
    let names: Vec<String> = (0..100).map(|i| format!("node-{i}")).collect();
    let all = || names.iter().map(String::as_str);
    let before: Vec<Vec<&str>> = names.iter().map(|me| pick(me, all(), PEERS)).collect();
    let after: Vec<Vec<&str>> =
        names.iter().map(|me| pick(me, all().chain(std::iter::once("new")), PEERS)).collect();
    let changed = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(changed < 12, "{changed} of 100 changed");
}
