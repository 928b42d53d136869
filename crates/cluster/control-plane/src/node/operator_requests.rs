//! Operator requests.
use super::Node;
use super::pending_replies::PendingReply;
use super::primary::PrimaryState;
use crate::configuration_state::ReplaceOutcome;
use crate::input::{OperatorReply, ReplaceRequest, StatusQuery};
use crate::metrics_text::{self, PrimaryMetrics};
use crate::status;
use async_std::channel::Sender;

impl Node {
    /// Replaces the configuration. The reply is sent once the change is committed.
    pub(super) fn replace_configuration(&mut self, request: &ReplaceRequest, replies: Sender<OperatorReply>) {
        if let Some(reply) = self.not_primary_reply("/config/replace") {
            let _ = replies.try_send(reply);
            return;
        }
        let Some(primary) = &mut self.primary else { return };
        let keyspace = self.replica.keyspace();
        let outcome = primary.configuration.replace(keyspace, request.base_version, &request.text);
        let version = primary.configuration.version();
        let reply = match outcome {
            ReplaceOutcome::Accepted(changes) => {
                log::info!("configuration accepted version={version}");
                self.propose(changes);
                self.apply_replica_outputs();
                OperatorReply::new(200, "")
            }
            ReplaceOutcome::AlreadyAccepted => OperatorReply::new(200, ""),
            ReplaceOutcome::VersionConflict => OperatorReply::new(412, format!("current: {version}")),
            ReplaceOutcome::Rejected(error) => OperatorReply::new(400, error.to_string()),
        };
        self.queue_operator_reply(replies, reply);
    }

    /// Replies with the current configuration, once it is committed.
    pub(super) fn read_configuration(&mut self, replies: Sender<OperatorReply>) {
        if let Some(reply) = self.not_primary_reply("/config/get") {
            let _ = replies.try_send(reply);
            return;
        }
        let Some(primary) = &self.primary else { return };
        let reply = match primary.configuration.text() {
            Some(text) => OperatorReply::new(200, text),
            None => OperatorReply::new(404, "no configuration"),
        };
        self.queue_operator_reply(replies, reply);
    }

    /// Replies to a status query at once: the reply may show changes that are not committed yet.
    pub(super) fn query_status(&self, query: &StatusQuery, replies: &Sender<OperatorReply>) {
        let _ = replies.try_send(self.status_reply(query));
    }

    fn status_reply(&self, query: &StatusQuery) -> OperatorReply {
        let path = match query {
            StatusQuery::Metrics => return OperatorReply::new(200, self.metrics()),
            StatusQuery::Members => "/status/members".to_owned(),
            StatusQuery::Workers => "/status/workers".to_owned(),
            StatusQuery::Jobs => "/status/jobs".to_owned(),
            StatusQuery::Job(id) => format!("/status/jobs/{id}"),
        };
        match (self.not_primary_reply(&path), &self.primary) {
            (None, Some(primary)) => self.primary_status(query, primary),
            (Some(reply), _) => reply,
            (None, None) => no_primary(),
        }
    }

    fn primary_status(&self, query: &StatusQuery, primary: &PrimaryState) -> OperatorReply {
        let status = match query {
            StatusQuery::Members => Some(status::members(&self.replica)),
            StatusQuery::Workers => Some(status::workers(&primary.scheduler, self.clock.monotonic_ms())),
            StatusQuery::Jobs => Some(status::jobs(&primary.scheduler)),
            StatusQuery::Job(id) => status::job(&primary.scheduler, *id),
            StatusQuery::Metrics => None,
        };
        match status {
            Some(status) => OperatorReply::new(200, status.to_string()),
            None => OperatorReply::new(410, "no such job"),
        }
    }

    fn metrics(&self) -> String {
        let primary = self.primary.as_ref().map(|primary| PrimaryMetrics {
            scheduler: &primary.scheduler,
            commit_latency: &primary.commit_latency,
            stale_requests: self.stale_requests,
        });
        metrics_text::render(self.write_latency.histogram(), primary)
    }

    /// Queues a reply, which is sent once the changes that it depends on are committed.
    fn queue_operator_reply(&mut self, replies: Sender<OperatorReply>, reply: OperatorReply) {
        if let Some(primary) = &mut self.primary {
            primary.replies.push(PendingReply::Operator(replies, reply));
        }
    }

    /// Returns `None` if this node is primary and its lease is valid, and otherwise the reply that
    /// it gives instead of handling the request: a redirect to the primary if this node can verify
    /// that the primary was in contact with a majority less than a lease ago, else the status 503.
    fn not_primary_reply(&self, path: &str) -> Option<OperatorReply> {
        let now_ms = self.clock.monotonic_ms();
        if self.primary.is_some() && self.replica.active_term(now_ms).is_some() {
            return None;
        }
        let own_id = self.replica.local_member().id;
        let other = self.replica.verified_primary(now_ms).filter(|primary| primary.id != own_id);
        let Some(primary) = other else { return Some(no_primary()) };
        let location = format!("http://{}{path}", primary.operator_address);
        Some(OperatorReply { status: 307, body: String::new(), location: Some(location) })
    }
}

fn no_primary() -> OperatorReply {
    OperatorReply::new(503, "no primary")
}
