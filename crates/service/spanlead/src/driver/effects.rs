//! What the reducer asks for, done.
use super::*;
use spanlead_singleton_roles::Change;

impl Driver {
    pub(super) fn perform(&mut self, effect: Effect) {
        let (pool, to) = (self.pool.clone(), self.to.clone());
        match effect {
            Effect::Answer { ticket, answer, job } => {
                if let Some(open) = self.open.remove(&ticket) {
                    // A client that has just left needs no answer.
                    let sent = open.reply.send(answer).is_ok();
                    if let Some(job) = job.filter(|_| sent) {
                        let _ = to.send(Message::Input(Input::Answered { job }));
                    }
                }
            }
            Effect::Send { attempt, addr, until, lease, text } => {
                let parcel = match (self.open.get(&attempt.0), text) {
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
                    let whole = move || drop(tell.send(Message::Input(Input::Written)));
                    let how = pool.hand_over(addr, &parcel, lease, until, whole).await;
                    let _ = to.send(Message::Input(Input::Handover { attempt, how }));
                });
                self.handovers.insert(attempt, handover);
            }
            Effect::Abandon { attempt, addr, id, taken, until } => {
                if self.ledger.as_mut().is_some_and(|l| l.gate.call_off(attempt)) {
                    return self.never_sent(attempt);
                }
                let until = self.clock.instant(until);
                let offering = |h: &JoinHandle<()>| !taken && !h.is_finished();
                match self.handovers.remove(&attempt).filter(offering) {
                    // Its connection closes with it, before the worker has said that it has the job.
                    Some(handover) => {
                        handover.abort();
                        let _ = to.send(Message::Input(Input::Abandoned { attempt }));
                    }
                    // The worker has the job, or its word on that is in the inbox.
                    None => drop(tokio::spawn(async move {
                        pool.abandon(addr, &id, until).await;
                        let _ = to.send(Message::Input(Input::Abandoned { attempt }));
                    })),
                }
            }
            Effect::Probe { worker, addr, until } => {
                let (sent, until) = (self.clock.now(), self.clock.instant(until));
                tokio::spawn(async move {
                    let (outcome, report) = pool.probe(addr, until).await;
                    let _ = to.send(Message::Input(Input::Probed { worker, sent, outcome, report }));
                });
            }
            Effect::HandOver { ticket, tale } => self.hand_over(ticket, tale),
            Effect::CloseIdle { addr } => pool.close_idle(addr),
            Effect::Tell { peer, data } => {
                if let Some(peers) = &self.peers {
                    peers.tell(peer, &data);
                }
            }
            Effect::Call { duty, term, addr, path, until } => {
                let until = self.clock.instant(until);
                tokio::spawn(async move {
                    let how = spanlead_net::caller::call(addr, &path, term, until).await;
                    let _ = to.send(Message::Input(Input::Called { duty, how }));
                });
            }
            Effect::DutyChanged { name, change } => {
                let (what, term, why) = match change {
                    Change::Took(term) => ("took", term, None),
                    Change::Lost(term, why) => ("lost", term, Some(why)),
                };
                tracing::info!(name, what, term, why = ?why, "duty");
            }
            Effect::MemberChanged(change) => {
                let (number, view, incarnation) = (change.number, change.view, change.incarnation);
                let name = change.name.as_deref().unwrap_or("?");
                tracing::info!(number, name, from = ?change.from, to = ?change.to, incarnation, view, "member");
            }
            Effect::Watch { addr, version } => {
                let watch = tokio::spawn(self.discovery(addr, version).watch());
                // One at a time: the one before, if it still runs, ends here with its connection and is not heard of.
                self.watch.replace(watch).inspect(JoinHandle::abort);
            }
            Effect::FetchList { addr } => drop(tokio::spawn(self.discovery(addr, 0).fetch())),
            Effect::Log(text) => tracing::info!("{text}"),
            Effect::FactsRefused { name, number, why } => {
                if let Some(desk) = &self.desk {
                    desk.object(name, number, why);
                }
            }
            Effect::Acknowledge { note, reply } => {
                let _ = self.notes.remove(&note).map(|heard| heard.send(reply));
            }
            Effect::Record(record) => self.write_down(&record),
            Effect::Durably { effect, until } => self.durably(*effect, until),
            Effect::Trim { oldest } => {
                if let Some(store) = self.ledger.as_ref().and_then(|l| l.store.as_ref()) {
                    store.trim(oldest);
                }
            }
        }
    }

    /// An attempt that was to go out has not.
    pub(super) fn never_sent(&self, attempt: AttemptId) {
        let how = Handover::Ended(Outcome::Moot, None);
        let _ = self.to.send(Message::Input(Input::Handover { attempt, how }));
    }

    pub(super) fn discovery(&self, addr: SocketAddr, version: u64) -> Discovery {
        Discovery { addr, version, names: self.names.subscribe(), to: self.to.clone() }
    }
}
