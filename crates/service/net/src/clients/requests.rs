//! The requests of clients and workers, and their way to the driver and back.
use super::listener::ClientListener;
use super::request_guard::RequestGuard;
use crate::Message;
use crate::message::{ReceivedRequest, report_invalid_input};
use crate::wire::{
    self, Body, ClientRequest, HEALTH_PATH, NOTICE_PATH, NoticeBody, RequestError, answer_response,
    decode_class, decode_job, error_response, notice_response,
};
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::{Method, Request, Response, StatusCode};
use spanlead_balancing_policy::RequestId;
use spanlead_engine::{Answer, Input, JobRequest};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// How long a notice may take to reach the process that it is for.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Tells the driver if a request's connection ends before its answer came: dropped with the
/// request's future. Of one that was handed over the engine knows nothing any more.
struct DisconnectGuard<'a> {
    request_id: RequestId,
    messages: &'a UnboundedSender<Message>,
    answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.answered {
            let input = Input::ClientDisconnected { request_id: self.request_id };
            let _ = self.messages.send(Message::Input(input));
        }
    }
}

impl ClientListener {
    /// Answers one request.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        guard: &RequestGuard<'_>,
    ) -> Response<Body> {
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        if is_chunked && (guard.head.has_content_length || !guard.head.is_complete) {
            return self.refuse(RequestError::AmbiguousLength);
        }
        let response = match (request.method(), request.uri().path()) {
            (&Method::GET, HEALTH_PATH) => return self.health_response(),
            (&Method::POST, NOTICE_PATH) => self.take_notice(request, guard).await,
            _ => self.take_job(request, guard).await,
        };
        response.unwrap_or_else(|error| self.refuse(error))
    }

    fn health_response(&self) -> Response<Body> {
        if self.ready.load(Ordering::Relaxed) {
            wire::plain(StatusCode::OK, "ready\n")
        } else {
            wire::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Refuses a request; what is wrong with it is counted.
    fn refuse(&self, error: RequestError) -> Response<Body> {
        if error.status().is_client_error() {
            report_invalid_input(&self.messages, error.reason());
        }
        error_response(error)
    }

    /// Counts a request of this class that was rejected before it reached the engine.
    fn count_rejected(&self, class: u32) {
        let _ = self.messages.send(Message::Input(Input::RequestRejected { class }));
    }

    async fn take_notice(
        &self,
        request: Request<Incoming>,
        guard: &RequestGuard<'_>,
    ) -> Result<Response<Body>, RequestError> {
        let body = guard.read_body(request.into_body()).await?;
        let Some(notice) = NoticeBody::decode(&body) else {
            report_invalid_input(&self.messages, "not a notice");
            return Ok(wire::plain(StatusCode::BAD_REQUEST, "not a notice\n"));
        };
        guard.connection.proven.store(true, Ordering::Relaxed);
        let (reply, replied) = oneshot::channel();
        let _ = self.messages.send(Message::Notice { notice, body, from: None, reply: Some(reply) });
        // The process that it is for may just have ended; a worker repeats what was not
        // acknowledged.
        match timeout_at(Instant::now() + NOTICE_TIMEOUT, replied).await {
            Ok(Ok(reply)) => Ok(notice_response(reply)),
            _ => Err(RequestError::NoticeNotTaken),
        }
    }

    async fn take_job(
        &self,
        request: Request<Incoming>,
        guard: &RequestGuard<'_>,
    ) -> Result<Response<Body>, RequestError> {
        let (head, body) = request.into_parts();
        let arrived = self.clock.now();
        let names = self.names.borrow().clone();
        let class = decode_class(&head, &names)?;
        let mut job =
            decode_job(&head, class, &names, arrived).inspect_err(|_| self.count_rejected(class))?;
        let body = guard.read_body(body).await?;
        // Its time counts from the last byte.
        job.deadline += self.clock.now() - arrived;
        guard.connection.proven.store(true, Ordering::Relaxed);
        let was_adopted = guard.connection.adopted.swap(false, Ordering::Relaxed);
        if !was_adopted && guard.connection.is_disconnected().await {
            // Nobody waits for it: it is not accepted.
            self.count_rejected(class);
            guard.connection.drop_disconnected().await;
        }
        let request = ClientRequest::new(head, body);
        if self.keeps_durable_jobs {
            let durable_request = wire::durable_request(&request);
            job.durable_request = Some(durable_request.inspect_err(|_| self.count_rejected(class))?);
        }
        Ok(answer_response(self.await_answer(job, request, guard).await))
    }

    /// Gives a job to the driver and waits for its answer, or for the client to disconnect.
    async fn await_answer(
        &self,
        job: JobRequest,
        request: ClientRequest,
        guard: &RequestGuard<'_>,
    ) -> Answer {
        let request_id = RequestId(self.next_id());
        let (reply, mut answer) = oneshot::channel();
        let connection = guard.connection.clone();
        let received = ReceivedRequest { request_id, job, request, connection, reply };
        let mut disconnect = DisconnectGuard { request_id, messages: &self.messages, answered: false };
        let _ = self.messages.send(Message::RequestReceived(received));
        let answer = tokio::select! {
            biased;
            answer = &mut answer => answer.unwrap_or(Answer::Failed),
            () = guard.connection.wait_for_disconnect() => guard.connection.drop_disconnected().await,
        };
        disconnect.answered = true;
        answer
    }
}
