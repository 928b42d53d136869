//! What the programs answer operators, clients and the platform, and the names of their metrics:
//! none of it may change.
//!
//! The real programs run on loopback addresses, the control plane on a copy of the golden data
//! folder. Figures that differ
//! from run to run are masked in the transcripts; names, order and all else is compared to the
//! letter.
#[path = "golden/binary.rs"]
mod binary;
#[path = "golden/folder.rs"]
mod folder;
#[path = "golden/http.rs"]
mod http;
#[path = "../../replication/tests/golden/support.rs"]
mod support;
#[path = "golden/system.rs"]
mod system;

use http::Request;
use spanlead_job_scheduler::JobId;
use std::fmt::Write;
use support::compare_text;
use system::{ADDRESSES, Platform, Process, Transcript, control_plane, data_plane, wait_until};

const QUEUE: &str = "/v1/nightly/";

fn job_path(id: JobId) -> String {
    format!("{QUEUE}{id}")
}

fn status_path(id: JobId) -> String {
    format!("/status/jobs/{id}")
}

/// The first part of each line of metrics: name and label.
fn metric_names(body: &str) -> String {
    body.lines().map(|line| line.split(' ').next().unwrap_or_default().to_owned() + "\n").collect()
}

/// A system that goes on from the golden folder: a primary, a machine that stands by, a data plane.
struct System {
    primary: Process,
    other: Process,
    data: Process,
    platform: Platform,
    _folders: Vec<tempfile::TempDir>,
}

impl System {
    /// Starts what does not need the primary; that one is started last.
    fn start(transcript: &mut Transcript) -> Self {
        let platform = Platform::start();
        let ports = system::Ports::free();
        let (peer, control) = (ports.peer_at(ADDRESSES.primary), ports.control_at(ADDRESSES.primary));
        let golden = folder::copy_at(&peer, &control);
        let empty = tempfile::tempdir().expect("a folder");
        let other = control_plane(ADDRESSES.other, ports, empty.path(), &platform, false);
        let data = data_plane(ports, &platform);
        transcript.title("without a primary");
        transcript.control(&other, &Request::get("/config/get"), 503);
        transcript.control(&other, &Request::get("/status/members"), 503);
        transcript.control(&other, &Request::post("/config/replace", "{}"), 503);
        transcript.client(&data, &Request::get(&job_path(folder::RUNNING)), 503);
        transcript.ready(&data, 503);
        let primary = control_plane(ADDRESSES.primary, ports, golden.path(), &platform, true);
        let system = System { primary, other, data, platform, _folders: vec![golden, empty] };
        system.wait();
        system
    }

    /// Until the primary serves, has heard the worker, and the other processes know that.
    fn wait(&self) {
        let running = status_path(folder::RUNNING);
        let control = &self.primary.control;
        wait_until("the worker is heard", || {
            http::ask(control, &Request::get(&running)).is_some_and(|a| a.body.contains("37.5"))
        });
        wait_until("the job without room waits", || {
            let answer = http::ask(control, &Request::get(&status_path(folder::QUEUED)));
            answer.is_some_and(|a| a.body.contains(r#""waitsForRoom":true"#))
        });
        wait_until("the other machine knows the primary", || {
            http::ask(&self.other.control, &Request::get("/config/get")).is_some_and(|a| a.status == 307)
        });
        wait_until("the data plane is ready", || {
            http::ask(&self.data.readiness, &Request::get("/readyz")).is_some_and(|a| a.status == 200)
        });
    }

    fn operators(&self, transcript: &mut Transcript) {
        transcript.title("operators");
        let primary = &self.primary;
        transcript.control(primary, &Request::get("/status/members"), 200);
        transcript.control_until(primary, &Request::get("/status/workers"), r#""standing":"ready""#);
        transcript.control(primary, &Request::get("/status/jobs"), 200);
        for id in (folder::SUCCEEDED.0..=folder::TIMED.0).map(JobId) {
            let contained = match id {
                folder::RUNNING => r#""phase":"started""#,
                folder::QUEUED => r#""waitsForRoom":true"#,
                _ => "",
            };
            transcript.control_until(primary, &Request::get(&status_path(id)), contained);
        }
        transcript.control(primary, &Request::get(&status_path(JobId(0xdead))), 410);
        transcript.control(primary, &Request::get("/status/jobs/12"), 400);
        transcript.control(primary, &Request::get("/status/nothing"), 404);
    }

    fn another_machine(&self, transcript: &mut Transcript) {
        transcript.title("a machine that does not serve");
        let running = status_path(folder::RUNNING);
        for path in ["/config/get", "/status/members", "/status/workers", "/status/jobs", &running] {
            transcript.control(&self.other, &Request::get(path), 307);
        }
        transcript.control(&self.other, &Request::post("/config/replace", "{}"), 307);
    }

    fn configurations(&self, transcript: &mut Transcript) {
        transcript.title("configurations");
        let primary = &self.primary;
        let newer = folder::CONFIGURATION_42.replace(r#""version":42"#, r#""version":43"#);
        let based = |base: &str, text: &str| {
            Request::post("/config/replace", text).with("Spanlead-Base-Version", base)
        };
        transcript.control(primary, &Request::get("/config/get"), 200);
        transcript.control(primary, &based("41", &newer), 412);
        transcript.control(primary, &Request::post("/config/replace", &newer), 412);
        transcript.control(primary, &based("x", &newer), 400);
        transcript.control(primary, &based("42", "{"), 400);
        transcript.control(
            primary,
            &based("42", &newer.replace("\"timeoutMs\":3000", "\"timeoutMs\":0")),
            400,
        );
        transcript.control(primary, &based("42", r#"{"version":40,"routes":[],"services":[]}"#), 400);
        transcript.control(primary, &based("41", folder::CONFIGURATION_42), 200);
        transcript.control(primary, &based("42", &newer), 200);
        transcript.control(primary, &based("42", &newer), 200);
        transcript.control(primary, &Request::get("/config/get"), 200);
    }

    fn clients(&self, transcript: &mut Transcript) {
        transcript.title("clients");
        let data = &self.data;
        for id in (folder::SUCCEEDED.0..=folder::TIMED.0).map(JobId) {
            transcript.client(data, &Request::get(&job_path(id)), 200);
        }
        transcript.client(data, &Request::get(QUEUE), 200);
        let job = r#"{"spec":"x","stages":[{"count":1,"cpu":1000,"memMb":10}]}"#;
        transcript.client(data, &Request::post(&job_path(JobId(0xaa)), job), 200);
        transcript.client(data, &Request::post(&job_path(JobId(0xaa)), job), 200);
        transcript.client(data, &Request::get(&job_path(JobId(0xaa))), 200);
        transcript.client(data, &Request::get(QUEUE), 200);
        transcript.client(data, &Request::delete(&job_path(JobId(0xaa))), 200);
        transcript.client(data, &Request::get(&job_path(JobId(0xaa))), 200);
        transcript.client(data, &Request::delete(&job_path(JobId(0xab))), 410);
        transcript.client(data, &Request::get(&job_path(JobId(0xab))), 410);
        transcript.client(data, &Request::get(&format!("{QUEUE}12")), 400);
        transcript.client(data, &Request::post(QUEUE, job), 400);
        transcript.client(data, &Request::post(&job_path(JobId(0xac)), r#"{"stages":[]}"#), 400);
        transcript.client(data, &Request::post(&job_path(JobId(0xac)), "{"), 400);
        transcript.client(data, &Request::get("/elsewhere/00000000000000aa"), 404);
        transcript.client(data, &Request::new("PUT", &job_path(JobId(0xac))), 405);
        transcript.ready(data, 200);
    }
}

#[test]
fn answers_and_metrics_of_a_system_on_the_golden_folder_stay() {
    let mut transcript = Transcript::default();
    let system = System::start(&mut transcript);
    system.operators(&mut transcript);
    system.another_machine(&mut transcript);
    system.clients(&mut transcript);
    system.configurations(&mut transcript);
    compare_text("answers.txt", &transcript.text);

    let mut names = String::new();
    for (title, process) in
        [("serves", &system.primary), ("stands by", &system.other), ("data", &system.data)]
    {
        let answer = http::ask(&process.metrics, &Request::get("/metrics")).expect("metrics");
        let kind = answer.headers.get("content-type").cloned().unwrap_or_default();
        let _ = writeln!(names, "# {title}: {} {kind}", answer.status);
        names += &metric_names(&answer.body);
    }
    compare_text("metrics.txt", &names);
    assert!(!system.platform.calls().is_empty(), "the worker was called");
}

#[test]
fn answers_of_a_system_that_begins_stay() {
    let platform = Platform::start();
    let folder = tempfile::tempdir().expect("a folder");
    let ports = system::Ports::free();
    let process = control_plane(ADDRESSES.beginning, ports, folder.path(), &platform, true);
    wait_until("it serves", || {
        http::ask(&process.control, &Request::get("/config/get")).is_some_and(|answer| answer.status == 404)
    });
    let mut transcript = Transcript::default();
    transcript.title("a system that begins");
    transcript.control(&process, &Request::get("/config/get"), 404);
    transcript.control(&process, &Request::get("/status/jobs"), 200);
    let text = r#"{"version":7,"routes":[],"services":[]}"#;
    transcript.control(&process, &Request::post("/config/replace", text), 200);
    transcript.control(&process, &Request::get("/config/get"), 200);
    compare_text("answers_beginning.txt", &transcript.text);
}
