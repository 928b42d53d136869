//! The list of workers: a watch that goes on until it fails, and single calls.
use super::wire::{self, Body, List};
use super::workers::{Connection, connect};
use crate::Message;
use crate::message::bad_input;
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

/// How long one call of the watch waits for news. Shorter ones are too many for a discovery that works through its calls one by one: at 2 s
/// those of a hundred schedulers were more than it bore, and it never recovered.
const WAIT: Duration = Duration::from_secs(4);
/// How much later than that the answer may come. The latest that 300 schedulers were answered was 0.27 s. A change counts as told 6 s after
/// discovery had it: this, [`WAIT`] and 1 s for the answer to the call that opens a silent watch anew are 5.75 s.
/// `docs/design/crossings.md` adds up the other paths.
const LATE: Duration = Duration::from_millis(750);
/// How long a call that does not wait may take. Given up sooner, calls that discovery was about to answer come again, and it works
/// through those that nobody waits for as well.
const ANSWER: Duration = Duration::from_secs(2);
/// The least time between two calls without news: well under the 200 ms after which a call begins another watch, and under any
/// grace for drains. An agent that lists are pushed to may answer every call at once.
const PACE: Duration = Duration::from_millis(50);
/// The longest list that is read: a few hundred bytes for each of tens of thousands of workers.
const MAX_LIST: usize = 16 << 20;
/// A longer list is decoded on a thread of its own: jobs must not wait for it.
const LARGE: usize = 64 << 10;

/// DiscoveryClient as one scheduler sees it: where it is, and the version of its list that is held.
pub struct DiscoveryClient {
    pub addr: SocketAddr,
    pub version: u64,
    pub names: watch::Receiver<Arc<Names>>,
    pub to: UnboundedSender<Message>,
}

/// An answer of discovery.
struct Answer {
    seq: u64,
    whole: bool,
    hosts: Vec<WorkerEndpoint>,
}

impl Answer {
    fn read(body: &[u8], names: &Names) -> Option<Self> {
        let list = List::read(body)?;
        Some(Answer { seq: list.seq, whole: list.whole, hosts: list.hosts(names) })
    }
}

impl DiscoveryClient {
    /// Watches for changes until a call fails, which is told as such: the module decides when to ask again.
    pub async fn watch(mut self) {
        // The first call brings what was missed and does not wait; its answer also tells that the watch stands.
        let (mut wait, mut first, mut whole) = (Duration::ZERO, true, false);
        let mut connection = None;
        loop {
            let begun = Instant::now();
            let until = begun + if wait.is_zero() { ANSWER } else { wait + LATE };
            let call = match whole {
                true => wire::whole_list(),
                false => wire::watch(self.version, wait.as_millis() as u64),
            };
            let Some(list) = self.call(&mut connection, call, until).await else {
                // A watch that has fallen silent may be the only one that has, and what it misses soon counts as told.
                if !wait.is_zero() && Instant::now() >= until {
                    tracing::info!(version = self.version, "a watch of discovery has fallen silent");
                    (wait, whole) = (Duration::ZERO, false);
                    continue;
                }
                break;
            };
            // A service that counts anew can't tell what was missed since another's version: ask for all.
            if list.seq < self.version && !list.whole {
                (whole, wait) = (true, Duration::ZERO);
                continue;
            }
            self.version = list.seq;
            let scope = if list.whole { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            if first || scope == EndpointUpdate::Snapshot || !list.hosts.is_empty() {
                self.tell(scope, list.hosts);
            } else {
                sleep_until(begun + PACE).await;
            }
            (wait, first, whole) = (WAIT, false, false);
        }
        tracing::info!(version = self.version, "discovery call failed");
        self.tell(EndpointUpdate::Unavailable, Vec::new());
    }

    /// Asks for the whole list once.
    pub async fn fetch(mut self) {
        match self.call(&mut None, wire::whole_list(), Instant::now() + ANSWER).await {
            Some(list) => {
                self.version = list.seq;
                self.tell(EndpointUpdate::Snapshot, list.hosts);
            }
            None => self.tell(EndpointUpdate::Unavailable, Vec::new()),
        }
    }

    async fn call(
        &self,
        connection: &mut Option<Connection>,
        call: Option<Request<Body>>,
        until: Instant,
    ) -> Option<Answer> {
        let mut open = match connection.take() {
            Some(open) => open,
            None => connect(self.addr, until, None).await.ok()?,
        };
        let answer = open.exchange(call?, until, MAX_LIST).await;
        let (status, _, body) = answer.inspect_err(|fault| fault.count(&self.to)).ok()?;
        *connection = Some(open);
        if status != StatusCode::OK {
            return None;
        }
        let names = self.names.borrow().clone();
        let answer = match body.len() <= LARGE {
            true => Answer::read(&body, &names),
            false => tokio::task::spawn_blocking(move || Answer::read(&body, &names)).await.ok()?,
        };
        if answer.is_none() {
            bad_input(&self.to, "not a list");
        }
        answer
    }

    fn tell(&self, scope: EndpointUpdate, hosts: Vec<WorkerEndpoint>) {
        let _ = self.to.send(Message::Input(Input::EndpointList { scope, version: self.version, hosts }));
    }
}
