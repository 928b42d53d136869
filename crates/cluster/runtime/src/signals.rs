//! The signals that a process handles.
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;

/// Calls back at each SIGTERM, from a thread of its own. SIGHUP is received and ignored, so that it
/// does not end the process.
pub fn on_terminate(callback: impl Fn() + Send + 'static) {
    let Ok(mut signals) = Signals::new([SIGTERM, SIGHUP]) else {
        log::error!("signal handler can't be installed");
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
