//! A client's request as the log of durable jobs keeps it. The encoding is stored: the order and
//! the types of [`StoredRequest`]'s fields must not change.
use super::headers::{IDEMPOTENCY_KEY, REQ_ID};
use super::{ClientRequest, RequestError};
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use spanlead_engine::DurableRequest;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// The longest idempotency key, bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// What a worker will need of a request.
#[derive(Deserialize, Serialize)]
struct StoredRequest<'a> {
    method: &'a str,
    uri: String,
    #[serde(borrow)]
    headers: Vec<(&'a str, &'a [u8])>,
    body: &'a [u8],
}

/// What is logged of a request: how its repeats are recognised, and the request for another process
/// to send.
///
/// # Errors
/// [`RequestError::InvalidIdempotencyKey`].
pub fn durable_request(request: &ClientRequest) -> Result<DurableRequest, RequestError> {
    let key = request.headers.get(&IDEMPOTENCY_KEY).map(decode_key).transpose()?;
    Ok(DurableRequest { key, fingerprint: fingerprint(request), encoded_request: store_request(request) })
}

fn decode_key(value: &HeaderValue) -> Result<Arc<str>, RequestError> {
    let key = value.to_str().map_err(|_| RequestError::InvalidIdempotencyKey)?.trim();
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        return Err(RequestError::InvalidIdempotencyKey);
    }
    Ok(Arc::from(key))
}

/// Digest of all that makes a request another one.
fn fingerprint(request: &ClientRequest) -> [u8; 16] {
    let content_type = request.headers.get(&CONTENT_TYPE).map_or(&[][..], HeaderValue::as_bytes);
    let uri = request.uri.to_string();
    let mut digest = Xxh3::new();
    for field in [request.method.as_str().as_bytes(), uri.as_bytes(), content_type, &request.body] {
        // With its length, so that bytes cannot move from one field to the next.
        digest.update(&(field.len() as u64).to_le_bytes());
        digest.update(field);
    }
    digest.digest128().to_le_bytes()
}

fn store_request(request: &ClientRequest) -> Bytes {
    let kept = [&REQ_ID, &IDEMPOTENCY_KEY, &CONTENT_TYPE].into_iter();
    let headers = kept.filter_map(|name| Some((name.as_str(), request.headers.get(name)?.as_bytes())));
    let stored = StoredRequest {
        method: request.method.as_str(),
        uri: request.uri.to_string(),
        headers: headers.collect(),
        body: &request.body,
    };
    postcard::to_stdvec(&stored).unwrap_or_default().into()
}

/// A request that the log has kept; `None` if the bytes are none.
pub fn restore_request(text: &Bytes) -> Option<ClientRequest> {
    let stored: StoredRequest<'_> = postcard::from_bytes(text).ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &stored.headers {
        headers.insert(HeaderName::try_from(*name).ok()?, HeaderValue::from_bytes(value).ok()?);
    }
    let method = Method::from_bytes(stored.method.as_bytes()).ok()?;
    let uri = Uri::try_from(stored.uri).ok()?;
    Some(ClientRequest { method, uri, headers, body: text.slice_ref(stored.body) })
}
