//! Handling of SIGTERM and SIGHUP.
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;

/// Calls `callback` on each SIGTERM, on a dedicated thread. SIGHUP is received and ignored, so that
/// it does not end the process.
pub fn on_terminate(callback: impl Fn() + Send + 'static) {
    let Ok(mut signals) = Signals::new([SIGTERM, SIGHUP]) else {
        log::error!("failed to install the handler for SIGTERM and SIGHUP");
        return;
    };
    std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal == SIGTERM {
                callback();
            }
        }
    });
}
