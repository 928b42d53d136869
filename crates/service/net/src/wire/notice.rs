//! A worker's notice of a job, and its acknowledgement.
use super::headers::LEASE_MS;
use super::response::plain;
use super::{Body, NANOS_PER_MS};
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use spanlead_deployment_settings::ReportedFigures;
use spanlead_engine::{JobUpdate, NoticeReply};

/// A worker's notice, as JSON.
#[derive(Debug, Deserialize)]
pub struct NoticeBody {
    /// The job's id.
    pub id: String,
    /// The worker's name.
    pub from: String,
    state: JobState,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    result: String,
    /// The fencing token, from a worker that knows leases.
    pub token: Option<u64>,
    /// The worker's load.
    pub load: Option<ReportedFigures>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum JobState {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

impl NoticeBody {
    /// Decodes a notice; `None` if the bytes are none.
    pub fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// What it says of the job. The result is moved out.
    pub fn take_update(&mut self) -> JobUpdate {
        match self.state {
            JobState::Started => JobUpdate::Started,
            JobState::Running => JobUpdate::Running(self.share),
            JobState::Done => JobUpdate::Done(std::mem::take(&mut self.result)),
            JobState::Failed => JobUpdate::Failed,
            JobState::Returned => JobUpdate::Returned,
            JobState::Lost => JobUpdate::Lost,
        }
    }
}

/// The answer to a worker's notice.
pub fn notice_response(reply: NoticeReply) -> Response<Body> {
    match reply {
        NoticeReply::Acknowledged { lease } => {
            let mut response = plain(StatusCode::OK, "");
            if let Some(span) = lease {
                response.headers_mut().insert(&LEASE_MS, HeaderValue::from(span / NANOS_PER_MS));
            }
            response
        }
        NoticeReply::Fenced => plain(StatusCode::GONE, "this lease is over\n"),
    }
}
