//! The listener that clients and the workers' notices share.
//!
//! - `stream`: the byte stream under HTTP, which notices when a request begins to arrive;
//! - `request_guard`: a request in progress, and the reading of its body;
//! - `listener`: accepting, the connection budget, and closing;
//! - `serve`: HTTP over one connection;
//! - `requests`: the requests themselves, and their way to the driver.
mod listener;
mod request_guard;
mod requests;
mod serve;
mod stream;

pub use listener::{ClientListener, ListenerParams, inherited_listener};
pub use serve::MAX_HEAD;
