//! The faults of links, and what they do to the bytes from one machine to another.
use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The direction in which the links of a group of machines are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutDirection {
    /// Nothing passes.
    Both,
    /// What the group sends is lost.
    FromGroup,
    /// What is sent to the group is lost.
    ToGroup,
}

/// What a fault does to links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFaultKind {
    /// It cuts them.
    Cut(CutDirection),
    /// It delays what passes, in both directions.
    Delay(Duration),
}

/// A fault of the links between a group of control plane machines and all other machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkFault {
    /// The indexes of the group.
    pub group: Range<usize>,
    /// Whether links to machines outside of the control plane are concerned too.
    pub concerns_data_planes: bool,
    /// What the fault does.
    pub kind: LinkFaultKind,
    /// When it ends.
    pub until: Instant,
}

/// One direction of a link. A machine outside of the control plane is `None`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LinkDirection {
    pub(super) from: Option<usize>,
    pub(super) to: Option<usize>,
}

impl LinkFault {
    fn is_in_group(&self, machine: Option<usize>) -> bool {
        machine.is_some_and(|machine| self.group.contains(&machine))
    }

    /// Whether the fault concerns the link between two machines.
    fn concerns(&self, link: LinkDirection) -> bool {
        let is_within_control_plane = link.from.is_some() && link.to.is_some();
        let crosses_group = self.is_in_group(link.from) != self.is_in_group(link.to);
        crosses_group && (is_within_control_plane || self.concerns_data_planes)
    }

    fn cuts(&self, link: LinkDirection) -> bool {
        let LinkFaultKind::Cut(direction) = self.kind else { return false };
        self.concerns(link)
            && match direction {
                CutDirection::Both => true,
                CutDirection::FromGroup => self.is_in_group(link.from),
                CutDirection::ToGroup => self.is_in_group(link.to),
            }
    }

    fn delay(&self, link: LinkDirection) -> Duration {
        match self.kind {
            LinkFaultKind::Delay(delay) if self.concerns(link) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// The present faults. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct LinkFaults {
    faults: Arc<Mutex<Vec<LinkFault>>>,
}

impl LinkFaults {
    /// Adds a fault.
    pub fn add(&self, fault: LinkFault) {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).push(fault);
    }

    /// Whether a link is cut in this direction.
    pub(super) fn is_cut(&self, link: LinkDirection) -> bool {
        self.present().iter().any(|fault| fault.cuts(link))
    }

    /// By how much a link delays what passes in this direction.
    pub(super) fn delay(&self, link: LinkDirection) -> Duration {
        self.present().iter().map(|fault| fault.delay(link)).max().unwrap_or_default()
    }

    /// The faults that have not ended; the others are removed.
    fn present(&self) -> Vec<LinkFault> {
        let now = Instant::now();
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.retain(|fault| now < fault.until);
        faults.clone()
    }
}
