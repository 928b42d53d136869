//! Code shared by the tests: a harness that drives one dispatcher on a simulated clock, and a
//! checker that verifies each of its actions independently of the dispatcher's code.
#![allow(dead_code, unused_imports, reason = "each test file uses only a part of this module")]

mod checker;
mod random;
mod settings;
mod world;

pub use checker::{Checker, KnownWorker, SentAttempt, SubmittedRequest};
pub use random::TestRng;
pub use settings::{default_settings, probing_settings};
pub use world::{Harness, is_failed, is_rejected, request};

use spanlead_balancing_policy::Nanos;

/// One millisecond, in nanoseconds.
pub const MS: Nanos = 1_000_000;

/// One second, in nanoseconds.
pub const SEC: Nanos = 1_000 * MS;
