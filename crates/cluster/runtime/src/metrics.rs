//! The HTTP endpoint at which a process exposes its metrics as text.
use crate::http::framing::MessageLimits;
use crate::http::server::{self, ConnectionLimits};
use crate::settings::MetricsEndpoint;
use async_std::task;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

/// Maximum size of a request's head, and of its body, in bytes.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// Time-out for a request to arrive, and for an idle connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 8;

/// Spawns a task that serves the text returned by `metrics`, which is called for each request.
pub fn spawn_server<F, Text>(endpoint: MetricsEndpoint, metrics: F)
where
    F: Fn() -> Text + Clone + Send + Sync + 'static,
    Text: Future<Output = String> + Send + 'static,
{
    let mut app = tide::new();
    app.at(&endpoint.path).get(move |_: Request<()>| {
        let metrics = metrics.clone();
        async move {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(metrics().await);
            response.set_content_type(tide::http::mime::PLAIN);
            Ok(response)
        }
    });
    let message = MessageLimits { max_head_bytes: MAX_REQUEST_BYTES, max_body_bytes: MAX_REQUEST_BYTES };
    let limits =
        move || ConnectionLimits { message, request_timeout: REQUEST_TIMEOUT, idle_timeout: REQUEST_TIMEOUT };
    task::spawn(server::serve(endpoint.address, app, Arc::new(limits), MAX_CONNECTIONS));
}
