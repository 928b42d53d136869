//! The responses that the simulated platform and workers give.
use serde_json::Value;
use tide::{Response, StatusCode};

/// A response with a JSON body.
pub(crate) fn json_response(status: u16, body: &Value) -> tide::Result {
    let mut response = Response::new(StatusCode::try_from(status)?);
    response.set_body(body.to_string());
    response.set_content_type(tide::http::mime::JSON);
    Ok(response)
}
