//! Reading the platform's list of workers.
use async_std::future::timeout;
use async_std::net::TcpStream;
use compact_str::CompactString;
use http_types::{Method, Request, Url};
use quick_error::quick_error;
use serde::Deserialize;
use spanlead_cluster_runtime::http::client;
use spanlead_job_scheduler::{ListedWorker, ListedWorkerState};
use std::time::Duration;

/// How long a call may take.
const CALL: Duration = Duration::from_millis(1_500);
/// Pages that a list has at most.
const MAX_PAGES: usize = 1_000;

quick_error! {
    /// Why the list could not be read.
    #[derive(Debug)]
    pub enum ListError {
        /// No connection, or it broke.
        Io(error: std::io::Error) {
            from()
            display("{}", error)
        }
        /// No answer in time.
        Late {
            display("no answer in time")
        }
        /// Another status than 200.
        Status(status: u16) {
            display("status {}", status)
        }
        /// No list.
        Form(why: String) {
            display("no list: {}", why)
        }
    }
}

#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    #[serde(rename = "nextToken")]
    next: Option<String>,
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

/// Reads the whole list, all pages over one connection.
///
/// # Errors
/// If any page can't be read: a part is no list.
pub async fn read(address: &str) -> Result<Vec<ListedWorker>, ListError> {
    let mut connection = None;
    let mut list = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let page = timeout(CALL, call(address, &mut connection, token.as_deref())).await;
        let page = page.map_err(|_| ListError::Late)??;
        list.extend(page.instances.into_iter().map(listed));
        match page.next {
            Some(next) if !next.is_empty() => token = Some(next),
            _ => return Ok(list),
        }
    }
    Err(ListError::Form("too many pages".to_owned()))
}

async fn call(
    address: &str,
    connection: &mut Option<TcpStream>,
    token: Option<&str>,
) -> Result<Page, ListError> {
    let form = |error: String| ListError::Form(error);
    let mut url = Url::parse(&format!("http://{address}/instances")).map_err(|e| form(e.to_string()))?;
    if let Some(token) = token {
        url.query_pairs_mut().append_pair("pageToken", token);
    }
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => TcpStream::connect(address).await?,
    };
    let request = client::encode(Request::new(Method::Get, url)).await?;
    let answer = client::call(&mut stream, &request).await.map_err(|e| form(e.to_string()))?;
    if answer.status != 200 {
        return Err(ListError::Status(answer.status));
    }
    if answer.reusable {
        *connection = Some(stream);
    }
    serde_json::from_slice(&answer.body).map_err(|e| form(e.to_string()))
}

fn listed(instance: Instance) -> ListedWorker {
    let state =
        if instance.state == "ready" { ListedWorkerState::Ready } else { ListedWorkerState::Draining };
    ListedWorker {
        id: instance.id,
        service: instance.service,
        address: instance.address,
        zone: instance.zone,
        state,
        cpu_millicores: instance.capacity.cpu,
        memory_mb: instance.capacity.mem_mb,
        gpus: instance.capacity.gpus,
        labels: instance.labels,
    }
}
