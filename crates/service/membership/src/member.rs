//! Members and their states.
use serde::{Deserialize, Serialize};

/// The number of a scheduler in its tier: its position among the configured schedulers, from 0.
pub type MemberNumber = u16;
/// The incarnation of a scheduler. It increases with each start, so that the heartbeats of the new
/// process supersede those of earlier ones.
pub type Incarnation = u32;

/// The lifecycle phase that a scheduler reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum LifecyclePhase {
    /// It cannot serve yet.
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
    /// No heartbeat of it has arrived yet.
    #[serde(rename = "unheard")]
    Unknown,
    /// It is alive and cannot serve yet.
    Starting,
    /// It is alive and serves.
    Alive,
    /// It is alive and accepts no new requests.
    Draining,
    /// No new heartbeat has arrived within the suspicion threshold: it may be dead.
    Suspect,
    /// No new heartbeat has arrived, and so many probes have failed that it must be dead or
    /// partitioned.
    Dead,
    /// It has shut down gracefully.
    Left,
}

impl MemberState {
    /// Whether a member in this state counts as live. A suspect does.
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
    /// Its name, once received.
    pub name: Option<String>,
    /// The version of its program, once received.
    pub version: Option<String>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// The number of periods for which it has been in this state.
    #[serde(rename = "since")]
    pub periods_in_state: u64,
}

/// A change of a member's state in this scheduler's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStateChange {
    /// The version of the view after this change.
    pub view: u64,
    /// The member.
    pub number: MemberNumber,
    /// Its name, if known.
    pub name: Option<String>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state before the change.
    pub from: MemberState,
    /// Its state after the change.
    pub to: MemberState,
}
