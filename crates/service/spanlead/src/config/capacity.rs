//! How the machine's descriptors and memory are shared out.
use super::ConfigError;
use serde::Deserialize;
use spanlead_net::clients::MAX_HEAD;
use spanlead_net::operator::MAX_CALLS;
use spanlead_net::wire;

/// Fewer descriptors than this leave nothing to serve with.
const MIN_SOCKETS: usize = 64;
/// Less memory than this, MiB, leaves nothing to serve with.
const MIN_MEMORY_MB: usize = 16;
/// Descriptors that are left for clients and workers whatever else is wanted.
const MIN_SHARED_SOCKETS: usize = 12;
/// Descriptors that are neither a client's nor a worker's connection: the listener, the runtime's,
/// standard input and output, discovery, peers, and some to spare.
const RESERVED_SOCKETS: usize = 32;
/// What a client's connection may hold at the most, bytes: its buffer, a body, and what is kept
/// beside them.
const CLIENT_MEMORY_BYTES: usize = MAX_HEAD + wire::MAX_BODY + 16 * 1024;
const BYTES_PER_MB: usize = 1 << 20;

/// What the process may use.
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

impl Limits {
    /// What each of two processes of one scheduler may use.
    pub(super) fn half(&self) -> Self {
        Limits { sockets: self.sockets / 2, memory_mb: self.memory_mb / 2 }
    }

    pub(super) fn check(&self) -> Result<(), ConfigError> {
        if self.sockets < MIN_SOCKETS {
            return Err(ConfigError::new("limits.sockets", format!("must be at least {MIN_SOCKETS}")));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            return Err(ConfigError::new("limits.memory_mb", format!("must be at least {MIN_MEMORY_MB}")));
        }
        Ok(())
    }
}

/// The most that one process holds of each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Capacity {
    /// Connections from clients, and for workers' notices.
    pub(crate) client_connections: usize,
    /// Requests that are open at a time; the other client connections are left for notices.
    pub(crate) open_requests: usize,
    /// Connections to workers.
    pub(crate) worker_connections: usize,
}

impl Capacity {
    /// Clients hold up to a third of the descriptors for requests and notices come beside them, so
    /// two thirds are theirs, if half of the memory allows that; an exchange with a worker is
    /// short.
    pub(super) fn new(limits: &Limits, has_operator_address: bool) -> Self {
        let operator_sockets = if has_operator_address { MAX_CALLS + 1 } else { 0 };
        let reserved = RESERVED_SOCKETS + operator_sockets;
        let sockets = limits.sockets.saturating_sub(reserved).max(MIN_SHARED_SOCKETS);
        let by_memory = limits.memory_mb * BYTES_PER_MB / 2 / CLIENT_MEMORY_BYTES;
        let client_connections = (sockets * 2 / 3).min(by_memory);
        Capacity {
            client_connections,
            open_requests: client_connections - client_connections / 4,
            worker_connections: sockets / 3,
        }
    }
}
