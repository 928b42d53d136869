//! The state of a machine before the first view is decided.
use crate::timing::BOOTSTRAP_VOTER_EXPIRY_MS;
use crate::view::{Epoch, Member, MemberId, Term, View};
use std::collections::BTreeMap;

/// Another machine that may vote for the first view.
#[derive(Clone, Debug)]
struct BootstrapVoter {
    member: Member,
    last_contact_ms: u64,
}

/// The bootstrap voters that a machine knows. `replica/bootstrap.rs` has the election itself.
#[derive(Clone, Debug)]
pub(crate) struct BootstrapState {
    is_voter: bool,
    other_voters: BTreeMap<MemberId, BootstrapVoter>,
}

impl BootstrapState {
    /// Creates the state of a machine that knows no other voter.
    pub(crate) fn new(is_voter: bool) -> Self {
        BootstrapState { is_voter, other_voters: BTreeMap::new() }
    }

    /// Whether this machine's data folder was first used at the first start of the whole system.
    pub(crate) fn is_voter(&self) -> bool {
        self.is_voter
    }

    /// Adds another voter, or updates the time of its last contact.
    pub(crate) fn add_voter(&mut self, member: Member, now_ms: u64) {
        self.other_voters.insert(member.id, BootstrapVoter { member, last_contact_ms: now_ms });
    }

    /// Removes the other voters, which are not needed once a view is known.
    pub(crate) fn clear_other_voters(&mut self) {
        self.other_voters.clear();
    }

    /// Removes other voters that have been out of contact for [`BOOTSTRAP_VOTER_EXPIRY_MS`].
    pub(crate) fn expire_voters(&mut self, now_ms: u64) {
        let is_in_contact =
            |voter: &BootstrapVoter| now_ms <= voter.last_contact_ms + BOOTSTRAP_VOTER_EXPIRY_MS;
        self.other_voters.retain(|_, voter| is_in_contact(voter));
    }

    /// The number of known voters, including this machine.
    pub(crate) fn voter_count(&self) -> usize {
        self.other_voters.len() + 1
    }

    /// Returns the first view: this machine is primary, and all members are in sync because the key
    /// space is empty.
    pub(crate) fn first_view(&self, local_member: &Member, full_member_count: usize) -> View {
        let others = self.other_voters.values().take(full_member_count - 1);
        let mut members = vec![local_member.clone()];
        members.extend(others.map(|voter| voter.member.clone()));
        View {
            epoch: Epoch::FIRST,
            term: Term::from(Epoch::FIRST),
            primary: local_member.id,
            in_sync: members.iter().map(|member| member.id).collect(),
            previous_members: members.clone(),
            members,
        }
    }
}
