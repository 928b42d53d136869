//! A soak: the whole system on loopback addresses, with clients that keep their connections while
//! signals, restarts, crashes and changes of the configuration come in series and overlap.
//!
//! Judged are the jobs (by the checker that a trial has too), requests that are cut during planned
//! work, changes of the configuration, and processes that end by themselves or not in time.
mod action;
mod cancelling_client;
mod disturbances;
mod driver;
mod kept_client;
mod operator;
mod options;
mod plan;

pub use options::SoakOptions;

use crate::clients::{JobTally, SharedTally, lock};
use crate::deployment_form::DeploymentForm;
use crate::links::LinkFaults;
use crate::platform::{ListOptions, Platform};
use crate::process_control::{Layout, Machines, Ports, TrialError, program_folder};
use crate::report::quantile;
use async_std::task;
use cancelling_client::CancellingClient;
use disturbances::Disturbances;
use driver::Driver;
use kept_client::{CutRequest, KeptClient};
use operator::Operator;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long the first configuration may take.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The time from the first configuration to the load.
const WARM_UP: Duration = Duration::from_secs(1);
/// How long accepted jobs may take after the end of the load.
const FINISH_TIMEOUT: Duration = Duration::from_secs(60);
/// The seed of client `n` is the soak's seed times this, plus `n`.
const CLIENT_SEED_FACTOR: u64 = 1_000_003;
/// Besides so many clients there is one that cancels its jobs.
const CLIENTS_PER_CANCELLING_CLIENT: usize = 4;
/// The latencies that are printed.
const QUANTILES: [f64; 2] = [0.5, 0.99];

/// What clients and the operator share.
#[derive(Clone, Debug)]
struct SoakContext {
    platform: Platform,
    form: DeploymentForm,
    /// The addresses of the data plane for clients, `IP:port`.
    fronts: Arc<Vec<String>>,
    /// The addresses of the control plane for operators, `IP:port`.
    controls: Arc<Vec<String>>,
    tally: SharedTally,
    disturbances: Disturbances,
    cuts: Arc<Mutex<Vec<CutRequest>>>,
    load_ends_at: Instant,
    /// When accepted jobs must be closed and changes be answered.
    jobs_end_by: Instant,
}

impl SoakContext {
    fn record_cut(&self, cut: CutRequest) {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner).push(cut);
    }

    /// Whether a machine of the data plane was in touch, and the control plane stable, between two
    /// moments and for long enough before.
    fn is_in_touch(&self, front: usize, from: Instant, until: Instant) -> bool {
        let control_count = self.controls.len();
        let machines: Vec<usize> = (0..control_count).chain([control_count + front]).collect();
        self.disturbances.is_calm(&machines, from, until)
    }

    /// The number of all cut requests, also of those near crashes.
    fn cut_count(&self) -> usize {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// The cut requests near which nothing unplanned happened.
    fn judged_cuts(&self) -> Vec<CutRequest> {
        let cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        let is_judged = |cut: &&CutRequest| self.disturbances.is_free_of_crashes(cut.sent_at, cut.closed_at);
        cuts.iter().filter(is_judged).cloned().collect()
    }
}

/// Runs a soak; `true` if no rule was broken.
///
/// # Errors
/// If the system can't be started.
pub fn run(options: &SoakOptions) -> Result<bool, TrialError> {
    let temporary = tempfile::tempdir().map_err(|e| TrialError::Io("temporary folder".to_owned(), e))?;
    let folder = options.folder.clone().unwrap_or_else(|| temporary.path().to_owned());
    let programs = match &options.programs {
        Some(programs) => programs.clone(),
        None => program_folder()?,
    };
    let machines = Machines::new(Layout {
        folder,
        programs,
        ports: Ports { first: options.port },
        control: options.control,
        data: options.data,
        bounds: options.form.bounds(),
        has_forwarders: !options.without_links,
        log: options.log.clone(),
    })?;
    task::block_on(run_system(options, machines))
}

async fn run_system(options: &SoakOptions, mut machines: Machines) -> Result<bool, TrialError> {
    let platform = start_platform(options, &machines);
    let link_faults = start_forwarders(&machines);
    for index in 0..options.control + options.data {
        machines.start(index, true)?;
    }
    let mut context = SoakContext {
        platform: platform.clone(),
        form: options.form,
        fronts: Arc::new(machines.front_addresses()),
        controls: Arc::new(machines.control_addresses()),
        tally: SharedTally::default(),
        disturbances: Disturbances::new(options.form.bounds().contact_timeout),
        cuts: Arc::default(),
        load_ends_at: Instant::now(),
        jobs_end_by: Instant::now() + START_TIMEOUT,
    };
    let mut operator = Operator::new(context.clone(), options.seed);
    if !operator.send_first().await {
        return Err(TrialError::Start("no configuration was taken in time"));
    }
    task::sleep(WARM_UP).await;
    context.load_ends_at = Instant::now() + Duration::from_secs(options.seconds);
    context.jobs_end_by = context.load_ends_at + FINISH_TIMEOUT;
    operator.set_context(context.clone());
    let mut driver = Driver::new(machines, platform, link_faults, context.disturbances.clone());
    let counts = run_load(options, &context, operator, &mut driver).await?;
    Ok(print_result(options, &context, &mut driver, counts))
}

/// Starts the simulated workers and their list.
fn start_platform(options: &SoakOptions, machines: &Machines) -> Platform {
    let bounds = options.form.bounds();
    let list_options =
        ListOptions { page_size: options.page_size.max(1), max_page_delay_ms: options.page_delay };
    let platform = Platform::start(options.workers, options.seed, machines.ports(), list_options);
    platform.set_worker_limits(bounds.worker);
    platform.fleet().checker.set_cancellation_timeout_ms(bounds.cancellation_timeout_ms);
    platform
}

/// Starts the forwarders of the control plane, and returns the faults that they heed.
fn start_forwarders(machines: &Machines) -> LinkFaults {
    let faults = LinkFaults::default();
    for forwarder in machines.forwarders(&faults) {
        task::spawn(async move {
            if let Err(error) = forwarder.serve().await {
                println!("forwarder failed: {error}");
            }
        });
    }
    faults
}

/// The number of clients that cancel their jobs.
fn cancelling_count(options: &SoakOptions) -> usize {
    options.clients.div_ceil(CLIENTS_PER_CANCELLING_CLIENT)
}

/// Lets clients and the operator work while the plan is carried out. Returns the numbers of changes
/// and of checked routes.
async fn run_load(
    options: &SoakOptions,
    context: &SoakContext,
    operator: Operator,
    driver: &mut Driver,
) -> Result<(usize, usize), TrialError> {
    let client_seed =
        |number: usize| options.seed.wrapping_mul(CLIENT_SEED_FACTOR).wrapping_add(number as u64);
    let clients: Vec<_> = (0..options.clients)
        .map(|number| task::spawn(KeptClient::new(context.clone(), client_seed(number)).run()))
        .collect();
    let cancelling_clients: Vec<_> = (options.clients..options.clients + cancelling_count(options))
        .map(|number| task::spawn(CancellingClient::new(context.clone(), client_seed(number)).run()))
        .collect();
    let operator = task::spawn(operator.run());
    driver.run(&plan::draw(options)).await?;
    for client in clients.into_iter().chain(cancelling_clients) {
        client.await;
    }
    Ok(operator.await)
}

/// Prints what happened and the violations; `true` if there are none.
fn print_result(
    options: &SoakOptions,
    context: &SoakContext,
    driver: &mut Driver,
    (changes, checks): (usize, usize),
) -> bool {
    let cuts = context.judged_cuts();
    let fleet = context.platform.fleet();
    let tally = lock(&context.tally);
    print_counts(options, &tally, fleet.checker.starts);
    println!("actions {}, configurations {changes}, routes checked {checks}", driver.actions);
    println!("cancelled {}, of these unknown {}", tally.cancelled, tally.cancelled_unknown);
    println!("requests cut {}, of these judged {}", context.cut_count(), cuts.len());
    let mut violations: Vec<String> = [&fleet.checker.violations, &tally.violations, &driver.violations]
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    violations.extend(driver.exited().into_iter().map(|node| format!("{node} ended by itself")));
    violations.extend(cuts.iter().map(|cut| {
        let age = cut.closed_at - cut.sent_at;
        format!("LOST: cut after {} ms: {}", age.as_millis(), cut.description)
    }));
    if tally.succeeded == 0 || checks == 0 || tally.cancelled == 0 {
        violations.push("nothing was served, checked or cancelled".to_owned());
    }
    for violation in &violations {
        println!("BROKEN: {violation}");
    }
    println!("{}", if violations.is_empty() { "no rule broken" } else { "rules were broken" });
    violations.is_empty()
}

fn print_counts(options: &SoakOptions, tally: &JobTally, starts: u64) {
    let [median, percentile_99] = QUANTILES.map(|share| quantile(&tally.accept_ms, share));
    println!(
        "seed {}: {} control, {} data, {} clients, {} s",
        options.seed, options.control, options.data, options.clients, options.seconds
    );
    println!(
        "jobs {} accepted {} succeeded {} failed {} tasks started {starts}",
        tally.submitted,
        tally.accepted.len(),
        tally.succeeded,
        tally.failed
    );
    println!(
        "responses {}, half within {median} ms, 99 of 100 within {percentile_99} ms",
        tally.accept_ms.len()
    );
}
