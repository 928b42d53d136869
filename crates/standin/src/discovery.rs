//! Discovery: the list of workers, whole or by changes.
use crate::http::{Body, response};
use crate::record::{Record, What};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

/// A worker as it is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    pub host: String,
    pub dial: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub health: &'static str,
    pub born_ms: u64,
    /// The list says no more of it than that it runs.
    pub bare: bool,
}

impl Listed {
    fn json(&self) -> serde_json::Value {
        if self.bare {
            return serde_json::json!({
                "host": self.host, "dial": self.dial.to_string(), "health": self.health, "born_ms": self.born_ms,
            });
        }
        serde_json::json!({
            "host": self.host, "dial": self.dial.to_string(), "site": self.zone, "class": self.kind,
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
}

/// The service; it ends with this.
pub struct Discovery {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// Starts it with an empty list, of which changes are told so late.
    pub async fn start(record: Record, late: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared { state: Mutex::default(), changed: Notify::new(), record, late });
        let service = shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = service.clone();
                tokio::spawn(async move {
                    let answer = service_fn(|request| {
                        let shared = shared.clone();
                        async move { Ok::<_, Infallible>(shared.answer(&request).await) }
                    });
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), answer)
                        .await;
                });
            }
        });
        Ok(Discovery { addr, shared, task: task.abort_handle() })
    }

    /// Lists a worker, or changes what is listed of it: at once, or as late as changes are told here.
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

    /// The whole list in discovery's form, and its version.
    pub fn known(&self) -> serde_json::Value {
        self.shared.text(None).1
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

    /// What is newer than `after`, or all; whether there is anything.
    fn text(&self, after: Option<u64>) -> (bool, serde_json::Value) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let new = |seq: &u64| after.is_none_or(|after| *seq > after);
        let hosts: Vec<&Listed> = state.hosts.values().filter(|(seq, _)| new(seq)).map(|(_, l)| l).collect();
        for host in &hosts {
            let worker = host.host.clone();
            let drained = host.health != "active";
            self.record.add(if drained { What::Told { worker } } else { What::Lives { worker } });
        }
        let list: Vec<_> = hosts.iter().map(|l| l.json()).collect();
        (!list.is_empty(), serde_json::json!({"seq": state.seq, "whole": after.is_none(), "hosts": list}))
    }

    fn newer(&self, after: u64) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).seq > after
    }

    async fn answer<B>(&self, request: &Request<B>) -> Response<Body> {
        let query = request.uri().query().unwrap_or("");
        let figure = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.parse::<u64>().ok())
        };
        if request.uri().path() != "/v1/servers" {
            return response(StatusCode::NOT_FOUND, "");
        }
        let Some(index) = figure("index") else {
            return response(StatusCode::OK, self.text(None).1.to_string());
        };
        let until = Instant::now() + Duration::from_millis(figure("wait").unwrap_or(0).min(60_000));
        while !self.newer(index) {
            let changed = self.changed.notified();
            if self.newer(index) || timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        response(StatusCode::OK, self.text(Some(index)).1.to_string())
    }
}
