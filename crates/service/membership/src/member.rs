//! Members and their states.
use serde::{Deserialize, Serialize};

/// The number of a scheduler in its tier: its position among the configured schedulers, from 0.
pub type MemberNumber = u16;
/// Grows with each start of a scheduler, so that its heartbeats supersede those of its earlier
/// processes.
pub type Incarnation = u32;

/// What a scheduler reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum LifecyclePhase {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It accepts no new requests.
    Draining,
    /// It has shut down gracefully.
    Left,
}

/// The state of a member in this scheduler's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// No heartbeat of it ever arrived.
    #[serde(rename = "unheard")]
    Unknown,
    /// It is alive and can't serve yet.
    Starting,
    /// It serves.
    Alive,
    /// It accepts no new requests.
    Draining,
    /// No new heartbeat arrived for a while: it may be dead.
    Suspect,
    /// No new heartbeat arrived, and probes failed, for so long that it must be dead or
    /// partitioned.
    Dead,
    /// It has shut down gracefully.
    Left,
}

impl MemberState {
    /// Whether a member of this state counts as live.
    pub fn is_live(self) -> bool {
        matches!(
            self,
            MemberState::Starting | MemberState::Alive | MemberState::Draining | MemberState::Suspect
        )
    }
}

impl From<LifecyclePhase> for MemberState {
    /// The state of a member whose newest heartbeat reports this phase.
    fn from(phase: LifecyclePhase) -> Self {
        match phase {
            LifecyclePhase::Starting => MemberState::Starting,
            LifecyclePhase::Serving => MemberState::Alive,
            LifecyclePhase::Draining => MemberState::Draining,
            LifecyclePhase::Left => MemberState::Left,
        }
    }
}

/// A member in this scheduler's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Its number.
    pub number: MemberNumber,
    /// Its name, once it was received.
    pub name: Option<String>,
    /// The version of its program, once it was received.
    pub version: Option<String>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// For how many periods it has this state.
    #[serde(rename = "since")]
    pub periods_in_state: u64,
}

/// The state of a member has changed in this scheduler's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStateChange {
    /// The version of the view that this change makes.
    pub view: u64,
    /// The member.
    pub number: MemberNumber,
    /// Its name, if it was received.
    pub name: Option<String>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The state before.
    pub from: MemberState,
    /// The state now.
    pub to: MemberState,
}
