//! A whole platform: discovery, workers in zones and cells, and the configuration of a scheduler for it.
use crate::discovery::{Discovery, Listed};
use crate::record::Record;
use crate::worker::{Behaviour, Callback, Known, Memory, Worker, WorkerPlan};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Who drops a class's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Repeats are harmless.
    Safe,
    /// The workers of a cell.
    Cell,
    /// The workers of a zone.
    Zone,
    /// Nobody: it must never run twice.
    Never,
}

/// A class of jobs.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    pub scope: Scope,
    /// How long repeats are dropped.
    pub window: Duration,
    /// How long a job runs on average at speed 1.
    pub run: Duration,
    /// How long clients wait.
    pub deadline: Duration,
    pub worth: f64,
    /// Its share of the jobs.
    pub share: f64,
}

/// The classes of the deployment with one that must never run twice in place of one that is dropped by cells; jobs run
/// `scale` times as long as there.
pub fn classes(scale: f64) -> Vec<Class> {
    let class = |name, scope, window, run: f64, deadline, worth, share| Class {
        name,
        scope,
        window: Duration::from_secs(window),
        run: Duration::from_secs_f64(run * scale),
        deadline: Duration::from_millis(deadline),
        worth,
        share,
    };
    vec![
        class("status-check", Scope::Safe, 0, 0.6, 7500, 1.0, 0.31),
        class("guest-visit", Scope::Cell, 25, 1.2, 15_000, 8.0, 0.27),
        class("club-settlement", Scope::Zone, 40, 3.7, 25_000, 5.0, 0.22),
        class("new-membership", Scope::Never, 0, 2.5, 25_000, 10.0, 0.20),
    ]
}

/// How a fleet is made.
#[derive(Clone)]
pub struct FleetPlan {
    pub workers: usize,
    pub slots: usize,
    pub queue: usize,
    pub classes: Vec<Class>,
    /// The share of workers that go by leases.
    pub leases: f64,
    pub cold: Duration,
    pub progress: Duration,
    pub seed: u64,
    /// The list says no more of workers than that they run.
    pub bare: bool,
}

impl FleetPlan {
    /// So many workers of two slots, all of which go by leases.
    pub fn new(workers: usize, scale: f64, seed: u64) -> Self {
        FleetPlan {
            workers,
            slots: 2,
            queue: 8,
            classes: classes(scale),
            leases: 1.0,
            cold: Duration::from_secs(1),
            progress: Duration::from_millis(500),
            seed,
            bare: false,
        }
    }
}

const ZONES: [&str; 3] = ["solna", "kista", "haninge"];

/// Discovery and workers; all end with this.
pub struct Fleet {
    pub discovery: Discovery,
    pub record: Record,
    /// Where the scheduler hears notices.
    pub callback: Callback,
    pub workers: BTreeMap<String, Worker>,
    /// Workers that run and are not listed.
    unlisted: Vec<Worker>,
    plan: FleetPlan,
    plans: BTreeMap<String, (WorkerPlan, Listed)>,
}

impl Fleet {
    /// Starts discovery and all workers.
    pub async fn start(plan: FleetPlan, record: Record) -> io::Result<Self> {
        let discovery = Discovery::start(record.clone()).await?;
        let callback = Arc::new(RwLock::new(SocketAddr::from(([127, 0, 0, 1], 9))));
        let mut memories: HashMap<String, Memory> = HashMap::new();
        let mut fleet = Fleet {
            discovery,
            record,
            callback,
            workers: BTreeMap::new(),
            unlisted: Vec::new(),
            plan: plan.clone(),
            plans: BTreeMap::new(),
        };
        for i in 0..plan.workers {
            let (name, zone, cell) = (format!("w{i:02}"), ZONES[i % 3], (i / 2) as u32);
            let known = |class: &Class| {
                let group = match class.scope {
                    Scope::Safe | Scope::Never => name.clone(),
                    // Cells lie within a zone here: two workers each.
                    Scope::Cell => format!("cell {cell}"),
                    Scope::Zone => format!("zone {zone}"),
                };
                let drops = matches!(class.scope, Scope::Cell | Scope::Zone);
                let memory = drops.then(|| memories.entry(group.clone()).or_default().clone());
                (
                    class.name.to_owned(),
                    Known { run: class.run, memory: memory.map(|m| (m, class.window)), group },
                )
            };
            let known = plan.classes.iter().map(known).collect::<Vec<_>>().into_iter().collect();
            let slow = i % 5 >= 3;
            let worker = WorkerPlan {
                name: name.clone(),
                slots: plan.slots,
                queue: plan.queue,
                speed: if slow { 0.75 } else { 1.0 },
                leases: (i as f64 + 0.5) / (plan.workers as f64) < plan.leases,
                cold: plan.cold,
                cold_speed: 0.3,
                progress: plan.progress,
                classes: known,
                seed: plan.seed.wrapping_add(i as u64),
            };
            let listed = Listed {
                host: name.clone(),
                dial: SocketAddr::from(([127, 0, 0, 1], 9)),
                zone: zone.to_owned(),
                kind: if slow { "slow-2c" } else { "std-2c" }.to_owned(),
                cell,
                health: "active",
                born_ms: 0,
                bare: plan.bare,
            };
            fleet.plans.insert(name.clone(), (worker, listed));
            fleet.begin(&name, 0).await?;
        }
        Ok(fleet)
    }

    async fn begin(&mut self, name: &str, born_ms: u64) -> io::Result<()> {
        let Some((plan, listed)) = self.plans.get_mut(name) else { return Ok(()) };
        let worker = Worker::start(plan.clone(), self.callback.clone(), self.record.clone()).await?;
        (listed.dial, listed.health, listed.born_ms) = (worker.addr, "active", born_ms);
        self.discovery.list(listed.clone());
        self.workers.insert(name.to_owned(), worker);
        Ok(())
    }

    /// Starts a worker that discovery never names.
    ///
    /// # Errors
    /// If no address is free.
    pub async fn start_unlisted(&mut self, name: &str) -> io::Result<()> {
        let Some((plan, _)) = self.plans.values().next() else { return Ok(()) };
        let plan = WorkerPlan { name: name.to_owned(), ..plan.clone() };
        let worker = Worker::start(plan, self.callback.clone(), self.record.clone()).await?;
        self.unlisted.push(worker);
        Ok(())
    }

    /// The names of its workers, running or not.
    pub fn names(&self) -> Vec<String> {
        self.plans.keys().cloned().collect()
    }

    /// What the list says of them, or would if it weren't bare.
    pub fn listed(&self) -> Vec<Listed> {
        self.plans.values().map(|(_, listed)| listed.clone()).collect()
    }

    /// Kills a worker; discovery tells of it only when it is back, as for a machine that restarts.
    pub fn kill(&mut self, name: &str) {
        self.workers.remove(name);
    }

    /// Starts a worker that was killed, cold, at another address.
    pub async fn restart(&mut self, name: &str) -> io::Result<()> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.begin(name, born).await
    }

    /// Lists a worker as leaving, or as active again. It finishes what it has begun.
    pub fn drain(&mut self, name: &str, leaving: bool) {
        if let Some((_, listed)) = self.plans.get_mut(name) {
            listed.health = if leaving { "leaving" } else { "active" };
            self.discovery.list(listed.clone());
        }
    }

    /// Changes how a worker behaves.
    pub fn change(&self, name: &str, change: impl FnOnce(&mut Behaviour)) {
        if let Some(worker) = self.workers.get(name) {
            worker.behaviour.send_modify(change);
        }
    }

    /// A scheduler is at this address from now on.
    pub fn call_back_to(&self, addr: SocketAddr) {
        *self.callback.write().unwrap_or_else(PoisonError::into_inner) = addr;
    }

    /// The classes.
    pub fn classes(&self) -> &[Class] {
        &self.plan.classes
    }
}

/// The configuration of a scheduler for this fleet, as the platform would hand it out.
pub fn config(fleet: &Fleet, seed: u64, sockets: usize) -> serde_json::Value {
    let ns = |d: Duration| d.as_nanos() as u64;
    let grades: Vec<_> = fleet
        .classes()
        .iter()
        .map(|c| {
            let effect = match c.scope {
                Scope::Safe => "idempotent",
                Scope::Never => "at_most_once",
                Scope::Cell | Scope::Zone => "deduplicated",
            };
            let mut grade = serde_json::json!({
                "name": c.name, "aim": 1_000_000_000u64, "aimStretch": 2.0, "deadline": ns(c.deadline),
                "value": c.worth, "lateShare": 0.4, "effect": effect,
            });
            if effect == "deduplicated" {
                let scope = if c.scope == Scope::Cell { "cell" } else { "zone" };
                grade["dedupScope"] = scope.into();
                grade["keyTtl"] = ns(c.window).into();
            }
            grade
        })
        .collect();
    serde_json::json!({
        "name": "n0", "seed": format!("{seed:x}"), "discovery": fleet.discovery.addr.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": fleet.discovery.known(),
        "settings": {
            "az": 0, "azs": ZONES, "kinds": ["std-2c", "slow-2c"], "grades": grades, "discovery": "subscribe",
            "tenants": [{"name": "kraftverket"}, {"name": "norrtrim"}], "me": 0, "nInstances": 1,
            "report": {"via": "answers"},
            "familyInfo": {"reportX0": "free slots", "tellsStart": true, "progress": ns(Duration::from_millis(500))},
            "limits": {"cancel": true, "probes": true, "connIdle": 10_000_000_000u64, "connectTimeout": 250_000_000u64,
                "maxAttempts": 6, "retryAfter": true, "maxRetryAfter": 2_000_000_000u64, "streamsPerConn": 1},
            "rules": {"askEvery": 10_000_000_000u64, "drainGrace": 750_000_000u64, "cold": ns(Duration::from_secs(1)),
                "coldFrom": 0.3, "tipMultiple": 3.0, "tipAfter": 3_000_000_000u64},
            "round": 2_000_000u64,
        },
    })
}
