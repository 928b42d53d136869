//! Bounds on the age of client requests: how long a request may have been under way, from the
//! moment at which its client sent it, when the control plane carries it out.
//!
//! A request can wait for any time in the socket or the memory of a stopped process, or on a link.
//! Its client may have given up long ago, and even have cancelled its job elsewhere. The control
//! plane remembers cancellations for a bounded time, so what it carries out must have a bounded age:
//! no clock that stands still may hide that a request waited. Two checks together give the bound:
//!
//! - The data plane knows the earliest time at which a request can have been sent
//!   ([`EarliestSendTime`]), and forwards none that may be older than [`MAX_REQUEST_AGE_MS`] by its
//!   own clock.
//! - It may stop between that check and the forwarding. So it takes a [`FreshnessToken`] *before*
//!   the check and sends it along. The node that issued the token carries a request out only within
//!   [`TOKEN_VALIDITY_MS`] after, by its own clock.
//!
//! No two clocks are compared, and the bound holds whichever process stops, wherever.
use rkyv::{Archive, Deserialize, Serialize};
use spanlead_job_scheduler::MAX_SUBMISSION_AGE_MS;
use std::time::{Duration, Instant};

/// The age above which the data plane does not forward a request, milliseconds.
pub const MAX_REQUEST_AGE_MS: u64 = 30_000;
/// The time for which a node accepts a token that it issued, milliseconds.
pub const TOKEN_VALIDITY_MS: u64 = 5_000;
/// The interval at which a primary issues a new token to each data plane, milliseconds.
pub const TOKEN_INTERVAL_MS: u64 = 1_000;
/// The longest time from the moment at which a client can send on a connection until the server's
/// system reports the connection, milliseconds: Linux gives up after about 63 s of repeated
/// handshakes.
const MAX_HANDSHAKE_MS: u64 = 65_000;

const _: () = assert!(MAX_HANDSHAKE_MS + MAX_REQUEST_AGE_MS + TOKEN_VALIDITY_MS <= MAX_SUBMISSION_AGE_MS);
const _: () = assert!(TOKEN_INTERVAL_MS < TOKEN_VALIDITY_MS);

/// The earliest time at which a client can have sent a request: the server had received nothing of
/// it then. The HTTP server attaches it to each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EarliestSendTime(pub Instant);

impl EarliestSendTime {
    /// The time since then: the request is not older.
    #[must_use]
    pub fn max_age(&self) -> Duration {
        self.0.elapsed()
    }
}

/// A proof that its holder was in contact with a node at some time.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessToken {
    /// Identifies the process that issued the token.
    pub issuer: u64,
    /// When it was issued, on the monotonic clock of that process, milliseconds.
    pub issued_at_ms: u64,
}

/// The number of hexadecimal digits of a field of a token's text.
const FIELD_DIGITS: usize = 16;

impl FreshnessToken {
    /// Formats the token as text: both fields as hexadecimal numbers of 16 digits.
    #[must_use]
    pub fn to_text(self) -> String {
        format!("{:016x}{:016x}", self.issuer, self.issued_at_ms)
    }

    /// Reads the text of a token; `None` if it is none.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        let (issuer, issued_at_ms) = text.split_at_checked(FIELD_DIGITS)?;
        let field = |digits: &str| {
            let is_complete = digits.len() == FIELD_DIGITS;
            u64::from_str_radix(digits, 16).ok().filter(|_| is_complete)
        };
        Some(FreshnessToken { issuer: field(issuer)?, issued_at_ms: field(issued_at_ms)? })
    }
}

/// Issues tokens and checks them.
#[derive(Clone, Copy, Debug)]
pub struct TokenIssuer {
    /// Differs between processes and starts.
    id: u64,
}

impl TokenIssuer {
    /// Creates an issuer with an identity that no other process has or had.
    #[must_use]
    pub fn new(id: u64) -> Self {
        TokenIssuer { id }
    }

    /// Issues a token at `now_ms`, on the monotonic clock.
    #[must_use]
    pub fn issue(&self, now_ms: u64) -> FreshnessToken {
        FreshnessToken { issuer: self.id, issued_at_ms: now_ms }
    }

    /// Whether this issuer issued the token, and no longer than [`TOKEN_VALIDITY_MS`] before
    /// `now_ms`.
    #[must_use]
    pub fn is_fresh(&self, token: FreshnessToken, now_ms: u64) -> bool {
        let age_ms = now_ms.checked_sub(token.issued_at_ms);
        token.issuer == self.id && age_ms.is_some_and(|age_ms| age_ms <= TOKEN_VALIDITY_MS)
    }
}
