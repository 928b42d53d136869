//! A platform to try the scheduler on, as a library of parts: [`Discovery`], [`Worker`]s of two
//! speeds in cells and zones,
//! clients with patience and repeats ([`Load`]), the scheduler as a process ([`Scheduler`]), all on
//! loopback addresses,
//! and faults that are put in from outside: kill, vanish, freeze, slow, cut a connection, answer
//! late, repeat notices.
//!
//! Everything that happens goes into one [`Record`], by one clock; [`check`] reads it and says
//! which rules were broken. What
//! is drawn at random comes from a seed.
#![allow(missing_docs, reason = "fields and variants that say what they are need no second saying")]
pub mod check;
mod client;
mod deployment;
mod discovery;
mod fleet;
mod http;
mod inventory;
mod process;
mod record;
mod resource;
mod rig;
mod wires;
mod worker;
mod workload;

pub use client::{Job, Load, Outcome, Plan, Summary};
pub use deployment::{Deployment, Fault, Faults, Prices};
pub use discovery::{Discovery, Listed};
pub use fleet::{Fleet, FleetPlan, classes, config, config_of};
pub use inventory::Keeper;
pub use process::{Scheduler, cpu_of};
pub use record::{Event, Record, What};
pub use resource::{Act as Deed, Resource};
pub use rig::{Act, Follow, Logged, Mixture, Rig, RigPlan, Script, Seen, Step};
pub use wires::{Passed, Way, Wires};
pub use worker::{Behaviour, Memory, Worker, WorkerPlan};
pub use workload::{Class, Kind, Mode, Scope, Via};
