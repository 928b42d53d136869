//! The connections to the control plane: who is primary, the configuration, and requests on their way.
use async_std::channel::{Receiver, Sender, bounded, unbounded};
use async_std::future::timeout;
use async_std::task;
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::accept;
use spanlead_cluster_runtime::frame::{Ask, ClientCall, ClientReply, Directory, Frame};
use spanlead_cluster_runtime::link::{LinkEvent, Links};
use spanlead_cluster_runtime::settings::Settings;
use spanlead_cluster_runtime::time::Clock;
use spanlead_dissemination::{Disseminator, Item, Message, Output};
use spanlead_replication::TrafficClass;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often all known nodes of the control plane are greeted.
const GREET: Duration = Duration::from_millis(500);
/// How long the primary may take for an answer before it is asked again.
const ANSWER: Duration = Duration::from_millis(1_200);
/// How long an answer may take before the connection is probed, again and again.
const PROBE: Duration = Duration::from_millis(150);
/// Between two looks whether there is a primary.
const LOOK: Duration = Duration::from_millis(25);
/// How long a control plane may be without a primary before requests are refused at once, milliseconds.
const PATIENCE_MS: u64 = 2_500;
/// How long this process calls itself ready without one, milliseconds.
const READY_MS: u64 = 1_500;

/// Statuses by which a client knows that its job never runs. After a try of which nothing was heard that can't be told.
const REFUSALS: [u16; 3] = [404, 429, 503];

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The primary's answer.
    Answered(u16, String),
    /// It reached nobody, and nothing came of it.
    Refused,
    /// It may have been taken, or not.
    Unknown,
}

#[derive(Debug)]
struct Inner {
    directory: Directory,
    connected: BTreeSet<String>,
    configuration: Option<Arc<DataPlaneConfiguration>>,
    spread: Disseminator,
    /// Requests whose answers are out, with the node that has them.
    calls: HashMap<u64, (String, Sender<ClientReply>)>,
    serial: u64,
    /// When the primary was last connected.
    served_at: u64,
}

/// The control plane as this process sees it.
#[derive(Clone, Debug)]
pub struct CoreLinks {
    inner: Arc<Mutex<Inner>>,
    links: Links,
    clock: Clock,
    node: Arc<str>,
    peer: Arc<str>,
    seeds: Arc<Vec<String>>,
}

impl CoreLinks {
    /// Starts to look for the control plane.
    #[must_use]
    pub fn start(settings: &Settings, clock: Clock) -> Self {
        let (events, inbox) = unbounded();
        let core = CoreLinks {
            inner: Arc::new(Mutex::new(Inner {
                directory: Directory::default(),
                connected: BTreeSet::new(),
                configuration: None,
                spread: Disseminator::new(&settings.peer()),
                calls: HashMap::new(),
                serial: 0,
                served_at: 0,
            })),
            peer: settings.peer().into(),
            links: Links::new(events),
            clock,
            node: settings.node.as_str().into(),
            seeds: Arc::new(settings.seed_peers()),
        };
        task::spawn(greet(core.clone()));
        let gossip = core.clone();
        let take = move |frame, _: &Sender<Frame>| {
            if let Frame::Gossip { from, message } = frame {
                gossip.hear(&from, message);
            }
        };
        task::spawn(accept::serve(settings.peer(), Arc::new(take)));
        task::spawn(listen(core.clone(), inbox));
        core
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// What this process needs of the configuration in force, as far as it has come here.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<DataPlaneConfiguration>> {
        self.lock().configuration.clone()
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn ready(&self) -> bool {
        let inner = self.lock();
        inner.configuration.is_some() && self.clock.steady() < inner.served_at + READY_MS
    }

    fn primary(&self) -> Option<String> {
        let mut inner = self.lock();
        let primary = inner.directory.primary.clone();
        if primary.is_empty() || !inner.connected.contains(&primary) {
            return None;
        }
        inner.served_at = self.clock.steady();
        Some(primary)
    }

    /// Brings a request to the primary, again if need be, until `due` on the steady clock.
    pub async fn ask(&self, host: &str, path: &str, ask: &Ask, due: u64) -> Outcome {
        let mut sent = false;
        // Whether an earlier try may have been taken.
        let mut unknown = false;
        loop {
            let now = self.clock.steady();
            if now >= due {
                return if sent { Outcome::Unknown } else { Outcome::Refused };
            }
            let Some(primary) = self.primary() else {
                if !sent && now >= self.lock().served_at + PATIENCE_MS {
                    return Outcome::Refused;
                }
                task::sleep(LOOK).await;
                continue;
            };
            let left = Duration::from_millis(due - now).min(ANSWER);
            let (serial, answer) = self.post(&primary, host, path, ask.clone());
            sent = true;
            let reply = self.wait(&primary, &answer, left).await;
            self.lock().calls.remove(&serial);
            match reply {
                Some(reply) if reply.status != 0 => {
                    let refused = matches!(ask, Ask::Submit(_)) && REFUSALS.contains(&reply.status);
                    if unknown && refused {
                        return Outcome::Unknown;
                    }
                    return Outcome::Answered(reply.status, reply.body);
                }
                _ => {
                    unknown = true;
                    task::sleep(LOOK).await;
                }
            }
        }
    }

    /// Waits for an answer. A machine that has restarted knows nothing of the connection, which shows only when something
    /// is written: so while no answer comes, something is.
    async fn wait(
        &self,
        primary: &str,
        answer: &Receiver<ClientReply>,
        longest: Duration,
    ) -> Option<ClientReply> {
        let until = Instant::now() + longest;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left.min(PROBE), answer.recv()).await {
                Ok(answered) => return answered.ok(),
                Err(_) if left <= PROBE => return None,
                Err(_) => self.links.send(primary, TrafficClass::Control, &Frame::Ping),
            }
        }
    }

    fn post(&self, primary: &str, host: &str, path: &str, ask: Ask) -> (u64, Receiver<ClientReply>) {
        let (answers, answer) = bounded(1);
        let serial = {
            let mut inner = self.lock();
            inner.serial += 1;
            let serial = inner.serial;
            inner.calls.insert(serial, (primary.to_owned(), answers));
            serial
        };
        let call = ClientCall { serial, host: host.to_owned(), path: path.to_owned(), ask };
        self.links.send(primary, TrafficClass::Control, &Frame::Call(call));
        (serial, answer)
    }

    fn take(&self, event: LinkEvent) {
        match event {
            LinkEvent::Up(address) => {
                let mut inner = self.lock();
                let version = inner.spread.item().map_or(0, |item| item.version);
                inner.connected.insert(address.clone());
                drop(inner);
                let (node, peer) = (self.node.to_string(), self.peer.to_string());
                self.links.send(&address, TrafficClass::Control, &Frame::Hello { node, peer, version });
            }
            LinkEvent::Down(address) => {
                let mut inner = self.lock();
                inner.connected.remove(&address);
                // Their answers will not come on this connection any more.
                inner.calls.retain(|_, (node, _)| *node != address);
            }
            LinkEvent::Frame(_, Frame::Directory(directory)) => {
                let mut inner = self.lock();
                if directory.epoch > inner.directory.epoch {
                    log::debug!("view {}: primary {}", directory.epoch, directory.primary);
                    // Another machine serves: what was asked elsewhere is asked there.
                    inner.calls.retain(|_, (node, _)| *node == directory.primary);
                    inner.directory = directory;
                }
            }
            LinkEvent::Frame(_, Frame::Configuration(configuration)) => {
                let item = Item { version: configuration.version, content: configuration.encode() };
                self.spread(|spread, now| spread.offer(item, now));
            }
            LinkEvent::Frame(_, Frame::Peers(peers)) => self.spread(|spread, now| spread.meet(&peers, now)),
            LinkEvent::Frame(_, Frame::Reply(reply)) => {
                if let Some((_, answers)) = self.lock().calls.remove(&reply.serial) {
                    let _ = answers.try_send(reply);
                }
            }
            LinkEvent::Frame(..) => {}
        }
    }

    /// Lets something happen to the spreading among data planes, and does what follows.
    fn spread(&self, act: impl FnOnce(&mut Disseminator, u64)) {
        let now = self.clock.steady();
        let outputs = {
            let mut inner = self.lock();
            act(&mut inner.spread, now);
            inner.spread.drain()
        };
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    self.links.send(
                        &to,
                        TrafficClass::Control,
                        &Frame::Gossip { from: self.peer.to_string(), message },
                    );
                }
                Output::Updated(item) => self.configure(&item),
                Output::Peer { name, alive: true } => log::info!("data plane {name} is heard again"),
                Output::Peer { name, alive: false } => log::info!("data plane {name} is silent"),
            }
        }
    }

    /// Takes what another data plane says. An item that can't be read is not taken: its version would keep the readable
    /// one out.
    fn hear(&self, from: &str, message: Message) {
        if let Message::Bring { item } = &message
            && !is_readable(item)
        {
            return log::warn!("configuration {} from {from} can't be read", item.version);
        }
        self.spread(|spread, now| spread.handle(from, message, now));
    }

    fn configure(&self, item: &Item) {
        match DataPlaneConfiguration::decode(&item.content) {
            Ok(configuration) => {
                log::debug!("configuration {} is in force", item.version);
                self.lock().configuration = Some(Arc::new(configuration));
            }
            Err(error) => log::warn!("configuration {}: {error}", item.version),
        }
    }

    fn known(&self) -> BTreeSet<String> {
        let inner = self.lock();
        let members = inner.directory.members.iter();
        let seeds =
            self.seeds.iter().filter(|_| inner.directory.members.is_empty() || inner.connected.is_empty());
        members.chain(seeds).cloned().collect()
    }
}

/// Whether an item holds what its version says.
fn is_readable(item: &Item) -> bool {
    DataPlaneConfiguration::decode(&item.content).is_ok_and(|read| read.version == item.version)
}

/// Keeps a connection to every known node.
async fn greet(core: CoreLinks) {
    loop {
        for address in core.known() {
            if !core.lock().connected.contains(&address) {
                core.links.send(&address, TrafficClass::Control, &Frame::Ping);
            }
        }
        core.primary();
        core.spread(Disseminator::tick);
        task::sleep(GREET).await;
    }
}

async fn listen(core: CoreLinks, events: Receiver<LinkEvent>) {
    while let Ok(event) = events.recv().await {
        core.take(event);
    }
}
