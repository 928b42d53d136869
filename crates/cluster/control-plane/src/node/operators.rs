//! What operators ask.
use super::{Node, Reply, Waiting};
use crate::configurations::Taken;
use crate::status::{self, Question};
use async_std::channel::Sender;

impl Node {
    pub(super) fn replace(&mut self, base: u64, text: &str, answers: Sender<Reply>) {
        if let Some(elsewhere) = self.elsewhere("/config/replace") {
            let _ = answers.try_send(elsewhere);
            return;
        }
        let Some(serving) = &mut self.serving else { return };
        let taken = serving.configurations.replace(self.replica.keyspace(), base, text);
        let (status, body) = match taken {
            Taken::New(changes) => {
                log::info!("configuration {} is taken", serving.configurations.version());
                self.propose(changes);
                self.carry_out();
                (200, String::new())
            }
            Taken::Again => (200, String::new()),
            Taken::Conflict => (412, format!("current: {}", serving.configurations.version())),
            Taken::Invalid(why) => (400, why),
        };
        self.answer_when_durable(Waiting::Operator(answers, Reply { status, body, location: None }));
    }

    pub(super) fn read(&mut self, answers: Sender<Reply>) {
        if let Some(elsewhere) = self.elsewhere("/config/get") {
            let _ = answers.try_send(elsewhere);
            return;
        }
        let Some(serving) = &self.serving else { return };
        let reply = match serving.configurations.text() {
            Some(text) => Reply { status: 200, body: text.to_owned(), location: None },
            None => Reply { status: 404, body: "no configuration".to_owned(), location: None },
        };
        self.answer_when_durable(Waiting::Operator(answers, reply));
    }

    pub(super) fn status(&self, question: &Question, answers: &Sender<Reply>) {
        let path = match question {
            Question::Figures => {
                let body = status::figures(
                    self.serving.as_ref().map(|serving| (&serving.scheduler, &serving.commits)),
                );
                let _ = answers.try_send(Reply { status: 200, body, location: None });
                return;
            }
            Question::Members => "/status/members".to_owned(),
            Question::Workers => "/status/workers".to_owned(),
            Question::Jobs => "/status/jobs".to_owned(),
            Question::Job(id) => format!("/status/jobs/{id}"),
        };
        if let Some(elsewhere) = self.elsewhere(&path) {
            let _ = answers.try_send(elsewhere);
            return;
        }
        let Some(serving) = &self.serving else { return };
        let found = match question {
            Question::Members => Some(status::members(&self.replica)),
            Question::Workers => Some(status::workers(&serving.scheduler, self.clock.steady())),
            Question::Jobs => Some(status::jobs(&serving.scheduler)),
            Question::Job(id) => status::job(&serving.scheduler, *id),
            Question::Figures => None,
        };
        let reply = match found {
            Some(value) => Reply { status: 200, body: value.to_string(), location: None },
            None => Reply { status: 410, body: "no such job".to_owned(), location: None },
        };
        let _ = answers.try_send(reply);
    }

    /// The answer of a node that doesn't serve: who does, if it can prove that less than a lease ago that machine was in
    /// touch with a majority.
    fn elsewhere(&self, path: &str) -> Option<Reply> {
        let now = self.clock.steady();
        if self.serving.is_some() && self.replica.active_term(now).is_some() {
            return None;
        }
        let me = self.replica.local_member().id;
        let other = self.replica.verified_primary(now).filter(|primary| primary.id != me);
        Some(match other {
            Some(primary) => Reply {
                status: 307,
                body: String::new(),
                location: Some(format!("http://{}{path}", primary.operator_address)),
            },
            None => Reply { status: 503, body: "no primary".to_owned(), location: None },
        })
    }
}
