//! All reading and writing on sockets: clients and workers' notices, workers, discovery, peers,
//! operators, and the link to another process of the same scheduler. What is read goes to the
//! driver as a [`Message`]; nothing is decided here.
//!
//! Layers, each of which uses only those before it: `lock` and `clock`; [`wire`], the messages on
//! the sockets; `client_connection`, the state of one connection of a client; `message`, what the
//! driver gets; then a module for each kind of socket.
#![warn(
    missing_docs,
    unreachable_pub,
    clippy::wildcard_imports,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::too_many_arguments
)]
mod client_connection;
mod clock;
mod lock;
mod message;

pub mod clients;
pub mod discovery;
pub mod handover;
pub mod operator;
pub mod peers;
pub mod role_caller;
pub mod wire;
pub mod workers;

pub use client_connection::ClientConnection;
pub use clock::{Clock, SOCKET_SLACK};
pub use message::{
    DurableJobsError, ForwardedMessage, HandedOverRequest, Message, OpenedDurableJobs, PeerProcessEvent,
    ProcessLink, ReceivedRequest,
};
