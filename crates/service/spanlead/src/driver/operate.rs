//! What operators ask for.
use super::*;

impl Driver {
    /// Does what an operator asks.
    pub(super) fn operate(&mut self, OperatorRequest { call, reply }: OperatorRequest) {
        let call = match (call, &self.desk) {
            (OperatorCall::Inventories | OperatorCall::Accept(..), None) => {
                let _ = reply.send(OperatorReply::Refused("no inventory is set".into()));
                return;
            }
            // What takes its time is not done where jobs are decided.
            (OperatorCall::Inventories, Some(desk)) => {
                let (desk, live) = (desk.clone(), self.engine.live_hosts());
                let (sheet, now) = (self.engine.sheet().cloned().unwrap_or_default(), self.clock.now());
                tokio::task::spawn_blocking(move || {
                    let report = reconcile(&live, &sheet, now / 1_000_000, MAX_FINDINGS);
                    let text = serde_json::to_vec(&Overview { inventories: desk.status(), report });
                    let _ = reply.send(
                        text.map_or_else(|e| OperatorReply::Refused(e.to_string()), OperatorReply::Json),
                    );
                });
                return;
            }
            (OperatorCall::Accept(name, digest), Some(desk)) => {
                let desk = desk.clone();
                tokio::task::spawn_blocking(move || {
                    let done = desk
                        .accept(&name, &digest)
                        .map(|said| serde_json::json!({ "done": said }).to_string());
                    let done = done.map(String::into_bytes);
                    let _ = reply.send(done.map_or_else(OperatorReply::Refused, OperatorReply::Json));
                });
                return;
            }
            (call, _) => call,
        };
        let answer = match call {
            OperatorCall::Inventories | OperatorCall::Accept(..) => OperatorReply::No("ending\n"),
            OperatorCall::Members => match self.engine.members_view() {
                Some(view) => OperatorReply::Json(serde_json::to_vec(&view).unwrap_or_default()),
                None => OperatorReply::Missing("membership is not switched on"),
            },
            OperatorCall::Duties => match self.engine.roles_view(self.clock.now()) {
                Some(duties) => {
                    let text = serde_json::json!({ "duties": duties }).to_string();
                    OperatorReply::Json(text.into_bytes())
                }
                None => OperatorReply::Missing("no duty is set"),
            },
            OperatorCall::ReleaseDuty(name) => {
                let duties = self.engine.roles_view(self.clock.now()).unwrap_or_default();
                match duties.iter().find(|d| d.name == name) {
                    None => OperatorReply::Missing("there is no such duty"),
                    Some(duty) if duty.state != "held" => {
                        OperatorReply::Refused(format!("{name} is not held here"))
                    }
                    Some(_) => {
                        self.step(Input::ReleaseRole { name });
                        OperatorReply::Yes
                    }
                }
            }
            OperatorCall::Host(host) => match self.engine.worker_view(self.clock.now(), &host) {
                Some(view) => OperatorReply::Json(serde_json::to_vec(&view).unwrap_or_default()),
                None => OperatorReply::Refused(format!("the live list has not named {host:?}")),
            },
            OperatorCall::Readiness if self.engine.is_serving() => OperatorReply::Yes,
            OperatorCall::Readiness => {
                OperatorReply::No("no worker is known, the ledger can't be used, or the process is ending\n")
            }
            OperatorCall::Stats => {
                let mut figures = self.engine.stats(self.clock.now(), &self.names.borrow().classes);
                let stats = self.ledger.as_ref().and_then(|l| l.store.as_ref()).map(LogWriter::stats);
                if let (Some(ledger), Some(stats)) = (&mut figures.ledger, stats) {
                    (ledger.commits, ledger.records) = (stats.commits, stats.records);
                    ledger.commit_p50_us = stats.latency_p50.as_micros() as u64;
                    ledger.commit_p99_us = stats.latency_p99.as_micros() as u64;
                    ledger.commit_max_us = stats.latency_max.as_micros() as u64;
                }
                if let (Some(members), Some(peers)) = (&mut figures.membership, &self.peers) {
                    members.unknown_senders = peers.strangers();
                }
                OperatorReply::Figures(Box::new(figures))
            }
            OperatorCall::Drain(on) => {
                tracing::info!(on, "an operator's drain");
                self.step(Input::SetDraining(on));
                OperatorReply::Yes
            }
        };
        let _ = reply.send(answer);
    }
}
