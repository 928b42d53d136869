//! Calls to workers: the calls in flight, call time-outs, and the throttle for starts.
mod outstanding;
mod throttle;
mod timeouts;

pub(crate) use outstanding::OutstandingCalls;
pub(crate) use throttle::StartThrottle;
pub(crate) use timeouts::{CallTimeouts, MAX_TIMEOUT_MS};
