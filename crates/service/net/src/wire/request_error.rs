//! Requests that cannot be taken.
use hyper::StatusCode;
use std::fmt;

/// Why a request cannot be taken. Each has a status and a text, which clients see and which counts
/// invalid input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The path names no class of the deployment.
    UnknownClass,
    /// A job came by another method than POST.
    JobMethod,
    /// A header came twice.
    RepeatedHeader,
    /// There is no `Req-Id`.
    MissingId,
    /// `Req-Id` has other characters than allowed, or is too long.
    InvalidId,
    /// The deployment has no such tenant.
    UnknownTenant,
    /// There is no `Req-Owner`, and the deployment has tenants.
    MissingTenant,
    /// There is no `Req-Deadline-Ms`.
    MissingDeadline,
    /// `Req-Deadline-Ms` is no whole number.
    InvalidDeadline,
    /// `Req-Deadline-Ms` is longer than a day.
    DeadlineTooFar,
    /// `Req-Extra` has slots or memory that no machine has.
    InvalidResources,
    /// `Idempotency-Key` is empty, too long or not plain.
    InvalidIdempotencyKey,
    /// The length of the body is given in two ways.
    AmbiguousLength,
    /// The body is longer than [`MAX_BODY`](super::MAX_BODY).
    BodyTooLarge,
    /// The connection broke before the end of the body.
    BodyBroken,
    /// The body did not arrive in time.
    BodyTimeout,
    /// An operator's body is broken or too large.
    OperatorBody,
    /// No process has taken the worker's notice.
    NoticeNotTaken,
    /// There is no such call for operators.
    UnknownCall,
    /// The operators' call has another method.
    CallMethod,
}

impl RequestError {
    /// The status of the answer.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::UnknownClass | Self::UnknownCall => StatusCode::NOT_FOUND,
            Self::JobMethod | Self::CallMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NoticeNotTaken => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// The text of the answer, and the reason under which invalid input is counted.
    pub const fn reason(self) -> &'static str {
        match self {
            Self::UnknownClass => "unknown class",
            Self::JobMethod => "jobs arrive by POST",
            Self::RepeatedHeader => "a header came twice",
            Self::MissingId => "Req-Id is missing",
            Self::InvalidId => "Req-Id is not a plain word",
            Self::UnknownTenant => "Req-Owner is unknown",
            Self::MissingTenant => "Req-Owner is missing",
            Self::MissingDeadline => "Req-Deadline-Ms is missing",
            Self::InvalidDeadline => "Req-Deadline-Ms is not a whole number",
            Self::DeadlineTooFar => "Req-Deadline-Ms is too far away",
            Self::InvalidResources => "Req-Extra has a figure that no job can have",
            Self::InvalidIdempotencyKey => "Idempotency-Key is not 1 to 256 plain characters",
            Self::AmbiguousLength => "a body's length is told in two ways",
            Self::BodyTooLarge => "the body is too large",
            Self::BodyBroken => "the body broke off",
            Self::BodyTimeout => "the body took too long",
            Self::OperatorBody => "the body is broken or too large",
            Self::NoticeNotTaken => "nobody has taken this notice",
            Self::UnknownCall => "no such call",
            Self::CallMethod => "this call has another method",
        }
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.reason())
    }
}

impl std::error::Error for RequestError {}
