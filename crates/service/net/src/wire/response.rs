//! Responses that several protocols share.
use super::{Body, RequestError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

/// A response of that status and text.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// A response of status 200 that is JSON.
pub(super) fn json(text: Vec<u8>) -> Response<Body> {
    let mut response = plain(StatusCode::OK, text);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The response to a request that cannot be taken. What is left of the request would be read as the
/// next one, so the connection ends.
pub fn error_response(error: RequestError) -> Response<Body> {
    closing(plain(error.status(), format!("{error}\n")))
}

/// Tells the other side that the connection ends after this response.
pub fn closing(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
