#![doc = include_str!("../README.md")]
mod api;
mod choice;

pub use api::*;
pub use choice::Dispatcher;
