//! The engine's effects, performed.
use super::Driver;
use bytes::Bytes;
use spanlead_balancing_policy::{Nanos, Outcome, RequestId};
use spanlead_durable_jobs::JobNumber;
use spanlead_engine::{Answer, AttemptId, DispatchResult, Effect, Input, LeaseGrant};
use spanlead_net::Message;
use spanlead_net::discovery::DiscoveryClient;
use spanlead_net::role_caller::call_role;
use spanlead_net::wire::{ClientRequest, restore_request};
use spanlead_singleton_roles::LeaseChange;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// An attempt to dispatch.
struct Dispatch {
    attempt: AttemptId,
    addr: SocketAddr,
    until: Nanos,
    lease: Option<LeaseGrant>,
    /// The stored request, where no client's is at hand.
    stored: Option<Bytes>,
}

/// An attempt to cancel.
struct Cancellation {
    attempt: AttemptId,
    addr: SocketAddr,
    job_id: Arc<str>,
    /// The worker has accepted the job.
    accepted: bool,
    until: Nanos,
}

/// A call that the holder of a role owes.
struct RoleCall {
    role: usize,
    term: u64,
    addr: SocketAddr,
    path: Arc<str>,
    until: Nanos,
}

impl Driver {
    /// Performs an effect, or begins to.
    pub(super) fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { request_id, answer, job } => self.answer_client(request_id, answer, job),
            Effect::SendAttempt { attempt, addr, until, lease, encoded_request } => {
                self.dispatch(Dispatch { attempt, addr, until, lease, stored: encoded_request });
            }
            Effect::CancelAttempt { attempt, addr, job_id, accepted, until } => {
                self.cancel(Cancellation { attempt, addr, job_id, accepted, until });
            }
            Effect::HealthCheck { worker, addr, until } => self.check_health(worker, addr, until),
            Effect::HandOverRequest { request_id, snapshot } => {
                self.hand_over_request(request_id, snapshot);
            }
            Effect::CloseIdleConnections { addr } => self.pool.close_idle(addr),
            Effect::SendPeerMessage { peer, data } => {
                if let Some(socket) = &self.peers.socket {
                    socket.send(peer, &data);
                }
            }
            Effect::CallRole { role, term, addr, path, until } => {
                self.call_role(RoleCall { role, term, addr, path, until });
            }
            Effect::RoleChanged { name, change } => log_role_change(&name, &change),
            Effect::MemberChanged(change) => log_member_change(&change),
            Effect::WatchEndpoints { addr, version } => self.watch_endpoints(addr, version),
            Effect::FetchEndpoints { addr } => drop(tokio::spawn(self.discovery(addr, 0).fetch())),
            Effect::Log(text) => tracing::info!("{text}"),
            Effect::InventoryRejected { name, version, reason } => {
                if let Some(inventories) = &self.inventories {
                    inventories.roll_back(name, version, reason);
                }
            }
            Effect::Acknowledge { notice_id, reply } => self.acknowledge(notice_id, reply),
            Effect::AppendRecord(record) => self.append_record(&record),
            Effect::AfterDurable { effect, until } => self.perform_after_durable(*effect, until),
            Effect::TruncateLog { oldest_needed_lsn } => {
                if let Some(log) = &self.durable_log {
                    log.truncate(oldest_needed_lsn);
                }
            }
        }
    }

    fn answer_client(&mut self, request_id: RequestId, answer: Answer, job: Option<JobNumber>) {
        let Some(pending) = self.pending.remove(&request_id) else { return };
        // A client that has just disconnected needs no answer.
        let is_delivered = pending.reply.send(answer).is_ok();
        if let Some(job) = job.filter(|_| is_delivered) {
            self.enqueue(Input::AnswerDelivered { job });
        }
    }

    /// The request of an attempt: its client's, or the stored one.
    fn request_of(&self, request_id: RequestId, stored: Option<&Bytes>) -> Option<Arc<ClientRequest>> {
        match self.pending.get(&request_id) {
            Some(pending) => Some(pending.request.clone()),
            None => restore_request(stored?).map(Arc::new),
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let Dispatch { attempt, addr, until, lease, stored } = dispatch;
        let Some(request) = self.request_of(attempt.request, stored.as_ref()) else {
            return self.report_never_sent(attempt);
        };
        let (pool, messages) = (self.pool.clone(), self.messages.clone());
        let until = self.clock.instant(until);
        let task = tokio::spawn(async move {
            let written = messages.clone();
            let on_written = move || drop(written.send(Message::Input(Input::AttemptWritten)));
            let result = pool.dispatch(addr, &request, lease, until, on_written).await;
            let _ = messages.send(Message::Input(Input::DispatchFinished { attempt, result }));
        });
        self.dispatches.insert(attempt, task);
    }

    fn cancel(&mut self, cancellation: Cancellation) {
        let Cancellation { attempt, addr, job_id, accepted, until } = cancellation;
        if self.durable_log.as_mut().is_some_and(|log| log.cancel(attempt)) {
            return self.report_never_sent(attempt);
        }
        let is_dispatching = |dispatch: &JoinHandle<()>| !accepted && !dispatch.is_finished();
        match self.dispatches.remove(&attempt).filter(is_dispatching) {
            // Its connection closes with it, before the worker has said that it has the job.
            Some(dispatch) => {
                dispatch.abort();
                self.enqueue(Input::AttemptCancelled { attempt });
            }
            // The worker has the job, or its word on that is in the inbox.
            None => {
                let (pool, messages) = (self.pool.clone(), self.messages.clone());
                let until = self.clock.instant(until);
                tokio::spawn(async move {
                    pool.cancel(addr, &job_id, until).await;
                    let _ = messages.send(Message::Input(Input::AttemptCancelled { attempt }));
                });
            }
        }
    }

    fn check_health(&self, worker: Arc<str>, addr: SocketAddr, until: Nanos) {
        let (pool, messages) = (self.pool.clone(), self.messages.clone());
        let (sent, until) = (self.clock.now(), self.clock.instant(until));
        tokio::spawn(async move {
            let checked = pool.check_health(addr, until).await;
            let (outcome, report) = (checked.outcome, checked.report);
            let _ = messages.send(Message::Input(Input::HealthChecked { worker, sent, outcome, report }));
        });
    }

    fn call_role(&self, call: RoleCall) {
        let RoleCall { role, term, addr, path, until } = call;
        let messages = self.messages.clone();
        let until = self.clock.instant(until);
        tokio::spawn(async move {
            let result = call_role(addr, &path, term, until).await;
            let _ = messages.send(Message::Input(Input::RoleCallFinished { role, result }));
        });
    }

    fn watch_endpoints(&mut self, addr: SocketAddr, version: u64) {
        let watch = tokio::spawn(self.discovery(addr, version).watch());
        // One at a time: the one before, if it still runs, ends here with its connection and is not
        // heard of.
        self.watch.replace(watch).inspect(JoinHandle::abort);
    }

    /// An attempt that was to be sent has not been.
    pub(super) fn report_never_sent(&self, attempt: AttemptId) {
        let result = DispatchResult::Ended(Outcome::NotSent, None);
        self.enqueue(Input::DispatchFinished { attempt, result });
    }

    fn discovery(&self, addr: SocketAddr, version: u64) -> DiscoveryClient {
        let (names, messages) = (self.names.subscribe(), self.messages.clone());
        DiscoveryClient { addr, version, names, messages }
    }
}

fn log_role_change(name: &str, change: &LeaseChange) {
    match change {
        LeaseChange::Acquired(term) => tracing::info!(name, term, "singleton role taken"),
        LeaseChange::Lost(term, reason) => tracing::info!(name, term, ?reason, "singleton role lost"),
    }
}

fn log_member_change(change: &spanlead_membership::MemberStateChange) {
    let name = change.name.as_deref().unwrap_or("?");
    tracing::info!(
        number = change.number,
        name,
        from = ?change.from,
        to = ?change.to,
        incarnation = change.incarnation,
        view = change.view,
        "member"
    );
}
