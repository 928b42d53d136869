//! Calls over HTTP, one a connection: those of clients and of operators.
//!
//! The client in `spanlead-cluster-runtime` is not used here: it works on a connection that is kept
//! for the next call, has no time-out for a whole call, and its errors read differently, while
//! `spanlead-cluster` prints the errors of this one.
use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Url, mime};
use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// Why a call has no response.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection failed.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// There was no response in time.
        TimedOut {
            display("no answer in time")
        }
        /// The address is none.
        Address(error: http_types::url::ParseError) {
            from()
            display("{}", error)
        }
        /// What was received is no HTTP response.
        Http(error: http_types::Error) {
            from()
            display("{}", error)
        }
        /// Each machine redirected to another one.
        TooManyRedirects {
            display("sent from machine to machine")
        }
    }
}

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_500);
/// The most machines that are called until one does not redirect.
const MAX_REDIRECTS: usize = 3;
const TEMPORARY_REDIRECT: u16 = 307;
const HTTP_PORT: u16 = 80;

/// What is asked.
#[derive(Clone, Debug)]
pub struct HttpRequest<'a> {
    /// The method.
    pub method: Method,
    /// The `Host` header, if it is not the address.
    pub host: Option<&'a str>,
    /// The path.
    pub path: &'a str,
    /// Further headers, by name.
    pub headers: &'a [(&'a str, String)],
    /// The body, JSON.
    pub body: Option<String>,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The `Location` header.
    pub location: Option<String>,
    /// The body.
    pub body: String,
}

/// Makes one call over a connection of its own. The address is `IP:port`.
///
/// # Errors
/// If there is no response.
pub async fn call(address: &str, request: &HttpRequest<'_>) -> Result<HttpResponse, CallError> {
    timeout(CALL_TIMEOUT, exchange(address, request)).await.map_err(|_| CallError::TimedOut)?
}

async fn exchange(address: &str, request: &HttpRequest<'_>) -> Result<HttpResponse, CallError> {
    let stream = TcpStream::connect(address).await?;
    let request = encode(address, request)?;
    let mut response = async_h1::connect(stream, request).await?;
    let location = response.header("Location").map(|value| value.as_str().to_owned());
    let body = response.body_string().await?;
    Ok(HttpResponse { status: response.status().into(), location, body })
}

fn encode(address: &str, request: &HttpRequest<'_>) -> Result<Request, CallError> {
    let url = Url::parse(&format!("http://{address}{}", request.path))?;
    let mut encoded = Request::new(request.method, url);
    if let Some(host) = request.host {
        encoded.insert_header("Host", host);
    }
    for (name, value) in request.headers {
        encoded.insert_header(*name, value.as_str());
    }
    if let Some(body) = &request.body {
        encoded.set_body(Body::from_string(body.clone()));
        encoded.set_content_type(mime::JSON);
    }
    Ok(encoded)
}

/// Calls a machine of the control plane, and follows redirects to the primary.
///
/// # Errors
/// If there is no response.
pub async fn call_control_plane(address: &str, request: &HttpRequest<'_>) -> Result<HttpResponse, CallError> {
    let mut address = address.to_owned();
    for _ in 0..MAX_REDIRECTS {
        let response = call(&address, request).await?;
        let target = response.location.as_deref().and_then(|location| Url::parse(location).ok());
        match target.filter(|_| response.status == TEMPORARY_REDIRECT) {
            Some(url) => {
                let host = url.host_str().unwrap_or_default();
                address = format!("{host}:{}", url.port().unwrap_or(HTTP_PORT));
            }
            None => return Ok(response),
        }
    }
    Err(CallError::TooManyRedirects)
}
