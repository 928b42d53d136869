//! Duties that one of many schedulers holds at a time, by a lease that a majority of the **configured** schedulers grants (after
//! PaxosLease: Trencseni, Gazso, Reinhardt 2009: no disk, bound by time), with terms that whatever is acted on checks. No sockets and
//! no clock: the time comes with each call. Why this form, and what it assumes: `docs/design/duties.md`.
mod elector;
mod holder;
mod message;

pub use elector::Elector;
pub use holder::{Change, Duties, Duty, Figures, Held, Out, Reason, Settings};
pub use message::{Item, LAST_TERM, MAX_ITEMS, Sets, Word, decode, encode};

/// A time or a span, milliseconds. Only differences of one process's own clock mean anything.
pub type Millis = u64;
/// Numbers the holders of a duty, one after the other; whatever is acted on refuses an older one.
pub type Term = u64;
