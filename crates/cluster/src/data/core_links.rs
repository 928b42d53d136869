//! The connections to the control plane: who is primary, the configuration, and requests on their way.
use crate::frame::{Ask, ClientCall, ClientReply, ConfigurationText, Directory, Frame};
use crate::link::{LinkEvent, Links};
use crate::settings::Settings;
use crate::time::Clock;
use async_std::channel::{Receiver, Sender, bounded, unbounded};
use async_std::future::timeout;
use async_std::task;
use spanlead_configuration::Configuration;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How often all known nodes of the control plane are greeted.
const GREET: Duration = Duration::from_millis(500);
/// How long the primary may take for an answer before it is asked again.
const ANSWER: Duration = Duration::from_millis(1_200);
/// Between two looks whether there is a primary.
const LOOK: Duration = Duration::from_millis(25);
/// How long a control plane may be without a primary before requests are refused at once, milliseconds.
const PATIENCE_MS: u64 = 2_500;
/// How long this process calls itself ready without one, milliseconds.
const READY_MS: u64 = 1_500;

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

#[derive(Debug, Default)]
struct Inner {
    directory: Directory,
    connected: BTreeSet<String>,
    configuration: Option<Arc<Configuration>>,
    version: u64,
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
    seeds: Arc<Vec<String>>,
}

impl CoreLinks {
    /// Starts to look for the control plane.
    #[must_use]
    pub fn start(settings: &Settings, clock: Clock) -> Self {
        let (events, inbox) = unbounded();
        let core = CoreLinks {
            inner: Arc::default(),
            links: Links::new(events),
            clock,
            node: settings.node.as_str().into(),
            seeds: Arc::new(settings.seed_peers()),
        };
        task::spawn(greet(core.clone()));
        task::spawn(listen(core.clone(), inbox));
        core
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// The configuration in force, as far as it has come here.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.lock().configuration.clone()
    }

    /// Whether requests can be served.
    #[must_use]
    pub fn ready(&self) -> bool {
        let inner = self.lock();
        inner.version > 0 && self.clock.steady() < inner.served_at + READY_MS
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
            let reply = timeout(left, answer.recv()).await;
            self.lock().calls.remove(&serial);
            match reply {
                Ok(Ok(reply)) if reply.status != 0 => return Outcome::Answered(reply.status, reply.body),
                _ => task::sleep(LOOK).await,
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
        self.links.send(primary, &Frame::Call(call));
        (serial, answer)
    }

    fn take(&self, event: LinkEvent) {
        match event {
            LinkEvent::Up(address) => {
                let version = self.lock().version;
                self.lock().connected.insert(address.clone());
                self.links.send(&address, &Frame::Hello { node: self.node.to_string(), version });
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
            LinkEvent::Frame(_, Frame::Configuration(text)) => self.configure(&text),
            LinkEvent::Frame(_, Frame::Reply(reply)) => {
                if let Some((_, answers)) = self.lock().calls.remove(&reply.serial) {
                    let _ = answers.try_send(reply);
                }
            }
            LinkEvent::Frame(..) => {}
        }
    }

    fn configure(&self, text: &ConfigurationText) {
        let Ok(configuration) = Configuration::read(&text.text) else { return };
        let mut inner = self.lock();
        if text.version > inner.version {
            log::debug!("configuration {} is in force", text.version);
            inner.version = text.version;
            inner.configuration = Some(Arc::new(configuration));
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

/// Keeps a connection to every known node.
async fn greet(core: CoreLinks) {
    loop {
        for address in core.known() {
            if !core.lock().connected.contains(&address) {
                core.links.send(&address, &Frame::Ping);
            }
        }
        core.primary();
        task::sleep(GREET).await;
    }
}

async fn listen(core: CoreLinks, events: Receiver<LinkEvent>) {
    while let Ok(event) = events.recv().await {
        core.take(event);
    }
}
