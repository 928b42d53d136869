//! The membership's place in the engine: heartbeats by the timers, and what this scheduler
//! announces of its own state.
use crate::roles::ROLES_PROTOCOL;
use crate::timers::Timer;
use crate::{Effect, Engine, MS};
use serde::Serialize;
use spanlead_balancing_policy::Nanos;
use spanlead_membership::{Action, GossipMembership, LifecyclePhase, MemberState, MembershipConfig};

/// The members, and the span between two heartbeats.
pub(crate) struct Membership {
    pub(crate) members: GossipMembership,
    heartbeat_interval: Nanos,
}

/// The membership as operators are shown it. Field names are keys of `/ops` JSON.
#[derive(Debug, Serialize)]
pub struct MembersView {
    /// This scheduler's number.
    #[serde(rename = "me")]
    pub own_number: u16,
    /// One more with each change.
    pub view: u64,
    /// The members, by their numbers.
    pub members: Vec<MemberView>,
}

/// One member.
#[derive(Debug, Serialize)]
pub struct MemberView {
    /// Its number.
    pub number: u16,
    /// Its name, once it was received.
    pub name: Option<String>,
    /// Grows with each start; text, since programs that read JSON may round numbers.
    pub incarnation: String,
    /// The version of its program, once it was received.
    pub version: Option<String>,
    /// Its state.
    pub state: MemberState,
    /// How long it has been in that state, milliseconds, by the time that this scheduler has lived
    /// through.
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

    /// A heartbeat is due.
    pub(crate) fn heartbeat(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.announce_stage(out);
        let Some(membership) = &mut self.membership else { return };
        let mut messages = Vec::new();
        membership.members.tick(&mut messages);
        // From now on, not from when it was due: one that was stopped lives through one period when
        // it wakes, not through all that it missed.
        self.timers.set(now + membership.heartbeat_interval, Timer::Heartbeat);
        push_effects(messages, out);
    }

    /// Announces what this scheduler does to the others, if that has changed.
    pub(crate) fn announce_stage(&mut self, out: &mut Vec<Effect>) {
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

    /// Sends another protocol's message to a member.
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

    /// A datagram of a peer.
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

    /// The membership as operators are shown it; `None` where it is not switched on.
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
        // Of a protocol that this program does not know.
        Action::Payload { .. } => None,
    }
}

fn push_effects(messages: Vec<Action>, out: &mut Vec<Effect>) {
    out.extend(messages.into_iter().filter_map(effect_of));
}
