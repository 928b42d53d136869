//! What is asked of workers: to run a job, to give one up, and how they are.
use super::connection::Connection;
use super::exchange_error::ExchangeError;
use super::pool::WorkerPool;
use super::write_meter::OnWritten;
use crate::SOCKET_SLACK;
use crate::message::report_invalid_input;
use crate::wire::{self, ClientRequest, WorkerResponse};
use hyper::StatusCode;
use spanlead_balancing_policy::{LoadReport, Outcome};
use spanlead_engine::{DispatchResult, LeaseGrant};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The pause before an unanswered cancellation is sent again.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How long a connection rests before a job or a cancellation goes out on it. Guards them from an
/// answer that comes twice: the second one, some milliseconds late, would be read as the answer to
/// what is asked next, as a job accepted or cancelled that is not. While nothing is asked, it ends
/// the connection. Health checks do not wait: a figure that is one check old does no harm.
const CONNECTION_REST: Duration = SOCKET_SLACK;

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// What it says of the worker.
    pub outcome: Outcome,
    /// The worker's load.
    pub report: Option<LoadReport>,
}

impl WorkerPool {
    /// Dispatches an attempt to its worker. A reset of a connection that was kept leaves open
    /// whether the job has run, so where a handshake costs nothing it goes out on one of its own
    /// ([`PoolConfig::reuse`](super::PoolConfig::reuse)); health checks and cancellations always
    /// use kept ones.
    ///
    /// `on_written` is called when the last byte has been written, also if nobody waits for the
    /// answer by then.
    pub async fn dispatch(
        &self,
        addr: SocketAddr,
        request: &ClientRequest,
        lease: Option<LeaseGrant>,
        until: Instant,
        on_written: impl FnOnce() + Send + 'static,
    ) -> DispatchResult {
        match self.exchange_dispatch(addr, request, lease, until, Box::new(on_written)).await {
            Ok(response) => dispatch_result(&response, lease),
            Err(error) => DispatchResult::Ended(error.outcome(), None),
        }
    }

    async fn exchange_dispatch(
        &self,
        addr: SocketAddr,
        request: &ClientRequest,
        lease: Option<LeaseGrant>,
        until: Instant,
        on_written: OnWritten,
    ) -> Result<WorkerResponse, ExchangeError> {
        let left_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let dispatch = || Some(wire::dispatch_request(request, left_ms, lease));
        let mut on_written = Some(on_written);
        loop {
            let kept = self.take_kept(addr);
            let is_kept = kept.is_some();
            let connection = match kept {
                Some(connection) => connection,
                None => self.open_connection(addr, until).await?,
            };
            let meter = connection.meter.clone();
            meter.set_on_written(on_written.take());
            match self.exchange_over(addr, connection, &dispatch, until).await {
                // A kept one that was closed meanwhile takes less than the whole request: on to the
                // next.
                Err(ExchangeError::NotSent) if is_kept => on_written = meter.take_on_written(),
                // The others to a worker that broke one off or says nothing are no better.
                Err(
                    error
                    @ (ExchangeError::Broken | ExchangeError::InvalidAnswer(_) | ExchangeError::Timeout),
                ) => {
                    self.close_idle(addr);
                    return Err(error);
                }
                other => return other,
            }
        }
    }

    /// A kept connection for a job, if jobs go out on such.
    fn take_kept(&self, addr: SocketAddr) -> Option<Connection> {
        if self.config().reuse { self.take_idle(addr, CONNECTION_REST) } else { None }
    }

    /// Tells a worker that a job is cancelled, again and again until it knows or `until` has
    /// passed.
    pub async fn cancel(&self, addr: SocketAddr, job_id: &str, until: Instant) {
        let request = || wire::cancel_request(job_id);
        while Instant::now() < until && self.exchange(addr, CONNECTION_REST, request, until).await.is_err() {
            sleep_until(until.min(Instant::now() + CANCEL_RETRY_INTERVAL)).await;
        }
    }

    /// Checks a worker's health and asks for its load.
    pub async fn check_health(&self, addr: SocketAddr, until: Instant) -> HealthCheckResult {
        let response = match self.exchange(addr, Duration::ZERO, wire::health_check_request, until).await {
            Ok(response) => response,
            Err(error) => return HealthCheckResult { outcome: error.outcome(), report: None },
        };
        let outcome = match response.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
            _ => Outcome::Error,
        };
        HealthCheckResult { outcome, report: self.load_report(&response) }
    }

    fn load_report(&self, response: &WorkerResponse) -> Option<LoadReport> {
        let is_ok = response.status == StatusCode::OK;
        let text = std::str::from_utf8(&response.body).unwrap_or("");
        let load = wire::decode_load(text).filter(|_| is_ok);
        if is_ok && load.is_none() && response.report.is_none() {
            report_invalid_input(&self.messages, "not a load report");
        }
        load.map(|load| self.config().report_mapping.to_load_report(load)).or(response.report)
    }
}

fn dispatch_result(response: &WorkerResponse, lease: Option<LeaseGrant>) -> DispatchResult {
    match response.status {
        StatusCode::ACCEPTED => {
            DispatchResult::Accepted { lease_aware: lease.is_some() && response.lease_aware }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if response.declined => {
            DispatchResult::Ended(Outcome::Rejected, response.report)
        }
        status if status.is_client_error() => DispatchResult::Unprocessable,
        _ => DispatchResult::Ended(Outcome::Error, response.report),
    }
}
