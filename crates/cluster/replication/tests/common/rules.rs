//! The invariants that hold after every step of every run.
use super::LEASE_MS;
use super::cluster::SimulatedCluster;
use super::machine::Machine;
use spanlead_replication::{Position, Replica};
use std::collections::BTreeMap;

/// The interval at which the contents of replicas are compared, milliseconds.
const COMPARE_INTERVAL_MS: u64 = 20;

impl SimulatedCluster {
    /// Describes the state of every machine, for the messages of failed tests.
    pub fn describe(&self) -> String {
        let state = |machine: &Machine| {
            let replica = machine.replica.as_ref();
            let view = replica.and_then(|replica| replica.view().cloned());
            let view = view.map(|view| (view.epoch, view.primary, view.in_sync, view.members.len()));
            let progress = replica
                .map(|replica| (replica.local_member().id, replica.position(), replica.committed_sequence()));
            let is_incomplete = replica.is_some_and(Replica::has_incomplete_repair);
            let promised = machine.disk.witness.promised;
            let name = &machine.config.node_name;
            format!("\n  {name} {progress:?} {view:?} promised {promised:?} incomplete {is_incomplete}")
        };
        self.machines.iter().map(state).collect()
    }

    /// Checks the invariants that apply at any time.
    pub fn check_invariants(&mut self) {
        let active = self.active_machines();
        assert!(active.len() <= 1, "machines {active:?} are active primaries at {} ms", self.now_ms);
        for index in active {
            self.machines[index].last_active_at_ms = self.now_ms;
            self.check_in_sync_replicas_are_complete(index);
        }
        (0..self.machines.len()).for_each(|index| self.check_verified_primary(index));
        if self.now_ms.is_multiple_of(COMPARE_INTERVAL_MS) {
            self.check_replicas_are_equal();
        }
    }

    /// Checks that complete replicas at the same position are equal.
    fn check_replicas_are_equal(&self) {
        let mut known: BTreeMap<Position, (usize, Vec<u64>)> = BTreeMap::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let replica = machine.replica.as_ref().filter(|replica| !replica.has_incomplete_repair());
            let Some(replica) = replica else { continue };
            let position = replica.position();
            let digests = replica.keyspace().range_digests();
            if let Some((other, others_digests)) = known.get(&position) {
                let is_equal = *others_digests == digests;
                assert!(
                    is_equal,
                    "replicas of machines {index} and {other} differ at {position:?}: {}",
                    self.describe()
                );
            }
            known.insert(position, (index, digests));
        }
    }

    /// Checks that no machine with an incomplete repair is in sync.
    fn check_in_sync_replicas_are_complete(&self, primary: usize) {
        let view = self.machines[primary].replica.as_ref().and_then(|replica| replica.view());
        for machine in &self.machines {
            let replica = machine.replica.as_ref().filter(|replica| replica.has_incomplete_repair());
            let Some(replica) = replica else { continue };
            let is_in_sync = view.is_some_and(|view| view.is_in_sync(replica.local_member().id));
            let name = &machine.config.node_name;
            assert!(!is_in_sync, "{name} is in sync with an incomplete repair: {}", self.describe());
        }
    }

    /// Checks that the primary that a machine reports as verified was active at most one lease ago.
    fn check_verified_primary(&self, index: usize) {
        if self.is_paused(index) {
            return;
        }
        let Some(replica) = &self.machines[index].replica else { return };
        let Some(primary) = replica.verified_primary(self.now_ms) else { return };
        let is_reported = |machine: &&Machine| machine.config.peer_address == primary.peer_address;
        let reported = self.machines.iter().find(is_reported).expect("a machine of the cluster");
        let inactive_ms = self.now_ms - reported.last_active_at_ms;
        let name = &primary.node_name;
        assert!(
            inactive_ms <= LEASE_MS,
            "machine {index} reports {name} as primary, inactive for {inactive_ms} ms (limit {LEASE_MS} ms)"
        );
    }

    /// Checks that the keys that a primary commits are on its own disk: it counts as one of the
    /// replicas that keep them.
    pub fn check_keys_are_on_own_disk(&self, index: usize, keys: &[Vec<u8>]) {
        let machine = &self.machines[index];
        let missing = keys.iter().find(|key| machine.disk.keyspace.get(key).is_none());
        assert!(
            missing.is_none(),
            "machine {index} commits key {missing:?}, which is not on its disk, at {} ms: {}",
            self.now_ms,
            self.describe()
        );
    }

    /// Checks that a primary holds every key that was ever committed, once it commits in its term.
    pub fn check_committed_keys_are_present(&mut self, index: usize, sequence: u64) {
        let machine = &mut self.machines[index];
        let Some(served_term) = machine.served_term else { return };
        let replica = machine.replica.as_ref().expect("the machine runs");
        // A machine that was replaced while it was paused may learn of commits after its term has
        // ended.
        let is_active = replica.active_term(self.now_ms).is_some();
        let is_new_term = machine.checked_term < served_term.term;
        if sequence >= served_term.activation_sequence && is_new_term && is_active {
            machine.checked_term = served_term.term;
            let lost = self.committed_keys.iter().find(|key| replica.keyspace().get(key).is_none());
            assert!(lost.is_none(), "the primary of term {} lacks committed key {lost:?}", served_term.term);
        }
    }
}
