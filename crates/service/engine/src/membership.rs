//! The members' place in the reducer: heartbeats by the timers, what this scheduler says of itself from its state.
use crate::duties::KIND;
use crate::{Effect, Engine, MS, Timer};
use serde::Serialize;
use spanlead_balancing_policy::Nanos;
use spanlead_membership::{Action, GossipMembership, LifecyclePhase, MemberState, MembershipConfig};

/// The members, and the span between two heartbeats.
pub(crate) struct Membership {
    pub members: GossipMembership,
    every: Nanos,
}

/// What operators are shown of the members.
#[derive(Debug, Serialize)]
pub struct MembersView {
    /// This scheduler's number.
    pub me: u16,
    /// One more with each change.
    pub view: u64,
    pub members: Vec<MemberView>,
}

/// One of them.
#[derive(Debug, Serialize)]
pub struct MemberView {
    pub number: u16,
    /// Once it was told.
    pub name: Option<String>,
    /// Grows with each start; text, since programs that read JSON may round numbers.
    pub incarnation: String,
    /// Of its program, once it was told.
    pub version: Option<String>,
    pub state: MemberState,
    /// How long it has been that, by the time that this scheduler has lived through.
    pub since_ms: u64,
}

impl Engine {
    pub(crate) fn enter(
        &mut self,
        now: Nanos,
        settings: MembershipConfig,
        every: Nanos,
        out: &mut Vec<Effect>,
    ) {
        self.membership = Some(Membership { members: GossipMembership::new(settings), every });
        self.beat(now, out);
    }

    /// A period is over.
    pub(crate) fn beat(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.say(out);
        let Some(membership) = &mut self.membership else { return };
        let mut said = Vec::new();
        membership.members.tick(&mut said);
        let every = membership.every;
        effects(said, out);
        // From now on, not from when it was due: one that was stopped lives through one period when it wakes, not through all
        // that it missed.
        self.set_timer(now + every, Timer::Beat);
    }

    /// Tells the others what this scheduler does, if that has changed.
    pub(crate) fn say(&mut self, out: &mut Vec<Effect>) {
        let stage = match (self.is_closing(), self.is_serving()) {
            (true, _) => LifecyclePhase::Draining,
            (false, true) => LifecyclePhase::Serving,
            (false, false) => LifecyclePhase::Starting,
        };
        self.say_stage(stage, out);
    }

    pub(crate) fn say_stage(&mut self, stage: LifecyclePhase, out: &mut Vec<Effect>) {
        let Some(membership) = &mut self.membership else { return };
        let mut said = Vec::new();
        membership.members.set_phase(stage, &mut said);
        effects(said, out);
    }

    /// Sends another protocol's words to a member.
    pub(crate) fn carry(&mut self, to: u16, kind: u8, bytes: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(membership) = &mut self.membership else { return };
        let mut said = Vec::new();
        membership.members.send_payload(to, kind, bytes, &mut said);
        effects(said, out);
    }

    /// A datagram of a peer, if it is for the members.
    pub(crate) fn peer(&mut self, now: Nanos, from: u32, data: &[u8], out: &mut Vec<Effect>) -> bool {
        let Some(membership) = &mut self.membership else { return false };
        let mut said = Vec::new();
        membership.members.receive(from.try_into().unwrap_or(u16::MAX), data, &mut said);
        for said in said {
            match said {
                Action::Payload { from, protocol: KIND, bytes } => self.hear_duties(now, from, &bytes, out),
                said => effects(vec![said], out),
            }
        }
        true
    }

    /// The members as operators are shown them; `None` where there is no membership.
    pub fn members_view(&self) -> Option<MembersView> {
        let Membership { members, every } = self.membership.as_ref()?;
        let of = |m: spanlead_membership::Member| MemberView {
            number: m.number,
            name: m.name,
            incarnation: m.incarnation.to_string(),
            version: m.version,
            state: m.state,
            since_ms: m.periods_in_state * every / MS,
        };
        let list = members.members().map(of).collect();
        Some(MembersView { me: members.own_number(), view: members.stats().view, members: list })
    }
}

fn effects(said: Vec<Action>, out: &mut Vec<Effect>) {
    out.extend(said.into_iter().filter_map(|said| match said {
        Action::Send { to, datagram: data } => Some(Effect::SendPeerMessage { peer: Some(to.into()), data }),
        Action::StateChanged(change) => Some(Effect::MemberChanged(change)),
        // Of a protocol that this program does not know.
        Action::Payload { .. } => None,
    }));
}
