//! The actions that the caller performs, and the batching of messages into datagrams.
use crate::message::{MAX_MESSAGES, RoleMessage, encode};
use crate::quorum::SchedulerNumber;
use crate::role::{LeaseChange, RoleIndex};
use std::collections::BTreeMap;

/// An action that the caller must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a payload to a scheduler.
    Send {
        /// The receiver.
        to: SchedulerNumber,
        /// The payload of a datagram: at most [`MAX_MESSAGES`] encoded messages.
        payload: Vec<u8>,
    },
    /// Report that this scheduler has acquired or lost a lease.
    LeaseChanged {
        /// The role.
        role: RoleIndex,
        /// The change.
        change: LeaseChange,
    },
}

/// Messages that are to be sent, grouped by receiver.
#[derive(Default)]
pub(crate) struct Outbox {
    by_receiver: BTreeMap<SchedulerNumber, Vec<RoleMessage>>,
}

impl Outbox {
    pub(crate) fn push(&mut self, to: SchedulerNumber, message: RoleMessage) {
        self.by_receiver.entry(to).or_default().push(message);
    }

    /// Adds the actions that send the messages, in as few datagrams as possible.
    pub(crate) fn flush(self, actions: &mut Vec<Action>) {
        for (to, messages) in self.by_receiver {
            let payloads = messages.chunks(MAX_MESSAGES).map(encode);
            actions.extend(payloads.map(|payload| Action::Send { to, payload }));
        }
    }
}
