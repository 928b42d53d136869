//! The view changes that a primary proposes: standbys become members, and replicas are removed from
//! the in-sync set and restored to it.
//!
//! A view has at most 2f + 1 members. A standby takes the place of
//! - the member with the same node name: it is the same machine with another data folder, so the
//!   old folder is lost;
//! - a missing member, while there are fewer than 2f + 1;
//! - a member that requested to leave permanently;
//! - a member that has been out of contact for [`REPLACEMENT_TIMEOUT_MS`]. If that member was only
//!   paused, it is reinstated once it is in contact again and has caught up.
use super::state::{PrimaryState, ViewProposal};
use crate::timing::{IN_SYNC_CONTACT_TIMEOUT_MS, REPLACEMENT_TIMEOUT_MS};
use crate::view::{Member, MemberId, View};
use std::cmp::Reverse;

/// The parameters of a decision on view changes besides the primary's state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewChangeContext {
    /// The identity of the primary itself.
    pub(crate) local_id: MemberId,
    /// The number of machines that may be lost at once (f).
    pub(crate) max_failures: usize,
    /// The primary's clock, milliseconds.
    pub(crate) now_ms: u64,
}

/// A place in the view that a standby may take.
enum Vacancy {
    /// A free place: the view has fewer than 2f + 1 members.
    MissingMember,
    /// The place of this member, which the standby replaces.
    Replacing(MemberId),
}

impl PrimaryState {
    /// Returns the view to propose now: the pending proposal if a retry is due, otherwise the next
    /// view change if one is due. A new view is proposed only after the pending one is decided.
    pub(crate) fn next_proposal(&mut self, context: &ViewChangeContext) -> Option<View> {
        if let Some(proposal) = &mut self.proposal {
            return proposal.take_due_retry(context.now_ms);
        }
        self.batches.prune(context.now_ms);
        let view = self.due_view_change(context)?;
        self.proposal = Some(ViewProposal::new(view.clone(), context.now_ms));
        Some(view)
    }

    /// Returns the view of the first view change that is due, if any.
    fn due_view_change(&mut self, context: &ViewChangeContext) -> Option<View> {
        self.update_joining_backups(context);
        self.drop_previous_members()
            .or_else(|| self.admit_standby(context))
            .or_else(|| self.remove_unresponsive_from_in_sync(context))
            .or_else(|| self.restore_to_in_sync(context))
    }

    /// Ends the need for votes of the previous members after a change of members. This precedes
    /// every other view change, so that no vote of a machine that left permanently is needed.
    fn drop_previous_members(&self) -> Option<View> {
        self.view().changes_members().then(|| self.view().successor())
    }

    /// Makes a standby a member in the in-sync set.
    fn admit_standby(&self, context: &ViewChangeContext) -> Option<View> {
        self.membership.standbys().find_map(|standby| {
            let id = standby.member.id;
            let is_in_contact = standby.is_in_contact(IN_SYNC_CONTACT_TIMEOUT_MS, context.now_ms);
            let vacancy = self.vacancy_for(&standby.member, context)?;
            if !is_in_contact || !self.may_join_in_sync(id, context) {
                return None;
            }
            let mut next = self.view().successor();
            if let Vacancy::Replacing(replaced) = vacancy {
                next.members.retain(|member| member.id != replaced);
                next.in_sync.retain(|member| *member != replaced);
            }
            next.members.push(standby.member.clone());
            next.in_sync.push(id);
            (next.in_sync.len() > context.max_failures).then_some(next)
        })
    }

    /// Returns the place that a standby may take now, if there is one.
    fn vacancy_for(&self, standby: &Member, context: &ViewChangeContext) -> Option<Vacancy> {
        let same_node = self.view().members.iter().find(|member| member.node_name == standby.node_name);
        if let Some(same_node) = same_node {
            return (same_node.id != context.local_id).then_some(Vacancy::Replacing(same_node.id));
        }
        if self.view().members.len() <= 2 * context.max_failures {
            return Some(Vacancy::MissingMember);
        }
        self.replaceable_by(standby.id, context).map(Vacancy::Replacing)
    }

    /// Returns the member that a standby may replace: one that requested to leave, the one that has
    /// been out of contact for longest, or the one that replaced the standby earlier.
    fn replaceable_by(&self, standby: MemberId, context: &ViewChangeContext) -> Option<MemberId> {
        let now_ms = context.now_ms;
        let ms_since_contact = |id: &MemberId| self.failure_detector.ms_since_contact(*id, now_ms);
        let members = self.view().members.iter().map(|member| member.id);
        let others: Vec<MemberId> = members.filter(|id| *id != context.local_id).collect();
        let leaving = others.iter().find(|id| self.membership.is_leaving(**id, now_ms));
        let out_of_contact = || others.iter().filter(|id| ms_since_contact(id) > REPLACEMENT_TIMEOUT_MS);
        leaving
            .or_else(|| out_of_contact().max_by_key(|id| ms_since_contact(id)))
            .copied()
            .or_else(|| self.substitute_of(standby, now_ms))
    }

    /// Returns the member that replaced this machine while it was out of contact, if the machine
    /// may still be reinstated.
    fn substitute_of(&self, absent: MemberId, now_ms: u64) -> Option<MemberId> {
        let substitute = self.membership.substitute_of(absent, now_ms)?;
        self.view().has_member(substitute).then_some(substitute)
    }

    /// Makes commits wait for the caught-up backups that are about to join the in-sync set, so that
    /// they obtain all committed batches.
    fn update_joining_backups(&mut self, context: &ViewChangeContext) {
        let members = self.view().members.iter().map(|member| member.id);
        let out_of_sync = members.filter(|id| !self.view().is_in_sync(*id));
        let standbys = self.membership.standbys().map(|standby| &standby.member);
        let to_admit = standbys.filter(|member| self.vacancy_for(member, context).is_some());
        let candidates = out_of_sync.chain(to_admit.map(|member| member.id));
        let joining: Vec<MemberId> = candidates.filter(|id| self.is_caught_up(*id, context.now_ms)).collect();
        self.membership.set_joining_backups(joining, context.now_ms);
    }

    /// Whether a backup may join the in-sync set: it has all committed batches, and either it is
    /// caught up or the set contains an unresponsive replica. A slow replica is better than an
    /// unresponsive one.
    fn may_join_in_sync(&self, id: MemberId, context: &ViewChangeContext) -> bool {
        let has_unresponsive =
            || self.view().in_sync.iter().any(|other| self.is_unresponsive(*other, context));
        self.holds_committed(id) && (self.is_caught_up(id, context.now_ms) || has_unresponsive())
    }

    /// Whether a replica is out of contact, or its acknowledgement of a batch is overdue.
    fn is_unresponsive(&self, id: MemberId, context: &ViewChangeContext) -> bool {
        let is_out_of_contact =
            self.failure_detector.ms_since_contact(id, context.now_ms) > IN_SYNC_CONTACT_TIMEOUT_MS;
        id != context.local_id && (is_out_of_contact || self.is_acknowledgement_overdue(id, context.now_ms))
    }

    fn is_acknowledgement_overdue(&self, id: MemberId, now_ms: u64) -> bool {
        self.batches.is_overdue(self.acknowledged_sequence(id).unwrap_or(0), now_ms)
    }

    /// Removes unresponsive replicas from the in-sync set, first those that have been out of
    /// contact for longest. The set keeps at least f + 1 members, however many are unresponsive,
    /// because committed batches must survive the loss of f machines.
    fn remove_unresponsive_from_in_sync(&self, context: &ViewChangeContext) -> Option<View> {
        let in_sync = self.view().in_sync.iter().copied();
        let mut removed: Vec<MemberId> = in_sync.filter(|id| self.is_unresponsive(*id, context)).collect();
        removed.sort_by_key(|id| Reverse(self.failure_detector.ms_since_contact(*id, context.now_ms)));
        removed.truncate(self.view().in_sync.len().saturating_sub(context.max_failures + 1));
        if removed.is_empty() {
            return None;
        }
        let mut next = self.view().successor();
        next.in_sync.retain(|id| !removed.contains(id));
        Some(next)
    }

    /// Restores a member to the in-sync set.
    fn restore_to_in_sync(&self, context: &ViewChangeContext) -> Option<View> {
        let members = self.view().members.iter().map(|member| member.id);
        let mut out_of_sync = members.filter(|id| !self.view().is_in_sync(*id));
        let returning = out_of_sync.find(|id| self.may_join_in_sync(*id, context))?;
        let mut next = self.view().successor();
        next.in_sync.push(returning);
        Some(next)
    }
}
