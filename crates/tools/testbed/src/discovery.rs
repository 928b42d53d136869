//! Discovery: the list of workers, whole or by changes.
use crate::http::{Body, response, serve};
use crate::record::{Record, What};
use hyper::{Request, Response, StatusCode};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// A worker as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    pub host: String,
    /// Where each scheduler reaches it, by their numbers.
    pub dials: Vec<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub health: &'static str,
    pub born_ms: u64,
    /// The list says no more of it than that it runs.
    pub bare: bool,
}

impl Listed {
    fn json(&self, scheduler: usize) -> serde_json::Value {
        let dial = self.dials.get(scheduler).map_or_else(String::new, SocketAddr::to_string);
        if self.bare {
            return serde_json::json!({
                "host": self.host, "dial": dial, "health": self.health, "born_ms": self.born_ms,
            });
        }
        serde_json::json!({
            "host": self.host, "dial": dial, "site": self.zone, "class": self.kind,
            "block": self.cell, "health": self.health, "share": 1.0, "born_ms": self.born_ms,
        })
    }
}

#[derive(Default)]
struct State {
    seq: u64,
    hosts: BTreeMap<String, (u64, Listed)>,
}

struct Shared {
    state: Mutex<State>,
    changed: Notify,
    record: Record,
    /// How late a change is told.
    late: Duration,
    /// The schedulers that are cut off from it.
    cut: watch::Sender<Vec<bool>>,
}

/// The service; it ends with this.
pub struct Discovery {
    /// Where each scheduler reaches it, by their numbers.
    pub addrs: Vec<SocketAddr>,
    shared: Arc<Shared>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Discovery {
    /// Starts it with an empty list, of which changes are told so late.
    ///
    /// # Errors
    /// If no socket can be opened on loopback.
    pub async fn start(record: Record, late: Duration, schedulers: usize) -> io::Result<Self> {
        let cut = watch::Sender::new(vec![false; schedulers]);
        let shared = Arc::new(Shared { state: Mutex::default(), changed: Notify::new(), record, late, cut });
        let (mut addrs, mut tasks) = (Vec::new(), Vec::new());
        for scheduler in 0..schedulers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            let service = shared.clone();
            tasks.push(serve(listener, move |request| {
                let shared = service.clone();
                async move { shared.answer(scheduler, &request).await }
            }));
        }
        Ok(Discovery { addrs, shared, tasks })
    }

    /// Lists a worker, or changes what is listed of it: at once, or as late as changes are told
    /// here.
    pub fn list(&self, listed: Listed) {
        let (shared, late) = (self.shared.clone(), self.shared.late);
        // A worker that nobody knows yet is no change: the list is what it is at the start.
        if late.is_zero() || !self.shared.holds(&listed.host) {
            return shared.list(listed);
        }
        tokio::spawn(async move {
            sleep_until(Instant::now() + late).await;
            shared.list(listed);
        });
    }

    /// Cuts one scheduler off: its calls are not answered, and connections stay silent. Or ends
    /// that.
    pub fn cut(&self, scheduler: usize, cut: bool) {
        self.shared.cut.send_modify(|all| all[scheduler] = cut);
    }

    /// The whole list in discovery's form as a scheduler is given it at its start.
    pub fn known(&self, scheduler: usize) -> serde_json::Value {
        self.shared.text(scheduler, None)
    }
}

impl Shared {
    fn holds(&self, host: &str) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).hosts.contains_key(host)
    }

    fn list(&self, listed: Listed) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.seq += 1;
        let seq = state.seq;
        state.hosts.insert(listed.host.clone(), (seq, listed));
        drop(state);
        self.changed.notify_waiters();
    }

    /// What is newer than `after`, or all, as this scheduler is told it.
    fn text(&self, scheduler: usize, after: Option<u64>) -> serde_json::Value {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let new = |seq: &u64| after.is_none_or(|after| *seq > after);
        let hosts: Vec<&Listed> = state.hosts.values().filter(|(seq, _)| new(seq)).map(|(_, l)| l).collect();
        for host in &hosts {
            let (worker, scheduler) = (host.host.clone(), scheduler as u32);
            let drained = host.health != "active";
            self.record.add(if drained {
                What::Told { scheduler, worker }
            } else {
                What::Lives { scheduler, worker }
            });
        }
        let list: Vec<_> = hosts.iter().map(|l| l.json(scheduler)).collect();
        serde_json::json!({"seq": state.seq, "whole": after.is_none(), "hosts": list})
    }

    /// Waits while it is cut off from this scheduler.
    async fn reached(&self, scheduler: usize) {
        let _ = self.cut.subscribe().wait_for(|cut| !cut.get(scheduler).is_some_and(|cut| *cut)).await;
    }

    fn newer(&self, after: u64) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).seq > after
    }

    async fn answer<B>(&self, scheduler: usize, request: &Request<B>) -> Response<Body> {
        self.reached(scheduler).await;
        let query = request.uri().query().unwrap_or("");
        let figure = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<u64>().ok())
        };
        if request.uri().path() != "/v1/servers" {
            return response(StatusCode::NOT_FOUND, "");
        }
        let Some(index) = figure("index") else {
            return response(StatusCode::OK, self.text(scheduler, None).to_string());
        };
        let until = Instant::now() + Duration::from_millis(figure("wait").unwrap_or(0).min(60_000));
        while !self.newer(index) {
            let changed = self.changed.notified();
            if self.newer(index) || timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        self.reached(scheduler).await;
        response(StatusCode::OK, self.text(scheduler, Some(index)).to_string())
    }
}
