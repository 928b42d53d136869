//! Messages between schedulers about roles. A datagram carries several of them, encoded with
//! postcard: names are not part of the encoding, the order and types of fields and variants are.
use crate::quorum::QuorumConfig;
use crate::time::Millis;
use serde::{Deserialize, Serialize};

/// The number of a lease on a role, which increases from lease to lease. It is the fencing token:
/// the resource that a lease holder acts on rejects an older term.
pub type Term = u64;

/// The maximum number of messages in a datagram. With the largest values in all fields they take
/// less than the 200 bytes that a datagram carries.
pub const MAX_MESSAGES: usize = 5;

/// The exclusive upper bound of terms. Messages with this or a higher term are rejected, so that a
/// higher term remains available after any accepted one.
pub const MAX_TERM: Term = 1 << 60;

/// A message about one role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct RoleMessage {
    /// The hash of the role's name. An index would not identify the role, since schedulers may have
    /// their roles in different orders.
    pub role_hash: u32,
    /// The quorum configuration of the sender.
    pub quorum: QuorumConfig,
    /// The content of the message.
    pub body: MessageBody,
}

/// The content of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum MessageBody {
    /// A request for a grant of this term, or for its renewal.
    Request {
        /// The number of the request, counted by the sender and repeated in the reply.
        request: u32,
        /// The requested term.
        term: Term,
    },
    /// The grant of a lease. The lease duration counts from the time of the request.
    Grant {
        /// The number of the granted request.
        request: u32,
        /// The granted term.
        term: Term,
    },
    /// The rejection of a request: another scheduler has the grant, or the term is too low.
    Reject {
        /// The number of the rejected request.
        request: u32,
        /// The highest term that the sender knows.
        highest_term: Term,
        /// The time until the sender's grant to the other scheduler expires, milliseconds; 0 if the
        /// term is too low.
        remaining: Millis,
    },
    /// The cancellation of a request that did not get a majority: the receiver removes its grant to
    /// the sender if the grant's term is at most this one.
    Cancel {
        /// The term that was requested.
        term: Term,
    },
    /// The end of the sender's lease: the receiver removes its grant to the sender if the grant's
    /// term is at most this one.
    Release {
        /// The term of the lease that ended.
        term: Term,
    },
}

impl MessageBody {
    /// The term in the message.
    fn term(&self) -> Term {
        match *self {
            MessageBody::Request { term, .. } | MessageBody::Grant { term, .. } => term,
            MessageBody::Cancel { term } | MessageBody::Release { term } => term,
            MessageBody::Reject { highest_term, .. } => highest_term,
        }
    }
}

/// Encodes messages as the payload of a datagram.
pub fn encode(messages: &[RoleMessage]) -> Vec<u8> {
    postcard::to_stdvec(messages).unwrap_or_default()
}

/// Decodes the payload of a datagram. Returns `None` if it is malformed, has more than
/// [`MAX_MESSAGES`] messages, or a term of [`MAX_TERM`] or higher.
pub fn decode(bytes: &[u8]) -> Option<Vec<RoleMessage>> {
    let (messages, rest) = postcard::take_from_bytes::<Vec<RoleMessage>>(bytes).ok()?;
    let is_plausible =
        messages.len() <= MAX_MESSAGES && messages.iter().all(|message| message.body.term() < MAX_TERM);
    (rest.is_empty() && is_plausible).then_some(messages)
}
