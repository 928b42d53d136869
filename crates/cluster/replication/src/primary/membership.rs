//! Machines that may join or leave: standbys, members that asked to leave, and members that were
//! replaced while silent.
use crate::timing::{
    CATCH_UP_RETRY_INTERVAL_MS, CATCH_UP_WAIT_MS, LEAVE_REQUEST_VALIDITY_MS, REINSTATEMENT_WINDOW_MS,
    STANDBY_EXPIRY_MS,
};
use crate::view::{Member, MemberId, View};
use std::collections::BTreeMap;

/// A machine that replicates and is no member.
#[derive(Clone, Debug)]
pub(crate) struct Standby {
    pub(crate) member: Member,
    last_contact_ms: u64,
}

impl Standby {
    /// Whether a message from the machine arrived within the time-out.
    pub(crate) fn is_in_contact(&self, contact_timeout_ms: u64, now_ms: u64) -> bool {
        now_ms <= self.last_contact_ms + contact_timeout_ms
    }
}

/// A silent member that was replaced by a standby.
#[derive(Clone, Debug)]
struct Substitution {
    /// The member that fell silent.
    absent: MemberId,
    /// The standby that took its place.
    substitute: MemberId,
    since_ms: u64,
}

impl Substitution {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms <= self.since_ms + REINSTATEMENT_WINDOW_MS
    }
}

/// What a primary remembers of machines that may join or leave. All of it is lost with a change of
/// primary.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipTracker {
    /// Machines that replicate and are no members.
    standbys: BTreeMap<MemberId, Standby>,
    /// Members that asked to leave for good, with the time of the last request, milliseconds.
    leave_requested_at_ms: BTreeMap<MemberId, u64>,
    substitutions: Vec<Substitution>,
    /// Backups that commits wait for though they are not in sync yet.
    ///
    /// A backup on a slower link than the others would otherwise always lack the last committed
    /// batch, and never join.
    commits_wait_for: Vec<MemberId>,
    /// Since when commits wait for each of these, or did a while ago, milliseconds.
    catch_up_since_ms: BTreeMap<MemberId, u64>,
}

impl MembershipTracker {
    /// Notes that a message from a machine arrived.
    pub(crate) fn record_contact(&mut self, from: MemberId, now_ms: u64) {
        if let Some(standby) = self.standbys.get_mut(&from) {
            standby.last_contact_ms = now_ms;
        }
    }

    /// Adds a machine that is no member, or notes that it is in contact.
    pub(crate) fn add_standby(&mut self, member: Member, now_ms: u64) {
        self.standbys.insert(member.id, Standby { member, last_contact_ms: now_ms });
    }

    /// The machines that replicate and are no members.
    pub(crate) fn standbys(&self) -> impl Iterator<Item = &Standby> {
        self.standbys.values()
    }

    /// The standby of this identity.
    pub(crate) fn standby(&self, id: MemberId) -> Option<&Standby> {
        self.standbys.get(&id)
    }

    /// Forgets standbys that have become members of this view.
    pub(crate) fn forget_members_of(&mut self, view: &View) {
        self.standbys.retain(|id, _| !view.has_member(*id));
    }

    /// The backups that are not in sync and that commits wait for.
    pub(crate) fn commits_wait_for(&self) -> &[MemberId] {
        &self.commits_wait_for
    }

    /// Forgets standbys that have been silent for long.
    pub(crate) fn expire_standbys(&mut self, now_ms: u64) {
        self.standbys.retain(|_, standby| now_ms < standby.last_contact_ms + STANDBY_EXPIRY_MS);
    }

    /// Notes that a member asks to leave for good.
    pub(crate) fn record_leave_request(&mut self, id: MemberId, now_ms: u64) {
        self.leave_requested_at_ms.insert(id, now_ms);
    }

    /// Whether a member asked to leave a short time ago.
    pub(crate) fn is_leaving(&self, id: MemberId, now_ms: u64) -> bool {
        let requested_at_ms = self.leave_requested_at_ms.get(&id);
        requested_at_ms.is_some_and(|at_ms| now_ms <= at_ms + LEAVE_REQUEST_VALIDITY_MS)
    }

    /// The standby that took the place of this machine a while ago.
    pub(crate) fn substitute_of(&self, absent: MemberId, now_ms: u64) -> Option<MemberId> {
        let is_of =
            |substitution: &&Substitution| substitution.absent == absent && substitution.is_recent(now_ms);
        self.substitutions.iter().find(is_of).map(|substitution| substitution.substitute)
    }

    /// Notes which standby took whose place when a view comes into force that replaces a silent
    /// member.
    pub(crate) fn note_replacement(&mut self, current: &View, next: &View, now_ms: u64) {
        let removed = current.members.iter().find(|member| !next.has_member(member.id));
        let added = next.members.iter().find(|member| !current.has_member(member.id));
        let (Some(removed), Some(added)) = (removed, added) else { return };
        let is_reinstated = self.substitutions.iter().any(|known| known.absent == added.id);
        self.substitutions.retain(|known| known.absent != added.id && known.is_recent(now_ms));
        let asked_to_leave = self.leave_requested_at_ms.contains_key(&removed.id);
        if removed.node_name != added.node_name && !asked_to_leave && !is_reinstated {
            let substitution = Substitution { absent: removed.id, substitute: added.id, since_ms: now_ms };
            self.substitutions.push(substitution);
        }
    }

    /// Lets commits wait for these backups. One that does not catch up in time is not waited for
    /// again for a while.
    pub(crate) fn wait_for(&mut self, joining: Vec<MemberId>, now_ms: u64) {
        self.catch_up_since_ms.retain(|_, since_ms| now_ms <= *since_ms + CATCH_UP_RETRY_INTERVAL_MS);
        for id in &joining {
            self.catch_up_since_ms.entry(*id).or_insert(now_ms);
        }
        let is_in_time = |id: &MemberId| {
            let since_ms = self.catch_up_since_ms.get(id);
            since_ms.is_some_and(|since_ms| now_ms <= since_ms + CATCH_UP_WAIT_MS)
        };
        self.commits_wait_for = joining.into_iter().filter(is_in_time).collect();
    }
}
