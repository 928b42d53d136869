#![doc = include_str!("../README.md")]
mod api;
mod check;
mod choice;
mod graph;
#[doc(hidden)]
pub mod limiter;
mod rate;
mod worker;

pub use api::*;
pub use choice::Dispatcher;
