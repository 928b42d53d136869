//! The control plane and data plane programs as processes, a simulated platform with one worker,
//! and a transcript of the programs' responses.
use super::http::{self, Request};
use super::{binary, folder};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time that a process has to give the expected response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of the worker's responses to `/hold`.
const HOLD_RESPONSE_DELAY: Duration = Duration::from_millis(50);
/// The retention of closed jobs, seconds: far longer than the age of those in the golden folder.
const STATUS_RETENTION_S: f64 = 1e12;
/// Statuses of a node that is temporarily unavailable.
const UNAVAILABLE_STATUSES: [u16; 2] = [503, 504];
/// The response headers that transcripts contain.
const RECORDED_HEADERS: [&str; 3] = ["content-type", "location", "retry-after"];
/// Numeric JSON fields that are masked, as they differ between runs.
const MASKED_FIELDS: [&str; 5] = ["epoch", "term", "sequence", "events", "lag"];

/// The loopback addresses of the processes.
pub struct Addresses {
    pub primary: &'static str,
    /// The node that is not primary.
    pub standby: &'static str,
    pub data_plane: &'static str,
    /// The node of the cluster that bootstraps on an empty folder.
    pub bootstrapping: &'static str,
}

pub const ADDRESSES: Addresses = Addresses {
    primary: "127.0.6.1",
    standby: "127.0.6.2",
    data_plane: "127.0.6.3",
    bootstrapping: "127.0.6.4",
};

/// The ports of the processes, the same at all addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    peer: u16,
    operators: u16,
    clients: u16,
    readiness: u16,
    metrics: u16,
}

impl Ports {
    /// Chooses ports that are free at all addresses.
    pub fn free() -> Self {
        let [peer, operators, clients, readiness, metrics] = [(); 5].map(|()| free_port("0.0.0.0"));
        Ports { peer, operators, clients, readiness, metrics }
    }

    pub fn peer_address(self, ip: &str) -> String {
        format!("{ip}:{}", self.peer)
    }

    pub fn operator_address(self, ip: &str) -> String {
        format!("{ip}:{}", self.operators)
    }
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().expect("a bound address").port()
}

/// A child process, which is killed when this is dropped.
pub struct Process {
    child: Child,
    /// The address for operators.
    pub operators: String,
    /// The address for clients.
    pub clients: String,
    pub readiness: String,
    pub metrics: String,
    ports: Ports,
    _settings: tempfile::NamedTempFile,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn start(program: &Path, ip: &str, ports: Ports, settings: &Value) -> Self {
        let file = tempfile::NamedTempFile::new().expect("a temporary file");
        std::fs::write(file.path(), settings.to_string()).expect("the settings are written");
        let child = Command::new(program)
            .args(["--log", "error"])
            .env("SPANLEAD_CONFIG", file.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        let at = |port: u16| format!("{ip}:{port}");
        Process {
            child,
            operators: at(ports.operators),
            clients: at(ports.clients),
            readiness: at(ports.readiness),
            metrics: at(ports.metrics),
            ports,
            _settings: file,
        }
    }
}

/// Returns the settings that both programs share.
fn settings(node: &str, ip: &str, ports: Ports, platform: &Platform) -> Value {
    let at = |port: u16| format!("{ip}:{port}");
    let seed = if ip == ADDRESSES.bootstrapping { ip } else { ADDRESSES.primary };
    json!({
        "node": node,
        "ip": ip,
        "zone": "zone-a",
        "listenAddrs": {
            "control": at(ports.operators), "front": at(ports.clients), "readiness": at(ports.readiness),
        },
        "portRange": [ports.peer, ports.peer],
        "seeds": [format!("{seed}:{}", ports.operators)],
        "faultTolerance": { "machines": 0 },
        "bounds": { "graceS": 6, "maxHoldMs": 6_000, "status_s": STATUS_RETENTION_S },
        "metrics": format!("{}/metrics", ports.metrics),
        "cloudApi": { "address": platform.address, "ratePerS": 30.0 },
    })
}

pub fn start_control_plane(
    ip: &str,
    ports: Ports,
    data: &Path,
    platform: &Platform,
    bootstrap: bool,
) -> Process {
    let node = if ip == ADDRESSES.standby { "core-2" } else { "core-1" };
    let mut settings = settings(node, ip, ports, platform);
    settings["dataDir"] = json!(data);
    settings["bootstrap"] = json!(bootstrap);
    settings["countsForQuorum"] = json!(true);
    Process::start(&binary::control_plane(), ip, ports, &settings)
}

pub fn start_data_plane(ports: Ports, platform: &Platform) -> Process {
    let settings = settings("edge-1", ADDRESSES.data_plane, ports, platform);
    Process::start(&binary::data_plane(), ADDRESSES.data_plane, ports, &settings)
}

/// Waits until a condition is met. Panics with its description after [`RESPONSE_TIMEOUT`].
pub fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    let until = Instant::now() + RESPONSE_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < until, "not within {RESPONSE_TIMEOUT:?}: {description}");
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// A simulated platform: its worker list, and its one worker, which still runs the running task of
/// the golden folder.
pub struct Platform {
    /// The address of the worker list.
    address: String,
    /// The path and body of each call that the worker received.
    calls: Arc<Mutex<Vec<String>>>,
}

impl Platform {
    pub fn start() -> Self {
        let list = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = list.local_addr().expect("a bound address").to_string();
        let worker_address = worker.local_addr().expect("a bound address").to_string();
        let calls = Arc::new(Mutex::new(Vec::new()));
        http::serve(list, move |_, _| worker_list(&worker_address));
        let (received, started_at) = (calls.clone(), Instant::now());
        http::serve(worker, move |path, body| {
            received.lock().expect("the lock is not poisoned").push(format!("{path} {body}"));
            worker_response(path, started_at)
        });
        Platform { address, calls }
    }

    /// Returns all calls that the worker received, each as its path and body.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("the lock is not poisoned").clone()
    }
}

fn worker_list(worker_address: &str) -> String {
    let worker = json!({
        "id": folder::WORKER, "service": "batch", "address": worker_address, "zone": "zone-a", "version": "v1",
        "slots": 8, "state": "ready", "capacity": { "cpu": 1_000, "memMb": 1_024, "gpus": 0 },
        "labels": ["rack-1"],
    });
    json!({ "instances": [worker], "nextToken": null }).to_string()
}

fn worker_response(path: &str, started_at: Instant) -> String {
    let clock_ms = 1_000_000 + started_at.elapsed().as_millis() as u64;
    if path != "/hold" {
        return json!({ "clockMs": clock_ms }).to_string();
    }
    std::thread::sleep(HOLD_RESPONSE_DELAY);
    let running = json!([[format!("{}.0.0.0", folder::RUNNING), 1, "", 37.5]]);
    json!({ "clockMs": clock_ms, "running": running, "finished": [] }).to_string()
}

/// The address to which a request is sent, and its `Host` header.
struct Endpoint<'a> {
    address: &'a str,
    host: &'a str,
}

/// A text of requests and their responses.
#[derive(Default)]
pub struct Transcript {
    pub text: String,
}

impl Transcript {
    /// Begins a section.
    pub fn title(&mut self, title: &str) {
        self.text += &format!("# {title}\n\n");
    }

    /// Sends an operator's request and records it with its response, which must have this status.
    pub fn operator_request(&mut self, process: &Process, request: &Request, status: u16) {
        let endpoint = Endpoint { address: &process.operators, host: &process.operators };
        self.record(process, endpoint, request, status, "");
    }

    /// Sends an operator's request repeatedly until the response, whose content changes while the
    /// programs run, contains this text; records that response.
    pub fn operator_request_until(&mut self, process: &Process, request: &Request, contained: &str) {
        let endpoint = Endpoint { address: &process.operators, host: &process.operators };
        self.record(process, endpoint, request, 200, contained);
    }

    /// Sends a client's request and records it with its response, which must have this status.
    pub fn client_request(&mut self, process: &Process, request: &Request, status: u16) {
        let endpoint = Endpoint { address: &process.clients, host: "jobs.example" };
        self.record(process, endpoint, request, status, "");
    }

    /// Sends the platform's readiness check and records it with its response, which must have this
    /// status.
    pub fn readiness_check(&mut self, process: &Process, status: u16) {
        let endpoint = Endpoint { address: &process.readiness, host: &process.readiness };
        self.record(process, endpoint, &Request::get("/readyz"), status, "");
    }

    /// Sends a request and records it with its response, which must have this status. Retries while
    /// there is no response, the node is unavailable, or the body does not yet contain `contained`:
    /// other load on the test machine may delay the cluster.
    fn record(
        &mut self,
        process: &Process,
        endpoint: Endpoint<'_>,
        request: &Request,
        status: u16,
        contained: &str,
    ) {
        let mut response = None;
        wait_until(&format!("{} {}", request.method, request.path), || {
            response = http::send_to_host(endpoint.address, endpoint.host, request);
            let is_temporary = |response: &http::Response| {
                response.status != status && UNAVAILABLE_STATUSES.contains(&response.status)
                    || !response.body.contains(contained)
            };
            response.as_ref().is_some_and(|response| !is_temporary(response))
        });
        let response = response.expect("a response");
        assert_eq!(response.status, status, "{} {}: {}", request.method, request.path, response.body);
        let mut lines = format!("{} {}\n", request.method, request.path);
        for (name, value) in &request.headers {
            lines += &format!("> {name}: {value}\n");
        }
        if !request.body.is_empty() {
            lines += &format!("> {}\n", request.body.replace('\n', "\n> "));
        }
        lines += &format!("{}\n", response.status);
        for name in RECORDED_HEADERS {
            if let Some(value) = response.headers.get(name) {
                lines += &format!("{name}: {value}\n");
            }
        }
        self.text += &mask(&format!("{lines}{}\n\n", response.body), process);
    }
}

/// Replaces ports and numbers that differ between runs by placeholders.
fn mask(text: &str, process: &Process) -> String {
    let ports = process.ports;
    let masked = text.replace(&format!(":{}", ports.operators), ":CONTROL-PORT");
    let mut masked = masked.replace(&format!(":{}", ports.peer), ":PEER-PORT");
    for name in MASKED_FIELDS {
        let key = format!("\"{name}\":");
        masked = masked
            .split(&key)
            .enumerate()
            .map(|(part, rest)| match part {
                0 => rest.to_owned(),
                _ => key.clone() + "N" + rest.trim_start_matches(|digit: char| digit.is_ascii_digit()),
            })
            .collect();
    }
    masked
}
