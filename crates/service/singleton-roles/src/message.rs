//! Messages between schedulers on roles, several in one datagram. Their form is postcard's: names
//! are not part of it, order and types of fields and variants are.
use crate::quorum::QuorumConfig;
use crate::time::Millis;
use serde::{Deserialize, Serialize};

/// Numbers the leases of a role, one after the other; whatever a lease holder acts on rejects an
/// older term.
pub type Term = u64;

/// The most messages in a datagram: with the largest figures they take less than the 200 bytes that
/// one carries.
pub const MAX_MESSAGES: usize = 5;

/// Terms from here on are rejected: no term could follow one that is accepted.
pub const MAX_TERM: Term = 1 << 60;

/// A message on one role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct RoleMessage {
    /// The hash of the role's name: schedulers need not have the roles in the same order.
    pub role_hash: u32,
    /// The sets whose majorities the sender goes by.
    pub quorum: QuorumConfig,
    /// What is said of the role.
    pub body: MessageBody,
}

/// What a message says of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum MessageBody {
    /// A request to grant this term, or to renew the grant of it.
    Request {
        /// The sender's number of the request, repeated in the reply.
        request: u32,
        /// The term.
        term: Term,
    },
    /// The grant of a lease, which counts from when it was requested.
    Grant {
        /// The request.
        request: u32,
        /// The term.
        term: Term,
    },
    /// The rejection of a request: another scheduler has the grant, or the term is too low.
    Reject {
        /// The request.
        request: u32,
        /// The highest term that the sender knows.
        highest_term: Term,
        /// How long the other scheduler's grant still lasts at the sender.
        remaining: Millis,
    },
    /// The request found no majority: grants of this term are void.
    Cancel {
        /// The term that was requested.
        term: Term,
    },
    /// The sender's lease is over: grants up to this term are void.
    Release {
        /// The term that is over.
        term: Term,
    },
}

impl MessageBody {
    /// The term that the message names.
    fn term(&self) -> Term {
        match *self {
            MessageBody::Request { term, .. } | MessageBody::Grant { term, .. } => term,
            MessageBody::Cancel { term } | MessageBody::Release { term } => term,
            MessageBody::Reject { highest_term, .. } => highest_term,
        }
    }
}

/// The payload of a datagram with these messages.
pub fn encode(messages: &[RoleMessage]) -> Vec<u8> {
    postcard::to_stdvec(messages).unwrap_or_default()
}

/// Reads a datagram's payload; `None` if it is malformed, or has too many messages or an impossible
/// term.
pub fn decode(bytes: &[u8]) -> Option<Vec<RoleMessage>> {
    let (messages, rest) = postcard::take_from_bytes::<Vec<RoleMessage>>(bytes).ok()?;
    let is_plausible =
        messages.len() <= MAX_MESSAGES && messages.iter().all(|message| message.body.term() < MAX_TERM);
    (rest.is_empty() && is_plausible).then_some(messages)
}
