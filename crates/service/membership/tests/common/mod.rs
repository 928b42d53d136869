//! What the tests share: a simulated tier, and builders of members and datagrams.
#![allow(dead_code, reason = "each test file uses a part")]
pub mod datagrams;
pub mod simulated_tier;
