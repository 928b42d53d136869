//! The rules that hold at every moment of every run.
use super::LEASE_MS;
use super::cluster::SimulatedCluster;
use super::machine::Machine;
use spanlead_replication::{Position, Replica};
use std::collections::BTreeMap;

/// How often replicas are compared, milliseconds.
const COMPARE_INTERVAL_MS: u64 = 20;

impl SimulatedCluster {
    /// How every machine sees things, for messages of failed tests.
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

    /// Checks the rules that can be checked at any moment.
    pub fn check_rules(&mut self) {
        let active = self.active_machines();
        assert!(active.len() <= 1, "two primaries: {active:?} at {}", self.now_ms);
        for index in active {
            self.machines[index].last_active_at_ms = self.now_ms;
            self.check_in_sync_replicas_are_complete(index);
        }
        (0..self.machines.len()).for_each(|index| self.check_redirects(index));
        if self.now_ms.is_multiple_of(COMPARE_INTERVAL_MS) {
            self.check_replicas_are_equal();
        }
    }

    /// Replicas at one position are equal.
    fn check_replicas_are_equal(&self) {
        let mut known: BTreeMap<Position, (usize, Vec<u64>)> = BTreeMap::new();
        for (index, machine) in self.machines.iter().enumerate() {
            let replica = machine.replica.as_ref().filter(|replica| !replica.has_incomplete_repair());
            let Some(replica) = replica else { continue };
            let position = replica.position();
            let digests = replica.keyspace().range_digests();
            if let Some((other, others_digests)) = known.get(&position) {
                let is_equal = *others_digests == digests;
                assert!(is_equal, "{index} and {other} differ at {position:?}: {}", self.describe());
            }
            known.insert(position, (index, digests));
        }
    }

    /// Nobody counts as in sync with a replica that is between two states.
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

    /// Whoever names a primary knows that it acted less than a lease ago.
    fn check_redirects(&self, index: usize) {
        if self.is_paused(index) {
            return;
        }
        let Some(replica) = &self.machines[index].replica else { return };
        let Some(primary) = replica.verified_primary(self.now_ms) else { return };
        let is_named = |machine: &&Machine| machine.config.peer_address == primary.peer_address;
        let named = self.machines.iter().find(is_named).expect("known");
        let inactive_ms = self.now_ms - named.last_active_at_ms;
        let name = &primary.node_name;
        assert!(inactive_ms <= LEASE_MS, "machine {index} names {name}, inactive for {inactive_ms} ms");
    }

    /// A primary that commits in its term lacks nothing that was ever committed.
    pub fn check_nothing_committed_is_lost(&mut self, index: usize, sequence: u64) {
        let machine = &mut self.machines[index];
        let Some(serving) = machine.serving else { return };
        let replica = machine.replica.as_ref().expect("runs");
        // A machine that was replaced while it was paused may learn late that its batches are
        // committed.
        let is_active = replica.active_term(self.now_ms).is_some();
        let is_new_term = machine.checked_term < serving.term;
        if sequence >= serving.first_sequence && is_new_term && is_active {
            machine.checked_term = serving.term;
            let lost = self.committed_keys.iter().find(|key| replica.keyspace().get(key).is_none());
            assert!(lost.is_none(), "term {} lost {lost:?}", serving.term);
        }
    }
}
