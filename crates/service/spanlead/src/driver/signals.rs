//! What operations say by signals.
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that this process handles.
pub(super) struct Signals {
    pub(super) terminate: Signal,
    pub(super) interrupt: Signal,
    pub(super) hang_up: Signal,
}

impl Signals {
    /// Handles them from now on; before, they end the process.
    pub(super) fn new() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}
