//! A worker: takes jobs, runs some at a time, tells of them, and fails as it is told.
use crate::http::{Body, Connection, response, whole};
use crate::record::{Record, What};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

/// How often a notice that was not heard is told again, and the pause between.
const TELL: u32 = 10;
const TELL_AGAIN: Duration = Duration::from_millis(150);

/// How finely work is reckoned.
const STEP: Duration = Duration::from_millis(5);

/// Where each scheduler hears notices, by their numbers, for all workers; they may move.
pub type Callbacks = Arc<RwLock<Vec<SocketAddr>>>;

/// What the workers of one cell or zone know of keys: a repeat is not run again for a while.
#[derive(Clone, Default)]
pub struct Memory(Arc<Mutex<HashMap<String, Seen>>>);

struct Seen {
    until: Instant,
    /// The result, once the work is done.
    done: Option<String>,
}

impl Memory {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Seen>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that work on a key begins; its result if it was done already.
    fn begin(&self, key: &str, window: Duration) -> Option<String> {
        let now = Instant::now();
        let mut seen = self.lock();
        let entry = seen.entry(key.to_owned()).or_insert(Seen { until: now + window, done: None });
        if entry.until <= now {
            *entry = Seen { until: now + window, done: None };
        }
        entry.done.clone()
    }

    /// Does the work once: whoever comes first makes the result. Tells whether this was it.
    fn finish(&self, key: &str, result: &str) -> (bool, String) {
        let mut seen = self.lock();
        match seen.get_mut(key) {
            Some(Seen { done: Some(first), .. }) => (false, first.clone()),
            Some(entry) => {
                entry.done = Some(result.to_owned());
                (true, result.to_owned())
            }
            None => (true, result.to_owned()),
        }
    }
}

/// What a worker knows of a class.
#[derive(Clone)]
pub struct Known {
    /// How long a job runs on a worker of speed 1, on average, and the coefficient of variation of
    /// that.
    pub run: Duration,
    pub cv: f64,
    /// The repeats that are dropped, and for how long.
    pub memory: Option<(Memory, Duration)>,
    /// The name of whoever shares the memory; of the worker where nobody does.
    pub group: String,
}

/// What a worker tells of its load, and how.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// With what ends a job.
    pub in_answers: bool,
    /// To whom asks.
    pub probes: bool,
    pub fields: Vec<String>,
    /// A report is made anew after so long.
    pub every: Duration,
    /// Work that a probe costs.
    pub probe_work: Duration,
}

/// How a worker is made.
#[derive(Clone)]
pub struct WorkerPlan {
    pub name: String,
    pub slots: usize,
    /// With more slots than cores, jobs share the cores.
    pub cores: usize,
    /// Memory units; 0 where jobs need none.
    pub memory: f64,
    pub queue: usize,
    /// Work that a core does in a second of time.
    pub speed: f64,
    pub reports: Reports,
    /// It goes by leases.
    pub leases: bool,
    /// How long it is slow after a start, and by how much at first.
    pub cold: Duration,
    pub cold_speed: f64,
    pub progress: Duration,
    pub classes: HashMap<String, Known>,
    pub seed: u64,
}

/// How a worker behaves; it can be changed while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Behaviour {
    /// It stands still: nothing is read, run or told, and its clock goes on.
    pub frozen: bool,
    /// It reads nothing new and tells nothing, as if cut off; it runs on.
    pub vanished: bool,
    /// It runs so many times slower.
    pub slow: f64,
    /// It answers a job only after so long.
    pub late: Duration,
    /// It closes every n-th connection after a job's last byte, without an answer; 0 is never.
    pub cut_every: u64,
    /// It resets every connection after reading so many bytes of it.
    pub cut_at: Option<usize>,
    /// It tells each notice so many times.
    pub repeat: u32,
    /// It goes on when its lease is over.
    pub heedless: bool,
    /// It gives back what it has not begun and takes nothing new.
    pub leaving: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Behaviour {
            frozen: false,
            vanished: false,
            slow: 1.0,
            late: Duration::ZERO,
            cut_every: 0,
            cut_at: None,
            repeat: 1,
            heedless: false,
            leaving: false,
        }
    }
}

#[derive(Clone)]
struct Task {
    id: String,
    class: String,
    key: Option<String>,
    memory: f64,
    /// Whose job it is.
    from: usize,
    lease: Option<Lease>,
    stop: watch::Sender<Option<&'static str>>,
}

#[derive(Clone)]
struct Lease {
    token: u64,
    until: Arc<Mutex<Instant>>,
}

impl Lease {
    fn ends(&self) -> Instant {
        *self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Inner {
    plan: WorkerPlan,
    record: Record,
    callbacks: Callbacks,
    behaviour: watch::Receiver<Behaviour>,
    born: Instant,
    state: Mutex<State>,
    taken: AtomicU64,
    rng: Mutex<SmallRng>,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<Task>,
    running: HashMap<String, Task>,
    /// The last report, and when it was made.
    report: Option<(Instant, Vec<(String, f64)>)>,
    /// Work that probes have brought and that is still to be done.
    chores: Duration,
    /// Where notices go, between two of them.
    line: Vec<(SocketAddr, Connection)>,
}

/// A job whose scheduler has not been told that it was taken.
struct Offer<'a> {
    inner: &'a Inner,
    id: &'a str,
    open: bool,
}

impl Drop for Offer<'_> {
    fn drop(&mut self) {
        if self.open {
            self.inner.call_off(self.id, "connection closed");
        }
    }
}

/// A worker process. Dropping it kills it: its connections break and nothing is told any more.
pub struct Worker {
    /// Where each scheduler reaches it, by their numbers.
    pub addrs: Vec<SocketAddr>,
    pub behaviour: watch::Sender<Behaviour>,
    inner: Arc<Inner>,
    tasks: Option<tokio::task::JoinHandle<()>>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Worker {
    /// Starts one at a free address.
    ///
    /// # Errors
    /// If no socket can be opened there.
    pub async fn start(plan: WorkerPlan, callbacks: Callbacks, record: Record) -> io::Result<Self> {
        let schedulers = callbacks.read().unwrap_or_else(PoisonError::into_inner).len();
        let (mut addrs, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..schedulers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let (behaviour, watched) = watch::channel(Behaviour::default());
        let inner = Arc::new(Inner {
            rng: Mutex::new(SmallRng::seed_from_u64(plan.seed)),
            plan,
            record,
            callbacks,
            behaviour: watched,
            born: Instant::now(),
            state: Mutex::default(),
            taken: AtomicU64::new(0),
        });
        let tasks = tokio::spawn(inner.clone().listen(listeners));
        Ok(Worker { addrs, behaviour, inner, tasks: Some(tasks) })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.inner.plan.name
    }

    /// Kills it: what it ran is over, and nobody is told.
    pub fn kill(&mut self) {
        let Some(tasks) = self.tasks.take() else { return };
        tasks.abort();
        let mut state = self.inner.lock();
        let mut ids: Vec<String> = state.waiting.drain(..).map(|t| t.id).collect();
        ids.extend(state.running.drain().map(|(id, _)| id));
        state.line.clear();
        drop(state);
        for id in ids {
            self.inner.over(&id, "died");
        }
        self.inner.record.add(What::Died { worker: self.name().to_owned() });
    }

    /// Whether it holds nothing.
    pub fn idle(&self) -> bool {
        let state = self.inner.lock();
        state.waiting.is_empty() && state.running.is_empty()
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn over(&self, request: &str, why: &'static str) {
        let (request, worker) = (request.to_owned(), self.plan.name.clone());
        self.record.add(What::Over { request, worker, why });
    }

    /// Waits while it stands still.
    async fn awake(&self) {
        let _ = self.behaviour.clone().wait_for(|b| !b.frozen).await;
    }

    /// Everything that a worker process does; it ends when this is dropped.
    async fn listen(self: Arc<Self>, listeners: Vec<TcpListener>) {
        let (run, mut to_run) = tokio::sync::mpsc::unbounded_channel::<Task>();
        let mut tasks = JoinSet::new();
        let (accept, mut accepted) = tokio::sync::mpsc::unbounded_channel();
        for (from, listener) in listeners.into_iter().enumerate() {
            let accept = accept.clone();
            tasks.spawn(async move {
                loop {
                    let Ok((stream, _)) = listener.accept().await else { continue };
                    let _ = accept.send((from, stream));
                }
            });
        }
        loop {
            tokio::select! {
                Some((from, stream)) = accepted.recv() => {
                    // As a killed process's, its connections end with a reset.
                    let _ = stream.set_zero_linger();
                    let (inner, run) = (self.clone(), run.clone());
                    tasks.spawn(async move { inner.connection(from, stream, run).await });
                }
                Some(task) = to_run.recv() => {
                    let (inner, run) = (self.clone(), run.clone());
                    tasks.spawn(async move { inner.run(task, run).await });
                }
                Some(_) = tasks.join_next() => {}
            }
        }
    }

    async fn connection(
        self: &Arc<Self>,
        from: usize,
        stream: tokio::net::TcpStream,
        run: tokio::sync::mpsc::UnboundedSender<Task>,
    ) {
        let cut_at = self.behaviour.borrow().cut_at;
        if let Some(mut left) = cut_at {
            let mut buffer = [0; 512];
            while left > 0 && stream.readable().await.is_ok() {
                let most = left.min(buffer.len());
                match stream.try_read(&mut buffer[..most]) {
                    Ok(0) => return,
                    Ok(n) => left -= n,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
            return;
        }
        let cut = Arc::new(tokio::sync::Notify::new());
        let service = service_fn(|request| {
            let (inner, run, cut) = (self.clone(), run.clone(), cut.clone());
            async move { Ok::<_, Infallible>(inner.answer(from, request, run, &cut).await) }
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            () = cut.notified() => {}
        }
    }

    async fn answer(
        &self,
        from: usize,
        request: Request<Incoming>,
        run: tokio::sync::mpsc::UnboundedSender<Task>,
        cut: &tokio::sync::Notify,
    ) -> Response<Body> {
        let _ = self.behaviour.clone().wait_for(|b| !b.frozen && !b.vanished).await;
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let path = head.uri.path().to_owned();
        match (&head.method, path.as_str()) {
            (&Method::GET, "/load" | "/healthz") if !self.plan.reports.probes => {
                return response(StatusCode::NOT_FOUND, "");
            }
            (&Method::GET, "/load") => return response(StatusCode::OK, format!("TEXT {}", self.probed())),
            (&Method::GET, "/healthz") => {
                self.probed();
                return response(StatusCode::OK, "");
            }
            (&Method::DELETE, path) => {
                if let Some(id) = path.strip_prefix("/jobs/") {
                    self.call_off(id, "called off");
                }
                return response(StatusCode::OK, "");
            }
            _ => {}
        }
        let Ok(_) = whole(body).await else { return response(StatusCode::BAD_REQUEST, "") };
        let class = path.trim_start_matches('/').split('/').next().unwrap_or("").to_owned();
        let (Some(id), true) = (text("req-id"), self.plan.classes.contains_key(&class)) else {
            return response(StatusCode::BAD_REQUEST, "no such job");
        };
        let number = |name: &str| text(name).and_then(|v| v.parse::<u64>().ok());
        let lease = number("lease-token").zip(number("lease-ms")).filter(|_| self.plan.leases);
        let lease = lease.map(|(token, ms)| Lease {
            token,
            until: Arc::new(Mutex::new(Instant::now() + Duration::from_millis(ms))),
        });
        let token = lease.as_ref().map(|l| l.token);
        let extra = text("req-extra").unwrap_or_default();
        let memory = extra.split(',').find_map(|f| f.strip_prefix("memory=")?.parse().ok()).unwrap_or(0.0);
        let (worker, record) = (self.plan.name.clone(), &self.record);
        record.add(What::Received { scheduler: from as u32, request: id.clone(), worker, token });
        let behaviour = self.behaviour.borrow().clone();
        let task = Task {
            id: id.clone(),
            class,
            key: text("idempotency-key"),
            memory,
            from,
            lease,
            stop: watch::Sender::new(None),
        };
        let taken = {
            let mut state = self.lock();
            // The first in the queue waits until it fits, and the others behind it.
            let free = state.waiting.is_empty() && self.fits(&state, memory);
            let never = memory > self.plan.memory && memory > 0.0;
            if never || behaviour.leaving || !free && state.waiting.len() >= self.plan.queue {
                None
            } else {
                if free {
                    state.running.insert(id.clone(), task.clone());
                    let _ = run.send(task);
                } else {
                    state.waiting.push_back(task);
                }
                Some(())
            }
        };
        if taken.is_none() {
            self.over(&id, "turned away");
            let mut response = response(StatusCode::SERVICE_UNAVAILABLE, "full");
            response.headers_mut().insert("srv-declined", HeaderValue::from_static("1"));
            return response;
        }
        // A connection that closes before the answer calls the job off.
        let mut offer = Offer { inner: self, id: &id, open: true };
        sleep_until(Instant::now() + behaviour.late).await;
        offer.open = false;
        let count = self.taken.fetch_add(1, Ordering::Relaxed) + 1;
        if behaviour.cut_every > 0 && count.is_multiple_of(behaviour.cut_every) {
            // For the scheduler the attempt is over; the job goes on.
            self.over(&id, "cut off");
            cut.notify_one();
            std::future::pending::<()>().await;
        }
        let mut response = response(StatusCode::ACCEPTED, "");
        if let Some(token) = token {
            response.headers_mut().insert("lease-token", HeaderValue::from(token));
        }
        response
    }

    /// Whether a job of that need may start now.
    fn fits(&self, state: &State, memory: f64) -> bool {
        let taken: f64 = state.running.values().map(|t| t.memory).sum();
        state.running.len() < self.plan.slots && (memory == 0.0 || taken + memory <= self.plan.memory)
    }

    /// What a probe is told, and its work.
    fn probed(&self) -> String {
        let mut state = self.lock();
        state.chores += self.plan.reports.probe_work;
        drop(state);
        let pairs = self.report();
        pairs.iter().map(|(name, x)| format!("{name}={x}")).collect::<Vec<_>>().join(", ")
    }

    /// Its load, as old as reports get here.
    fn report(&self) -> Vec<(String, f64)> {
        let mut state = self.lock();
        let fresh = state.report.as_ref().is_some_and(|(at, _)| at.elapsed() < self.plan.reports.every);
        if !fresh {
            let (running, waiting) = (state.running.len(), state.waiting.len());
            let memory: f64 = state.running.values().map(|t| t.memory).sum();
            let values = self.plan.reports.fields.iter().map(|field| {
                let value = match field.as_str() {
                    "x0" => self.plan.slots.saturating_sub(running) as f64,
                    "x1" => (self.plan.memory - memory).max(0.0),
                    "queue" => waiting as f64,
                    "util" => (running as f64 / self.plan.slots as f64).min(1.0),
                    _ => 0.0,
                };
                (field.clone(), (value * 100.0).round() / 100.0)
            });
            state.report = Some((Instant::now(), values.collect()));
        }
        state.report.as_ref().map(|(_, values)| values.clone()).unwrap_or_default()
    }

    /// Stops a job wherever it is.
    fn call_off(&self, id: &str, why: &'static str) {
        let mut state = self.lock();
        let waiting = state.waiting.len();
        state.waiting.retain(|t| t.id != id);
        if state.waiting.len() < waiting {
            drop(state);
            self.over(id, why);
        } else if let Some(task) = state.running.get(id) {
            task.stop.send_replace(Some(why));
        }
    }

    fn speed(&self) -> f64 {
        let warm = self.born.elapsed().as_secs_f64() / self.plan.cold.as_secs_f64().max(1e-9);
        let warmth = self.plan.cold_speed + (1.0 - self.plan.cold_speed) * warm.min(1.0);
        // Jobs share the cores with each other and with what probes cost.
        let mut state = self.lock();
        let shared = (self.plan.cores as f64 / state.running.len().max(1) as f64).min(1.0);
        let chores = std::mem::take(&mut state.chores);
        drop(state);
        let part = 1.0 - (chores.as_secs_f64() / STEP.as_secs_f64() / self.plan.cores as f64).min(0.9);
        self.plan.speed * warmth * shared * part / self.behaviour.borrow().slow
    }

    async fn run(self: Arc<Self>, task: Task, run: tokio::sync::mpsc::UnboundedSender<Task>) {
        let over = self.work(&task).await;
        // Another may have taken its place by killing this process.
        let mut next = Vec::new();
        {
            let mut state = self.lock();
            state.running.remove(&task.id);
            while state.waiting.front().is_some_and(|first| self.fits(&state, first.memory)) {
                let Some(first) = state.waiting.pop_front() else { break };
                state.running.insert(first.id.clone(), first.clone());
                next.push(first);
            }
        }
        if let Some(why) = over {
            self.over(&task.id, why);
        }
        next.into_iter().for_each(|task| drop(run.send(task)));
    }

    /// A running time over its mean: by a lognormal law.
    fn factor(&self, cv: f64) -> f64 {
        let deviation = (1.0 + cv * cv).ln().sqrt();
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let law = LogNormal::new(-deviation * deviation / 2.0, deviation);
        law.map_or(1.0, |law| law.sample(&mut *rng))
    }

    /// Runs a job to its end; why it is over.
    async fn work(&self, task: &Task) -> Option<&'static str> {
        let known = self.plan.classes.get(&task.class)?;
        let stop = task.stop.subscribe();
        let gone = |task: &Task| {
            let heedless = self.behaviour.borrow().heedless;
            task.lease.as_ref().is_some_and(|l| !heedless && l.ends() <= Instant::now())
        };
        if gone(task) {
            return Some("lease over");
        }
        if self.behaviour.borrow().leaving {
            return Some(self.tell(task, "\"state\":\"returned\"").await.unwrap_or("given back"));
        }
        let named = |what: fn(String, String, Option<String>, String, String) -> What| {
            let (request, worker) = (task.id.clone(), self.plan.name.clone());
            what(request, worker, task.key.clone(), task.class.clone(), known.group.clone())
        };
        let key = task.key.as_ref().map(|k| format!("{}/{k}", task.class));
        let remembered = match (&known.memory, &key) {
            (Some((memory, window)), Some(key)) => memory.begin(key, *window),
            _ => None,
        };
        if let Some(result) = remembered {
            return Some(self.tell(task, &self.done(&result)).await.unwrap_or("dropped as a repeat"));
        }
        self.record.add(named(|request, worker, key, class, group| What::Began {
            request,
            worker,
            key,
            class,
            group,
        }));
        if let Some(why) = self.tell(task, "\"state\":\"started\"").await {
            return Some(why);
        }
        let mut left = known.run.as_secs_f64() * self.factor(known.cv);
        let mut told = Instant::now();
        while left > 0.0 {
            let begun = Instant::now();
            sleep_until(begun + STEP).await;
            if timeout_at(self.stops(task), self.awake()).await.is_err() {
                return Some("lease over");
            }
            if let Some(why) = *stop.borrow() {
                return Some(why);
            }
            if gone(task) {
                return Some("lease over");
            }
            // What stood still has done nothing.
            left -= begun.elapsed().min(4 * STEP).as_secs_f64() * self.speed();
            if told.elapsed() >= self.plan.progress && left > 0.0 {
                told = Instant::now();
                if let Some(why) = self.tell(task, "\"state\":\"running\",\"share\":0.5").await {
                    return Some(why);
                }
            }
        }
        let result = format!("{} {} by {}", task.key.as_deref().unwrap_or("-"), task.id, self.plan.name);
        let (first, result) = match (&known.memory, &key) {
            (Some((memory, _)), Some(key)) => memory.finish(key, &result),
            _ => (true, result),
        };
        if first {
            self.record.add(named(|request, worker, key, class, group| What::Ran {
                request,
                worker,
                key,
                class,
                group,
            }));
        }
        Some(self.tell(task, &self.done(&result)).await.unwrap_or("done"))
    }

    fn done(&self, result: &str) -> String {
        let mut text = format!("\"state\":\"done\",\"result\":{}", serde_json::Value::from(result));
        if self.plan.reports.in_answers {
            let load: serde_json::Map<_, _> =
                self.report().into_iter().map(|(name, x)| (name, x.into())).collect();
            text += &format!(",\"load\":{}", serde_json::Value::Object(load));
        }
        text
    }

    /// When it stops with a task by itself, whatever else happens.
    fn stops(&self, task: &Task) -> Instant {
        let never = Instant::now() + Duration::from_secs(3600);
        let lease = task.lease.as_ref().filter(|_| !self.behaviour.borrow().heedless);
        lease.map_or(never, Lease::ends)
    }

    /// Tells the scheduler until it has heard; why the job is over, if that is what it said.
    async fn tell(&self, task: &Task, rest: &str) -> Option<&'static str> {
        let token = task.lease.as_ref().map_or(String::new(), |l| format!(",\"token\":{}", l.token));
        let text = format!("{{\"id\":\"{}\",\"from\":\"{}\"{token},{rest}}}", task.id, self.plan.name);
        let repeats = self.behaviour.borrow().repeat.max(1);
        let mut fenced = None;
        for repeat in 0..repeats {
            for _ in 0..TELL {
                // One that nobody hears, or that stands still, is over with its lease: it has
                // stopped, or stops before it does
                // anything else. A heedless one goes on.
                let mut behaviour = self.behaviour.clone();
                let heard = behaviour.wait_for(|b| !b.frozen && !b.vanished);
                if timeout_at(self.stops(task), heard).await.is_err() {
                    return Some("lease over");
                }
                let sent = Instant::now();
                match self.post(task.from, &text).await {
                    Some((200 | 204, lease)) => {
                        if let (Some(lease), Some(ms)) = (&task.lease, lease) {
                            let until = sent + Duration::from_millis(ms);
                            let mut known = lease.until.lock().unwrap_or_else(PoisonError::into_inner);
                            *known = (*known).max(until);
                        }
                        break;
                    }
                    Some((410, _)) => {
                        if repeat == 0 {
                            let (request, worker) = (task.id.clone(), self.plan.name.clone());
                            self.record.add(What::Fenced { request, worker });
                        }
                        fenced = Some("fenced");
                        break;
                    }
                    _ => sleep_until(sent + TELL_AGAIN).await,
                }
            }
        }
        fenced
    }

    /// One call; its status, and how long the lease goes on.
    async fn post(&self, to: usize, text: &str) -> Option<(u16, Option<u64>)> {
        let addr = *self.callbacks.read().unwrap_or_else(PoisonError::into_inner).get(to)?;
        let until = Instant::now() + Duration::from_secs(2);
        let kept = {
            let mut state = self.lock();
            let at = state.line.iter().position(|(a, c)| *a == addr && c.usable());
            at.map(|at| state.line.swap_remove(at).1)
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(addr, until).await.ok()?,
        };
        let request =
            Request::post("/callback").header("host", "scheduler").body(text.to_owned().into()).ok()?;
        let (head, _) = connection.exchange(request, until).await?.ok()?;
        let lease = head.headers.get("lease-ms").and_then(|v| v.to_str().ok()?.parse().ok());
        let closes = head.headers.get("connection").is_some_and(|v| v == "close");
        if !closes && connection.usable() {
            let mut state = self.lock();
            state.line.truncate(8);
            state.line.push((addr, connection));
        }
        Some((head.status.as_u16(), lease))
    }
}

/// Waits until `addr` answers, `until` at the latest.
pub async fn answers(addr: SocketAddr, until: Instant) -> bool {
    while Instant::now() < until {
        if timeout_at(until, tokio::net::TcpStream::connect(addr)).await.is_ok_and(|c| c.is_ok()) {
            return true;
        }
        sleep_until(Instant::now() + Duration::from_millis(10)).await;
    }
    false
}
