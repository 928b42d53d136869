//! What the reducer asks for, done.
use super::*;
use spanlead_singleton_roles::LeaseChange;

impl Driver {
    pub(super) fn perform(&mut self, effect: Effect) {
        let (pool, to) = (self.pool.clone(), self.to.clone());
        match effect {
            Effect::Answer { request_id, answer, job } => {
                if let Some(open) = self.open.remove(&request_id) {
                    // A client that has just left needs no answer.
                    let sent = open.reply.send(answer).is_ok();
                    if let Some(job) = job.filter(|_| sent) {
                        let _ = to.send(Message::Input(Input::AnswerDelivered { job }));
                    }
                }
            }
            Effect::SendAttempt { attempt, addr, until, lease, text } => {
                let parcel = match (self.open.get(&attempt.request), text) {
                    (Some(open), _) => open.parcel.clone(),
                    (None, Some(text)) => match wire::restored(&text) {
                        Some(parcel) => Arc::new(parcel),
                        None => return self.never_sent(attempt),
                    },
                    (None, None) => return self.never_sent(attempt),
                };
                let until = self.clock.instant(until);
                let handover = tokio::spawn(async move {
                    let tell = to.clone();
                    let whole = move || drop(tell.send(Message::Input(Input::AttemptWritten)));
                    let result = pool.dispatch(addr, &parcel, lease, until, whole).await;
                    let _ = to.send(Message::Input(Input::DispatchFinished { attempt, result }));
                });
                self.handovers.insert(attempt, handover);
            }
            Effect::CancelAttempt { attempt, addr, job_id: id, accepted: taken, until } => {
                if self.ledger.as_mut().is_some_and(|l| l.barrier.cancel(attempt)) {
                    return self.never_sent(attempt);
                }
                let until = self.clock.instant(until);
                let offering = |h: &JoinHandle<()>| !taken && !h.is_finished();
                match self.handovers.remove(&attempt).filter(offering) {
                    // Its connection closes with it, before the worker has said that it has the job.
                    Some(handover) => {
                        handover.abort();
                        let _ = to.send(Message::Input(Input::AttemptCancelled { attempt }));
                    }
                    // The worker has the job, or its word on that is in the inbox.
                    None => drop(tokio::spawn(async move {
                        pool.cancel(addr, &id, until).await;
                        let _ = to.send(Message::Input(Input::AttemptCancelled { attempt }));
                    })),
                }
            }
            Effect::HealthCheck { worker, addr, until } => {
                let (sent, until) = (self.clock.now(), self.clock.instant(until));
                tokio::spawn(async move {
                    let (outcome, report) = pool.check_health(addr, until).await;
                    let _ = to.send(Message::Input(Input::HealthChecked { worker, sent, outcome, report }));
                });
            }
            Effect::HandOverRequest { request_id, snapshot } => self.hand_over(request_id, snapshot),
            Effect::CloseIdleConnections { addr } => pool.close_idle(addr),
            Effect::SendPeerMessage { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(peer, &data);
                }
            }
            Effect::CallRole { role: duty, term, addr, path, until } => {
                let until = self.clock.instant(until);
                tokio::spawn(async move {
                    let how = spanlead_net::role_caller::call_role(addr, &path, term, until).await;
                    let _ = to.send(Message::Input(Input::RoleCallFinished { role: duty, result: how }));
                });
            }
            Effect::RoleChanged { name, change } => {
                let (what, term, why) = match change {
                    LeaseChange::Acquired(term) => ("took", term, None),
                    LeaseChange::Lost(term, why) => ("lost", term, Some(why)),
                };
                tracing::info!(name, what, term, why = ?why, "duty");
            }
            Effect::MemberChanged(change) => {
                let (number, view, incarnation) = (change.number, change.view, change.incarnation);
                let name = change.name.as_deref().unwrap_or("?");
                tracing::info!(number, name, from = ?change.from, to = ?change.to, incarnation, view, "member");
            }
            Effect::WatchEndpoints { addr, version } => {
                let watch = tokio::spawn(self.discovery(addr, version).watch());
                // One at a time: the one before, if it still runs, ends here with its connection and is not heard of.
                self.watch.replace(watch).inspect(JoinHandle::abort);
            }
            Effect::FetchEndpoints { addr } => drop(tokio::spawn(self.discovery(addr, 0).fetch())),
            Effect::Log(text) => tracing::info!("{text}"),
            Effect::InventoryRejected { name, version: number, reason: why } => {
                if let Some(desk) = &self.desk {
                    desk.object(name, number, why);
                }
            }
            Effect::Acknowledge { notice: note, reply } => {
                let _ = self.notes.remove(&note).map(|heard| heard.send(reply));
            }
            Effect::AppendRecord(record) => self.write_down(&record),
            Effect::AfterDurable { effect, until } => self.durably(*effect, until),
            Effect::TruncateLog { oldest } => {
                if let Some(store) = self.ledger.as_ref().and_then(|l| l.store.as_ref()) {
                    store.trim(oldest);
                }
            }
        }
    }

    /// An attempt that was to go out has not.
    pub(super) fn never_sent(&self, attempt: AttemptId) {
        let result = DispatchResult::Ended(Outcome::NotSent, None);
        let _ = self.to.send(Message::Input(Input::DispatchFinished { attempt, result }));
    }

    pub(super) fn discovery(&self, addr: SocketAddr, version: u64) -> DiscoveryClient {
        DiscoveryClient { addr, version, names: self.names.subscribe(), to: self.to.clone() }
    }
}
