//! Figures of a process, as text: one `name{label="value"} number` a line.
//!
//! Frames are counted where they are queued for a connection, by kind. The counters belong to the process, as a registry
//! of metrics usually does.
use crate::frame::{Frame, FrameKind};
use crate::http::framing::Bounds;
use crate::http::server::{self, Limits};
use async_std::task;
use std::fmt::Write;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// The largest request that is read, bytes.
const MAX_REQUEST: usize = 8 * 1024;
/// How long a request may take, and a connection be idle.
const PATIENCE: Duration = Duration::from_secs(10);
/// Connections at a time.
const CONNECTIONS: usize = 8;

#[derive(Debug)]
struct Counter {
    frames: AtomicU64,
    bytes: AtomicU64,
}

static SENT: [Counter; FrameKind::ALL.len()] =
    [const { Counter { frames: AtomicU64::new(0), bytes: AtomicU64::new(0) } }; FrameKind::ALL.len()];

/// Counts a frame that is queued for a connection, with its length on the wire.
pub fn count_sent(frame: &Frame, bytes: usize) {
    let counter = &SENT[frame.kind() as usize];
    counter.frames.fetch_add(1, Ordering::Relaxed);
    counter.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Frames and bytes of a kind that were sent so far.
#[must_use]
pub fn sent(kind: FrameKind) -> (u64, u64) {
    let counter = &SENT[kind as usize];
    (counter.frames.load(Ordering::Relaxed), counter.bytes.load(Ordering::Relaxed))
}

/// What was sent to other processes of the system, by kind of frame.
#[must_use]
pub fn traffic() -> String {
    let mut text = String::new();
    for kind in FrameKind::ALL {
        let (frames, bytes) = sent(kind);
        let name = kind.name();
        let _ = writeln!(text, "spanlead_sent_frames{{kind=\"{name}\"}} {frames}");
        let _ = writeln!(text, "spanlead_sent_bytes{{kind=\"{name}\"}} {bytes}");
    }
    text
}

/// Where a process tells its figures: an address and a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address and port.
    pub address: String,
    /// The path, with its first `/`.
    pub path: String,
}

/// Starts to tell what `figures` gives at an endpoint.
pub fn start<F, Answer>(endpoint: Endpoint, figures: F)
where
    F: Fn() -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = String> + Send + 'static,
{
    let mut app = tide::new();
    app.at(&endpoint.path).get(move |_: Request<()>| {
        let figures = figures.clone();
        async move {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(figures().await);
            response.set_content_type(tide::http::mime::PLAIN);
            Ok(response)
        }
    });
    let bounds = Bounds { head: MAX_REQUEST, body: MAX_REQUEST };
    let limits = move || Limits { bounds, request: PATIENCE, idle: PATIENCE };
    task::spawn(server::serve(endpoint.address, app, Arc::new(limits), CONNECTIONS));
}
