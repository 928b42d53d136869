//! Connections to workers, the pool that keeps them between requests, and what is asked over them.
//!
//! - `exchange_error`: why an exchange brought no answer;
//! - `write_meter`: proves whether a request can have reached its worker;
//! - `connection`: one connection, which also carries the calls to discovery;
//! - `pool`: the connections to all workers;
//! - `dispatch`: dispatch, cancellation and health checks over the pool.
mod connection;
mod dispatch;
mod exchange_error;
mod pool;
mod write_meter;

pub use connection::{Connection, HttpResponse};
pub use dispatch::HealthCheckResult;
pub use exchange_error::ExchangeError;
pub use pool::{PoolConfig, WorkerPool};
