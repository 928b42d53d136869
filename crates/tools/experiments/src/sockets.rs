//! The load of an experiment on real sockets: a scheduler as a process among stand-in workers on
//! loopback, and a bare relay in its
//! place, one after the other under the same seed. Jobs come when they come, whatever is still open
//! (open loop), and a job's
//! time counts from when it should have come, so that a stall is not left out of the tail
//! (coordinated omission; Tene,
//! "How NOT to Measure Latency", 2013).
use crate::spec::{Experiment, Law, Repeats};
use spanlead_testbed::{
    Class, Deployment, Fleet, FleetPlan, Load, Plan, Record, Scheduler, Scope, Summary, config, cpu_of,
};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

type Failure = Box<dyn std::error::Error>;

/// More workers than that don't fit one machine beside the load.
const MOST_WORKERS: u32 = 64;

/// What came of a load.
pub struct Played {
    /// By class.
    pub summary: Summary,
    /// The time on a CPU that the process took meanwhile.
    pub cpu: Duration,
}

/// What is played against.
pub enum Target<'p> {
    /// The scheduler: this program.
    Scheduler(&'p Path),
    /// The bare relay: this program, with the sub-command `relay`.
    Relay(&'p Path),
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The classes as stand-ins run them, `scale` times as long.
fn classes(experiment: &Experiment, scale: f64) -> Vec<Class> {
    let class = |c: &crate::spec::ClassSpec| Class {
        name: c.name.clone(),
        scope: match c.repeats {
            Repeats::Harmless => Scope::Safe,
            Repeats::Pod => Scope::Cell,
            Repeats::Zone => Scope::Zone,
            Repeats::Never => Scope::Never,
        },
        window: Duration::from_secs_f64(c.window_s),
        run: Duration::from_secs_f64(c.run_ms / 1000.0 * scale),
        cv: c.cv,
        aim: Duration::from_secs_f64(c.aim_ms / 1000.0),
        stretch: c.stretch,
        deadline: Duration::from_secs_f64(c.deadline_s),
        worth: c.worth,
        late: c.late,
        share: c.share,
        memory: (0.0, 0.0),
    };
    experiment.classes.iter().map(class).collect()
}

/// Jobs a second that an experiment's load is, with running times `scale` times as long.
pub fn rate(experiment: &Experiment, scale: f64) -> f64 {
    let f = &experiment.fleet;
    let speeds = f.speeds.iter().sum::<f64>() / f.speeds.len() as f64;
    let capacity = f64::from(f.workers * f.cores.min(f.slots)) * speeds;
    let all: f64 = experiment.classes.iter().map(|c| c.share).sum();
    let mean: f64 = experiment.classes.iter().map(|c| c.run_ms / 1000.0 * c.share / all).sum();
    experiment.load.utilisation * capacity / (mean * scale)
}

/// Plays an experiment's load for its duration.
///
/// # Errors
/// If the experiment is too large for sockets, or a process doesn't start.
pub async fn play(
    experiment: &Experiment,
    scale: f64,
    seed: u64,
    target: Target<'_>,
) -> Result<Played, Failure> {
    let f = &experiment.fleet;
    if f.workers > MOST_WORKERS {
        return Err(format!("fleet.workers: {} on sockets, {MOST_WORKERS} at the most", f.workers).into());
    }
    if experiment.classes.iter().any(|c| c.law == Law::Constant) {
        return Err("class.law: stand-ins vary their running times".into());
    }
    let folder = tempfile::tempdir()?;
    let record = Record::new();
    let mut deployment = Deployment::default_one(Some(scale));
    (deployment.queue, deployment.classes) = (f.queue as usize, classes(experiment, scale));
    for kind in &mut deployment.kinds {
        (kind.slots, kind.cores) = (f.slots as usize, f.cores.min(f.slots) as usize);
    }
    let owners = deployment.tenants.clone();
    let plan = FleetPlan::of(deployment, f.workers as usize, seed);
    let fleet = Fleet::start(plan, record.clone()).await?;
    let listed = fleet.classes().to_vec();
    let (mut scheduler, mut relay) = (None, None);
    let (addr, id) = match target {
        Target::Scheduler(binary) => {
            let mut process =
                Scheduler::new(binary, folder.path(), &config(&fleet, seed, 4096), "", record.clone())?;
            fleet.call_back_to(0, process.addr);
            process.start().await?;
            let found = (process.addr, process.id().unwrap_or(0));
            scheduler = Some(process);
            found
        }
        Target::Relay(binary) => {
            let addr: SocketAddr = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            fleet.call_back_to(0, addr);
            let workers: Vec<String> = fleet.listed().iter().map(|l| l.dials[0].to_string()).collect();
            let mut command = Command::new(binary);
            command.args(["relay", "--listen", &addr.to_string(), "--workers", &workers.join(",")]);
            let child = Process(command.stdin(Stdio::null()).spawn()?);
            let until = Instant::now() + Duration::from_secs(10);
            while std::net::TcpStream::connect(addr).is_err() {
                if Instant::now() > until {
                    return Err("the relay does not start".into());
                }
                sleep_until(Instant::now() + Duration::from_millis(10)).await;
            }
            let found = (addr, child.0.id());
            relay = Some(child);
            found
        }
    };
    let rate = rate(experiment, scale);
    let jobs = (rate * experiment.load.duration_s) as u64;
    let before = cpu_of(id);
    let load = Load::new(addr, record);
    let plan = Plan { jobs, first: 0, rate, at_once: 4096, doubled: 0.0, only: Vec::new(), owners, seed };
    let summary = load.play(&plan, &listed).await;
    let cpu = cpu_of(id).checked_sub(before).unwrap();
    if let Some(mut process) = scheduler {
        process.kill().await;
    }
    drop(relay);
    Ok(Played { summary, cpu })
}
