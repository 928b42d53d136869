//! A trial: the whole system on loopback addresses, with simulated workers, clients and faults.
use crate::clients::{self, ClientContext, SharedTally, lock};
use crate::configuration::configuration;
use crate::deployment_form::DeploymentForm;
use crate::fault_plan::{FaultCount, count_fault, inject_fault, plan_faults};
use crate::http_client::{HttpRequest, call_control_plane};
use crate::platform::{ListOptions, Platform};
use crate::process_control::{Layout, Machines, Ports, TrialError, program_folder};
use crate::report;
use crate::trial_options::TrialOptions;
use async_std::task::{self, JoinHandle};
use http_types::Method;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the system may take after its start until it accepts a configuration.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Between two attempts to replace the configuration.
const CONFIGURATION_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long the configuration takes to spread, with slack.
const CONFIGURATION_SPREAD: Duration = Duration::from_secs(1);
/// How long accepted jobs may take after the last one was submitted.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// The seed of client `n` is the trial's seed times this, plus `n`.
const CLIENT_SEED_FACTOR: u64 = 1_000_003;

/// Runs a trial; `true` if no rule was broken.
///
/// # Errors
/// If the system can't be started.
pub fn run(options: &TrialOptions) -> Result<bool, TrialError> {
    let temporary = tempfile::tempdir().map_err(|e| TrialError::Io("temporary folder".to_owned(), e))?;
    let folder = options.folder.clone().unwrap_or_else(|| temporary.path().to_owned());
    let layout = Layout {
        folder,
        programs: program_folder()?,
        ports: Ports { first: options.port },
        control: options.control,
        data: options.data,
        bounds: DeploymentForm::Small.bounds(),
        has_forwarders: false,
        log: options.log.clone(),
    };
    let mut machines = Machines::new(layout)?;
    task::block_on(run_system(options, &mut machines))
}

async fn run_system(options: &TrialOptions, machines: &mut Machines) -> Result<bool, TrialError> {
    let platform = Platform::start(options.workers, options.seed, machines.ports(), ListOptions::default());
    platform.fleet().late_share = options.late;
    for index in 0..machines.machines.len() {
        machines.start(index, true)?;
    }
    replace_configuration(machines).await?;
    println!(
        "the system serves: {} control, {} data, {} workers",
        options.control, options.data, options.workers
    );
    let tally = SharedTally::default();
    let faults = run_load(options, machines, &platform, &tally).await?;
    Ok(print_result(machines, &platform, &tally, &faults))
}

/// Replaces the configuration by the trial's one, and waits until it has spread.
async fn replace_configuration(machines: &Machines) -> Result<(), TrialError> {
    let body = configuration(1, &[]);
    let until = Instant::now() + START_TIMEOUT;
    let controls = machines.control_addresses();
    let mut attempts = controls.iter().cycle();
    while Instant::now() < until {
        let Some(address) = attempts.next() else { break };
        let headers = [("Spanlead-Base-Version", "0".to_owned())];
        let request = HttpRequest {
            method: Method::Post,
            host: None,
            path: "/config/replace",
            headers: &headers,
            body: Some(body.clone()),
        };
        let response = call_control_plane(address, &request).await;
        if response.is_ok_and(|response| response.status == 200) {
            task::sleep(CONFIGURATION_SPREAD).await;
            return Ok(());
        }
        task::sleep(CONFIGURATION_RETRY_INTERVAL).await;
    }
    Err(TrialError::Start("no configuration was taken in time"))
}

/// Submits jobs at the rate of the options, and injects the faults meanwhile.
async fn run_load(
    options: &TrialOptions,
    machines: &mut Machines,
    platform: &Platform,
    tally: &SharedTally,
) -> Result<Vec<FaultCount>, TrialError> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let plan = plan_faults(options, &mut rng);
    let faults_last = Duration::from_secs_f64(options.pause * (plan.len() + 1) as f64);
    let load_lasts = faults_last.max(Duration::from_secs_f64(options.jobs as f64 / options.rate));
    let jobs = options.jobs.max((load_lasts.as_secs_f64() * options.rate) as usize);
    let context = ClientContext {
        platform: platform.clone(),
        fronts: Arc::new(machines.front_addresses()),
        tally: tally.clone(),
        until: Instant::now() + load_lasts + FINISH_TIMEOUT,
    };
    let clients = spawn_clients(context, options, jobs);
    let mut counts = Vec::new();
    for fault in plan {
        task::sleep(Duration::from_secs_f64(options.pause)).await;
        let description = inject_fault(fault, machines, platform, &mut rng).await?;
        println!("{description}; {} of {jobs} jobs handed in", lock(tally).submitted);
        count_fault(&mut counts, fault);
    }
    clients.await;
    Ok(counts)
}

/// Starts a client a job, at the rate of the options. The task ends after the last client.
fn spawn_clients(context: ClientContext, options: &TrialOptions, jobs: usize) -> JoinHandle<()> {
    let trial_seed = options.seed;
    let interval = Duration::from_secs_f64(1.0 / options.rate);
    task::spawn(async move {
        let mut clients = Vec::with_capacity(jobs);
        for number in 0..jobs {
            let seed = trial_seed.wrapping_mul(CLIENT_SEED_FACTOR).wrapping_add(number as u64);
            clients.push(task::spawn(clients::run_client(context.clone(), seed)));
            task::sleep(interval).await;
        }
        for client in clients {
            client.await;
        }
    })
}

/// Prints the table and the violations; `true` if there are none.
fn print_result(
    machines: &mut Machines,
    platform: &Platform,
    tally: &SharedTally,
    faults: &[FaultCount],
) -> bool {
    let fleet = platform.fleet();
    let tally = lock(tally);
    println!("{}", report::table(&tally, fleet.checker.starts, faults));
    let exited = machines.exited();
    for node in &exited {
        println!("BROKEN: {node} ended by itself");
    }
    let violations: Vec<&String> = fleet.checker.violations.iter().chain(&tally.violations).collect();
    for violation in &violations {
        println!("BROKEN: {violation}");
    }
    let is_served = !tally.accepted.is_empty() && tally.succeeded > 0;
    if !is_served {
        println!("BROKEN: nothing was served");
    }
    let is_good = is_served && violations.is_empty() && exited.is_empty();
    println!("{}", if is_good { "no rule broken" } else { "rules were broken" });
    is_good
}
