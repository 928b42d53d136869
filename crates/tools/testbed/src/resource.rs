//! What the holder of a duty acts on, and the judge of who held it: every act comes here, on one
//! clock. With a fence it refuses an
//! act under an older term than it has seen.
use crate::http::{Body, response, serve};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// One act.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: Instant,
    pub path: String,
    pub term: u64,
    /// Whether it was let through.
    pub accepted: bool,
}

struct Shared {
    fence: bool,
    acts: Mutex<Vec<Act>>,
    /// Acts under this term or an older one are held up.
    held: watch::Sender<u64>,
    waiting: watch::Sender<usize>,
}

/// The resource; it ends with this.
pub struct Resource {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Drop for Resource {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Resource {
    /// Starts one, with or without a fence.
    ///
    /// # Errors
    /// If no address is free.
    pub async fn start(fence: bool) -> io::Result<Self> {
        let listener = TcpListener::bind((crate::process::own_address(), 0)).await?;
        let addr = listener.local_addr()?;
        let (held, waiting) = (watch::Sender::new(0), watch::Sender::new(0));
        let shared = Arc::new(Shared { fence, acts: Mutex::default(), held, waiting });
        let service = shared.clone();
        let task = serve(listener, move |request| {
            let shared = service.clone();
            async move { shared.answer(&request).await }
        });
        Ok(Resource { addr, shared, task })
    }

    /// All acts so far.
    pub fn acts(&self) -> Vec<Act> {
        self.shared.lock().clone()
    }

    /// The highest term that was let through.
    pub fn highest(&self) -> u64 {
        self.shared.lock().iter().filter(|a| a.accepted).map(|a| a.term).max().unwrap_or(0)
    }

    /// Holds up acts under this term and older ones, as a network may; 0 lets all through.
    pub fn hold(&self, term: u64) {
        self.shared.held.send_replace(term);
    }

    /// Waits until so many acts are held up.
    pub async fn holds(&self, acts: usize) {
        let _ = self.shared.waiting.subscribe().wait_for(|waiting| *waiting >= acts).await;
    }

    /// What is wrong with the acts that were let through: one under an older term behind a newer
    /// one.
    pub fn overlaps(&self) -> Vec<(u64, u64)> {
        let acts = self.acts();
        let through: Vec<&Act> = acts.iter().filter(|a| a.accepted).collect();
        through.windows(2).filter(|w| w[1].term < w[0].term).map(|w| (w[0].term, w[1].term)).collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Act>> {
        self.acts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer<B>(&self, request: &Request<B>) -> Response<Body> {
        let header = request.headers().get("duty-term").and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let Some(term) = header else { return response(StatusCode::BAD_REQUEST, "no term") };
        if term <= *self.held.borrow() {
            self.waiting.send_modify(|waiting| *waiting += 1);
            let _ = self.held.subscribe().wait_for(|held| term > *held).await;
        }
        let mut acts = self.lock();
        let highest = acts.iter().filter(|a| a.accepted).map(|a| a.term).max().unwrap_or(0);
        let accepted = !self.fence || term >= highest;
        acts.push(Act { at: Instant::now(), path: request.uri().path().to_owned(), term, accepted });
        drop(acts);
        if accepted {
            return response(StatusCode::OK, "done");
        }
        let mut refused = response(StatusCode::CONFLICT, "a later term was seen");
        refused.headers_mut().insert("duty-term", HeaderValue::from(highest));
        refused
    }
}
