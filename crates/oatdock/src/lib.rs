#![doc = include_str!("../README.md")]
mod api;
mod check;
mod choice;
mod limiter;
mod rate;

pub use api::*;
pub use choice::Dispatcher;
