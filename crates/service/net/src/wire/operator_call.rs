//! The operators' calls under `/ops`, and their answers.
use super::response::{json, plain};
use super::{Body, RequestError};
use hyper::{Method, Response, StatusCode};
use spanlead_engine::EngineStats;

/// What operators ask for.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Whether this process can serve.
    Readiness,
    /// The figures of [`EngineStats`].
    Stats,
    /// Start (`true`) or stop draining.
    Drain(bool),
    /// The membership as this scheduler sees it.
    Members,
    /// Who holds which singleton role.
    SingletonRoles,
    /// Another scheduler is to hold this role.
    ReleaseRole(String),
    /// The inventories, and where they differ from the endpoint list.
    Inventories,
    /// What is known of a worker, and the source of it.
    Host(String),
    /// A version of an inventory that is held back is to be used.
    Accept(AcceptedVersion),
}

/// The version of an inventory that an operator accepts.
#[derive(Clone, Debug)]
pub struct AcceptedVersion {
    /// The inventory's name.
    pub inventory: String,
    /// The beginning of the version's digest.
    pub digest: String,
}

/// What operators are answered.
#[derive(Debug)]
pub enum OperatorReply {
    /// It is so, or it is done.
    Yes,
    /// It is not so, with the reason.
    No(&'static str),
    /// The figures.
    Stats(Box<EngineStats>),
    /// JSON, already encoded.
    Json(Vec<u8>),
    /// It cannot be done, with the reason.
    Refused(String),
    /// There is no such thing here.
    Missing(&'static str),
}

impl OperatorCall {
    /// Decodes a call.
    ///
    /// # Errors
    /// [`RequestError::UnknownCall`], or [`RequestError::CallMethod`] for one that has another
    /// method.
    pub fn decode(method: &Method, path: &str) -> Result<Self, RequestError> {
        let (expected, call) = match path {
            "/ops/readiness" => (Method::GET, OperatorCall::Readiness),
            "/ops/stats" => (Method::GET, OperatorCall::Stats),
            "/ops/drain/start" => (Method::POST, OperatorCall::Drain(true)),
            "/ops/drain/stop" => (Method::POST, OperatorCall::Drain(false)),
            "/ops/inventory" => (Method::GET, OperatorCall::Inventories),
            "/ops/members" => (Method::GET, OperatorCall::Members),
            "/ops/duties" => (Method::GET, OperatorCall::SingletonRoles),
            _ => Self::decode_with_names(path)?,
        };
        if *method == expected { Ok(call) } else { Err(RequestError::CallMethod) }
    }

    /// Calls whose paths have names in them.
    fn decode_with_names(path: &str) -> Result<(Method, Self), RequestError> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match segments[..] {
            ["ops", "duties", name, "release"] => {
                Ok((Method::POST, OperatorCall::ReleaseRole(name.to_owned())))
            }
            ["ops", "inventory", "hosts", host] => Ok((Method::GET, OperatorCall::Host(host.to_owned()))),
            ["ops", "inventory", name, "accept", digest] => {
                let accepted = AcceptedVersion { inventory: name.to_owned(), digest: digest.to_owned() };
                Ok((Method::POST, OperatorCall::Accept(accepted)))
            }
            _ => Err(RequestError::UnknownCall),
        }
    }
}

/// The answer to an operator's call.
pub fn operator_response(reply: OperatorReply) -> Response<Body> {
    match reply {
        OperatorReply::Yes => plain(StatusCode::OK, "yes\n"),
        OperatorReply::No(reason) => plain(StatusCode::SERVICE_UNAVAILABLE, reason),
        OperatorReply::Stats(stats) => match serde_json::to_vec(&stats) {
            Ok(text) => json(text),
            Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "the figures can't be written\n"),
        },
        OperatorReply::Json(text) => json(text),
        OperatorReply::Missing(reason) => plain(StatusCode::NOT_FOUND, format!("{reason}\n")),
        OperatorReply::Refused(reason) => plain(StatusCode::CONFLICT, format!("{reason}\n")),
    }
}
