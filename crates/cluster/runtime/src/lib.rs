//! Runtime shared by the control plane and the data plane: sockets, clocks, settings, logging and
//! metrics.
//!
//! Decisions are made in crates without I/O: `spanlead-replication` (election of the primary and
//! commits), `spanlead-job-scheduler` (jobs and the placement of their tasks),
//! `spanlead-cluster-config` and `spanlead-dissemination`. The two programs,
//! `spanlead-control-plane` and `spanlead-data-plane`, connect those to sockets, disks and clocks.
//!
//! - Communication between processes: [`frame`] and [`frame_codec`] (messages and their encoding),
//!   [`peer_links`] (outgoing connections), [`peer_server`] (incoming connections), [`traffic`]
//!   (counters), [`socket`] (listening and writing), [`mod@timeout`], [`freshness`] (bounds on the
//!   age of requests).
//! - Communication with clients, operators, workers and the platform: [`http`].
//! - The process itself: [`program`], [`settings`], [`signals`], [`clock`], [`logs`], [`metrics`].
#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]
pub mod clock;
pub mod frame;
pub mod frame_codec;
pub mod freshness;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod peer_links;
pub mod peer_server;
pub mod program;
pub mod settings;
pub mod signals;
pub mod socket;
pub mod timeout;
pub mod traffic;
