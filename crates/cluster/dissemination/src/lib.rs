//! Epidemic dissemination (gossip) of one versioned item. No I/O, no clock.
//!
//! Every process selects a few peers by rendezvous hashing among all known processes, so that each
//! process is selected by about the same number of others. It advertises the version of its item to
//! its peers, periodically and immediately after an update. A peer with an older version requests
//! the item and is sent it; a peer with a newer version sends its own item. The same exchange is
//! the heartbeat by which a process detects the failure of its peers.
//!
//! ```
//! use spanlead_dissemination::{Disseminator, Item, Message, Output};
//! let mut a = Disseminator::new("a");
//! let mut b = Disseminator::new("b");
//! a.set_processes(&["b".into()], 0);
//! b.set_processes(&["a".into()], 0);
//! a.update(Item { version: 3, content: b"three".to_vec() }, 0);
//! // A advertises version 3, B requests the item, A delivers it.
//! let mut in_flight: Vec<(String, String, Message)> = Vec::new();
//! for now_ms in (0..2_000).step_by(100) {
//!     for (name, process) in [("a", &mut a), ("b", &mut b)] {
//!         process.tick(now_ms);
//!         for output in process.take_outputs() {
//!             if let Output::Send { to, message } = output {
//!                 in_flight.push((name.into(), to, message));
//!             }
//!         }
//!     }
//!     for (from, to, message) in std::mem::take(&mut in_flight) {
//!         let receiver = if to == "a" { &mut a } else { &mut b };
//!         receiver.handle(&from, message, now_ms);
//!     }
//! }
//! assert_eq!(b.item().map(|item| item.version), Some(3));
//! ```
#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
mod disseminator;
mod message;
mod peer_selection;

pub use disseminator::{Disseminator, Output};
pub use message::{Item, Message};
pub use peer_selection::{PEERS_PER_PROCESS, select_peers};
