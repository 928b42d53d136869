//! What the control plane's and the data plane's program share: sockets, time, settings, logs and metrics.
//!
//! The decisions live in crates without I/O: `spanlead-replication` (who is primary, what is committed),
//! `spanlead-job-scheduler` (jobs and where their tasks go), `spanlead-cluster-config` and `spanlead-dissemination`. The
//! two programs, `spanlead-control-plane` and `spanlead-data-plane`, are the shells round them; what both need is here.
pub mod accept;
pub mod frame;
pub mod http;
pub mod link;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod program;
pub mod settings;
pub mod signals;
pub mod time;
