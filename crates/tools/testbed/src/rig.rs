//! Several processes of the program over one platform, with a network between them: started,
//! stopped, killed and cut off from each
//! other by a script, and looked at through their operators' doors.
use crate::fleet::{Fleet, FleetPlan, config_of};
use crate::http::Connection;
use crate::process::Scheduler;
use crate::record::{Record, What};
use crate::wires::{Way, Wires};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep_until};

/// How a rig is made.
pub struct RigPlan {
    pub fleet: FleetPlan,
    /// Descriptors that each scheduler may hold.
    pub sockets: usize,
    /// The operators' settings of each; `{folder}` stands for its own folder.
    pub conf: String,
    /// The program, and perhaps another version of it for every second scheduler.
    pub binary: PathBuf,
    pub other: Option<PathBuf>,
    pub folder: PathBuf,
}

/// The processes and what is round them; all end with this.
pub struct Rig {
    pub fleet: Fleet,
    pub wires: Wires,
    pub schedulers: Vec<Scheduler>,
    pub record: Record,
}

/// A member as a scheduler's door shows it.
#[derive(Clone, Debug, Deserialize)]
pub struct Seen {
    pub number: usize,
    pub name: Option<String>,
    pub incarnation: String,
    pub state: String,
}

#[derive(Deserialize)]
struct View {
    members: Vec<Seen>,
}

/// A change of a member's state that a scheduler has logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logged {
    /// When, by the wall clock that all processes share.
    pub at: SystemTime,
    pub number: usize,
    pub from: String,
    pub to: String,
}

/// One thing that a script does.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "do", deny_unknown_fields)]
pub enum Act {
    /// Nothing passes from these to those any more, and `both` ways if so said.
    Cut {
        from: Vec<usize>,
        to: Vec<usize>,
        #[serde(default)]
        both: bool,
    },
    /// All cuts end.
    Heal,
    /// Every direction treats datagrams so from now on: shares lost, doubled, cut off, spoilt; the
    /// most delay.
    Weather {
        #[serde(default)]
        loss: f64,
        #[serde(default)]
        double: f64,
        #[serde(default)]
        truncate: f64,
        #[serde(default)]
        corrupt: f64,
        #[serde(default)]
        delay_ms: u64,
    },
    /// One scheduler is cut off from discovery, or no more.
    Discovery { scheduler: usize, cut: bool },
    /// A process stands still for so long.
    Pause { scheduler: usize, ms: u64 },
    /// A process is killed, and started again after so long.
    Kill { scheduler: usize, ms: u64 },
    /// A process is told to end, and started again so long after it has.
    Restart { scheduler: usize, ms: u64 },
    /// A worker is killed, and started again after so long.
    Worker { worker: usize, ms: u64 },
}

/// A thing and when it is done.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Step {
    pub at_ms: u64,
    #[serde(flatten)]
    pub act: Act,
}

/// What goes wrong, and when.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Script {
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// How many of each there are in a script drawn by a seed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mixture {
    pub schedulers: usize,
    pub workers: usize,
    pub length: Duration,
    pub loss: f64,
    pub cuts: u32,
    pub pauses: u32,
    pub kills: u32,
    pub restarts: u32,
    pub blind: u32,
    pub worker_kills: u32,
}

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// With the line and the reason.
    pub fn parse(text: &str, schedulers: usize, workers: usize) -> Result<Self, String> {
        let script: Script = toml::from_str(text).map_err(|e| {
            let line = e.span().map_or(0, |s| 1 + text[..s.start].matches('\n').count());
            format!("{line}: {}", e.message())
        })?;
        let bad = |step: &&Step| match &step.act {
            Act::Cut { from, to, .. } => from.iter().chain(to).any(|s| *s >= schedulers),
            Act::Weather { loss, double, truncate, corrupt, .. } => {
                [loss, double, truncate, corrupt].iter().any(|x| !(0.0..=1.0).contains(*x))
            }
            Act::Discovery { scheduler, .. }
            | Act::Pause { scheduler, .. }
            | Act::Kill { scheduler, .. }
            | Act::Restart { scheduler, .. } => *scheduler >= schedulers,
            Act::Worker { worker, .. } => *worker >= workers,
            Act::Heal => false,
        };
        match script.steps.iter().position(|s| bad(&s)) {
            Some(i) => Err(format!("step {}: names what is not there, or a share that is none", i + 1)),
            None => Ok(script),
        }
    }

    /// A script by a seed. Everything has ended when its length is over.
    pub fn draw(mix: &Mixture, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x7363_7269_7074);
        let length = mix.length.as_millis() as u64;
        let mut steps = vec![Step {
            at_ms: 0,
            act: Act::Weather { loss: mix.loss, double: 0.02, truncate: 0.01, corrupt: 0.01, delay_ms: 30 },
        }];
        let at = |rng: &mut SmallRng| rng.random_range(length / 20..length * 3 / 4);
        for _ in 0..mix.cuts {
            let mut all: Vec<usize> = (0..mix.schedulers).collect();
            all.shuffle(&mut rng);
            // Of one direction, of a pair, of a minority, of a half.
            let some = match rng.random_range(0..3) {
                0 => 1,
                1 => mix.schedulers / 2,
                _ => 1 + mix.schedulers / 4,
            };
            let (from, to) = all.split_at(some.clamp(1, mix.schedulers - 1));
            let begun = at(&mut rng);
            let act = Act::Cut { from: from.to_vec(), to: to.to_vec(), both: rng.random_bool(0.5) };
            steps.push(Step { at_ms: begun, act });
            let healed = begun + rng.random_range(200..(length / 6).max(201));
            steps.push(Step { at_ms: healed.min(length), act: Act::Heal });
        }
        let span = |rng: &mut SmallRng| rng.random_range(100..(length / 6).max(101));
        for (count, what) in
            [(mix.pauses, 0), (mix.kills, 1), (mix.restarts, 2), (mix.worker_kills, 3), (mix.blind, 4)]
        {
            for _ in 0..count {
                let (at_ms, ms) = (at(&mut rng), span(&mut rng));
                let scheduler = rng.random_range(0..mix.schedulers);
                let worker = rng.random_range(0..mix.workers);
                let act = match what {
                    0 => Act::Pause { scheduler, ms },
                    1 => Act::Kill { scheduler, ms: ms.min(1000) },
                    2 => Act::Restart { scheduler, ms: ms.min(1000) },
                    3 => Act::Worker { worker, ms },
                    _ => Act::Discovery { scheduler, cut: true },
                };
                if what == 4 {
                    steps.push(Step { at_ms: at_ms + ms, act: Act::Discovery { scheduler, cut: false } });
                }
                steps.push(Step { at_ms, act });
            }
        }
        steps.sort_by_key(|s| s.at_ms);
        Script { steps }
    }
}

impl Rig {
    /// Starts the platform and all schedulers.
    ///
    /// # Errors
    /// If something does not start.
    pub async fn start(plan: RigPlan, seed: u64) -> io::Result<Self> {
        let record = Record::new();
        let count = plan.fleet.schedulers;
        let fleet = Fleet::start(plan.fleet, record.clone()).await?;
        let wires = Wires::start(count, seed).await?;
        let mut schedulers = Vec::new();
        for me in 0..count {
            let folder = plan.folder.join(format!("n{me}"));
            std::fs::create_dir_all(&folder)?;
            let mut config = config_of(&fleet, me, seed, plan.sockets);
            config["peer_listen"] = wires.listens[me].to_string().into();
            config["peers"] = wires.peers_of(me).iter().map(|a| a.to_string()).collect::<Vec<_>>().into();
            let conf = plan.conf.replace("{folder}", &folder.display().to_string());
            let binary = plan.other.as_ref().filter(|_| me % 2 == 1).unwrap_or(&plan.binary);
            let mut scheduler = Scheduler::new(binary, &folder, &config, &conf, record.clone())?;
            scheduler.number = me as u32;
            fleet.call_back_to(me, scheduler.addr);
            schedulers.push(scheduler);
        }
        let mut rig = Rig { fleet, wires, schedulers, record };
        for scheduler in &mut rig.schedulers {
            scheduler.start().await?;
        }
        Ok(rig)
    }

    /// Gives a scheduler, from its next start, only the first `count` schedulers as peers, and
    /// these settings of the operators'.
    ///
    /// # Errors
    /// If its files can't be read or written.
    pub fn configure(&self, scheduler: usize, count: usize, conf: &str) -> io::Result<()> {
        let process = &self.schedulers[scheduler];
        let mut config = process.config()?;
        let peers = self.wires.peers_of(scheduler);
        config["peers"] = peers.iter().take(count).map(|a| a.to_string()).collect::<Vec<_>>().into();
        config["settings"]["nInstances"] = count.into();
        process.configure(&config, conf)
    }

    /// What a scheduler's door answers; `None` if it doesn't, or says no.
    pub async fn ask(&self, scheduler: usize, path: &str) -> Option<serde_json::Value> {
        let (status, body) = self.call(scheduler, Method::GET, path).await?;
        status.is_success().then(|| serde_json::from_slice(&body).ok())?
    }

    /// Tells a scheduler's door to do something; the status that it answers.
    pub async fn order(&self, scheduler: usize, path: &str) -> Option<u16> {
        Some(self.call(scheduler, Method::POST, path).await?.0.as_u16())
    }

    async fn call(&self, scheduler: usize, method: Method, path: &str) -> Option<(StatusCode, Bytes)> {
        let until = Instant::now() + Duration::from_secs(2);
        let mut door = Connection::open(self.schedulers[scheduler].operator, until).await.ok()?;
        let request = Request::builder().method(method).uri(path).header("host", "operator");
        let (head, body) = door.exchange(request.body("".into()).ok()?, until).await?.ok()?;
        Some((head.status, body))
    }

    /// The members as this scheduler sees them.
    pub async fn members(&self, scheduler: usize) -> Option<Vec<Seen>> {
        let view = self.ask(scheduler, "/ops/members").await?;
        serde_json::from_value::<View>(view).ok().map(|v| v.members)
    }

    /// The changes of members' states that this scheduler has logged, of all its starts.
    pub fn logged(&self, scheduler: usize) -> Vec<Logged> {
        let log = self.schedulers[scheduler].log();
        let field = |line: &str, key: &str| {
            let rest = line.split_once(&format!(" {key}="))?.1;
            rest.split_whitespace().next().map(str::to_owned)
        };
        let change = |line: &str| {
            let at = humantime::parse_rfc3339(line.split_whitespace().next()?).ok()?;
            let line = line.split_once(" member ")?.1.to_owned();
            let line = format!(" {line}");
            let number = field(&line, "number")?.parse().ok()?;
            Some(Logged { at, number, from: field(&line, "from")?, to: field(&line, "to")? })
        };
        log.lines().filter_map(change).collect()
    }

    /// Waits until it holds of all views; those of schedulers that don't answer are `None`. Tells
    /// whether it came to that.
    pub async fn until(&self, patience: Duration, holds: impl Fn(&[Option<Vec<Seen>>]) -> bool) -> bool {
        let until = Instant::now() + patience;
        loop {
            let mut views = Vec::new();
            for scheduler in 0..self.schedulers.len() {
                views.push(self.members(scheduler).await);
            }
            if holds(&views) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            sleep_until(Instant::now() + Duration::from_millis(50)).await;
        }
    }

    /// Waits until all see all as alive.
    pub async fn whole(&self, patience: Duration) -> bool {
        self.until(patience, |views| {
            views.iter().all(|view| view.as_ref().is_some_and(|v| v.iter().all(|m| m.state == "alive")))
        })
        .await
    }

    /// Does one thing of a script; what is to follow later.
    ///
    /// # Errors
    /// If a process does not start again.
    pub async fn act(&mut self, act: Act) -> io::Result<Vec<(Duration, Follow)>> {
        let after = |ms: u64, follow| vec![(Duration::from_millis(ms), follow)];
        let note = |what: String| self.record.add(What::Network { what });
        match act {
            Act::Cut { from, to, both } => {
                note(format!("cut {from:?} to {to:?}, both {both}"));
                self.wires.cut(&from, &to, true);
                if both {
                    self.wires.cut(&to, &from, true);
                }
            }
            Act::Heal => {
                note("healed".into());
                self.wires.change_all(|way| way.cut = false);
            }
            Act::Weather { loss, double, truncate, corrupt, delay_ms } => {
                note(format!(
                    "loss {loss}, doubled {double}, cut off {truncate}, spoilt {corrupt}, {delay_ms} ms"
                ));
                let delay = (Duration::ZERO, Duration::from_millis(delay_ms));
                self.wires
                    .change_all(|way| *way = Way { cut: way.cut, loss, double, truncate, corrupt, delay });
            }
            Act::Discovery { scheduler, cut } => {
                note(format!("discovery and {scheduler}: cut {cut}"));
                self.fleet.discovery.cut(scheduler, cut);
            }
            Act::Pause { scheduler, ms } => {
                // One that is down already stays so.
                if self.schedulers[scheduler].id().is_some() {
                    self.schedulers[scheduler].pause(true);
                    return Ok(after(ms, Follow::GoOn(scheduler)));
                }
            }
            Act::Kill { scheduler, ms } => {
                self.schedulers[scheduler].kill().await;
                return Ok(after(ms, Follow::Start(scheduler)));
            }
            Act::Restart { scheduler, ms } => {
                if self.schedulers[scheduler].id().is_some() {
                    // One that stands still could not hear it.
                    self.schedulers[scheduler].pause(false);
                    self.schedulers[scheduler].terminate();
                    return Ok(after(ms, Follow::Ended(scheduler, ms)));
                }
            }
            Act::Worker { worker, ms } => {
                let name = self.fleet.names()[worker].clone();
                self.fleet.kill(&name);
                return Ok(after(ms, Follow::Worker(name)));
            }
        }
        Ok(Vec::new())
    }

    /// Does what follows from something done before; what follows from that.
    ///
    /// # Errors
    /// If a process does not start again.
    pub async fn follow(&mut self, follow: Follow) -> io::Result<Vec<(Duration, Follow)>> {
        match follow {
            Follow::GoOn(scheduler) => self.schedulers[scheduler].pause(false),
            Follow::Start(scheduler) if self.schedulers[scheduler].id().is_none() => {
                self.schedulers[scheduler].start().await?;
            }
            Follow::Start(_) => {}
            Follow::Ended(scheduler, ms) => {
                if self.schedulers[scheduler].ended() {
                    return Ok(vec![(Duration::from_millis(ms), Follow::Start(scheduler))]);
                }
                return Ok(vec![(Duration::from_millis(50), Follow::Ended(scheduler, ms))]);
            }
            Follow::Worker(name) => {
                if !self.fleet.workers.contains_key(&name) {
                    self.fleet.restart(&name).await?;
                }
            }
        }
        Ok(Vec::new())
    }

    /// Plays a script to its end, all that follows included.
    ///
    /// # Errors
    /// If a process does not start again.
    pub async fn play(&mut self, script: Script) -> io::Result<()> {
        let begun = Instant::now();
        let mut steps: std::collections::VecDeque<Step> = script.steps.into();
        let mut later: Vec<(Instant, Follow)> = Vec::new();
        loop {
            let step = steps.front().map(|s| begun + Duration::from_millis(s.at_ms));
            let follow = later.iter().map(|(at, _)| *at).min();
            let Some(next) = step.into_iter().chain(follow).min() else { return Ok(()) };
            sleep_until(next).await;
            let new = if step == Some(next) {
                let Some(step) = steps.pop_front() else { continue };
                self.act(step.act).await?
            } else {
                let Some(at) = later.iter().position(|(at, _)| *at == next) else { continue };
                let (_, follow) = later.swap_remove(at);
                self.follow(follow).await?
            };
            later.extend(new.into_iter().map(|(after, follow)| (Instant::now() + after, follow)));
        }
    }

    /// Ends all faults of the network, and starts or wakes every scheduler that is down.
    ///
    /// # Errors
    /// If a process does not start again.
    pub async fn mend(&mut self) -> io::Result<()> {
        self.wires.change_all(|way| *way = Way::default());
        for scheduler in 0..self.schedulers.len() {
            self.fleet.discovery.cut(scheduler, false);
            self.schedulers[scheduler].pause(false);
            if self.schedulers[scheduler].ended() {
                self.schedulers[scheduler].start().await?;
            }
        }
        Ok(())
    }
}

/// What follows from a thing done.
#[derive(Clone, Debug)]
pub enum Follow {
    GoOn(usize),
    Start(usize),
    /// It was told to end; started again so many milliseconds after it has.
    Ended(usize, u64),
    Worker(String),
}
