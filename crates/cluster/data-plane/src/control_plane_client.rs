//! The control plane as a data plane sees it: who is primary, the configuration, and requests on
//! their way.
use crate::outcome_counts::{OutcomeCounts, UnknownCause};
use crate::pending_requests::{PendingRequests, RegisteredRequest};
use async_std::channel::{Receiver, Sender, unbounded};
use async_std::task;
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::clock::Clock;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientRequest, ClientResponse, Directory, Frame};
use spanlead_cluster_runtime::peer_links::{LinkEvent, PeerLinks};
use spanlead_cluster_runtime::peer_server;
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::timeout::timeout;
use spanlead_dissemination::{Disseminator, Item, Message, Output};
use spanlead_replication::TrafficClass;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often connections to all known nodes of the control plane are checked.
const CONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// How long the primary may take for a response before the request is sent again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often the connection is pinged while a response is awaited.
const PING_INTERVAL: Duration = Duration::from_millis(150);
/// Wait before it is checked again whether there is a primary.
const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// How long the control plane may be without a primary before requests are refused at once,
/// milliseconds.
const NO_PRIMARY_TIMEOUT_MS: u64 = 2_500;
/// How long this process stays ready without a primary, milliseconds.
const READY_WITHOUT_PRIMARY_MS: u64 = 1_500;

/// Statuses from which a client concludes that its job never runs. After an unanswered attempt that
/// is not known.
const REJECTED_STATUSES: [u16; 3] = [404, 429, 503];

/// What a request came to.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The primary responded.
    Responded {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// It was not answered, and has no effect: it changes nothing, or no node took it.
    NoEffect,
    /// It may have been carried out, or not.
    Unknown,
}

/// What the attempts of a request came to so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempts {
    /// None was sent, or those sent were not taken.
    NoneTaken,
    /// At least one was sent and not answered: it may have been carried out.
    Unanswered,
}

impl Attempts {
    /// After another attempt with this response. Only an operation that changes something may have
    /// been carried out with an effect.
    fn after(self, operation: &ClientOperation, response: Option<&ClientResponse>) -> Self {
        let is_not_taken = response.is_some_and(ClientResponse::is_not_executed);
        if is_not_taken || matches!(operation, ClientOperation::Query) { self } else { Attempts::Unanswered }
    }
}

#[derive(Debug)]
struct State {
    directory: Directory,
    /// The peer addresses of nodes that are connected.
    connected: BTreeSet<String>,
    configuration: Option<Arc<DataPlaneConfiguration>>,
    disseminator: Disseminator,
    requests: PendingRequests,
    /// When the primary was last seen connected.
    primary_seen_at_ms: u64,
}

impl State {
    /// The primary's peer address, if it is connected.
    fn connected_primary(&self) -> Option<&str> {
        let primary = self.directory.primary.as_str();
        (!primary.is_empty() && self.connected.contains(primary)).then_some(primary)
    }

    fn handle_directory(&mut self, directory: Directory) {
        if directory.epoch > self.directory.epoch {
            log::debug!("directory changed epoch={} primary={}", directory.epoch, directory.primary);
            self.requests.cancel_elsewhere(&directory.primary);
            self.directory = directory;
        }
    }
}

/// The connections to the control plane. Clones share them.
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
    /// Starts to connect to the control plane and to other data planes.
    #[must_use]
    pub fn start(settings: &Settings, clock: Clock) -> Self {
        let (events, link_events) = unbounded();
        let client = ControlPlaneClient {
            state: Arc::new(Mutex::new(State {
                directory: Directory::default(),
                connected: BTreeSet::new(),
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
        task::spawn(peer_server::serve(settings.peer_address(), Arc::new(handler)));
        task::spawn(handle_link_events(client.clone(), link_events));
        client
    }

    /// The part of the configuration in force that has arrived here.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<DataPlaneConfiguration>> {
        self.lock().configuration.clone()
    }

    /// How many requests had an outcome that is not known.
    #[must_use]
    pub fn outcome_counts(&self) -> Arc<OutcomeCounts> {
        self.outcome_counts.clone()
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        let ready_until_ms = state.primary_seen_at_ms + READY_WITHOUT_PRIMARY_MS;
        state.configuration.is_some() && self.clock.monotonic_ms() < ready_until_ms
    }

    /// Sends a request to the primary, again if it is not answered, until `deadline_ms` on the
    /// monotonic clock.
    pub async fn request(
        &self,
        host: &str,
        path: &str,
        operation: &ClientOperation,
        deadline_ms: u64,
    ) -> RequestOutcome {
        let mut attempts = Attempts::NoneTaken;
        loop {
            let now_ms = self.clock.monotonic_ms();
            if now_ms >= deadline_ms {
                return self.outcome_without_response(attempts);
            }
            let Some(primary) = self.primary() else {
                if attempts == Attempts::NoneTaken && self.has_no_primary(now_ms) {
                    return RequestOutcome::NoEffect;
                }
                task::sleep(PRIMARY_POLL_INTERVAL).await;
                continue;
            };
            let remaining = Duration::from_millis(deadline_ms - now_ms);
            let request = self.send_request(&primary, host, path, operation.clone());
            let response = self.wait(&primary, &request, remaining.min(RESPONSE_TIMEOUT)).await;
            self.lock().requests.remove(request.id);
            match response {
                Some(response) if response.status != ClientResponse::NOT_PRIMARY => {
                    return self.outcome(response, operation, attempts);
                }
                response => {
                    attempts = attempts.after(operation, response.as_ref());
                    task::sleep(PRIMARY_POLL_INTERVAL).await;
                }
            }
        }
    }

    /// The outcome of a request that the primary answered.
    fn outcome(
        &self,
        response: ClientResponse,
        operation: &ClientOperation,
        attempts: Attempts,
    ) -> RequestOutcome {
        let is_rejected_job =
            matches!(operation, ClientOperation::Submit(_)) && REJECTED_STATUSES.contains(&response.status);
        if attempts == Attempts::Unanswered && is_rejected_job {
            // An earlier attempt may have been accepted by a primary that was then replaced.
            self.outcome_counts.record(UnknownCause::RefusedAfterUnanswered);
            return RequestOutcome::Unknown;
        }
        RequestOutcome::Responded { status: response.status, body: response.body }
    }

    fn outcome_without_response(&self, attempts: Attempts) -> RequestOutcome {
        match attempts {
            Attempts::NoneTaken => RequestOutcome::NoEffect,
            Attempts::Unanswered => {
                self.outcome_counts.record(UnknownCause::NoResponse);
                RequestOutcome::Unknown
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The primary's peer address, if it is connected.
    fn primary(&self) -> Option<String> {
        let mut state = self.lock();
        let primary = state.connected_primary()?.to_owned();
        state.primary_seen_at_ms = self.clock.monotonic_ms();
        Some(primary)
    }

    /// Whether there has been no primary for so long that a request need not wait for one.
    fn has_no_primary(&self, now_ms: u64) -> bool {
        now_ms >= self.lock().primary_seen_at_ms + NO_PRIMARY_TIMEOUT_MS
    }

    fn send_request(
        &self,
        primary: &str,
        host: &str,
        path: &str,
        operation: ClientOperation,
    ) -> RegisteredRequest {
        let registered = self.lock().requests.register(primary);
        let request = ClientRequest {
            request_id: registered.id,
            host: host.to_owned(),
            path: path.to_owned(),
            operation,
        };
        self.links.send(primary, TrafficClass::Control, &Frame::ClientRequest(request));
        registered
    }

    /// Waits for a response. A machine that has restarted knows nothing of the connection, which
    /// shows only when something is written: so pings are sent meanwhile.
    async fn wait(
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
                state.requests.cancel_at(&address);
            }
            LinkEvent::Received(_, frame) => self.handle_frame(frame),
        }
    }

    fn handle_connected(&self, address: String) {
        let version = {
            let mut state = self.lock();
            state.connected.insert(address.clone());
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

    /// Handles a message of another data plane. An item that can't be decoded is not taken: its
    /// version would keep a valid one out.
    fn handle_gossip(&self, from: &str, message: Message) {
        if let Message::Deliver { item } = &message
            && !is_valid(item)
        {
            return log::warn!("configuration can't be decoded version={} from={from}", item.version);
        }
        self.with_disseminator(|disseminator, now_ms| disseminator.handle(from, message, now_ms));
    }

    /// Changes the state of the dissemination, and carries out what follows.
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

    fn use_configuration(&self, item: &Item) {
        match DataPlaneConfiguration::decode(&item.content) {
            Ok(configuration) => {
                log::debug!("configuration in force version={}", item.version);
                self.lock().configuration = Some(Arc::new(configuration));
            }
            Err(error) => {
                log::warn!("configuration can't be decoded version={} error={error}", item.version);
            }
        }
    }

    /// The peer addresses to connect to: all members, and the seeds while no member is known or
    /// connected.
    fn known_addresses(&self) -> BTreeSet<String> {
        let state = self.lock();
        let members = &state.directory.members;
        let needs_seeds = members.is_empty() || state.connected.is_empty();
        let seeds = self.seeds.iter().filter(|_| needs_seeds);
        members.iter().chain(seeds).cloned().collect()
    }
}

/// Whether an item is a configuration of the version that it claims.
fn is_valid(item: &Item) -> bool {
    DataPlaneConfiguration::decode(&item.content)
        .is_ok_and(|configuration| configuration.version == item.version)
}

/// Keeps a connection to every known node.
async fn keep_connected(client: ControlPlaneClient) {
    loop {
        for address in client.known_addresses() {
            if !client.lock().connected.contains(&address) {
                client.links.send(&address, TrafficClass::Control, &Frame::Ping);
            }
        }
        client.primary();
        client.with_disseminator(Disseminator::tick);
        task::sleep(CONNECT_INTERVAL).await;
    }
}

async fn handle_link_events(client: ControlPlaneClient, events: Receiver<LinkEvent>) {
    while let Ok(event) = events.recv().await {
        client.handle_link_event(event);
    }
}
