//! The changes of view that a primary decides on: standbys join, silent replicas leave the in-sync
//! set and return to it.
//!
//! A view has at most 2f + 1 members. A standby takes the place of
//! - its namesake: the same machine with another data folder, so the old folder is lost;
//! - a missing member, while there are fewer than 2f + 1;
//! - a member that asked to leave for good;
//! - a member that has been silent for [`REPLACEMENT_TIMEOUT_MS`]. If that member was only paused,
//!   it gets its place back when it is in contact again and has caught up.
use super::state::{PrimaryState, ViewProposal};
use crate::timing::{IN_SYNC_CONTACT_TIMEOUT_MS, REPLACEMENT_TIMEOUT_MS};
use crate::view::{Member, MemberId, View};
use std::cmp::Reverse;

/// What a review of the view depends on besides the primary's state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewChangeContext {
    /// The primary itself.
    pub(crate) local_id: MemberId,
    /// The number of machines that may be lost at once.
    pub(crate) max_failures: usize,
    /// The primary's clock, milliseconds.
    pub(crate) now_ms: u64,
}

/// The place in the view that a standby may take.
enum Vacancy {
    /// There are fewer members than there should be.
    MissingMember,
    /// The place of this member.
    Replacing(MemberId),
}

impl PrimaryState {
    /// The view to propose now: the one that is under way, if its proposal is to be repeated, or
    /// the change that is due. Nothing new is proposed before a proposal is decided.
    pub(crate) fn next_proposal(&mut self, context: &ViewChangeContext) -> Option<View> {
        if let Some(proposal) = &mut self.proposal {
            return proposal.take_due_repetition(context.now_ms);
        }
        self.batches.forget_old(context.now_ms);
        let view = self.review_view(context)?;
        self.proposal = Some(ViewProposal::new(view.clone(), context.now_ms));
        Some(view)
    }

    /// The change of view that is due, if any.
    fn review_view(&mut self, context: &ViewChangeContext) -> Option<View> {
        self.wait_for_joining(context);
        self.forget_previous_members()
            .or_else(|| self.admit_standby(context))
            .or_else(|| self.drop_missing_from_in_sync(context))
            .or_else(|| self.restore_to_in_sync(context))
    }

    /// After a change of members the votes of the members before are still asked for. The next view
    /// ends that before anything else is changed, so that a machine that left for good is not
    /// needed.
    fn forget_previous_members(&self) -> Option<View> {
        self.view().changes_members().then(|| self.view().successor())
    }

    /// Makes a standby a member that is in sync.
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

    /// The place that a standby may take now.
    fn vacancy_for(&self, standby: &Member, context: &ViewChangeContext) -> Option<Vacancy> {
        let namesake = self.view().members.iter().find(|member| member.node_name == standby.node_name);
        if let Some(namesake) = namesake {
            return (namesake.id != context.local_id).then_some(Vacancy::Replacing(namesake.id));
        }
        if self.view().members.len() <= 2 * context.max_failures {
            return Some(Vacancy::MissingMember);
        }
        self.replaceable_by(standby.id, context).map(Vacancy::Replacing)
    }

    /// The member whose place a standby may take: one that leaves, the one that has been silent the
    /// longest, or the standby's own substitute.
    fn replaceable_by(&self, standby: MemberId, context: &ViewChangeContext) -> Option<MemberId> {
        let now_ms = context.now_ms;
        let ms_since_contact = |id: &MemberId| self.failure_detector.ms_since_contact(*id, now_ms);
        let members = self.view().members.iter().map(|member| member.id);
        let others: Vec<MemberId> = members.filter(|id| *id != context.local_id).collect();
        let leaving = others.iter().find(|id| self.membership.is_leaving(**id, now_ms));
        let silent = || others.iter().filter(|id| ms_since_contact(id) > REPLACEMENT_TIMEOUT_MS);
        leaving
            .or_else(|| silent().max_by_key(|id| ms_since_contact(id)))
            .copied()
            .or_else(|| self.substitute_of(standby, now_ms))
    }

    /// The member that took this machine's place while it was silent.
    fn substitute_of(&self, absent: MemberId, now_ms: u64) -> Option<MemberId> {
        let substitute = self.membership.substitute_of(absent, now_ms)?;
        self.view().has_member(substitute).then_some(substitute)
    }

    /// Lets commits wait for backups that keep up and are to join the in-sync set, so that they
    /// come to hold all that is committed.
    fn wait_for_joining(&mut self, context: &ViewChangeContext) {
        let members = self.view().members.iter().map(|member| member.id);
        let out_of_sync = members.filter(|id| !self.view().is_in_sync(*id));
        let standbys = self.membership.standbys().map(|standby| &standby.member);
        let to_admit = standbys.filter(|member| self.vacancy_for(member, context).is_some());
        let candidates = out_of_sync.chain(to_admit.map(|member| member.id));
        let joining: Vec<MemberId> = candidates.filter(|id| self.keeps_up(*id, context.now_ms)).collect();
        self.membership.wait_for(joining, context.now_ms);
    }

    /// Whether a backup may join the in-sync set: it holds all that is committed, and it keeps up,
    /// or the set lacks somebody. A slow replica is better than a missing one.
    fn may_join_in_sync(&self, id: MemberId, context: &ViewChangeContext) -> bool {
        let lacks_somebody = || self.view().in_sync.iter().any(|other| self.is_missing(*other, context));
        self.holds_committed(id) && (self.keeps_up(id, context.now_ms) || lacks_somebody())
    }

    /// Whether a replica is silent, or does not acknowledge.
    fn is_missing(&self, id: MemberId, context: &ViewChangeContext) -> bool {
        let is_silent =
            self.failure_detector.ms_since_contact(id, context.now_ms) > IN_SYNC_CONTACT_TIMEOUT_MS;
        id != context.local_id && (is_silent || self.is_acknowledgement_overdue(id, context.now_ms))
    }

    fn is_acknowledgement_overdue(&self, id: MemberId, now_ms: u64) -> bool {
        self.batches.is_overdue(self.acknowledged_sequence(id).unwrap_or(0), now_ms)
    }

    /// Removes missing replicas from the in-sync set, those first that have been silent the
    /// longest. The set keeps at least f + 1 members however many are missing: committed batches
    /// must survive f losses.
    fn drop_missing_from_in_sync(&self, context: &ViewChangeContext) -> Option<View> {
        let in_sync = self.view().in_sync.iter().copied();
        let mut missing: Vec<MemberId> = in_sync.filter(|id| self.is_missing(*id, context)).collect();
        missing.sort_by_key(|id| Reverse(self.failure_detector.ms_since_contact(*id, context.now_ms)));
        missing.truncate(self.view().in_sync.len().saturating_sub(context.max_failures + 1));
        if missing.is_empty() {
            return None;
        }
        let mut next = self.view().successor();
        next.in_sync.retain(|id| !missing.contains(id));
        Some(next)
    }

    /// Returns a member to the in-sync set.
    fn restore_to_in_sync(&self, context: &ViewChangeContext) -> Option<View> {
        let members = self.view().members.iter().map(|member| member.id);
        let mut out_of_sync = members.filter(|id| !self.view().is_in_sync(*id));
        let returning = out_of_sync.find(|id| self.may_join_in_sync(*id, context))?;
        let mut next = self.view().successor();
        next.in_sync.push(returning);
        Some(next)
    }
}
