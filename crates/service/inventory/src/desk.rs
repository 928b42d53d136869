//! The one owner of all inventories while the program serves: a thread that notices changes of their files, reads and judges
//! them, keeps their versions, and hands on what holds. Nothing of it runs where jobs are decided.
use crate::archive::Archive;
use crate::files::{self, Stamp, Unread};
use crate::mapping::{Form, Mapping, Reading, Target};
use notify::{RecommendedWatcher, RecursiveMode, Watcher};
use serde::Serialize;
use spanlead_conf_file::{Inventory, InventoryForm, Watch};
use spanlead_worker_attributes::{
    Defaults, Fact, Judged, Limits, Refusal, Schema, Sheet, Shelf, Source, Verdict, Version, Vocabulary,
    judge,
};
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often a file is looked at that the system tells of: its word may be lost.
const BESIDE_NOTIFY: Duration = Duration::from_secs(30);
/// Refusals that are written to the log and shown of one version; the others are counted.
const SHOWN: usize = 50;

/// What the desk tells whoever serves.
#[derive(Debug)]
pub struct News {
    /// What files say, from now on.
    pub sheet: Arc<Sheet>,
    /// The inventory and its version by which this came; none where versions were put back at the start.
    pub by: Option<(Arc<str>, u64)>,
    /// An operator has confirmed it.
    pub forced: bool,
}

/// What the desk is asked.
enum Order {
    /// Something may have changed; `now` if somebody says that it is whole.
    Look {
        now: bool,
    },
    /// The zones and kinds that there are.
    Vocabulary(Vocabulary),
    Accept(String, String, Sender<Result<String, String>>),
    Object(Arc<str>, u64, String),
    Status(Sender<Vec<Status>>),
}

/// How an inventory stands.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Its file.
    pub file: String,
    /// The version in use.
    pub version: Option<VersionStatus>,
    /// The one that waits for confirmation, and what holds it back.
    pub held: Option<Waiting>,
    /// The newest one that was refused, and why.
    pub refused: Option<Waiting>,
}

/// A version in use.
#[derive(Clone, Debug, Serialize)]
pub struct VersionStatus {
    /// Its number.
    pub number: u64,
    /// How its digest begins.
    pub digest: String,
    /// When it was read, Unix milliseconds.
    pub read_ms: u64,
    /// Its age, milliseconds.
    pub age_ms: u64,
    /// Hosts that it names.
    pub hosts: usize,
    /// Its refusals and warnings, and the first of them.
    pub refusals: usize,
    /// See `refusals`.
    pub shown: Vec<String>,
}

/// A version that is not in use.
#[derive(Clone, Debug, Serialize)]
pub struct Waiting {
    /// How its digest begins; what confirms it.
    pub digest: String,
    /// Since when, Unix milliseconds.
    pub since_ms: u64,
    /// For how long, milliseconds.
    pub stood_ms: u64,
    /// Why.
    pub why: String,
    /// Hosts that differ from the version in use.
    pub changes: usize,
}

/// The way to the desk.
#[derive(Clone)]
pub struct Desk(Sender<Order>);

impl Desk {
    /// Starts it. It ends when the last way to it is gone.
    pub fn start(
        inventories: Vec<Inventory>,
        vocabulary: Vocabulary,
        tell: impl Fn(News) + Send + 'static,
    ) -> Self {
        let (to, orders) = channel();
        let waker = to.clone();
        thread::spawn(move || {
            let watcher = watcher(&inventories, waker);
            let told = watcher.is_some();
            let desks = inventories.into_iter().map(|i| Drawer::new(i, told)).collect();
            let mut clerk = Clerk { drawers: desks, vocabulary, tell: Box::new(tell), _watcher: watcher };
            clerk.open();
            clerk.run(&orders);
        });
        Desk(to)
    }

    /// Somebody says that files have changed and are whole.
    pub fn look(&self) {
        let _ = self.0.send(Order::Look { now: true });
    }

    /// Other zones or kinds hold from now on.
    pub fn vocabulary(&self, vocabulary: Vocabulary) {
        let _ = self.0.send(Order::Vocabulary(vocabulary));
    }

    /// Whoever serves can't use this version.
    pub fn object(&self, name: Arc<str>, number: u64, why: String) {
        let _ = self.0.send(Order::Object(name, number, why));
    }

    /// Confirms the version that is held back.
    ///
    /// # Errors
    /// If there is none of that digest.
    pub fn accept(&self, name: &str, digest: &str) -> Result<String, String> {
        let (reply, replied) = channel();
        let _ = self.0.send(Order::Accept(name.to_owned(), digest.to_owned(), reply));
        replied.recv().unwrap_or_else(|_| Err("the inventories' desk has ended".into()))
    }

    /// How all stand.
    pub fn status(&self) -> Vec<Status> {
        let (reply, replied) = channel();
        let _ = self.0.send(Order::Status(reply));
        replied.recv().unwrap_or_default()
    }
}

/// The system's word on changes, if it gives any. Folders are watched, not files: a rename puts another file in the place.
fn watcher(inventories: &[Inventory], to: Sender<Order>) -> Option<RecommendedWatcher> {
    let wanted: Vec<&Inventory> = inventories.iter().filter(|i| i.watch == Watch::Notify).collect();
    if wanted.is_empty() {
        return None;
    }
    let tell = move |event: notify::Result<notify::Event>| {
        if event.is_ok_and(|e| !e.kind.is_access()) {
            let _ = to.send(Order::Look { now: false });
        }
    };
    let mut watcher = notify::recommended_watcher(tell)
        .inspect_err(|error| tracing::warn!(%error, "changes of inventories are looked for, not told"))
        .ok()?;
    let mut all = true;
    for inventory in wanted {
        let folder = inventory.file.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        for path in [folder.to_owned(), folder.join("group_vars"), folder.join("host_vars")] {
            let needed = path == folder;
            if (needed || path.is_dir())
                && let Err(error) = watcher.watch(&path, RecursiveMode::NonRecursive)
            {
                tracing::warn!(%error, folder = %path.display(), "changes here are looked for, not told");
                all = false;
            }
        }
    }
    all.then_some(watcher)
}

/// How a file is read, as the settings say.
pub fn reading(settings: &Inventory) -> Reading {
    let mut mapping = Mapping::default();
    for (fact, column) in &settings.fields {
        match (fact.as_str(), fact.strip_prefix("label."), Fact::named(fact)) {
            ("host", ..) => mapping.host = Some(column.clone()),
            (_, Some(label), _) => mapping.set.push((Target::Label(label.to_owned()), column.clone())),
            (_, None, Some(fact)) => mapping.set.push((Target::Fact(fact), column.clone())),
            (_, None, None) => {}
        }
    }
    Reading {
        form: settings.form.map(|form| match form {
            InventoryForm::Csv => Form::Csv,
            InventoryForm::Hosts => Form::Hosts,
            InventoryForm::Ansible => Form::Ansible,
        }),
        delimiter: settings.delimiter,
        mapping,
        hosts: settings.hosts,
    }
}

/// What stands in, of all inventories: the first that sets a default is heard.
pub fn defaults(inventories: &[Inventory]) -> Defaults {
    let first = |fact: &str| {
        let all = inventories.iter().flat_map(|i| &i.defaults);
        all.filter(|(f, _)| f == fact).map(|(_, v)| v.as_str()).next()
    };
    Defaults {
        kind: first("kind").map(Arc::from),
        weight: first("weight").and_then(|v| v.parse().ok()),
        slots: first("slots").and_then(|v| v.parse().ok()),
    }
}

/// Reads and judges an inventory once. Also the digest of its bytes.
///
/// # Errors
/// If it changed meanwhile.
pub fn examine(settings: &Inventory, schema: &Schema) -> Result<(Judged, String), Unread> {
    let reading = reading(settings);
    match files::load(&settings.file, &reading, settings.size) {
        // The same bytes are another version where other zones or kinds are known.
        Ok((bundle, digest)) => {
            let digest = format!("{:032x}", digest ^ u128::from(schema.mark()));
            Ok((judge(crate::read(&bundle, &reading), schema), digest))
        }
        Err(Unread::Refused(refusal, file)) => {
            let (files, digest) = (vec![file], format!("unread: {}", refusal.reason));
            Ok((Judged { files, refusals: vec![refusal], ..Judged::default() }, digest))
        }
        Err(Unread::Changing) => Err(Unread::Changing),
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// An inventory and its file.
struct Drawer {
    settings: Inventory,
    reading: Reading,
    shelf: Shelf,
    archive: Option<Archive>,
    /// What the file system said when the file was last read; and what it says now, since when.
    read: Option<Stamp>,
    seen: Option<(Stamp, Instant)>,
    /// When it is looked at next by itself.
    next: Option<Instant>,
    every: Option<Duration>,
}

impl Drawer {
    fn new(settings: Inventory, told: bool) -> Self {
        let limits = Limits { refuse_over: settings.refuse_over, hold_over: settings.hold_over };
        let archive =
            settings.keep.as_ref().map(|folder| Archive::new(folder, &settings.name, settings.history));
        let every = match settings.watch {
            Watch::No => None,
            Watch::Notify if told => Some(settings.poll.max(BESIDE_NOTIFY)),
            Watch::Notify | Watch::Poll => Some(settings.poll),
        };
        Drawer {
            reading: reading(&settings),
            shelf: Shelf::new(settings.name.as_str(), limits),
            archive,
            read: None,
            seen: None,
            next: None,
            every,
            settings,
        }
    }

    /// Whether the file is to be read: it is another than the one that was read, and has stood still.
    fn due(&mut self, now: Instant, whole: bool) -> bool {
        let stamp = files::stamp(&self.settings.file, &self.reading);
        self.next = self.every.map(|every| now + every);
        if self.read.as_ref() == Some(&stamp) {
            self.seen = None;
            return whole;
        }
        if whole {
            return true;
        }
        let since = match &self.seen {
            Some((seen, since)) if *seen == stamp => *since,
            _ => {
                self.seen = Some((stamp, now));
                now
            }
        };
        let settled = since + self.settings.settle;
        if now < settled {
            self.next = Some(self.next.map_or(settled, |n| n.min(settled)));
        }
        now >= settled
    }
}

struct Clerk {
    drawers: Vec<Drawer>,
    vocabulary: Vocabulary,
    tell: Box<dyn Fn(News) + Send>,
    _watcher: Option<RecommendedWatcher>,
}

impl Clerk {
    /// What the process before had in use goes on, before any file is read.
    fn open(&mut self) {
        for drawer in &mut self.drawers {
            let name = &drawer.settings.name;
            let broken = |error| tracing::warn!(%error, inventory = name, "a kept version is passed over");
            if let Some(version) = drawer.archive.as_ref().and_then(|a| a.newest(broken)) {
                tracing::info!(inventory = name, number = version.number, "the last good version is in use");
                drawer.shelf.put_back(version);
            }
        }
        if self.drawers.iter().any(|d| d.shelf.current().is_some()) {
            self.hand_on(None, false);
        }
        self.look(true);
    }

    fn run(&mut self, orders: &Receiver<Order>) {
        loop {
            let now = Instant::now();
            let next = self.drawers.iter().filter_map(|d| d.next).min();
            let wait = next.map_or(Duration::from_secs(3600), |n| n.saturating_duration_since(now));
            match orders.recv_timeout(wait) {
                Ok(Order::Look { now }) => {
                    // Changes come in swarms.
                    self.look(now);
                }
                Ok(Order::Vocabulary(vocabulary)) => {
                    if vocabulary != self.vocabulary {
                        self.vocabulary = vocabulary;
                        // What was unknown may be known now, and the other way round.
                        self.drawers.iter_mut().for_each(|d| d.read = None);
                    }
                    self.look(true);
                }
                Ok(Order::Accept(name, digest, reply)) => {
                    let _ = reply.send(self.accept(&name, &digest));
                }
                Ok(Order::Object(name, number, why)) => self.object(&name, number, why),
                Ok(Order::Status(reply)) => drop(reply.send(self.status())),
                Err(RecvTimeoutError::Timeout) => self.look(false),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Reads whatever has changed; at once if somebody says that it is whole.
    fn look(&mut self, whole: bool) {
        let schema = match Schema::new(&self.vocabulary) {
            Ok(schema) => schema,
            Err(error) => return tracing::error!(%error, "inventories can't be judged"),
        };
        for number in 0..self.drawers.len() {
            let drawer = &mut self.drawers[number];
            if drawer.due(Instant::now(), whole) {
                self.take(number, &schema);
            }
        }
    }

    fn take(&mut self, number: usize, schema: &Schema) {
        let drawer = &mut self.drawers[number];
        let name = drawer.shelf.name.clone();
        let stamp = files::stamp(&drawer.settings.file, &drawer.reading);
        let begun = Instant::now();
        let (judged, digest) = match examine(&drawer.settings, schema) {
            Ok(examined) => examined,
            Err(_) => {
                tracing::info!(inventory = %name, "the file changes while it is read; it is read again");
                drawer.next = Some(Instant::now() + drawer.settings.settle.max(Duration::from_millis(50)));
                return;
            }
        };
        drawer.read = Some(stamp);
        drawer.seen = None;
        let known = drawer.shelf.knows(&digest);
        let verdict = drawer.shelf.offer(judged, &digest, unix_ms());
        let took_ms = begun.elapsed().as_millis() as u64;
        match verdict {
            Verdict::Same => {}
            Verdict::Taken(version) => {
                let (hosts, refusals) = (version.rows.len(), version.refusals.len());
                tracing::info!(inventory = %name, number = version.number, hosts, refusals, took_ms, "a version is taken");
                log_refusals(&name, &version.refusals, &version.files);
                self.keep_and_hand_on(number, &version, false);
            }
            Verdict::Held(why) => {
                let digest = &digest[..digest.len().min(12)];
                tracing::warn!(inventory = %name, digest, why, "a version is held back until it is confirmed");
            }
            Verdict::Refused(why) if !known => {
                tracing::error!(inventory = %name, why, "a version is refused; the last good one goes on");
                if let Some(turned) = self.drawers[number].shelf.turned() {
                    log_refusals(&name, &turned.refusals, &turned.files);
                }
            }
            Verdict::Refused(_) => {}
        }
    }

    fn keep_and_hand_on(&mut self, number: usize, version: &Arc<Version>, forced: bool) {
        let drawer = &self.drawers[number];
        let name = drawer.shelf.name.clone();
        if let Some(Err(error)) = drawer.archive.as_ref().map(|a| a.keep(version)) {
            tracing::error!(%error, inventory = %name, "the version is in use but could not be kept");
        }
        self.hand_on(Some((name, version.number)), forced);
    }

    fn hand_on(&self, by: Option<(Arc<str>, u64)>, forced: bool) {
        let settings: Vec<Inventory> = self.drawers.iter().map(|d| d.settings.clone()).collect();
        let source = |d: &Drawer| {
            let (name, weight_first) = (d.shelf.name.clone(), d.settings.weight_first);
            Some(Source { name, weight_first, version: d.shelf.current()?.clone() })
        };
        let sources = self.drawers.iter().filter_map(source).collect();
        let sheet = Arc::new(Sheet { sources, defaults: defaults(&settings) });
        (self.tell)(News { sheet, by, forced });
    }

    fn accept(&mut self, name: &str, digest: &str) -> Result<String, String> {
        let number = self.drawers.iter().position(|d| d.settings.name == name);
        let number = number.ok_or_else(|| format!("there is no inventory {name:?}"))?;
        let version = self.drawers[number].shelf.accept(digest)?;
        tracing::info!(
            inventory = name,
            number = version.number,
            "a version that was held back is confirmed"
        );
        self.keep_and_hand_on(number, &version, true);
        Ok(format!("{name}: version {} is in use, {} hosts", version.number, version.rows.len()))
    }

    fn object(&mut self, name: &str, number: u64, why: String) {
        let Some(drawer) = self.drawers.iter_mut().find(|d| d.settings.name == name) else { return };
        tracing::warn!(inventory = name, number, why, "a version is held back until it is confirmed");
        drawer.shelf.object(number, unix_ms(), why);
        if let Some(archive) = &drawer.archive {
            archive.withdraw(number);
        }
    }

    fn status(&self) -> Vec<Status> {
        let now = unix_ms();
        let short = |digest: &str| digest[..digest.len().min(12)].to_owned();
        let status = |d: &Drawer| {
            let current = d.shelf.current();
            let version = current.map(|v| VersionStatus {
                number: v.number,
                digest: short(&v.digest),
                read_ms: v.read_ms,
                age_ms: now.saturating_sub(v.read_ms),
                hosts: v.rows.len(),
                refusals: v.refusals.len(),
                shown: v.refusals.iter().take(SHOWN).map(|r| r.show(&v.files)).collect(),
            });
            let held = d.shelf.held().map(|h| Waiting {
                digest: short(&h.version.digest),
                since_ms: h.since_ms,
                stood_ms: now.saturating_sub(h.since_ms),
                why: h.why.clone(),
                changes: current
                    .map_or(h.version.rows.len(), |c| spanlead_worker_attributes::differing(c, &h.version)),
            });
            let refused = d.shelf.turned().map(|t| Waiting {
                digest: short(&t.digest),
                since_ms: t.since_ms,
                stood_ms: now.saturating_sub(t.since_ms),
                why: t.why.clone(),
                changes: 0,
            });
            let file = d.settings.file.display().to_string();
            Status { name: d.settings.name.clone(), file, version, held, refused }
        };
        self.drawers.iter().map(status).collect()
    }
}

fn log_refusals(name: &str, refusals: &[Refusal], files: &[Arc<str>]) {
    for refusal in refusals.iter().take(SHOWN) {
        tracing::warn!(inventory = name, "{}", refusal.show(files));
    }
    if refusals.len() > SHOWN {
        tracing::warn!(
            inventory = name,
            more = refusals.len() - SHOWN,
            "more of the same file is not written here"
        );
    }
}
