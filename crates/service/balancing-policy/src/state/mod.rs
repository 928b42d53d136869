//! The state of a dispatcher: its workers, its jobs and the statistics of its request classes. The
//! decisions based on it are made in `dispatcher`.

mod class_statistics;
mod fleet;
mod job;
mod job_table;
mod rate;
mod timer_token;
mod worker;
mod worker_graph;

pub(crate) use class_statistics::{ClassStatistics, RunTimeSample};
pub(crate) use fleet::{Fleet, GraphIndex};
pub(crate) use job::{Attempt, AttemptState, Job, Phase};
pub(crate) use job_table::{JobNumber, JobTable};
pub(crate) use rate::Rate;
pub(crate) use timer_token::{TimerPurpose, TimerToken};
pub(crate) use worker::Worker;
pub(crate) use worker_graph::{WorkerGraph, WorkerIndex};
