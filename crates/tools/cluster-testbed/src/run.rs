//! A trial: the whole system, its workers and clients, and the troubles that are asked for.
use crate::clients::{self, HOST, PREFIX, Shared, lock};
use crate::operate::control;
use crate::platform::Platform;
use crate::processes::{Machines, Ports, Role, TrialError};
use crate::report;
use async_std::task;
use clap::Args;
use http_types::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::json;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a trial is like.
#[derive(Args, Clone, Debug)]
pub struct TrialOptions {
    /// Jobs to hand in.
    #[arg(long, default_value_t = 300)]
    pub jobs: usize,
    /// Jobs a second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Machines of the control plane: 2f + 1 bear the loss of f.
    #[arg(long, default_value_t = 3)]
    pub control: usize,
    /// Machines of the data plane.
    #[arg(long, default_value_t = 3)]
    pub data: usize,
    /// Workers.
    #[arg(long, default_value_t = 12)]
    pub workers: usize,
    /// Times that a machine of the control plane is killed and started again.
    #[arg(long, default_value_t = 0)]
    pub kill_control: usize,
    /// Times that one is stopped for a while and goes on.
    #[arg(long, default_value_t = 0)]
    pub freeze_control: usize,
    /// Times that one loses its disk.
    #[arg(long, default_value_t = 0)]
    pub wipe_control: usize,
    /// Times that one is ended in order and started again.
    #[arg(long, default_value_t = 0)]
    pub restart_control: usize,
    /// Times that all of them are killed at once.
    #[arg(long, default_value_t = 0)]
    pub kill_all_control: usize,
    /// Times that a machine of the data plane is killed.
    #[arg(long, default_value_t = 0)]
    pub kill_data: usize,
    /// Times that a worker crashes.
    #[arg(long, default_value_t = 0)]
    pub crash_worker: usize,
    /// The share of orders that go unanswered and are carried out late.
    #[arg(long, default_value_t = 0.0)]
    pub late: f64,
    /// Seconds between two troubles: a machine that comes back needs some to catch up.
    #[arg(long, default_value_t = 5.0)]
    pub pause: f64,
    /// What is drawn is drawn by this.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where settings, logs and disks go; a temporary folder if it is left out.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// How much the processes log.
    #[arg(long, default_value = "info")]
    pub log: String,
    /// The first of seven ports that must be free.
    #[arg(long, default_value_t = 27_600)]
    pub port: u16,
}

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    KillControl,
    FreezeControl,
    WipeControl,
    RestartControl,
    KillAllControl,
    KillData,
    CrashWorker,
}

/// How long the system has to serve after its start.
const START: Duration = Duration::from_secs(15);
/// How long accepted jobs may take after the last one was handed in.
const FINISH: Duration = Duration::from_secs(60);

/// Runs a trial; `true` if no rule broke.
///
/// # Errors
/// If the system can't be started.
pub fn run(options: &TrialOptions) -> Result<bool, TrialError> {
    let temporary = tempfile::tempdir().map_err(|e| TrialError::Io("temporary folder".to_owned(), e))?;
    let folder = options.folder.clone().unwrap_or_else(|| temporary.path().to_owned());
    let program = std::env::current_exe().map_err(|e| TrialError::Io("own program".to_owned(), e))?;
    let programs = program.parent().map(PathBuf::from).unwrap_or_default();
    let ports = Ports { first: options.port };
    let mut machines = Machines::new(&folder, &programs, ports, options.control, options.data, &options.log)?;
    task::block_on(play(options, ports, &mut machines))
}

async fn play(options: &TrialOptions, ports: Ports, machines: &mut Machines) -> Result<bool, TrialError> {
    let addresses: Vec<String> =
        (0..options.workers).map(|i| format!("127.71.3.{}:{}", i + 1, ports.worker())).collect();
    let platform = Platform::new(&addresses, options.seed);
    platform.fleet().late_share = options.late;
    task::spawn(platform.clone().pass());
    task::spawn(platform.clone().serve_list(format!("127.71.4.1:{}", ports.list())));
    for (i, address) in addresses.into_iter().enumerate() {
        task::spawn(platform.clone().serve_worker(i, address));
    }
    for i in 0..machines.machines.len() {
        machines.start(i, true)?;
    }
    configure(machines).await?;
    println!(
        "the system serves: {} control, {} data, {} workers",
        options.control, options.data, options.workers
    );
    let tally = Shared::default();
    let faults = trouble(options, machines, &platform, &tally).await?;
    Ok(finish(machines, &platform, &tally, &faults))
}

/// Puts the trial's configuration in force, and waits until it is.
async fn configure(machines: &Machines) -> Result<(), TrialError> {
    let route = json!({ "name": "r-1", "host": HOST, "pathPrefix": PREFIX, "routeType": "mutating",
        "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 1, "service": "s", "maxAttempts": 3,
        "extension": 2.0 });
    let service = json!({ "name": "s", "healthPath": "/healthz", "maxConns": 64, "guards": false });
    let body = json!({ "version": 1, "routes": [route], "services": [service], "limits": {} }).to_string();
    let until = Instant::now() + START;
    let controls = machines.controls();
    let mut tries = controls.iter().cycle();
    while Instant::now() < until {
        let Some(address) = tries.next() else { break };
        let headers = [("Spanlead-Base-Version", "0".to_owned())];
        let answer = control(Method::Post, address, "/config/replace", &headers, Some(body.clone())).await;
        if answer.is_ok_and(|a| a.status == 200) {
            task::sleep(Duration::from_secs(1)).await;
            return Ok(());
        }
        task::sleep(Duration::from_millis(200)).await;
    }
    Err(TrialError::Start("no configuration was taken in time"))
}

fn plan(options: &TrialOptions, rng: &mut ChaCha8Rng) -> Vec<Trouble> {
    use rand::seq::SliceRandom;
    let wanted = [
        (Trouble::KillControl, options.kill_control),
        (Trouble::FreezeControl, options.freeze_control),
        (Trouble::WipeControl, options.wipe_control),
        (Trouble::RestartControl, options.restart_control),
        (Trouble::KillAllControl, options.kill_all_control),
        (Trouble::KillData, options.kill_data),
        (Trouble::CrashWorker, options.crash_worker),
    ];
    let mut plan: Vec<Trouble> =
        wanted.iter().flat_map(|(trouble, count)| std::iter::repeat_n(*trouble, *count)).collect();
    plan.shuffle(rng);
    plan
}

/// Hands jobs in at the rate that was asked for, with the troubles between.
async fn trouble(
    options: &TrialOptions,
    machines: &mut Machines,
    platform: &Platform,
    tally: &Shared,
) -> Result<Vec<(String, usize)>, TrialError> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let plan = plan(options, &mut rng);
    let needed = Duration::from_secs_f64(options.pause * (plan.len() + 1) as f64);
    let lasts = needed.max(Duration::from_secs_f64(options.jobs as f64 / options.rate));
    let jobs = options.jobs.max((lasts.as_secs_f64() * options.rate) as usize);
    let until = Instant::now() + lasts + FINISH;
    let fronts = Arc::new(machines.fronts());
    let feeding = {
        let (platform, tally, seed, gap) =
            (platform.clone(), tally.clone(), options.seed, Duration::from_secs_f64(1.0 / options.rate));
        task::spawn(async move {
            let mut clients = Vec::with_capacity(jobs);
            for n in 0..jobs {
                let seed = seed.wrapping_mul(1_000_003).wrapping_add(n as u64);
                let client = clients::client(platform.clone(), fronts.clone(), tally.clone(), seed, until);
                clients.push(task::spawn(client));
                task::sleep(gap).await;
            }
            for client in clients {
                client.await;
            }
        })
    };
    let mut counts: Vec<(String, usize)> = Vec::new();
    for trouble in plan {
        task::sleep(Duration::from_secs_f64(options.pause)).await;
        let name = strike(trouble, machines, platform, &mut rng).await?;
        println!("{name}; {} of {jobs} jobs handed in", lock(tally).asked);
        let kind = format!("{trouble:?}");
        match counts.iter_mut().find(|(k, _)| *k == kind) {
            Some((_, count)) => *count += 1,
            None => counts.push((kind, 1)),
        }
    }
    feeding.await;
    Ok(counts)
}

async fn strike(
    trouble: Trouble,
    machines: &mut Machines,
    platform: &Platform,
    rng: &mut ChaCha8Rng,
) -> Result<String, TrialError> {
    let control = machines.of(Role::Control);
    let one = control.choose(rng).copied().unwrap_or(0);
    let name = machines.machines[one].node.clone();
    let pause = Duration::from_millis(rng.random_range(200..2_500));
    Ok(match trouble {
        Trouble::KillControl => {
            machines.kill(one);
            task::sleep(pause).await;
            machines.start(one, false)?;
            format!("{name} was killed")
        }
        Trouble::FreezeControl => {
            machines.signal(one, Signal::STOP);
            task::sleep(pause).await;
            machines.signal(one, Signal::CONT);
            format!("{name} stood still for {pause:?}")
        }
        Trouble::WipeControl => {
            machines.wipe(one);
            task::sleep(pause).await;
            machines.start(one, false)?;
            format!("{name} lost its disk")
        }
        Trouble::RestartControl => {
            machines.terminate(one);
            machines.start(one, false)?;
            format!("{name} was restarted")
        }
        Trouble::KillAllControl => {
            control.iter().for_each(|i| machines.kill(*i));
            task::sleep(Duration::from_millis(300)).await;
            for i in control {
                machines.start(i, false)?;
            }
            "all of the control plane were killed".to_owned()
        }
        Trouble::KillData => {
            let data = machines.of(Role::Data);
            let one = data.choose(rng).copied().unwrap_or(0);
            machines.kill(one);
            task::sleep(pause).await;
            machines.start(one, false)?;
            format!("{} was killed", machines.machines[one].node)
        }
        Trouble::CrashWorker => {
            let count = platform.fleet().workers.len();
            let i = rng.random_range(0..count);
            platform.crash(i);
            format!("worker {i} crashed")
        }
    })
}

/// Prints the table and what broke; `true` if nothing did.
fn finish(machines: &mut Machines, platform: &Platform, tally: &Shared, faults: &[(String, usize)]) -> bool {
    let fleet = platform.fleet();
    let tally = lock(tally);
    println!("{}", report::table(&tally, fleet.rules.starts, faults));
    let ended = machines.ended();
    ended.iter().for_each(|node| println!("BROKEN: {node} ended by itself"));
    let broken: Vec<&String> = fleet.rules.broken.iter().chain(&tally.broken).collect();
    broken.iter().for_each(|what| println!("BROKEN: {what}"));
    let served = !tally.accepted.is_empty() && tally.succeeded > 0;
    if !served {
        println!("BROKEN: nothing was served");
    }
    let good = served && broken.is_empty() && ended.is_empty();
    println!("{}", if good { "no rule broken" } else { "rules were broken" });
    good
}
