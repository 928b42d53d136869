//! Calls to workers: in flight, their time-outs, and the throttle of starts.
mod outstanding;
mod throttle;
mod timeouts;

pub(crate) use outstanding::OutstandingCalls;
pub(crate) use throttle::StartThrottle;
pub(crate) use timeouts::{CallTimeouts, MAX_TIMEOUT_MS};
