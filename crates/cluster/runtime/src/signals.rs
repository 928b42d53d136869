//! Handling of SIGTERM and SIGHUP.
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::flag;
use signal_hook::iterator::Signals;
use std::sync::Arc;

/// Lets SIGHUP have no effect from now on: by default it would end the process. A program calls this
/// before anything else, since the signal may come at any time after its start.
pub(crate) fn ignore_reload() {
    if let Err(error) = flag::register(SIGHUP, Arc::default()) {
        log::error!("failed to install the handler for SIGHUP error={error}");
    }
}

/// Calls `callback` on each SIGTERM, on a dedicated thread.
pub fn on_terminate(callback: impl Fn() + Send + 'static) {
    let Ok(mut signals) = Signals::new([SIGTERM]) else {
        log::error!("failed to install the handler for SIGTERM");
        return;
    };
    std::thread::spawn(move || {
        for _ in signals.forever() {
            callback();
        }
    });
}
