//! The link between two processes of one scheduler while one takes over from the other. Both accept
//! connections from the same listening socket, so a worker's notice may reach the one that knows
//! nothing of its job: it is forwarded over a Unix socket, and the worker is answered when the
//! other process has it. What is still open when the old process is to end goes the same way, with
//! the clients' sockets. The link also tells that the other process is alive.
//!
//! - `frame`: the messages on the link;
//! - `stream`: reading and writing frames, with sockets beside the bytes;
//! - `link`: one link's task;
//! - `rendezvous`: how the processes find each other.
mod frame;
mod link;
mod rendezvous;
mod stream;

pub use rendezvous::{connect_to_predecessor, listen_for_successors, socket_path};
