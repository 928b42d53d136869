//! The other processes of this scheduler, while one takes over from another; and workers' notices, which may be for these.
use super::*;

impl Driver {
    /// Another process of this scheduler has come or gone.
    pub(super) fn kin(&mut self, kin: PeerProcessEvent) {
        match kin {
            PeerProcessEvent::Successor(link) => self.successor = Some(link),
            PeerProcessEvent::Gone(link) => {
                for side in [&mut self.predecessor, &mut self.successor] {
                    side.take_if(|l| l.same_channel(&link));
                }
            }
        }
        let (predecessor, successor) = (self.predecessor.is_some(), self.successor.is_some());
        tracing::info!(predecessor, successor, "other processes of this scheduler");
        let share = self.shares[usize::from(predecessor || successor)];
        self.client_listener.set_budget(share.clients);
        self.pool.set_budget(share.workers);
        self.step(Input::SetCapacity { max_open_requests: share.open, successor });
    }

    /// A notice of a job that is not open here is for another process of this scheduler, if there is one.
    pub(super) fn notice(
        &mut self,
        notice: NoticeBody,
        body: Bytes,
        from: Option<ProcessLink>,
        heard: Option<oneshot::Sender<NoticeReply>>,
    ) {
        let mut passed = Vec::new();
        if let Some((_, notices)) = self.adopted.get_mut(&*notice.id) {
            notices.push((notice, heard));
            return;
        }
        if !self.engine.knows_job(&notice.id) {
            // One for a request that was handed over meanwhile goes back, behind it.
            let from = from.filter(|_| !self.released.contains_key(&*notice.id));
            for link in [&self.predecessor, &self.successor].into_iter().flatten() {
                if from.as_ref().is_none_or(|f| !f.same_channel(link)) {
                    let (there, arrived) = oneshot::channel();
                    let _ = link.send(Forwarded::Notice { body: body.clone(), there });
                    passed.push(arrived);
                }
            }
        }
        if passed.is_empty() {
            return self.heed(notice, heard);
        }
        tokio::spawn(async move {
            let mut all = Vec::new();
            for arrived in passed {
                // One that has gone takes its jobs with it; the worker asks again and is then answered here.
                let Ok(reply) = arrived.await else { return };
                all.push(reply);
            }
            // Whoever holds the lease says so; of one that nobody holds all say the same.
            let held = all.iter().find(|r| matches!(r, NoticeReply::Acknowledged { lease: Some(_) }));
            let reply = held.or(all.first()).copied().unwrap_or(NoticeReply::Acknowledged { lease: None });
            let _ = heard.map(|heard| heard.send(reply));
        });
    }

    pub(super) fn heed(&mut self, mut notice: NoticeBody, heard: Option<oneshot::Sender<NoticeReply>>) {
        let news = notice.news();
        let report = notice.load.map(|f| self.report_mapping.to_load_report(f));
        self.note += 1;
        let note = self.note;
        self.notes.extend(heard.map(|heard| (note, heard)));
        self.step(Input::WorkerNotice(WorkerNotice {
            notice: note,
            job_id: notice.id,
            worker: notice.from,
            fencing_token: notice.token,
            update: news,
            report,
        }));
    }

    /// Hands an open request to the successor, with its client's socket.
    pub(super) fn hand_over(&mut self, request_id: RequestId, snapshot: RequestSnapshot) {
        let (Some(Open { connection, reply, parcel }), Some(successor)) =
            (self.open.remove(&request_id), &self.successor)
        else {
            return;
        };
        let id = snapshot.id.clone();
        match connection.release() {
            Ok(socket) => {
                let text = wire::again(&parcel).into();
                let (there, arrived) = oneshot::channel();
                tracing::info!(%id, "handed over");
                let _ = successor.send(Forwarded::Request { snapshot, text, socket, there });
                self.leaving.push(arrived);
                self.released.insert(id, reply);
            }
            Err(error) => tracing::warn!(%error, "a request can't be handed over"),
        }
    }
}
