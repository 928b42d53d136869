//! What clients ask, as data planes pass it on.
use super::{Node, Serving, Waiting};
use crate::status::word;
use async_std::channel::Sender;
use spanlead_cluster_runtime::frame::{Ask, ClientCall, ClientReply, Frame};
use spanlead_job_scheduler::{Admission, JobId, QueueId, QueuePolicy};

impl Node {
    pub(super) fn call(&mut self, call: ClientCall, answers: Sender<Frame>) {
        let now = self.clock.now();
        let active = self.replica.active_term(now.monotonic_ms).is_some() && self.terminate_at.is_none();
        let Some(serving) = self.serving.as_mut().filter(|_| active) else {
            let _ = answers.try_send(Frame::Reply(unable(call.serial)));
            return;
        };
        let (status, body) = serving.client(now, call.host, &call.path, call.ask);
        let reply = ClientReply { serial: call.serial, status, body };
        self.answer_when_durable(Waiting::Client(answers, reply));
    }

    /// Answers when everything that the answer may rest on lasts. What came in together shares a batch.
    pub(super) fn answer_when_durable(&mut self, waiting: Waiting) {
        if let Some(serving) = &mut self.serving {
            serving.decided.push(waiting);
        }
    }
}

impl Serving {
    /// Answers a client's request by the configuration in force.
    fn client(
        &mut self,
        now: spanlead_job_scheduler::Now,
        host: String,
        path: &str,
        ask: Ask,
    ) -> (u16, String) {
        let Some(configuration) = self.configurations.current() else {
            return (503, "no configuration".to_owned());
        };
        let Some(route) = configuration.route(&host, path) else {
            return (404, "no such queue".to_owned());
        };
        let queue = QueueId { host, path_prefix: route.path_prefix.clone() };
        let name = &path[route.path_prefix.len()..];
        if name.is_empty() {
            return match ask {
                Ask::State => (200, format!("{{\"pending\":{}}}", self.scheduler.pending_jobs(&queue))),
                _ => (400, "no job is named".to_owned()),
            };
        }
        let Some(id) = job_id(name) else { return (400, "not 16 hex digits".to_owned()) };
        match ask {
            Ask::Submit(spec) => {
                let policy = QueuePolicy {
                    queue,
                    service: route.service.clone(),
                    priority: route.priority.unwrap_or(1),
                    max_attempts: route.max_attempts.unwrap_or(3),
                };
                match self.scheduler.submit(now, id, policy, spec) {
                    Admission::Accepted => (200, "{}".to_owned()),
                    Admission::TooManyJobs => (429, "too many jobs".to_owned()),
                }
            }
            Ask::State => match self.scheduler.job_state(id) {
                Some(state) => (200, format!("{{\"state\":\"{}\"}}", word(state))),
                None => (410, "no such job".to_owned()),
            },
            Ask::Cancel => {
                if self.scheduler.cancel(now, id) {
                    (200, "{}".to_owned())
                } else {
                    (410, "no such job".to_owned())
                }
            }
        }
    }
}

/// The reply of a node that can't answer.
pub(super) fn unable(serial: u64) -> ClientReply {
    ClientReply { serial, status: 0, body: String::new() }
}

pub(crate) fn job_id(name: &str) -> Option<JobId> {
    (name.len() == 16).then(|| u64::from_str_radix(name, 16).ok().map(JobId)).flatten()
}
