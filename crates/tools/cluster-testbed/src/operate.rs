//! What operators do: calls to the control plane.
use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Body, Method, Request, Url, mime};
use quick_error::quick_error;
use std::time::Duration;

quick_error! {
    /// Why a call had no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The connection.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// No answer in time.
        Late {
            display("no answer in time")
        }
        /// No HTTP, or no address.
        Form(what: String) {
            display("{}", what)
        }
    }
}

/// How long a call may take.
const CALL: Duration = Duration::from_millis(3_500);
/// How often a call follows to another machine.
const FOLLOWS: usize = 3;

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// One call over a connection of its own.
///
/// # Errors
/// If there is no answer.
pub async fn call(
    method: Method,
    address: &str,
    host: Option<&str>,
    path: &str,
    headers: &[(&str, String)],
    body: Option<String>,
) -> Result<(Answer, Option<String>), CallError> {
    let form = |error: &dyn std::fmt::Display| CallError::Form(error.to_string());
    let work = async {
        let stream = TcpStream::connect(address).await?;
        let url = Url::parse(&format!("http://{address}{path}")).map_err(|e| form(&e))?;
        let mut request = Request::new(method, url);
        if let Some(host) = host {
            request.insert_header("Host", host);
        }
        for (name, value) in headers {
            request.insert_header(*name, value.as_str());
        }
        if let Some(body) = body {
            request.set_body(Body::from_string(body));
            request.set_content_type(mime::JSON);
        }
        let mut response = async_h1::connect(stream, request).await.map_err(|e| form(&e))?;
        let location = response.header("Location").map(|value| value.as_str().to_owned());
        let body = response.body_string().await.map_err(|e| form(&e))?;
        Ok((Answer { status: response.status().into(), body }, location))
    };
    timeout(CALL, work).await.map_err(|_| CallError::Late)?
}

/// A call to the control plane, which follows to the machine that serves.
///
/// # Errors
/// If there is no answer.
pub async fn control(
    method: Method,
    address: &str,
    path: &str,
    headers: &[(&str, String)],
    body: Option<String>,
) -> Result<Answer, CallError> {
    let mut address = address.to_owned();
    for _ in 0..FOLLOWS {
        let (answer, location) = call(method, &address, None, path, headers, body.clone()).await?;
        let next = location.as_deref().and_then(|l| Url::parse(l).ok());
        match next.filter(|_| answer.status == 307) {
            Some(url) => {
                address = format!("{}:{}", url.host_str().unwrap_or_default(), url.port().unwrap_or(80));
            }
            None => return Ok(answer),
        }
    }
    Err(CallError::Form("sent from machine to machine".to_owned()))
}
