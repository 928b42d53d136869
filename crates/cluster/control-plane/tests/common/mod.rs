//! Worker calls that several tests use.
use spanlead_job_scheduler::{WorkerCall, WorkerRequest};

/// Returns a request to a worker for a report, without an extension of its lease.
pub fn renew_lease() -> WorkerRequest {
    WorkerRequest::RenewLease { serial: 1, lease_expires_at_ms: None, acknowledged_end: 0, wait_ms: 0 }
}

/// Returns a call to a worker at an address.
pub fn call(worker_id: &str, address: &str, request: WorkerRequest, timeout_ms: u64) -> WorkerCall {
    WorkerCall { worker_id: worker_id.into(), address: address.into(), request, timeout_ms, fencing_token: 1 }
}
