//! The machines that may join or leave: standbys, members that requested to leave, and members that
//! were replaced while out of contact.
use crate::timing::{
    CATCH_UP_RETRY_INTERVAL_MS, CATCH_UP_WAIT_MS, LEAVE_REQUEST_VALIDITY_MS, REINSTATEMENT_WINDOW_MS,
    STANDBY_EXPIRY_MS,
};
use crate::view::{Member, MemberId, View};
use std::collections::BTreeMap;

/// A machine that replicates the key space but is not a member.
#[derive(Clone, Debug)]
pub(crate) struct Standby {
    pub(crate) member: Member,
    last_contact_ms: u64,
}

impl Standby {
    /// Whether a message from the machine has arrived within the timeout.
    pub(crate) fn is_in_contact(&self, contact_timeout_ms: u64, now_ms: u64) -> bool {
        now_ms <= self.last_contact_ms + contact_timeout_ms
    }
}

/// The replacement of an unreachable member by a standby.
#[derive(Clone, Debug)]
struct Substitution {
    /// The unreachable member.
    absent: MemberId,
    /// The standby that replaced it.
    substitute: MemberId,
    /// When the primary adopted the view with the replacement, milliseconds.
    since_ms: u64,
}

impl Substitution {
    /// Whether the absent member may still be reinstated.
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms <= self.since_ms + REINSTATEMENT_WINDOW_MS
    }
}

/// A primary's records of machines that may join or leave. They are in memory only, so the next
/// primary starts without them.
#[derive(Clone, Debug, Default)]
pub(crate) struct MembershipTracker {
    /// The machines that replicate but are not members.
    standbys: BTreeMap<MemberId, Standby>,
    /// The members that requested to leave permanently, with the time of the last request,
    /// milliseconds.
    leave_requested_at_ms: BTreeMap<MemberId, u64>,
    substitutions: Vec<Substitution>,
    /// The backups that are not in sync yet but for whose acknowledgements commits wait.
    ///
    /// Without the wait, a backup on a slower link than the others would always lack the last
    /// committed batch and never join the in-sync set.
    joining_backups: Vec<MemberId>,
    /// When commits began to wait for each backup, milliseconds. Kept for
    /// [`CATCH_UP_RETRY_INTERVAL_MS`], also after the wait has ended.
    catch_up_since_ms: BTreeMap<MemberId, u64>,
}

impl MembershipTracker {
    /// Records the arrival of a message from a machine.
    pub(crate) fn record_contact(&mut self, from: MemberId, now_ms: u64) {
        if let Some(standby) = self.standbys.get_mut(&from) {
            standby.last_contact_ms = now_ms;
        }
    }

    /// Adds a standby, or updates the time of its last contact.
    pub(crate) fn add_standby(&mut self, member: Member, now_ms: u64) {
        self.standbys.insert(member.id, Standby { member, last_contact_ms: now_ms });
    }

    /// The known standbys.
    pub(crate) fn standbys(&self) -> impl Iterator<Item = &Standby> {
        self.standbys.values()
    }

    /// The standby with this identity.
    pub(crate) fn standby(&self, id: MemberId) -> Option<&Standby> {
        self.standbys.get(&id)
    }

    /// Removes the standbys that are members of this view.
    pub(crate) fn remove_members_of(&mut self, view: &View) {
        self.standbys.retain(|id, _| !view.has_member(*id));
    }

    /// The backups that are not in sync yet but for whose acknowledgements commits wait.
    pub(crate) fn joining_backups(&self) -> &[MemberId] {
        &self.joining_backups
    }

    /// Removes the standbys that have been out of contact for [`STANDBY_EXPIRY_MS`].
    pub(crate) fn expire_standbys(&mut self, now_ms: u64) {
        self.standbys.retain(|_, standby| now_ms < standby.last_contact_ms + STANDBY_EXPIRY_MS);
    }

    /// Records a member's request to leave permanently.
    pub(crate) fn record_leave_request(&mut self, id: MemberId, now_ms: u64) {
        self.leave_requested_at_ms.insert(id, now_ms);
    }

    /// Whether a member's request to leave is still valid.
    pub(crate) fn is_leaving(&self, id: MemberId, now_ms: u64) -> bool {
        let requested_at_ms = self.leave_requested_at_ms.get(&id);
        requested_at_ms.is_some_and(|at_ms| now_ms <= at_ms + LEAVE_REQUEST_VALIDITY_MS)
    }

    /// The standby that replaced this machine, if the machine may still be reinstated.
    pub(crate) fn substitute_of(&self, absent: MemberId, now_ms: u64) -> Option<MemberId> {
        let matches =
            |substitution: &&Substitution| substitution.absent == absent && substitution.is_recent(now_ms);
        self.substitutions.iter().find(matches).map(|substitution| substitution.substitute)
    }

    /// Records which standby replaced which member if the decided view `next` replaces an
    /// unreachable member.
    ///
    /// Nothing is recorded for a machine that returned with a new data folder, for a member that
    /// requested to leave, and for the reinstatement of a member.
    pub(crate) fn record_replacement(&mut self, current: &View, next: &View, now_ms: u64) {
        let removed = current.members.iter().find(|member| !next.has_member(member.id));
        let added = next.members.iter().find(|member| !current.has_member(member.id));
        let (Some(removed), Some(added)) = (removed, added) else { return };
        let is_reinstated = self.substitutions.iter().any(|known| known.absent == added.id);
        self.substitutions.retain(|known| known.absent != added.id && known.is_recent(now_ms));
        let requested_leave = self.leave_requested_at_ms.contains_key(&removed.id);
        if removed.node_name != added.node_name && !requested_leave && !is_reinstated {
            let substitution = Substitution { absent: removed.id, substitute: added.id, since_ms: now_ms };
            self.substitutions.push(substitution);
        }
    }

    /// Makes commits wait for these backups. The wait for a backup ends after [`CATCH_UP_WAIT_MS`]
    /// and may start again only [`CATCH_UP_RETRY_INTERVAL_MS`] after its start.
    pub(crate) fn set_joining_backups(&mut self, joining: Vec<MemberId>, now_ms: u64) {
        self.catch_up_since_ms.retain(|_, since_ms| now_ms <= *since_ms + CATCH_UP_RETRY_INTERVAL_MS);
        for id in &joining {
            self.catch_up_since_ms.entry(*id).or_insert(now_ms);
        }
        let is_wait_running = |id: &MemberId| {
            let since_ms = self.catch_up_since_ms.get(id);
            since_ms.is_some_and(|since_ms| now_ms <= since_ms + CATCH_UP_WAIT_MS)
        };
        self.joining_backups = joining.into_iter().filter(is_wait_running).collect();
    }
}
