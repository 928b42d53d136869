//! The real programs as processes, a platform with one worker for them, and a transcript of what
//! they answer.
use super::http::{self, Request};
use super::{binary, folder};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a process may take until it answers as wanted.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long the worker lets a hold wait.
const HOLD_WAIT: Duration = Duration::from_millis(50);
/// How long ends are told, seconds: the golden folder is old.
const STATUS_S: f64 = 1e12;
/// Statuses of a machine that can't answer now.
const UNAVAILABLE: [u16; 2] = [503, 504];
/// Headers of answers that transcripts name.
const HEADERS: [&str; 3] = ["content-type", "location", "retry-after"];
/// Figures that differ from run to run.
const VARYING: [&str; 5] = ["epoch", "term", "sequence", "events", "lag"];

/// Where each process lives.
pub struct Addresses {
    pub primary: &'static str,
    pub other: &'static str,
    pub data: &'static str,
    pub beginning: &'static str,
}

pub const ADDRESSES: Addresses =
    Addresses { primary: "127.0.6.1", other: "127.0.6.2", data: "127.0.6.3", beginning: "127.0.6.4" };

/// Ports, the same at all addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    peer: u16,
    control: u16,
    front: u16,
    readiness: u16,
    metrics: u16,
}

impl Ports {
    pub fn free() -> Self {
        let [peer, control, front, readiness, metrics] = [(); 5].map(|()| free_port("0.0.0.0"));
        Ports { peer, control, front, readiness, metrics }
    }

    pub fn peer_at(self, ip: &str) -> String {
        format!("{ip}:{}", self.peer)
    }

    pub fn control_at(self, ip: &str) -> String {
        format!("{ip}:{}", self.control)
    }
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("a port").local_addr().expect("bound").port()
}

/// A process; it ends with this.
pub struct Process {
    child: Child,
    pub control: String,
    pub front: String,
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
        let file = tempfile::NamedTempFile::new().expect("a file");
        std::fs::write(file.path(), settings.to_string()).expect("written");
        let child = Command::new(program)
            .args(["--log", "error"])
            .env("SPANLEAD_CONFIG", file.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .expect("started");
        let at = |port: u16| format!("{ip}:{port}");
        Process {
            child,
            control: at(ports.control),
            front: at(ports.front),
            readiness: at(ports.readiness),
            metrics: at(ports.metrics),
            ports,
            _settings: file,
        }
    }
}

fn settings(node: &str, ip: &str, ports: Ports, platform: &Platform) -> Value {
    let at = |port: u16| format!("{ip}:{port}");
    let seed = if ip == ADDRESSES.beginning { ip } else { ADDRESSES.primary };
    json!({
        "node": node,
        "ip": ip,
        "zone": "zone-a",
        "listenAddrs": {
            "control": at(ports.control), "front": at(ports.front), "readiness": at(ports.readiness),
        },
        "portRange": [ports.peer, ports.peer],
        "seeds": [format!("{seed}:{}", ports.control)],
        "faultTolerance": { "machines": 0 },
        "bounds": { "graceS": 6, "maxHoldMs": 6_000, "status_s": STATUS_S },
        "metrics": format!("{}/metrics", ports.metrics),
        "cloudApi": { "address": platform.address, "ratePerS": 30.0 },
    })
}

pub fn control_plane(ip: &str, ports: Ports, data: &Path, platform: &Platform, bootstrap: bool) -> Process {
    let node = if ip == ADDRESSES.other { "core-2" } else { "core-1" };
    let mut settings = settings(node, ip, ports, platform);
    settings["dataDir"] = json!(data);
    settings["bootstrap"] = json!(bootstrap);
    settings["countsForQuorum"] = json!(true);
    Process::start(&binary::control_plane(), ip, ports, &settings)
}

pub fn data_plane(ports: Ports, platform: &Platform) -> Process {
    let settings = settings("edge-1", ADDRESSES.data, ports, platform);
    Process::start(&binary::data_plane(), ADDRESSES.data, ports, &settings)
}

/// Waits until something is so.
pub fn wait_until(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + ANSWER_TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < until, "not in time: {what}");
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// The platform's list, and its one worker, which goes on with the golden folder's running task.
pub struct Platform {
    address: String,
    calls: Arc<Mutex<Vec<String>>>,
}

impl Platform {
    pub fn start() -> Self {
        let list = TcpListener::bind("127.0.0.1:0").expect("a port");
        let worker = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = list.local_addr().expect("bound").to_string();
        let worker_address = worker.local_addr().expect("bound").to_string();
        let calls = Arc::new(Mutex::new(Vec::new()));
        http::serve(list, move |_, _| list_of(&worker_address));
        let (seen, started) = (calls.clone(), Instant::now());
        http::serve(worker, move |path, body| {
            seen.lock().expect("no panic").push(format!("{path} {body}"));
            worker_answer(path, started)
        });
        Platform { address, calls }
    }

    /// All calls that the worker had.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("no panic").clone()
    }
}

fn list_of(worker_address: &str) -> String {
    let worker = json!({
        "id": folder::WORKER, "service": "batch", "address": worker_address, "zone": "zone-a", "version": "v1",
        "slots": 8, "state": "ready", "capacity": { "cpu": 1_000, "memMb": 1_024, "gpus": 0 },
        "labels": ["rack-1"],
    });
    json!({ "instances": [worker], "nextToken": null }).to_string()
}

fn worker_answer(path: &str, started: Instant) -> String {
    let clock_ms = 1_000_000 + started.elapsed().as_millis() as u64;
    if path != "/hold" {
        return json!({ "clockMs": clock_ms }).to_string();
    }
    std::thread::sleep(HOLD_WAIT);
    let running = json!([[format!("{}.0.0.0", folder::RUNNING), 1, "", 37.5]]);
    json!({ "clockMs": clock_ms, "running": running, "finished": [] }).to_string()
}

/// Where something is asked.
struct Place<'a> {
    address: &'a str,
    host: &'a str,
}

/// What was asked and answered.
#[derive(Default)]
pub struct Transcript {
    pub text: String,
}

impl Transcript {
    pub fn title(&mut self, title: &str) {
        self.text += &format!("# {title}\n\n");
    }

    /// Asks as an operator does.
    pub fn control(&mut self, process: &Process, request: &Request, status: u16) {
        let place = Place { address: &process.control, host: &process.control };
        self.ask(process, place, request, status, "");
    }

    /// Asks as an operator does for what changes on its own, until it is as it stays: with this in
    /// it.
    pub fn control_until(&mut self, process: &Process, request: &Request, contained: &str) {
        let place = Place { address: &process.control, host: &process.control };
        self.ask(process, place, request, 200, contained);
    }

    /// Asks as a client does.
    pub fn client(&mut self, process: &Process, request: &Request, status: u16) {
        let place = Place { address: &process.front, host: "jobs.example" };
        self.ask(process, place, request, status, "");
    }

    /// Asks as the platform does.
    pub fn ready(&mut self, process: &Process, status: u16) {
        let place = Place { address: &process.readiness, host: &process.readiness };
        self.ask(process, place, &Request::get("/readyz"), status, "");
    }

    /// Asks, again while the answer is only that of a machine that is not heard in time: others run
    /// on this machine too.
    fn ask(&mut self, process: &Process, place: Place<'_>, request: &Request, status: u16, contained: &str) {
        let mut answer = None;
        wait_until(&format!("{} {}", request.method, request.path), || {
            answer = http::ask_host(place.address, place.host, request);
            let passing = |answer: &http::Answer| {
                answer.status != status && UNAVAILABLE.contains(&answer.status)
                    || !answer.body.contains(contained)
            };
            answer.as_ref().is_some_and(|answer| !passing(answer))
        });
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, status, "{} {}: {}", request.method, request.path, answer.body);
        let mut lines = format!("{} {}\n", request.method, request.path);
        for (name, value) in &request.headers {
            lines += &format!("> {name}: {value}\n");
        }
        if !request.body.is_empty() {
            lines += &format!("> {}\n", request.body.replace('\n', "\n> "));
        }
        lines += &format!("{}\n", answer.status);
        for name in HEADERS {
            if let Some(value) = answer.headers.get(name) {
                lines += &format!("{name}: {value}\n");
            }
        }
        self.text += &mask(&format!("{lines}{}\n\n", answer.body), process);
    }
}

/// Puts a word for figures and ports that differ from run to run.
fn mask(text: &str, process: &Process) -> String {
    let ports = process.ports;
    let masked = text.replace(&format!(":{}", ports.control), ":CONTROL-PORT");
    let mut masked = masked.replace(&format!(":{}", ports.peer), ":PEER-PORT");
    for name in VARYING {
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
