//! Workers' notices, which may be for another process of this scheduler.
use super::Driver;
use super::peer_processes::{NoticeReplySender, WaitingNotice};
use bytes::Bytes;
use spanlead_engine::{Input, NoticeReply, WorkerNotice};
use spanlead_net::wire::NoticeBody;
use spanlead_net::{ForwardedMessage, ProcessLink};
use tokio::sync::oneshot;

impl Driver {
    /// A notice of a job that is not open here is for another process of this scheduler, if there
    /// is one.
    pub(super) fn notice_received(
        &mut self,
        notice: NoticeBody,
        body: Bytes,
        from: Option<ProcessLink>,
        reply: NoticeReplySender,
    ) {
        if let Some(handed_over) = self.peer_processes.handed_over_mut(&notice.id) {
            handed_over.notices.push(WaitingNotice { notice, reply });
            return;
        }
        let forwarded = self.forward_notice(&notice, &body, from);
        if forwarded.is_empty() {
            return self.process_notice(notice, reply);
        }
        tokio::spawn(async move {
            let mut replies = Vec::new();
            for replied in forwarded {
                // One that has gone takes its jobs with it; the worker asks again and is then
                // answered here.
                let Ok(reply) = replied.await else { return };
                replies.push(reply);
            }
            if let Some(reply) = reply {
                let _ = reply.send(combined_reply(&replies));
            }
        });
    }

    /// Forwards a notice to the other processes that may know its job; each gives its reply.
    fn forward_notice(
        &self,
        notice: &NoticeBody,
        body: &Bytes,
        from: Option<ProcessLink>,
    ) -> Vec<oneshot::Receiver<NoticeReply>> {
        if self.engine.knows_job(&notice.id) {
            return Vec::new();
        }
        // One for a request that was handed over meanwhile goes back, behind it.
        let from = from.filter(|_| !self.peer_processes.has_released(&notice.id));
        let mut forwarded = Vec::new();
        for link in self.peer_processes.links() {
            if from.as_ref().is_none_or(|from| !from.same_channel(link)) {
                let (reply, replied) = oneshot::channel();
                let _ = link.send(ForwardedMessage::Notice { body: body.clone(), reply });
                forwarded.push(replied);
            }
        }
        forwarded
    }

    /// Gives a notice to the engine.
    pub(super) fn process_notice(&mut self, mut notice: NoticeBody, reply: NoticeReplySender) {
        let update = notice.take_update();
        let report = notice.load.map(|load| self.report_mapping.to_load_report(load));
        self.notices.last_number += 1;
        let number = self.notices.last_number;
        self.notices.replies.extend(reply.map(|reply| (number, reply)));
        self.step(Input::WorkerNotice(WorkerNotice {
            notice_id: number,
            job_id: notice.id,
            worker: notice.from,
            fencing_token: notice.token,
            update,
            report,
        }));
    }

    /// Answers a notice.
    pub(super) fn acknowledge(&mut self, notice: u64, reply: NoticeReply) {
        if let Some(waiting) = self.notices.replies.remove(&notice) {
            let _ = waiting.send(reply);
        }
    }
}

/// Whoever holds the lease says so; of a lease that nobody holds all say the same.
fn combined_reply(replies: &[NoticeReply]) -> NoticeReply {
    let holds_lease = |reply: &&NoticeReply| matches!(reply, NoticeReply::Acknowledged { lease: Some(_) });
    let holder = replies.iter().find(holds_lease);
    holder.or(replies.first()).copied().unwrap_or(NoticeReply::Acknowledged { lease: None })
}
