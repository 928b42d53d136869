//! The endpoint list: a watch that goes on until it fails, and single calls.
use crate::Message;
use crate::message::report_invalid_input;
use crate::wire::{self, Body, EndpointList};
use crate::workers::Connection;
use bytes::Bytes;
use hyper::{Request, StatusCode};
use spanlead_balancing_policy::EndpointUpdate;
use spanlead_deployment_settings::Names;
use spanlead_engine::{Input, WorkerEndpoint};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// How long one call of the watch waits for changes. Shorter ones are too many for a discovery that
/// works through its calls one by one: at 2 s those of a hundred schedulers were more than it bore,
/// and it never recovered.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// How much later than that the answer may come. The latest that 300 schedulers were answered was
/// 0.27 s. A change counts as notified 6 s after discovery had it: this, [`WATCH_WAIT`] and 1 s for
/// the answer to the call that opens a silent watch anew are 5.75 s. `docs/design/crossings.md`
/// adds up the other paths.
const WATCH_SLACK: Duration = Duration::from_millis(750);
/// How long a call that does not wait may take. Given up sooner, calls that discovery was about to
/// answer come again, and it works through those that nobody waits for as well.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The least time between two calls without changes: well under the 200 ms after which a call
/// begins another watch, and under any grace for draining. An agent that lists are pushed to may
/// answer every call at once.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// The longest list that is read, bytes: a few hundred for each of tens of thousands of workers.
const MAX_LIST_BYTES: usize = 16 << 20;
/// A longer list is decoded on a thread of its own: jobs must not wait for it.
const MAX_INLINE_DECODE_BYTES: usize = 64 << 10;

/// Discovery as one scheduler sees it.
pub struct DiscoveryClient {
    /// The address of discovery.
    pub addr: SocketAddr,
    /// The version of its list that is known.
    pub version: u64,
    /// The names behind the settings' numbers.
    pub names: watch::Receiver<Arc<Names>>,
    /// Where messages for the driver go.
    pub messages: UnboundedSender<Message>,
}

/// An answer of discovery.
struct ListResponse {
    version: u64,
    is_full: bool,
    endpoints: Vec<WorkerEndpoint>,
}

/// What the next call of a watch asks for.
#[derive(Clone, Copy)]
struct WatchState {
    /// How long the call waits for changes.
    wait: Duration,
    /// No call of this watch was answered yet: its answer also tells that the watch stands.
    is_first: bool,
    /// The full list is asked for.
    wants_full: bool,
}

impl ListResponse {
    fn decode(body: &[u8], names: &Names) -> Option<Self> {
        let list = EndpointList::decode(body)?;
        Some(ListResponse { version: list.version, is_full: list.is_full, endpoints: list.endpoints(names) })
    }
}

impl DiscoveryClient {
    /// Watches for changes until a call fails, which the driver is told: the policy decides when to
    /// ask again.
    pub async fn watch(mut self) {
        // The first call brings what was missed and does not wait.
        let mut state = WatchState { wait: Duration::ZERO, is_first: true, wants_full: false };
        let mut connection = None;
        while let Some(next) = self.watch_once(&mut connection, state).await {
            state = next;
        }
        tracing::info!(version = self.version, "discovery call failed");
        self.send_list(EndpointUpdate::Unavailable, Vec::new());
    }

    /// One call of the watch; what the next one asks for, or `None` if the watch has failed.
    async fn watch_once(
        &mut self,
        connection: &mut Option<Connection>,
        state: WatchState,
    ) -> Option<WatchState> {
        let begun = Instant::now();
        let timeout = if state.wait.is_zero() { CALL_TIMEOUT } else { state.wait + WATCH_SLACK };
        let until = begun + timeout;
        let call = if state.wants_full {
            wire::full_list_request()
        } else {
            wire::watch_request(self.version, state.wait.as_millis() as u64)
        };
        let Some(list) = self.call(connection, call, until).await else {
            // A watch that has fallen silent may be the only one that has, and what it misses soon
            // counts as notified.
            if !state.wait.is_zero() && Instant::now() >= until {
                tracing::info!(version = self.version, "a watch of discovery has fallen silent");
                return Some(WatchState { wait: Duration::ZERO, wants_full: false, ..state });
            }
            return None;
        };
        // A service that counts anew cannot tell what was missed since another's version: ask for
        // all.
        if list.version < self.version && !list.is_full {
            return Some(WatchState { wait: Duration::ZERO, wants_full: true, ..state });
        }
        self.version = list.version;
        let scope = if list.is_full { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        if state.is_first || list.is_full || !list.endpoints.is_empty() {
            self.send_list(scope, list.endpoints);
        } else {
            sleep_until(begun + MIN_CALL_INTERVAL).await;
        }
        Some(WatchState { wait: WATCH_WAIT, is_first: false, wants_full: false })
    }

    /// Fetches the full list once.
    pub async fn fetch(mut self) {
        let until = Instant::now() + CALL_TIMEOUT;
        match self.call(&mut None, wire::full_list_request(), until).await {
            Some(list) => {
                self.version = list.version;
                self.send_list(EndpointUpdate::Snapshot, list.endpoints);
            }
            None => self.send_list(EndpointUpdate::Unavailable, Vec::new()),
        }
    }

    async fn call(
        &self,
        connection: &mut Option<Connection>,
        call: Option<Request<Body>>,
        until: Instant,
    ) -> Option<ListResponse> {
        let mut open = match connection.take() {
            Some(open) => open,
            None => Connection::open(self.addr, until, None).await.ok()?,
        };
        let response = open.exchange(call?, until, MAX_LIST_BYTES).await;
        let response = response.inspect_err(|error| error.report(&self.messages)).ok()?;
        *connection = Some(open);
        if response.status != StatusCode::OK {
            return None;
        }
        let list = self.decode(response.body).await?;
        if list.is_none() {
            report_invalid_input(&self.messages, "not a list");
        }
        list
    }

    /// Decodes a list; the outer `None` if the thread for a large one has failed.
    async fn decode(&self, body: Bytes) -> Option<Option<ListResponse>> {
        let names = self.names.borrow().clone();
        if body.len() <= MAX_INLINE_DECODE_BYTES {
            return Some(ListResponse::decode(&body, &names));
        }
        tokio::task::spawn_blocking(move || ListResponse::decode(&body, &names)).await.ok()
    }

    fn send_list(&self, scope: EndpointUpdate, hosts: Vec<WorkerEndpoint>) {
        let input = Input::EndpointList { scope, version: self.version, hosts };
        let _ = self.messages.send(Message::Input(input));
    }
}
