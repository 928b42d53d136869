//! Reads the platform's list of workers.
use async_std::net::TcpStream;
use compact_str::CompactString;
use http_types::{Method, Request, Url, url};
use quick_error::quick_error;
use serde::Deserialize;
use spanlead_cluster_runtime::http::client::{self, CallError};
use spanlead_cluster_runtime::timeout::timeout;
use spanlead_job_scheduler::{ListedWorker, ListedWorkerState};
use std::time::Duration;

/// How long the call for a page may take.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pages of a list at most.
const MAX_PAGES: usize = 1_000;
/// The state of an instance that accepts tasks; any other drains.
const READY_STATE: &str = "ready";
const OK_STATUS: u16 = 200;

quick_error! {
    /// Why the list can't be read.
    #[derive(Debug)]
    pub enum WorkerListError {
        /// No connection, or it failed.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// No response in time.
        TimedOut {
            display("no answer in time")
        }
        /// Another status than 200.
        Status(status: u16) {
            display("status {}", status)
        }
        /// The address is none.
        Address(error: url::ParseError) {
            from()
            display("no list: {}", error)
        }
        /// The call has no complete response.
        Call(error: CallError) {
            from()
            display("no list: {}", error)
        }
        /// The response is no page of a list.
        Malformed(error: serde_json::Error) {
            from()
            display("no list: {}", error)
        }
        /// The list does not end.
        TooManyPages {
            display("no list: too many pages")
        }
    }
}

#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    #[serde(rename = "nextToken")]
    next_token: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct Capacity {
    cpu: u64,
    mem_mb: u64,
    gpus: u64,
}

#[derive(Deserialize)]
struct Instance {
    id: CompactString,
    service: CompactString,
    address: CompactString,
    #[serde(default)]
    zone: CompactString,
    state: String,
    #[serde(default)]
    capacity: Capacity,
    #[serde(default)]
    labels: Vec<CompactString>,
}

/// Reads the complete list from an address, all pages over one connection where it is kept.
///
/// # Errors
/// If any page can't be read: with a part of the list, workers would seem to have left.
pub async fn fetch(address: &str) -> Result<Vec<ListedWorker>, WorkerListError> {
    let mut connection = None;
    let mut workers = Vec::new();
    let mut page_token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let page = timeout(PAGE_TIMEOUT, fetch_page(address, &mut connection, page_token.as_deref())).await;
        let page = page.map_err(|_| WorkerListError::TimedOut)??;
        workers.extend(page.instances.into_iter().map(ListedWorker::from));
        match page.next_token {
            Some(next) if !next.is_empty() => page_token = Some(next),
            _ => return Ok(workers),
        }
    }
    Err(WorkerListError::TooManyPages)
}

async fn fetch_page(
    address: &str,
    connection: &mut Option<TcpStream>,
    page_token: Option<&str>,
) -> Result<Page, WorkerListError> {
    let mut url = Url::parse(&format!("http://{address}/instances"))?;
    if let Some(token) = page_token {
        url.query_pairs_mut().append_pair("pageToken", token);
    }
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => TcpStream::connect(address).await?,
    };
    let request = client::encode(Request::new(Method::Get, url)).await?;
    let response = client::call(&mut stream, &request).await?;
    if response.status != OK_STATUS {
        return Err(WorkerListError::Status(response.status));
    }
    if response.reusable {
        *connection = Some(stream);
    }
    Ok(serde_json::from_slice(&response.body)?)
}

impl From<Instance> for ListedWorker {
    fn from(instance: Instance) -> Self {
        let is_ready = instance.state == READY_STATE;
        ListedWorker {
            id: instance.id,
            service: instance.service,
            address: instance.address,
            zone: instance.zone,
            state: if is_ready { ListedWorkerState::Ready } else { ListedWorkerState::Draining },
            cpu_millicores: instance.capacity.cpu,
            memory_mb: instance.capacity.mem_mb,
            gpus: instance.capacity.gpus,
            labels: instance.labels,
        }
    }
}
