//! The data plane's client of the control plane: tracks the primary, receives the configuration and
//! forwards requests.
use crate::outcome_counts::{OutcomeCounts, UnknownCause};
use crate::pending_requests::{PendingRequests, RegisteredRequest};
use async_std::channel::{Receiver, Sender, unbounded};
use async_std::task;
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientRequest, ClientResponse, Directory, Frame};
use spanlead_cluster_runtime::freshness::FreshnessToken;
use spanlead_cluster_runtime::peer_links::{LinkEvent, PeerLinks};
use spanlead_cluster_runtime::peer_server;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::timeout::timeout;
use spanlead_dissemination::{Disseminator, Item, Message, Output};
use spanlead_replication::TrafficClass;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval between checks that every known control plane node is connected.
const CONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// Time that the primary has to respond to an attempt before the request is sent again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval between pings on the connection while a response is pending.
const PING_INTERVAL: Duration = Duration::from_millis(150);
/// Delay before the next check for a connected primary, and before the next attempt.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time without a connected primary after which requests fail at once instead of waiting for one,
/// milliseconds.
const NO_PRIMARY_TIMEOUT_MS: u64 = 2_500;
/// Time without a connected primary after which this process reports that it is not ready,
/// milliseconds.
const READY_WITHOUT_PRIMARY_MS: u64 = 1_500;

/// HTTP statuses that tell a client that its job was not accepted and will never run. After an
/// unanswered attempt they don't prove it: that attempt may have been accepted.
const REJECTED_STATUSES: [u16; 3] = [404, 429, 503];

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The primary responded.
    Responded {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// There was no response and the request had no effect: it is a query, or no node executed it.
    NoEffect,
    /// It is unknown whether the request was executed.
    Unknown,
}

/// Whether the attempts of a request may have had an effect so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptEffect {
    /// No attempt had an effect: none was sent, none was executed, or the request is a query.
    None,
    /// At least one attempt may have been executed: it was sent and not answered, or the node
    /// stopped being primary before the commit.
    Possible,
}

impl AttemptEffect {
    /// Returns the effect after one more attempt, which got this response.
    fn after_attempt(self, operation: &ClientOperation, response: Option<&ClientResponse>) -> Self {
        let is_not_taken = response.is_some_and(ClientResponse::is_not_executed);
        if is_not_taken || matches!(operation, ClientOperation::Query) {
            self
        } else {
            AttemptEffect::Possible
        }
    }
}

/// The connection to a node of the control plane.
#[derive(Clone, Copy, Debug, Default)]
struct Connection {
    /// The newest token that the node has issued on this connection; `None` for a node of the
    /// previous version, which issues none. Others issue one before their first directory.
    token: Option<FreshnessToken>,
    /// Whether the node's first directory has arrived.
    is_subscribed: bool,
}

/// The primary, as it was found at some moment.
#[derive(Clone, Debug)]
struct ConnectedPrimary {
    address: String,
    token: Option<FreshnessToken>,
}

/// The state that all clones of a client share.
#[derive(Debug)]
struct State {
    directory: Directory,
    /// The connected control plane nodes, by peer address: those that have responded to this
    /// process's [`Frame::Hello`].
    connected: BTreeMap<String, Connection>,
    configuration: Option<Arc<DataPlaneConfiguration>>,
    disseminator: Disseminator,
    requests: PendingRequests,
    /// When the primary was last found connected, on the monotonic clock.
    primary_seen_at_ms: u64,
}

impl State {
    /// Returns the primary if it is connected.
    fn connected_primary(&self) -> Option<ConnectedPrimary> {
        let address = &self.directory.primary;
        let connection = self.connected.get(address).filter(|connection| connection.is_subscribed)?;
        Some(ConnectedPrimary { address: address.clone(), token: connection.token })
    }

    /// Records what a frame shows about the connection on which it arrived.
    fn update_connection(&mut self, address: &str, frame: &Frame) {
        let Some(connection) = self.connected.get_mut(address) else { return };
        match frame {
            Frame::Directory(_) => connection.is_subscribed = true,
            Frame::ClientResponse(response) => connection.token = response.token().or(connection.token),
            _ => {}
        }
    }

    /// Replaces the directory by one of a higher epoch; others are ignored. Cancels the requests
    /// that were sent to another node than the new primary.
    fn handle_directory(&mut self, directory: Directory) {
        if directory.epoch > self.directory.epoch {
            log::debug!("directory changed epoch={} primary={}", directory.epoch, directory.primary);
            self.requests.cancel_not_sent_to(&directory.primary);
            self.directory = directory;
        }
    }
}

/// A client of the control plane, which also disseminates the configuration among data planes.
/// Clones share its connections and state.
#[derive(Clone, Debug)]
pub struct ControlPlaneClient {
    state: Arc<Mutex<State>>,
    links: PeerLinks,
    clock: Clock,
    node: Arc<str>,
    peer_address: Arc<str>,
    seeds: Arc<Vec<String>>,
    outcome_counts: Arc<OutcomeCounts>,
}

impl ControlPlaneClient {
    /// Starts a client: spawns the tasks that connect to the control plane and to other data
    /// planes, and that serve the latter at this process's peer address.
    #[must_use]
    pub fn start(settings: &Settings, clock: Clock) -> Self {
        let (events, link_events) = unbounded();
        let client = ControlPlaneClient {
            state: Arc::new(Mutex::new(State {
                directory: Directory::default(),
                connected: BTreeMap::new(),
                configuration: None,
                disseminator: Disseminator::new(&settings.peer_address()),
                requests: PendingRequests::default(),
                primary_seen_at_ms: 0,
            })),
            links: PeerLinks::new(events),
            clock,
            node: settings.node.as_str().into(),
            peer_address: settings.peer_address().into(),
            seeds: Arc::new(settings.seed_peer_addresses()),
            outcome_counts: Arc::default(),
        };
        task::spawn(keep_connected(client.clone()));
        let receiver = client.clone();
        let handler = move |frame, _: &Sender<Frame>| {
            if let Frame::Gossip { from, message } = frame {
                receiver.handle_gossip(&from, message);
            }
        };
        task::spawn(peer_server::serve(settings.peer_listen_address(), Arc::new(handler)));
        task::spawn(handle_link_events(client.clone(), link_events));
        client
    }

    /// The data planes' part of the newest configuration that this process has received; `None`
    /// until one has arrived.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<DataPlaneConfiguration>> {
        self.lock().configuration.clone()
    }

    /// The counts of requests whose outcome is unknown.
    #[must_use]
    pub fn outcome_counts(&self) -> Arc<OutcomeCounts> {
        self.outcome_counts.clone()
    }

    /// Whether requests can be served: there is a configuration, and the primary is connected or
    /// was no longer ago than `READY_WITHOUT_PRIMARY_MS`.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        let ready_until_ms = state.primary_seen_at_ms + READY_WITHOUT_PRIMARY_MS;
        state.configuration.is_some() && self.clock.monotonic_ms() < ready_until_ms
    }

    /// Sends a request to the primary, and sends it again while there is no response, until
    /// `deadline_ms` on the monotonic clock.
    pub async fn request(
        &self,
        host: &str,
        path: &str,
        operation: &ClientOperation,
        deadline_ms: u64,
    ) -> RequestOutcome {
        let mut effect = AttemptEffect::None;
        loop {
            // The token must be older than the look at the clock: if this process stops after it,
            // the token has expired by the time at which the request arrives.
            let primary = self.observe_primary();
            let now_ms = self.clock.monotonic_ms();
            if now_ms >= deadline_ms {
                return self.outcome_without_response(effect);
            }
            let Some(primary) = primary else {
                if effect == AttemptEffect::None && self.has_primary_timed_out(now_ms) {
                    return RequestOutcome::NoEffect;
                }
                task::sleep(PRIMARY_POLL_INTERVAL).await;
                continue;
            };
            let remaining = Duration::from_millis(deadline_ms - now_ms);
            let request = self.send_request(&primary, host, path, operation.clone());
            let timeout = remaining.min(RESPONSE_TIMEOUT);
            let response = self.wait_for_response(&primary.address, &request, timeout).await;
            self.lock().requests.remove(request.id);
            match response {
                Some(response) if response.status != ClientResponse::NOT_PRIMARY => {
                    return self.outcome(response, operation, effect);
                }
                response => {
                    effect = effect.after_attempt(operation, response.as_ref());
                    task::sleep(PRIMARY_POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Returns the outcome of a request to which the primary responded, after attempts with this
    /// effect, and counts it if it is unknown.
    fn outcome(
        &self,
        response: ClientResponse,
        operation: &ClientOperation,
        effect: AttemptEffect,
    ) -> RequestOutcome {
        let is_rejected_job =
            matches!(operation, ClientOperation::Submit(_)) && REJECTED_STATUSES.contains(&response.status);
        if effect == AttemptEffect::Possible && is_rejected_job {
            // A primary that was then replaced may have accepted an earlier attempt.
            self.outcome_counts.record(UnknownCause::RefusedAfterUnanswered);
            return RequestOutcome::Unknown;
        }
        RequestOutcome::Responded { status: response.status, body: response.body }
    }

    /// Returns the outcome of a request without a response by its deadline, and counts it if it is
    /// unknown.
    fn outcome_without_response(&self, effect: AttemptEffect) -> RequestOutcome {
        match effect {
            AttemptEffect::None => RequestOutcome::NoEffect,
            AttemptEffect::Possible => {
                self.outcome_counts.record(UnknownCause::NoResponse);
                RequestOutcome::Unknown
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the primary if it is connected, and records the time at which it was.
    fn observe_primary(&self) -> Option<ConnectedPrimary> {
        let mut state = self.lock();
        let primary = state.connected_primary()?;
        state.primary_seen_at_ms = self.clock.monotonic_ms();
        Some(primary)
    }

    /// Whether the last contact with a primary is too long ago for a request to wait for one.
    fn has_primary_timed_out(&self, now_ms: u64) -> bool {
        now_ms >= self.lock().primary_seen_at_ms + NO_PRIMARY_TIMEOUT_MS
    }

    /// Sends an attempt to the primary under a new request ID.
    fn send_request(
        &self,
        primary: &ConnectedPrimary,
        host: &str,
        path: &str,
        operation: ClientOperation,
    ) -> RegisteredRequest {
        let registered = self.lock().requests.register(&primary.address);
        let request = ClientRequest {
            request_id: registered.id,
            host: host.to_owned(),
            path: path.to_owned(),
            operation,
        };
        let frame = match primary.token {
            Some(token) => Frame::FreshClientRequest { token, request },
            None => Frame::ClientRequest(request),
        };
        self.links.send(&primary.address, TrafficClass::Control, &frame);
        registered
    }

    /// Waits for a response; `None` if there is none in time or the request was cancelled.
    ///
    /// Pings are sent while it waits: a machine that restarted has lost the connection's state, and
    /// resets the connection only when it receives something on it.
    async fn wait_for_response(
        &self,
        primary: &str,
        request: &RegisteredRequest,
        response_timeout: Duration,
    ) -> Option<ClientResponse> {
        let until = Instant::now() + response_timeout;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            match timeout(remaining.min(PING_INTERVAL), request.response.recv()).await {
                Ok(response) => return response.ok(),
                Err(_) if remaining <= PING_INTERVAL => return None,
                Err(_) => self.links.send(primary, TrafficClass::Control, &Frame::Ping),
            }
        }
    }

    fn handle_link_event(&self, event: LinkEvent) {
        match event {
            LinkEvent::Connected(address) => self.handle_connected(address),
            LinkEvent::Disconnected(address) => {
                let mut state = self.lock();
                state.connected.remove(&address);
                state.requests.cancel_sent_to(&address);
            }
            LinkEvent::Received(address, frame) => {
                self.lock().update_connection(&address, &frame);
                self.handle_frame(frame);
            }
        }
    }

    /// Subscribes to the directory and the configuration at a node that has been connected.
    fn handle_connected(&self, address: String) {
        let version = {
            let mut state = self.lock();
            state.connected.insert(address.clone(), Connection::default());
            state.disseminator.version()
        };
        let hello =
            Frame::Hello { node: self.node.to_string(), peer: self.peer_address.to_string(), version };
        self.links.send(&address, TrafficClass::Control, &hello);
    }

    fn handle_frame(&self, frame: Frame) {
        match frame {
            Frame::Directory(directory) => self.lock().handle_directory(directory),
            Frame::Configuration(configuration) => {
                let item = Item { version: configuration.version, content: configuration.encode() };
                self.with_disseminator(|disseminator, now_ms| disseminator.update(item, now_ms));
            }
            Frame::GossipPeers(peers) => {
                self.with_disseminator(|disseminator, now_ms| disseminator.set_processes(&peers, now_ms));
            }
            Frame::ClientResponse(response) => self.lock().requests.complete(response),
            _ => {}
        }
    }

    /// Handles a message from another data plane. An invalid item is dropped: the disseminator
    /// would keep it and ignore a valid item whose version is not higher.
    fn handle_gossip(&self, from: &str, message: Message) {
        if let Message::Deliver { item } = &message
            && !is_valid(item)
        {
            return log::warn!(
                "configuration from gossip dropped: undecodable or of another version version={} from={from}",
                item.version
            );
        }
        self.with_disseminator(|disseminator, now_ms| disseminator.handle(from, message, now_ms));
    }

    /// Applies `change` to the disseminator at the present time and executes the resulting outputs.
    fn with_disseminator(&self, change: impl FnOnce(&mut Disseminator, u64)) {
        let now_ms = self.clock.monotonic_ms();
        let outputs = {
            let mut state = self.lock();
            change(&mut state.disseminator, now_ms);
            state.disseminator.take_outputs()
        };
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let gossip = Frame::Gossip { from: self.peer_address.to_string(), message };
                    self.links.send(&to, TrafficClass::Control, &gossip);
                }
                Output::Updated(item) => self.use_configuration(&item),
                Output::PeerStatus { name, alive } => {
                    log::info!("data plane status changed peer={name} alive={alive}");
                }
            }
        }
    }

    /// Puts the configuration of an item in force. One that can't be decoded is logged and ignored.
    fn use_configuration(&self, item: &Item) {
        match DataPlaneConfiguration::decode(&item.content) {
            Ok(configuration) => {
                log::debug!("configuration in force version={}", item.version);
                self.lock().configuration = Some(Arc::new(configuration));
            }
            Err(error) => {
                log::warn!("configuration can't be decoded, ignored version={} error={error}", item.version);
            }
        }
    }

    /// Returns the peer addresses to connect to: those of all members, and the seeds while no
    /// member is known or no node is connected.
    fn addresses_to_connect(&self) -> BTreeSet<String> {
        let state = self.lock();
        let members = &state.directory.members;
        let needs_seeds = members.is_empty() || state.connected.is_empty();
        let seeds = self.seeds.iter().filter(|_| needs_seeds);
        members.iter().chain(seeds).cloned().collect()
    }
}

/// Whether an item can be decoded to a configuration whose version is the item's.
fn is_valid(item: &Item) -> bool {
    DataPlaneConfiguration::decode(&item.content)
        .is_ok_and(|configuration| configuration.version == item.version)
}

/// Connects to every known control plane node that is not connected, records when the primary was
/// last connected, and drives the disseminator. Never returns.
async fn keep_connected(client: ControlPlaneClient) {
    loop {
        for address in client.addresses_to_connect() {
            if !client.lock().connected.contains_key(&address) {
                client.links.send(&address, TrafficClass::Control, &Frame::Ping);
            }
        }
        client.observe_primary();
        client.with_disseminator(Disseminator::tick);
        task::sleep(CONNECT_INTERVAL).await;
    }
}

/// Handles the events of the links until their channel is closed.
async fn handle_link_events(client: ControlPlaneClient, events: Receiver<LinkEvent>) {
    while let Ok(event) = events.recv().await {
        client.handle_link_event(event);
    }
}
