//! What the caller must do, and messages that are sent together.
use crate::message::{MAX_MESSAGES, RoleMessage, encode};
use crate::quorum::SchedulerNumber;
use crate::role::{LeaseChange, RoleIndex};
use std::collections::BTreeMap;

/// What the caller must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a payload to a scheduler.
    Send {
        /// The scheduler.
        to: SchedulerNumber,
        /// The payload, at most [`MAX_MESSAGES`] messages.
        payload: Vec<u8>,
    },
    /// Report that a lease has begun or ended here.
    LeaseChanged {
        /// The role.
        role: RoleIndex,
        /// What has changed.
        change: LeaseChange,
    },
}

/// Messages that are sent together, by receiver.
#[derive(Default)]
pub(crate) struct Outbox {
    by_receiver: BTreeMap<SchedulerNumber, Vec<RoleMessage>>,
}

impl Outbox {
    pub(crate) fn push(&mut self, to: SchedulerNumber, message: RoleMessage) {
        self.by_receiver.entry(to).or_default().push(message);
    }

    /// Makes as few datagrams as possible of the messages.
    pub(crate) fn flush(self, actions: &mut Vec<Action>) {
        for (to, messages) in self.by_receiver {
            let payloads = messages.chunks(MAX_MESSAGES).map(encode);
            actions.extend(payloads.map(|payload| Action::Send { to, payload }));
        }
    }
}
