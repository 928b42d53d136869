//! Membership among the schedulers of a tier: who lives, drains, has left or is dead, by heartbeats that everyone passes on
//! (gossip-style failure detection: van Renesse, Minsky, Hayden, Middleware 1998), with a direct question to whoever is
//! suspected. No sockets and no clock: time is counted in the periods that this process itself lives through, so one that was
//! stopped accuses nobody when it wakes. Why this form: `docs/design/membership.md`.
mod members;
mod message;

pub use members::{Bounds, Change, Figures, Member, Members, Out, Settings, State};
pub use message::{
    Body, DROPS, Drop, Entry, Frame, MAX_CARRIED, MAX_DATAGRAM, MAX_ENTRIES, MAX_TEXT, PROTOCOL, Stage,
    fitting, short,
};
