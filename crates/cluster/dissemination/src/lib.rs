//! Epidemic dissemination of one versioned item.
//!
//! Every process has a few peers, picked by rendezvous hashing among all that it knows, so that each is picked by about as
//! many. It tells them the version that it has, all the time and at once when it has a new one; whoever is behind asks,
//! and is sent the item. The same exchange is the heartbeat by which peers watch one another.
//!
//! ```
//! use spanlead_dissemination::{Disseminator, Item, Message, Output};
//! let mut a = Disseminator::new("a");
//! let mut b = Disseminator::new("b");
//! a.meet(&["b".into()], 0);
//! b.meet(&["a".into()], 0);
//! a.offer(Item { version: 3, content: b"three".to_vec() }, 0);
//! // A tells B that it has version 3, B asks, A sends it.
//! let mut mail: Vec<(String, String, Message)> = Vec::new();
//! for now in (0..2_000).step_by(100) {
//!     for (name, node) in [("a", &mut a), ("b", &mut b)] {
//!         node.tick(now);
//!         for output in node.drain() {
//!             if let Output::Send { to, message } = output {
//!                 mail.push((name.into(), to, message));
//!             }
//!         }
//!     }
//!     for (from, to, message) in std::mem::take(&mut mail) {
//!         if to == "a" { a.handle(&from, message, now) } else { b.handle(&from, message, now) }
//!     }
//! }
//! assert_eq!(b.item().map(|item| item.version), Some(3));
//! ```
mod disseminator;
mod rendezvous;

pub use disseminator::{Disseminator, Item, Message, Output, PEERS};
pub use rendezvous::pick;
