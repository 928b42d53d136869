#![doc = include_str!("../README.md")]
mod api;
mod check;
mod choice;
mod graph;
mod limiter;
mod rate;
mod worker;

pub use api::*;
pub use choice::Dispatcher;
