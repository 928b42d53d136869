//! Client requests, which data planes forward to the primary.
use super::Node;
use super::pending_replies::PendingReply;
use super::primary::PrimaryState;
use crate::job_text::{job_state_name, parse_job_id};
use async_std::channel::Sender;
use spanlead_cluster_config::Route;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientRequest, ClientResponse, Frame};
use spanlead_cluster_runtime::freshness::FreshnessToken;
use spanlead_job_scheduler::{Admission, Cancellation, JobId, JobSpec, Now, QueueId, QueuePolicy};

/// The priority of the jobs of a route that sets none.
const DEFAULT_PRIORITY: u8 = 1;
/// The number of failed runs after which a task fails, for the jobs of a route that sets none.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// The HTTP status and the body of a response.
struct Response {
    status: u16,
    body: String,
}

impl Response {
    fn new(status: u16, body: impl Into<String>) -> Self {
        Response { status, body: body.into() }
    }

    fn empty_json() -> Self {
        Response::new(200, "{}")
    }

    fn no_such_job() -> Self {
        Response::new(410, "no such job")
    }
}

impl Node {
    /// Carries out a client request as [`Node::handle_client_request`] does, unless its token has
    /// expired: the request then waited for too long, or the data plane had no newer token. It has
    /// no effect, and the data plane sends it again if the client still waits.
    pub(super) fn handle_fresh_client_request(
        &mut self,
        token: FreshnessToken,
        request: ClientRequest,
        replies: Sender<Frame>,
    ) {
        if self.token_issuer.is_fresh(token, self.clock.monotonic_ms()) {
            return self.handle_client_request(request, replies);
        }
        log::debug!("request not carried out: its token has expired path={}", request.path);
        self.stale_requests += 1;
        let _ = replies.try_send(Frame::ClientResponse(ClientResponse::not_executed(request.request_id)));
    }

    /// Carries out a client request. The response is sent once the changes that it depends on are
    /// committed; a node that is not primary or is shutting down responds at once that it did not
    /// take the request.
    pub(super) fn handle_client_request(&mut self, request: ClientRequest, replies: Sender<Frame>) {
        let now = self.clock.now();
        let is_active = self.replica.active_term(now.monotonic_ms).is_some();
        let accepts_requests = is_active && !self.shutdown.is_requested();
        let Some(primary) = self.primary.as_mut().filter(|_| accepts_requests) else {
            let _ = replies.try_send(Frame::ClientResponse(ClientResponse::not_executed(request.request_id)));
            return;
        };
        let request_id = request.request_id;
        let Response { status, body } = primary.respond(now, request);
        let response = ClientResponse { request_id, status, body };
        primary.replies.push(PendingReply::Client(replies, response));
    }
}

impl PrimaryState {
    /// Carries out a request according to the current configuration.
    fn respond(&mut self, now: Now, request: ClientRequest) -> Response {
        let ClientRequest { host, path, operation, .. } = request;
        let Some(configuration) = self.configuration.current() else {
            return Response::new(503, "no configuration");
        };
        let Some(route) = configuration.route(&host, &path) else {
            return Response::new(404, "no such queue");
        };
        let job_id_text = &path[route.path_prefix.len()..];
        if job_id_text.is_empty() {
            let queue = QueueId { host, path_prefix: route.path_prefix.clone() };
            return self.respond_without_job(&queue, &operation);
        }
        let Some(id) = parse_job_id(job_id_text) else { return Response::new(400, "not 16 hex digits") };
        match operation {
            ClientOperation::Submit(spec) => {
                let policy = queue_policy(host, route);
                self.submit(now, id, policy, spec)
            }
            ClientOperation::Query => self.query(id),
            ClientOperation::Cancel => self.cancel(now, id),
        }
    }

    /// Responds to a request whose path names a queue but no job.
    fn respond_without_job(&self, queue: &QueueId, operation: &ClientOperation) -> Response {
        if *operation == ClientOperation::Query {
            Response::new(200, format!("{{\"pending\":{}}}", self.scheduler.pending_jobs(queue)))
        } else {
            Response::new(400, "no job is named")
        }
    }

    fn submit(&mut self, now: Now, id: JobId, policy: QueuePolicy, spec: JobSpec) -> Response {
        match self.scheduler.submit(now, id, policy, spec) {
            Admission::Accepted => Response::empty_json(),
            Admission::TooManyJobs => Response::new(429, "too many jobs"),
            Admission::AlreadyCancelled => Response::new(410, "job was cancelled"),
        }
    }

    fn query(&self, id: JobId) -> Response {
        match self.scheduler.job_state(id) {
            Some(state) => Response::new(200, format!("{{\"state\":\"{}\"}}", job_state_name(state))),
            None => Response::no_such_job(),
        }
    }

    fn cancel(&mut self, now: Now, id: JobId) -> Response {
        match self.scheduler.cancel(now, id) {
            Cancellation::Closed => Response::empty_json(),
            Cancellation::UnknownJob => Response::no_such_job(),
            Cancellation::TooManyCancelled => Response::new(503, "too many unknown jobs were cancelled"),
        }
    }
}

fn queue_policy(host: String, route: &Route) -> QueuePolicy {
    QueuePolicy {
        queue: QueueId { host, path_prefix: route.path_prefix.clone() },
        service: route.service.clone(),
        priority: route.priority.unwrap_or(DEFAULT_PRIORITY),
        max_attempts: route.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
    }
}
