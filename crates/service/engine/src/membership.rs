//! The integration of the membership: sends heartbeats by timer, announces this scheduler's
//! lifecycle phase, and passes role messages to the singleton roles.
use crate::roles::ROLES_PROTOCOL;
use crate::timers::Timer;
use crate::{Effect, Engine, MS};
use serde::Serialize;
use spanlead_balancing_policy::Nanos;
use spanlead_membership::{Action, GossipMembership, LifecyclePhase, MemberState, MembershipConfig};

/// The membership and the interval between its heartbeats.
pub(crate) struct Membership {
    pub(crate) members: GossipMembership,
    heartbeat_interval: Nanos,
}

/// The membership, for operators. The serialised names are keys of `/ops` JSON.
#[derive(Debug, Serialize)]
pub struct MembersView {
    /// This scheduler's member number.
    #[serde(rename = "me")]
    pub own_number: u16,
    /// The version of the membership view, incremented by each change.
    pub view: u64,
    /// The members, by number.
    pub members: Vec<MemberView>,
}

/// A member, for operators.
#[derive(Debug, Serialize)]
pub struct MemberView {
    /// Its number.
    pub number: u16,
    /// Its name, once received.
    pub name: Option<String>,
    /// Its incarnation, which grows with each start. A string, since JSON readers may round large
    /// numbers.
    pub incarnation: String,
    /// The version of its program, once received.
    pub version: Option<String>,
    /// Its state.
    pub state: MemberState,
    /// How long it has been in that state, milliseconds. Counted in heartbeat intervals that this
    /// scheduler has run through, so the time in which it was stopped does not count.
    pub since_ms: u64,
}

impl Engine {
    pub(crate) fn join_membership(
        &mut self,
        now: Nanos,
        settings: MembershipConfig,
        heartbeat_interval: Nanos,
        out: &mut Vec<Effect>,
    ) {
        self.membership = Some(Membership { members: GossipMembership::new(settings), heartbeat_interval });
        self.heartbeat(now, out);
    }

    /// Sends the heartbeat that is due and schedules the next one.
    pub(crate) fn heartbeat(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.announce_lifecycle_phase(out);
        let Some(membership) = &mut self.membership else { return };
        let mut messages = Vec::new();
        membership.members.tick(&mut messages);
        // The interval counts from now, not from the time at which this heartbeat was due: a
        // scheduler that was stopped runs through one period when it resumes, not through all that
        // it missed.
        self.timers.set(now + membership.heartbeat_interval, Timer::Heartbeat);
        push_effects(messages, out);
    }

    /// Announces this scheduler's lifecycle phase to the other members if it has changed.
    pub(crate) fn announce_lifecycle_phase(&mut self, out: &mut Vec<Effect>) {
        let phase = if self.is_closing() {
            LifecyclePhase::Draining
        } else if self.is_serving() {
            LifecyclePhase::Serving
        } else {
            LifecyclePhase::Starting
        };
        self.announce(phase, out);
    }

    pub(crate) fn announce(&mut self, phase: LifecyclePhase, out: &mut Vec<Effect>) {
        let Some(membership) = &mut self.membership else { return };
        let mut messages = Vec::new();
        membership.members.set_phase(phase, &mut messages);
        push_effects(messages, out);
    }

    /// Sends a message of another protocol to a member.
    pub(crate) fn send_to_member(
        &mut self,
        member: u16,
        protocol: u8,
        bytes: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        let Some(membership) = &mut self.membership else { return };
        let mut messages = Vec::new();
        membership.members.send_payload(member, protocol, bytes, &mut messages);
        push_effects(messages, out);
    }

    /// Processes a datagram of a peer.
    pub(crate) fn membership_message(&mut self, now: Nanos, from: u32, data: &[u8], out: &mut Vec<Effect>) {
        let Some(membership) = &mut self.membership else { return };
        let mut messages = Vec::new();
        membership.members.receive(from.try_into().unwrap_or(u16::MAX), data, &mut messages);
        for message in messages {
            match message {
                Action::Payload { from, protocol: ROLES_PROTOCOL, bytes } => {
                    self.roles_message(now, from, &bytes, out);
                }
                message => out.extend(effect_of(message)),
            }
        }
    }

    /// The membership for operators; `None` if it is not enabled.
    pub fn members_view(&self) -> Option<MembersView> {
        let Membership { members, heartbeat_interval } = self.membership.as_ref()?;
        let view = |member: spanlead_membership::Member| MemberView {
            number: member.number,
            name: member.name,
            incarnation: member.incarnation.to_string(),
            version: member.version,
            state: member.state,
            since_ms: member.periods_in_state * heartbeat_interval / MS,
        };
        let views = members.members().map(view).collect();
        Some(MembersView { own_number: members.own_number(), view: members.stats().view, members: views })
    }
}

fn effect_of(message: Action) -> Option<Effect> {
    match message {
        Action::Send { to, datagram: data } => Some(Effect::SendPeerMessage { peer: Some(to.into()), data }),
        Action::StateChanged(change) => Some(Effect::MemberChanged(change)),
        // The payload of a protocol that this version does not know.
        Action::Payload { .. } => None,
    }
}

fn push_effects(messages: Vec<Action>, out: &mut Vec<Effect>) {
    out.extend(messages.into_iter().filter_map(effect_of));
}
