//! What operators ask for.
use super::Driver;
use serde::Serialize;
use spanlead_engine::{EngineStats, Input, RoleView};
use spanlead_inventory::service::{InventoryService, InventoryStatus};
use spanlead_net::operator::OperatorRequest;
use spanlead_net::wire::{AcceptedVersion, OperatorCall, OperatorReply};
use spanlead_worker_attributes::{ReconciliationReport, reconcile};
use tokio::sync::oneshot;

/// Findings that one answer to an operator shows; the others are counted.
const MAX_FINDINGS: usize = 1000;
/// Nanoseconds of a millisecond.
const NANOS_PER_MS: u64 = 1_000_000;
/// The state of a role that this scheduler holds.
const HELD: &str = "held";

/// The inventories, and where they differ from the endpoint list.
#[derive(Serialize)]
struct InventoryOverview {
    inventories: Vec<InventoryStatus>,
    report: ReconciliationReport,
}

/// The singleton roles, as JSON.
#[derive(Serialize)]
struct RolesOverview {
    duties: Vec<RoleView>,
}

impl Driver {
    /// Answers an operator's call.
    pub(super) fn answer_operator(&mut self, request: OperatorRequest) {
        let OperatorRequest { call, reply } = request;
        let answer = match call {
            OperatorCall::Inventories => return self.report_inventories(reply),
            OperatorCall::Accept(accepted) => return self.accept_inventory(accepted, reply),
            OperatorCall::Members => self.members(),
            OperatorCall::SingletonRoles => self.singleton_roles(),
            OperatorCall::ReleaseRole(name) => self.release_role(name),
            OperatorCall::Host(host) => self.worker(&host),
            OperatorCall::Readiness => self.readiness(),
            OperatorCall::Stats => OperatorReply::Stats(Box::new(self.stats())),
            OperatorCall::Drain(draining) => {
                tracing::info!(draining, "drain set by an operator");
                self.step(Input::SetDraining(draining));
                OperatorReply::Yes
            }
        };
        let _ = reply.send(answer);
    }

    /// The inventories, or a reply that there are none.
    fn inventories(&self) -> Result<InventoryService, OperatorReply> {
        self.inventories.clone().ok_or_else(|| OperatorReply::Refused("no inventory is set".into()))
    }

    fn report_inventories(&self, reply: oneshot::Sender<OperatorReply>) {
        let inventories = match self.inventories() {
            Ok(inventories) => inventories,
            Err(none) => return drop(reply.send(none)),
        };
        let live = self.engine.live_hosts();
        let merged_inventory = self.engine.merged_inventory().cloned().unwrap_or_default();
        let now_ms = self.clock.now() / NANOS_PER_MS;
        // What takes its time is not done where jobs are decided.
        tokio::task::spawn_blocking(move || {
            let report = reconcile(&live, &merged_inventory, now_ms, MAX_FINDINGS);
            let overview = InventoryOverview { inventories: inventories.status(), report };
            let text = serde_json::to_vec(&overview);
            let _ = reply.send(
                text.map_or_else(|error| OperatorReply::Refused(error.to_string()), OperatorReply::Json),
            );
        });
    }

    fn accept_inventory(&self, accepted: AcceptedVersion, reply: oneshot::Sender<OperatorReply>) {
        let inventories = match self.inventories() {
            Ok(inventories) => inventories,
            Err(none) => return drop(reply.send(none)),
        };
        tokio::task::spawn_blocking(move || {
            let done = inventories.confirm(&accepted.inventory, &accepted.digest);
            let done =
                done.map(|done| serde_json::json!({ "done": done.to_string() }).to_string().into_bytes());
            let _ = reply.send(
                done.map_or_else(|error| OperatorReply::Refused(error.to_string()), OperatorReply::Json),
            );
        });
    }

    fn members(&self) -> OperatorReply {
        match self.engine.members_view() {
            Some(view) => OperatorReply::Json(serde_json::to_vec(&view).unwrap_or_default()),
            None => OperatorReply::Missing("membership is not switched on"),
        }
    }

    fn singleton_roles(&self) -> OperatorReply {
        match self.engine.roles_view(self.clock.now()) {
            Some(duties) => {
                let overview = RolesOverview { duties };
                OperatorReply::Json(serde_json::json!(overview).to_string().into_bytes())
            }
            None => OperatorReply::Missing("no duty is set"),
        }
    }

    fn release_role(&mut self, name: String) -> OperatorReply {
        let roles = self.engine.roles_view(self.clock.now()).unwrap_or_default();
        match roles.iter().find(|role| role.name == name) {
            None => OperatorReply::Missing("there is no such duty"),
            Some(role) if role.state != HELD => OperatorReply::Refused(format!("{name} is not held here")),
            Some(_) => {
                self.step(Input::ReleaseRole { name });
                OperatorReply::Yes
            }
        }
    }

    fn worker(&self, host: &str) -> OperatorReply {
        match self.engine.worker_view(self.clock.now(), host) {
            Some(view) => OperatorReply::Json(serde_json::to_vec(&view).unwrap_or_default()),
            None => OperatorReply::Refused(format!("the live list has not named {host:?}")),
        }
    }

    fn readiness(&self) -> OperatorReply {
        if self.engine.is_serving() {
            OperatorReply::Yes
        } else {
            OperatorReply::No("no worker is known, the ledger can't be used, or the process is ending\n")
        }
    }

    /// The engine's figures, and those of the log and the peers.
    fn stats(&self) -> EngineStats {
        let mut stats = self.engine.stats(self.clock.now(), &self.names.borrow().classes);
        let log_stats = self.durable_log.as_ref().and_then(super::durable_log::DurableLog::stats);
        if let (Some(jobs), Some(log)) = (&mut stats.durable_jobs, log_stats) {
            (jobs.commits, jobs.records) = (log.commits, log.records);
            jobs.commit_p50_us = log.latency_p50.as_micros() as u64;
            jobs.commit_p99_us = log.latency_p99.as_micros() as u64;
            jobs.commit_max_us = log.latency_max.as_micros() as u64;
        }
        if let (Some(members), Some(socket)) = (&mut stats.membership, &self.peers.socket) {
            members.unknown_senders = socket.dropped();
        }
        stats
    }
}
