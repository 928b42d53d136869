//! Golden test of the programs' responses to operators, clients and the platform, and of the names
//! of their metrics.
//!
//! The programs run on loopback addresses, the control plane on a copy of the golden data folder.
//! Numbers that differ between runs are masked in the transcripts; all else, such as names and
//! their order, is compared exactly.
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
use system::{ADDRESSES, Platform, Process, Transcript, start_control_plane, start_data_plane, wait_until};

/// The path prefix of the queue that holds the jobs.
const QUEUE_PATH: &str = "/v1/nightly/";

fn job_path(id: JobId) -> String {
    format!("{QUEUE_PATH}{id}")
}

fn status_path(id: JobId) -> String {
    format!("/status/jobs/{id}")
}

/// Returns the metrics' names and labels, one per line.
fn metric_names(body: &str) -> String {
    body.lines().map(|line| line.split(' ').next().unwrap_or_default().to_owned() + "\n").collect()
}

/// A cluster that starts from the golden folder: a primary, a standby node and a data plane.
struct Cluster {
    primary: Process,
    standby: Process,
    data_plane: Process,
    platform: Platform,
    _folders: Vec<tempfile::TempDir>,
}

impl Cluster {
    /// Starts the cluster. Before the primary starts, records the responses that the other
    /// processes give without a primary.
    fn start(transcript: &mut Transcript) -> Self {
        let platform = Platform::start();
        let ports = system::Ports::free();
        let (peer, operators) =
            (ports.peer_address(ADDRESSES.primary), ports.operator_address(ADDRESSES.primary));
        let golden = folder::copy_with_addresses(&peer, &operators);
        let empty = tempfile::tempdir().expect("a temporary folder");
        let standby = start_control_plane(ADDRESSES.standby, ports, empty.path(), &platform, false);
        let data_plane = start_data_plane(ports, &platform);
        transcript.title("without a primary");
        transcript.operator_request(&standby, &Request::get("/config/get"), 503);
        transcript.operator_request(&standby, &Request::get("/status/members"), 503);
        transcript.operator_request(&standby, &Request::post("/config/replace", "{}"), 503);
        transcript.client_request(&data_plane, &Request::get(&job_path(folder::RUNNING)), 503);
        transcript.readiness_check(&data_plane, 503);
        let primary = start_control_plane(ADDRESSES.primary, ports, golden.path(), &platform, true);
        let cluster = Cluster { primary, standby, data_plane, platform, _folders: vec![golden, empty] };
        cluster.wait_until_ready();
        cluster
    }

    /// Waits until the primary has received a report of the worker, and the other processes know
    /// the primary.
    fn wait_until_ready(&self) {
        let running = status_path(folder::RUNNING);
        let operators = &self.primary.operators;
        wait_until("the worker has reported its progress", || {
            http::send(operators, &Request::get(&running))
                .is_some_and(|response| response.body.contains("37.5"))
        });
        wait_until("the queued job waits for capacity", || {
            let response = http::send(operators, &Request::get(&status_path(folder::QUEUED)));
            response.is_some_and(|response| response.body.contains(r#""waitsForRoom":true"#))
        });
        wait_until("the standby knows the primary", || {
            http::send(&self.standby.operators, &Request::get("/config/get"))
                .is_some_and(|response| response.status == 307)
        });
        wait_until("the data plane is ready", || {
            http::send(&self.data_plane.readiness, &Request::get("/readyz"))
                .is_some_and(|response| response.status == 200)
        });
    }

    fn record_operator_requests(&self, transcript: &mut Transcript) {
        transcript.title("operators");
        let primary = &self.primary;
        transcript.operator_request(primary, &Request::get("/status/members"), 200);
        transcript.operator_request_until(primary, &Request::get("/status/workers"), r#""standing":"ready""#);
        transcript.operator_request(primary, &Request::get("/status/jobs"), 200);
        for id in (folder::SUCCEEDED.0..=folder::SCHEDULED.0).map(JobId) {
            let contained = match id {
                folder::RUNNING => r#""phase":"started""#,
                folder::QUEUED => r#""waitsForRoom":true"#,
                _ => "",
            };
            transcript.operator_request_until(primary, &Request::get(&status_path(id)), contained);
        }
        transcript.operator_request(primary, &Request::get(&status_path(JobId(0xdead))), 410);
        transcript.operator_request(primary, &Request::get("/status/jobs/12"), 400);
        transcript.operator_request(primary, &Request::get("/status/nothing"), 404);
    }

    fn record_standby_requests(&self, transcript: &mut Transcript) {
        transcript.title("a machine that does not serve");
        let running = status_path(folder::RUNNING);
        for path in ["/config/get", "/status/members", "/status/workers", "/status/jobs", &running] {
            transcript.operator_request(&self.standby, &Request::get(path), 307);
        }
        transcript.operator_request(&self.standby, &Request::post("/config/replace", "{}"), 307);
    }

    fn record_configuration_requests(&self, transcript: &mut Transcript) {
        transcript.title("configurations");
        let primary = &self.primary;
        let newer = folder::CONFIGURATION_42.replace(r#""version":42"#, r#""version":43"#);
        let replace_version = |base: &str, text: &str| {
            Request::post("/config/replace", text).with_header("Spanlead-Base-Version", base)
        };
        transcript.operator_request(primary, &Request::get("/config/get"), 200);
        transcript.operator_request(primary, &replace_version("41", &newer), 412);
        transcript.operator_request(primary, &Request::post("/config/replace", &newer), 412);
        transcript.operator_request(primary, &replace_version("x", &newer), 400);
        transcript.operator_request(primary, &replace_version("42", "{"), 400);
        transcript.operator_request(
            primary,
            &replace_version("42", &newer.replace("\"timeoutMs\":3000", "\"timeoutMs\":0")),
            400,
        );
        transcript.operator_request(
            primary,
            &replace_version("42", r#"{"version":40,"routes":[],"services":[]}"#),
            400,
        );
        transcript.operator_request(primary, &replace_version("41", folder::CONFIGURATION_42), 200);
        transcript.operator_request(primary, &replace_version("42", &newer), 200);
        transcript.operator_request(primary, &replace_version("42", &newer), 200);
        transcript.operator_request(primary, &Request::get("/config/get"), 200);
    }

    fn record_client_requests(&self, transcript: &mut Transcript) {
        transcript.title("clients");
        let data_plane = &self.data_plane;
        for id in (folder::SUCCEEDED.0..=folder::SCHEDULED.0).map(JobId) {
            transcript.client_request(data_plane, &Request::get(&job_path(id)), 200);
        }
        transcript.client_request(data_plane, &Request::get(QUEUE_PATH), 200);
        let job = r#"{"spec":"x","stages":[{"count":1,"cpu":1000,"memMb":10}]}"#;
        transcript.client_request(data_plane, &Request::post(&job_path(JobId(0xaa)), job), 200);
        transcript.client_request(data_plane, &Request::post(&job_path(JobId(0xaa)), job), 200);
        transcript.client_request(data_plane, &Request::get(&job_path(JobId(0xaa))), 200);
        transcript.client_request(data_plane, &Request::get(QUEUE_PATH), 200);
        transcript.client_request(data_plane, &Request::delete(&job_path(JobId(0xaa))), 200);
        transcript.client_request(data_plane, &Request::get(&job_path(JobId(0xaa))), 200);
        transcript.client_request(data_plane, &Request::delete(&job_path(JobId(0xab))), 410);
        transcript.client_request(data_plane, &Request::get(&job_path(JobId(0xab))), 410);
        transcript.client_request(data_plane, &Request::get(&format!("{QUEUE_PATH}12")), 400);
        transcript.client_request(data_plane, &Request::post(QUEUE_PATH, job), 400);
        transcript.client_request(
            data_plane,
            &Request::post(&job_path(JobId(0xac)), r#"{"stages":[]}"#),
            400,
        );
        transcript.client_request(data_plane, &Request::post(&job_path(JobId(0xac)), "{"), 400);
        transcript.client_request(data_plane, &Request::get("/elsewhere/00000000000000aa"), 404);
        transcript.client_request(data_plane, &Request::new("PUT", &job_path(JobId(0xac))), 405);
        transcript.readiness_check(data_plane, 200);
    }
}

#[test]
fn responses_and_metrics_of_a_cluster_on_the_golden_folder_match_the_golden_files() {
    let mut transcript = Transcript::default();
    let cluster = Cluster::start(&mut transcript);
    cluster.record_operator_requests(&mut transcript);
    cluster.record_standby_requests(&mut transcript);
    cluster.record_client_requests(&mut transcript);
    cluster.record_configuration_requests(&mut transcript);
    compare_text("answers.txt", &transcript.text);

    let mut names = String::new();
    for (title, process) in
        [("serves", &cluster.primary), ("stands by", &cluster.standby), ("data", &cluster.data_plane)]
    {
        let response = http::send(&process.metrics, &Request::get("/metrics")).expect("a metrics response");
        let content_type = response.headers.get("content-type").cloned().unwrap_or_default();
        let _ = writeln!(names, "# {title}: {} {content_type}", response.status);
        names += &metric_names(&response.body);
    }
    compare_text("metrics.txt", &names);
    assert!(!cluster.platform.calls().is_empty(), "the control plane has not called the worker");
}

#[test]
fn responses_of_a_cluster_bootstrapped_on_an_empty_folder_match_the_golden_file() {
    let platform = Platform::start();
    let folder = tempfile::tempdir().expect("a temporary folder");
    let ports = system::Ports::free();
    let process = start_control_plane(ADDRESSES.bootstrapping, ports, folder.path(), &platform, true);
    wait_until("the node is primary", || {
        http::send(&process.operators, &Request::get("/config/get"))
            .is_some_and(|response| response.status == 404)
    });
    let mut transcript = Transcript::default();
    transcript.title("a system that begins");
    transcript.operator_request(&process, &Request::get("/config/get"), 404);
    transcript.operator_request(&process, &Request::get("/status/jobs"), 200);
    let text = r#"{"version":7,"routes":[],"services":[]}"#;
    transcript.operator_request(&process, &Request::post("/config/replace", text), 200);
    transcript.operator_request(&process, &Request::get("/config/get"), 200);
    compare_text("answers_beginning.txt", &transcript.text);
}
