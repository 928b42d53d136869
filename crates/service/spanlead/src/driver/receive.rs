//! Messages from the sockets.
use super::{Driver, DurableLogStage, PendingRequest};
use spanlead_engine::{Input, RequestSnapshot};
use spanlead_net::{HandedOverRequest, Message, ReceivedRequest};
use std::sync::Arc;

impl Driver {
    /// Takes a message.
    pub(super) fn receive(&mut self, message: Message) {
        // Before the log is read nobody can tell what is new and what is a repeat.
        let needs_log = matches!(
            message,
            Message::RequestReceived(_) | Message::Notice { .. } | Message::RequestHandedOver(_)
        );
        if needs_log
            && let Some(log) = &mut self.durable_log
            && log.stage() == DurableLogStage::Opening
        {
            return log.hold_back(message);
        }
        match message {
            Message::DurableJobsOpened(Ok(opened)) => self.durable_jobs_opened(*opened),
            Message::DurableJobsOpened(Err(error)) => self.failure = Some(error),
            Message::LogProgress(progress) => self.log_progress(progress),
            Message::RequestReceived(received) => self.request_received(received),
            Message::RequestHandedOver(request) => self.request_handed_over(request),
            Message::Notice { notice, body, from, reply } => {
                self.notice_received(notice, body, from, reply);
            }
            Message::PeerProcess(event) => self.peer_process_changed(event),
            Message::Input(input) => self.input_received(input),
        }
    }

    fn input_received(&mut self, input: Input) {
        match &input {
            Input::DispatchFinished { attempt, .. } => drop(self.dispatches.remove(attempt)),
            Input::ClientDisconnected { request_id } => drop(self.pending.remove(request_id)),
            _ => {}
        }
        self.step(input);
    }

    fn request_received(&mut self, received: ReceivedRequest) {
        let ReceivedRequest { request_id, mut job, request, connection, reply } = received;
        let handed_over = self.peer_processes.take_handed_over(&job.id);
        // Its client has disconnected while it waited for the log to open, and that was reported
        // before. What another process had begun must be ended in order: of one that was handed
        // over the disconnect is reported after this.
        if handed_over.is_none() && reply.is_closed() {
            return self.step(Input::RequestRejected { class: job.class });
        }
        let pending = PendingRequest { connection, reply, request: Arc::new(request) };
        self.pending.insert(request_id, pending);
        let Some(handed_over) = handed_over else {
            let input = Input::RequestReceived { request_id, job, previous_attempts: None, durable: false };
            return self.step(input);
        };
        let RequestSnapshot { deadline, attempts, durable, .. } = handed_over.snapshot;
        if !durable {
            job.deadline = deadline;
        }
        let previous_attempts = Some(attempts);
        self.step(Input::RequestReceived { request_id, job, previous_attempts, durable });
        for waiting in handed_over.notices {
            self.process_notice(waiting.notice, waiting.reply);
        }
    }

    fn request_handed_over(&mut self, request: HandedOverRequest) {
        let HandedOverRequest { snapshot, text, socket } = request;
        let job_id = snapshot.id.clone();
        self.peer_processes.expect_handed_over(snapshot);
        if let Err(error) = self.client_listener.adopt(socket, text) {
            tracing::warn!(%error, "handed over request lost");
            self.peer_processes.take_handed_over(&job_id);
        }
    }
}
