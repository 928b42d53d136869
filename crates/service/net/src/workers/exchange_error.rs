//! Why an exchange with a worker or with discovery brought no answer.
use crate::Message;
use crate::message::report_invalid_input;
use http_body_util::LengthLimitError;
use spanlead_balancing_policy::Outcome;
use std::error::Error;
use std::io;
use tokio::sync::mpsc::UnboundedSender;

/// Why an exchange brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// None of our own descriptors came free: nothing was tried, and it says nothing of the other
    /// side.
    #[error("no descriptor is free")]
    NoDescriptor,
    /// The request's last byte was not written: no worker can have begun it.
    #[error("the request was not sent")]
    NotSent,
    /// The connection broke after that.
    #[error("the connection broke")]
    Broken,
    /// After that an invalid answer came, for this reason.
    #[error("{0}")]
    InvalidAnswer(&'static str),
    /// The deadline passed.
    #[error("timed out")]
    Timeout,
}

impl ExchangeError {
    /// What the policy is told of it.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            ExchangeError::NoDescriptor => Outcome::NotSent,
            ExchangeError::NotSent => Outcome::ConnectFailed,
            ExchangeError::Broken | ExchangeError::InvalidAnswer(_) => Outcome::Reset,
            ExchangeError::Timeout => Outcome::Timeout,
        }
    }

    /// Has it counted if the answer was invalid.
    pub(crate) fn report(&self, messages: &UnboundedSender<Message>) {
        if let ExchangeError::InvalidAnswer(reason) = self {
            report_invalid_input(messages, reason);
        }
    }

    /// What an error says once the request was written whole. An answer that ends before its head
    /// does cannot be told from none.
    pub(super) fn after_whole_request(error: Box<dyn Error + Send + Sync>) -> Self {
        if error.is::<LengthLimitError>() {
            return ExchangeError::InvalidAnswer("answer too long");
        }
        let Some(error) = error.downcast_ref::<hyper::Error>() else { return ExchangeError::Broken };
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        match source.map(io::Error::kind) {
            _ if error.is_parse() => ExchangeError::InvalidAnswer("answer not HTTP"),
            Some(io::ErrorKind::UnexpectedEof) => ExchangeError::InvalidAnswer("answer cut short"),
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => {
                ExchangeError::InvalidAnswer("answer not HTTP")
            }
            _ => ExchangeError::Broken,
        }
    }
}
