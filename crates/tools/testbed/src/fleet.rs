//! A whole platform: discovery, workers in zones and cells, and the configuration of a scheduler
//! for it.
use crate::deployment::Deployment;
use crate::discovery::{Discovery, Listed};
use crate::record::{Record, What};
use crate::worker::{Behaviour, Callbacks, Known, Memory, Reports, Worker, WorkerPlan};
use crate::workload::{Class, Mode, Scope, Via};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The classes of the deployment that is played when none is named; jobs run `scale` times as long
/// as there.
pub fn classes(scale: f64) -> Vec<Class> {
    Deployment::default_one(Some(scale)).classes
}

/// How a fleet is made.
#[derive(Clone)]
pub struct FleetPlan {
    pub workers: usize,
    pub deployment: Deployment,
    /// The share of workers that go by leases.
    pub leases: f64,
    pub seed: u64,
    /// The list says no more of workers than that they run.
    pub bare: bool,
    /// How many schedulers there are.
    pub schedulers: usize,
}

impl FleetPlan {
    /// So many workers of the default deployment, all of which go by leases.
    pub fn new(workers: usize, scale: f64, seed: u64) -> Self {
        Self::of(Deployment::default_one(Some(scale)), workers, seed)
    }

    /// So many workers of this deployment.
    pub fn of(deployment: Deployment, workers: usize, seed: u64) -> Self {
        FleetPlan { workers, deployment, leases: 1.0, seed, bare: false, schedulers: 1 }
    }
}

/// Discovery and workers; all end with this.
pub struct Fleet {
    pub discovery: Discovery,
    pub record: Record,
    /// Where the schedulers hear notices.
    callbacks: Callbacks,
    pub workers: BTreeMap<String, Worker>,
    /// Workers that run and are not listed.
    unlisted: Vec<Worker>,
    plan: FleetPlan,
    plans: BTreeMap<String, (WorkerPlan, Listed)>,
}

impl Fleet {
    /// Starts discovery and all workers.
    ///
    /// # Errors
    /// If a socket can't be opened on loopback.
    pub async fn start(plan: FleetPlan, record: Record) -> io::Result<Self> {
        let discovery = Discovery::start(record.clone(), plan.deployment.list_late, plan.schedulers).await?;
        let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
        let callbacks = Arc::new(RwLock::new(vec![nobody; plan.schedulers]));
        let mut memories: HashMap<String, Memory> = HashMap::new();
        let mut fleet = Fleet {
            discovery,
            record,
            callbacks,
            workers: BTreeMap::new(),
            unlisted: Vec::new(),
            plan: plan.clone(),
            plans: BTreeMap::new(),
        };
        let d = &plan.deployment;
        for i in 0..plan.workers {
            let zone = &d.zones[i % d.zones.len()];
            // Pods lie within a zone: the workers of a zone are counted off.
            let cell = (i / d.zones.len() / d.pod * d.zones.len() + i % d.zones.len()) as u32;
            let (name, kind) = (format!("w{i:02}"), d.kind(i));
            let known = |class: &Class| {
                let group = match class.scope {
                    Scope::Safe | Scope::Never => name.clone(),
                    Scope::Cell => format!("cell {cell}"),
                    Scope::Zone => format!("zone {zone}"),
                    Scope::All => "all".to_owned(),
                };
                let drops = matches!(class.scope, Scope::Cell | Scope::Zone | Scope::All);
                let memory = drops.then(|| memories.entry(group.clone()).or_default().clone());
                let memory = memory.map(|m| (m, class.window));
                (class.name.clone(), Known { run: class.run, cv: class.cv, memory, group })
            };
            let known = d.classes.iter().map(known).collect::<Vec<_>>().into_iter().collect();
            let worker = WorkerPlan {
                name: name.clone(),
                slots: kind.slots,
                cores: kind.cores,
                memory: kind.memory,
                queue: d.queue,
                speed: kind.speed,
                leases: (i as f64 + 0.5) / (plan.workers as f64) < plan.leases,
                cold: d.cold,
                cold_speed: d.cold_from,
                progress: d.progress,
                reports: Reports {
                    in_answers: d.via == Via::Answers,
                    probes: d.probes,
                    fields: d.fields.clone(),
                    every: d.every,
                    probe_work: d.probe_work,
                },
                classes: known,
                seed: plan.seed.wrapping_add(i as u64),
            };
            let listed = Listed {
                host: name.clone(),
                dials: Vec::new(),
                zone: zone.clone(),
                kind: kind.name.clone(),
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
        let worker = Worker::start(plan.clone(), self.callbacks.clone(), self.record.clone()).await?;
        (listed.dials, listed.health, listed.born_ms) = (worker.addrs.clone(), "active", born_ms);
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
        let worker = Worker::start(plan, self.callbacks.clone(), self.record.clone()).await?;
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
    ///
    /// # Errors
    /// If a socket can't be opened on loopback.
    pub async fn restart(&mut self, name: &str) -> io::Result<()> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        self.record.add(What::Born { worker: name.to_owned() });
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

    /// This scheduler is at this address from now on.
    pub fn call_back_to(&self, scheduler: usize, addr: SocketAddr) {
        let mut all = self.callbacks.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(at) = all.get_mut(scheduler) {
            *at = addr;
        }
    }

    /// The classes.
    pub fn classes(&self) -> &[Class] {
        &self.plan.deployment.classes
    }

    /// What it is like.
    pub fn deployment(&self) -> &Deployment {
        &self.plan.deployment
    }
}

/// The configuration of the one scheduler for this fleet, as the platform would hand it out.
pub fn config(fleet: &Fleet, seed: u64, sockets: usize) -> serde_json::Value {
    config_of(fleet, 0, seed, sockets)
}

/// The configuration of one of its schedulers, of which there are as many as the plan says.
pub fn config_of(fleet: &Fleet, me: usize, seed: u64, sockets: usize) -> serde_json::Value {
    let ns = |d: Duration| d.as_nanos() as u64;
    let d = fleet.deployment();
    let grade = |c: &Class| {
        let (effect, scope) = match c.scope {
            Scope::Safe => ("idempotent", None),
            Scope::Never => ("at_most_once", None),
            Scope::Cell => ("deduplicated", Some("cell")),
            Scope::Zone => ("deduplicated", Some("zone")),
            Scope::All => ("deduplicated", Some("all")),
        };
        let mut grade = serde_json::json!({
            "name": c.name, "aim": ns(c.aim), "aimStretch": c.stretch, "deadline": ns(c.deadline),
            "value": c.worth, "lateShare": c.late, "effect": effect,
        });
        if let Some(scope) = scope {
            grade["dedupScope"] = scope.into();
            grade["keyTtl"] = ns(c.window).into();
        }
        grade
    };
    let grades: Vec<_> = d.classes.iter().map(grade).collect();
    let tenants: Vec<_> = d.tenants.iter().map(|name| serde_json::json!({ "name": name })).collect();
    let has = |field: &str| d.fields.iter().any(|f| f == field);
    let mut info = serde_json::json!({"tellsStart": true, "progress": ns(d.progress)});
    for (field, key, meaning) in [("x0", "reportX0", "free slots"), ("x1", "reportX1", "free memory")] {
        if has(field) {
            info[key] = meaning.into();
        }
    }
    serde_json::json!({
        "name": format!("n{me}"), "seed": format!("{:x}", seed.wrapping_add(me as u64)),
        "discovery": fleet.discovery.addrs[me].to_string(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": fleet.discovery.known(me),
        "settings": {
            "az": me % d.zones.len(), "azs": d.zones, "kinds": d.kinds.iter().map(|k| k.name.clone()).collect::<Vec<_>>(),
            "grades": grades, "tenants": tenants, "me": me, "nInstances": fleet.plan.schedulers, "worthBy": "request",
            "discovery": match d.mode { Mode::Watch => "subscribe", Mode::Push => "automatic" },
            "report": {"via": match d.via { Via::Answers => "answers", Via::Probe => "probe", Via::None => "none" }},
            "familyInfo": info,
            "limits": {"cancel": d.cancel, "probes": d.probes, "connIdle": ns(d.idle), "connectTimeout": 250_000_000u64,
                "maxAttempts": d.attempts, "retryAfter": !d.retry_after.is_zero(), "maxRetryAfter": ns(d.retry_after),
                "streamsPerConn": 1, "secondCopies": d.second_copies, "peerMessages": true},
            "prices": {"handshake": d.prices.handshake, "probe": d.prices.probe, "crossZone": d.prices.cross_zone,
                "waste": d.prices.waste, "connection": d.prices.connection},
            "rules": {"askEvery": 10_000_000_000u64, "drainGrace": ns(d.drain_grace), "cold": ns(d.cold),
                "coldFrom": d.cold_from, "tipMultiple": d.tip_multiple, "tipAfter": ns(d.tip)},
            "round": 2_000_000u64,
        },
    })
}
