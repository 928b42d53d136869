//! A client for the platform's list of workers.
use async_std::net::TcpStream;
use compact_str::CompactString;
use http_types::{Method, Request, Url, url};
use quick_error::quick_error;
use serde::Deserialize;
use spanlead_cluster_runtime::http::client::{self, CallError};
use spanlead_cluster_runtime::timeout::timeout;
use spanlead_job_scheduler::{ListedWorker, ListedWorkerState};
use std::time::Duration;

/// The time-out for fetching a page, including the connection.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The maximum number of pages of a list.
const MAX_PAGES: usize = 1_000;
/// The state of an instance that accepts tasks. Any other state is treated as draining.
const READY_STATE: &str = "ready";
const OK_STATUS: u16 = 200;

quick_error! {
    /// An error in reading the list.
    #[derive(Debug)]
    pub enum WorkerListError {
        /// The connection can't be established or failed.
        Io(error: std::io::Error) {
            from()
            display("connection: {}", error)
        }
        /// A page was not received in time.
        TimedOut {
            display("no response within {} ms", PAGE_TIMEOUT.as_millis())
        }
        /// The status of a response is not 200.
        Status(status: u16) {
            display("expected status {}, received {}", OK_STATUS, status)
        }
        /// The address is invalid.
        Address(error: url::ParseError) {
            from()
            display("invalid address: {}", error)
        }
        /// No complete response was received.
        Call(error: CallError) {
            from()
            display("no complete response: {}", error)
        }
        /// The body of a response is not a page of the list.
        Malformed(error: serde_json::Error) {
            from()
            display("response body is not a page of the list: {}", error)
        }
        /// The list has more pages than are read.
        TooManyPages {
            display("list has more than {} pages", MAX_PAGES)
        }
    }
}

/// A page of the list.
#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    #[serde(rename = "nextToken")]
    next_token: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct Capacity {
    /// Thousandths of a core.
    cpu: u64,
    mem_mb: u64,
    gpus: u64,
}

/// A worker incarnation on the list.
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

/// Reads the complete list from an address. The pages share one connection as long as the server
/// keeps it open.
///
/// # Errors
/// If any page can't be read: in an incomplete list, workers would seem to have left.
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
