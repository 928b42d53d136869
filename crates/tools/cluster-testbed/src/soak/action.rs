//! What a soak does to processes, links and workers.
use crate::links::LinkFaultKind;
use crate::platform::WorkerCut;

/// Consecutive machines of the control plane, by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ControlGroup {
    pub(super) first: usize,
    pub(super) count: usize,
}

/// What happens to processes, links or workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Action {
    /// SIGHUP.
    Reload {
        /// The index of the machine.
        machine: usize,
    },
    /// SIGTERM; the process is started again some time after its end.
    Restart {
        /// The index of the machine.
        machine: usize,
        /// From the end of the process to its start, milliseconds.
        outage_ms: u64,
    },
    /// SIGKILL; the process is started again after some time.
    Kill {
        /// The index of the machine.
        machine: usize,
        /// From the end of the process to its start, milliseconds.
        outage_ms: u64,
    },
    /// SIGSTOP, and SIGCONT after some time.
    Freeze {
        /// The index of the machine.
        machine: usize,
        /// How long it stands still, milliseconds.
        outage_ms: u64,
    },
    /// SIGKILL for the whole control plane, which is started again after some time.
    KillControlPlane {
        /// From the end of the processes to their start, milliseconds.
        outage_ms: u64,
    },
    /// Machines of the control plane lose their disks, and are started again with empty ones.
    LoseDisks {
        /// The machines.
        group: ControlGroup,
        /// From the end of the processes to their start, milliseconds.
        outage_ms: u64,
        /// Whether all other machines lose power at that moment, those of the data plane too.
        others_lose_power: bool,
    },
    /// A fault of the links between machines of the control plane and all others.
    DisturbLinks {
        /// The machines.
        group: ControlGroup,
        /// Whether the links to the data plane are concerned too.
        concerns_data_planes: bool,
        /// What happens to the links.
        kind: LinkFaultKind,
        /// For how long, milliseconds.
        for_ms: u64,
    },
    /// A worker crashes, and another incarnation takes its address.
    CrashWorker {
        /// The index of the worker.
        worker: usize,
    },
    /// A worker stands still.
    FreezeWorker {
        /// The index of the worker.
        worker: usize,
        /// For how long, milliseconds.
        for_ms: u64,
    },
    /// A worker is out of reach.
    CutWorker {
        /// The index of the worker.
        worker: usize,
        /// How.
        cut: WorkerCut,
        /// For how long, milliseconds.
        for_ms: u64,
    },
    /// A share of the calls to workers gets no response and is carried out late, until the share is
    /// set again.
    DelayOrders {
        /// The share, 0 to 1.
        share: f64,
    },
}

impl Action {
    /// Whether an operator plans such an action.
    pub(super) fn is_planned(self) -> bool {
        matches!(self, Action::Reload { .. } | Action::Restart { .. })
    }
}

/// An action with its time after the start of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlannedAction {
    /// Milliseconds after the start of the load.
    pub(super) at_ms: u64,
    /// What happens.
    pub(super) action: Action,
}
