//! What the tests share: a dispatcher in a world of its own, whose actions an independent checker
//! follows.
#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod checker;
mod random;
mod settings;
mod world;

pub use checker::{Checker, KnownWorker, OpenRequest, SentAttempt};
pub use random::TestRng;
pub use settings::{default_settings, probing_settings};
pub use world::{World, is_failed, is_rejected, request};

use spanlead_balancing_policy::Nanos;

/// One millisecond, in nanoseconds.
pub const MS: Nanos = 1_000_000;

/// One second, in nanoseconds.
pub const SEC: Nanos = 1_000 * MS;
