//! Code shared by the tests: a simulated tier, and builders of members and datagrams.
#![allow(dead_code, reason = "each test file uses only some of the items")]
pub mod datagrams;
pub mod simulated_tier;
