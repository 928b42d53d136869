//! Seeded runs with random faults: machines crash, lose power, lose their disks, are paused and are
//! isolated. No committed key is lost, there is at most one active primary, and service is
//! restored.
mod common;
use common::{SimulatedCluster, env_number};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The maximum time until service starts, milliseconds.
const START_TIMEOUT_MS: u64 = 3_000;
/// The maximum time until service is restored after a fault, milliseconds.
const RECOVERY_TIMEOUT_MS: u64 = 6_000;
/// The time between the recovery from a fault and the next fault, milliseconds: a machine counts as
/// failed until it has caught up.
const SETTLE_MS: u64 = 4_000;
/// The number of faults in a run.
const FAULTS: u64 = 6;
/// The probability that a message is duplicated, in a third of the runs.
const DUPLICATE_RATE: f64 = 0.05;
/// The number of kinds of faults.
const FAULT_KINDS: i32 = 11;

/// A run: the cluster, and the random number generator that chooses its faults.
struct FaultRun {
    cluster: SimulatedCluster,
    rng: ChaCha8Rng,
    machine_count: usize,
}

impl FaultRun {
    /// Starts a run. In a third of the runs messages are duplicated, in another third they keep
    /// their order.
    fn start(seed: u64, max_failures: usize) -> Self {
        let mut cluster = SimulatedCluster::new(seed, max_failures);
        assert!(
            cluster.serves_within(START_TIMEOUT_MS),
            "seed {seed}: no service within {START_TIMEOUT_MS} ms after the start"
        );
        if seed % 3 == 1 {
            cluster.network.duplicate_rate = DUPLICATE_RATE;
        }
        cluster.network.preserves_order = seed % 3 == 2;
        let rng = ChaCha8Rng::seed_from_u64(seed ^ 0xA11CE);
        FaultRun { cluster, rng, machine_count: 2 * max_failures + 1 }
    }

    /// Chooses the machine for a fault: the primary, if there is one, with a probability of 60 % or
    /// more.
    fn choose_machine(&mut self) -> usize {
        match self.cluster.primary() {
            Some(primary) if self.rng.random_bool(0.6) => primary,
            _ => self.rng.random_range(0..self.machine_count),
        }
    }

    /// Runs the cluster for a random time in this range.
    fn run_between(&mut self, min_ms: u64, max_ms: u64) {
        let for_ms = self.rng.random_range(min_ms..max_ms);
        self.cluster.run(for_ms);
    }

    fn crash_others(&mut self, index: usize) {
        (0..self.machine_count).filter(|other| *other != index).for_each(|other| self.cluster.crash(other));
    }

    fn start_all(&mut self) {
        (0..self.machine_count).for_each(|index| self.cluster.start(index));
    }

    fn next_machine(&self, index: usize) -> usize {
        (index + 1) % self.machine_count
    }

    fn inject(&mut self, kind: i32, index: usize) {
        match kind {
            0 => self.crash_one(index),
            1 => self.power_loss_of_all(),
            2 => self.lose_one_disk(index),
            3 => self.pause_one(index),
            4 => self.isolate_one(index),
            5 => self.cut_links_of_one_pair(index),
            6 => self.lose_disk_after_running_alone(index),
            7 => self.delay_messages_of_one(index),
            8 => self.pause_one_while_data_to_another_is_slow(index),
            9 => self.restart_as_in_a_rolling_restart(index),
            _ => self.lose_disk_while_others_lose_power(index),
        }
    }

    fn crash_one(&mut self, index: usize) {
        self.cluster.crash(index);
        self.run_between(50, 4_000);
        self.cluster.start(index);
    }

    fn power_loss_of_all(&mut self) {
        (0..self.machine_count).for_each(|index| self.cluster.crash(index));
        self.run_between(10, 1_000);
        self.start_all();
    }

    fn lose_one_disk(&mut self, index: usize) {
        self.cluster.lose_disk(index);
        self.run_between(50, 2_000);
        self.cluster.start(index);
    }

    fn pause_one(&mut self, index: usize) {
        let for_ms = self.rng.random_range(100..5_000);
        self.cluster.pause(index, for_ms);
        self.cluster.run(5_000);
    }

    fn isolate_one(&mut self, index: usize) {
        let cut_receives = self.rng.random_bool(0.6);
        self.cluster.isolate(index, true, cut_receives);
        self.run_between(300, 5_000);
        self.cluster.heal_links();
    }

    /// Cuts the links between two machines that the others still reach.
    fn cut_links_of_one_pair(&mut self, index: usize) {
        self.cluster.cut_links_between(index, self.next_machine(index));
        self.run_between(1_000, 4_000);
        self.cluster.heal_links();
    }

    fn lose_disk_after_running_alone(&mut self, index: usize) {
        self.crash_others(index);
        self.run_between(300, 1_200);
        self.cluster.lose_disk(index);
        self.start_all();
    }

    fn delay_messages_of_one(&mut self, index: usize) {
        (0..self.machine_count).for_each(|to| self.cluster.delay_link(index, to, 900));
        self.run_between(500, 2_500);
    }

    fn pause_one_while_data_to_another_is_slow(&mut self, index: usize) {
        let slow = self.next_machine(index);
        let for_ms = self.rng.random_range(100..2_000);
        self.cluster.pause(index, for_ms);
        (0..self.machine_count).for_each(|from| self.cluster.delay_data(from, slow, 200));
        self.cluster.run(3_000);
        self.cluster.network.data_delay_ms.clear();
    }

    fn restart_as_in_a_rolling_restart(&mut self, index: usize) {
        self.cluster.request_leave(index);
        self.run_between(50, 1_000);
        self.cluster.crash(index);
        self.run_between(50, 500);
        self.cluster.start(index);
    }

    fn lose_disk_while_others_lose_power(&mut self, index: usize) {
        self.cluster.lose_disk(index);
        self.crash_others(index);
        self.run_between(10, 800);
        self.start_all();
    }
}

/// Performs one run. At most `max_failures` machines are down at a time, except in the kinds of
/// faults that crash several machines together.
fn check_run(seed: u64, max_failures: usize) {
    let mut run = FaultRun::start(seed, max_failures);
    for fault in 0..FAULTS {
        let index = run.choose_machine();
        run.run_between(0, 40);
        let kind = run.rng.random_range(0..FAULT_KINDS);
        if std::env::var("SHOW").is_ok() {
            println!("seed {seed} at {} ms: fault of kind {kind} at machine {index}", run.cluster.now_ms);
        }
        run.inject(kind, index);
        let serves = run.cluster.serves_within(RECOVERY_TIMEOUT_MS);
        let state = run.cluster.describe();
        assert!(serves, "seed {seed}: no service after fault {fault} of kind {kind}: {state}");
        run.cluster.run(SETTLE_MS);
    }
    let committed = run.cluster.committed_keys.len();
    assert!(committed > 100, "seed {seed}: {committed} committed keys, expected more than 100");
}

#[test]
fn three_machines_lose_no_committed_key_under_random_faults() {
    (0..env_number("SEEDS", 30)).for_each(|seed| check_run(seed, 1));
}

#[test]
fn five_machines_lose_no_committed_key_under_random_faults() {
    (0..env_number("SEEDS", 30) / 3).for_each(|seed| check_run(1_000 + seed, 2));
}
