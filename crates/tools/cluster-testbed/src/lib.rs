//! A testbed for the cluster scheduler.
//!
//! [`SimulatedWorker`] follows the worker protocol, and [`SafetyChecker`] judges what it observes;
//! the scheduler's seeded simulations use both. `spanlead-cluster try` ([`trial`]) serves them over
//! HTTP ([`platform`]), starts the real programs ([`process_control`]), submits jobs ([`clients`]),
//! injects faults ([`fault_plan`]) and reports what came of it ([`report`]). `spanlead-cluster soak`
//! ([`soak`]) does so with clients that keep their connections, and with overlapping actions.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod deployment_form;
mod gang;
mod http_response;
mod run_id;
mod safety_checker;
mod simulated_worker;

pub mod clients;
pub mod configuration;
pub mod fault_plan;
pub mod http_client;
pub mod links;
pub mod platform;
pub mod process_control;
pub mod report;
pub mod soak;
pub mod trial;
pub mod trial_options;
mod worker_server;

pub use deployment_form::{Bounds, DeploymentForm};
pub use gang::finish_gangs;
pub use run_id::{RunEnd, RunId, RunOutcome};
pub use safety_checker::SafetyChecker;
pub use simulated_worker::{
    CAPACITY, GANG_ASSEMBLY_TIMEOUT_MS, MAX_LEASE_MS, MAX_REPORTED_ENDS, STOP_TIMEOUT_MS, SimulatedRun,
    SimulatedWorker, WorkerCapacity, WorkerLimits,
};
