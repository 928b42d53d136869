//! The cluster scheduler round the decision parts.
//!
//! The decisions live in crates without I/O: `spanlead-replication` (who is primary, what lasts), `spanlead-jobs` (jobs and
//! where their tasks go), `spanlead-configuration`. Here are the shells round them: sockets, disk, time.
//!
//! - [`control`]: the control plane. One node of it is primary, keeps the jobs and orders the workers.
//! - [`data`]: the data plane. Takes clients' requests and hands them to the primary.
pub mod accept;
pub mod control;
pub mod data;
pub mod disk;
pub mod frame;
pub mod http;
pub mod link;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod platform;
pub mod pool;
pub mod program;
pub mod settings;
pub mod time;
pub mod workers;
