//! Benchmark of calls to workers: the processor time per call in the control plane and the time to
//! the response.
//!
//! The workers run in a second process of this program, so that their processor time is not
//! counted.
//! Run with `cargo bench -p spanlead-control-plane --bench worker_calls`.
use async_std::channel::{Receiver, Sender, unbounded};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use rustix::time::{ClockId, clock_gettime};
use spanlead_control_plane::worker_client::WorkerClient;
use spanlead_job_scheduler::{TaskId, WorkerCall, WorkerRequest, WorkerResponse};
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// The argument that makes this program serve the workers.
const SERVE_ARGUMENT: &str = "--serve-workers";
/// The number of workers. Each has its own address.
const WORKERS: usize = 300;
/// The maximum number of calls in flight.
const CONCURRENT_CALLS: usize = 100;
/// The number of calls before the measurement, which establish the connections.
const WARM_UP_CALLS: usize = 2_000;
/// The number of measured calls.
const MEASURED_CALLS: usize = 40_000;
/// The time-out of a call, milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;
/// The response of a worker to any call.
const RESPONSE: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n{\"clockMs\":482113}";

fn main() {
    if std::env::args().any(|argument| argument == SERVE_ARGUMENT) {
        return task::block_on(serve_workers());
    }
    let program = std::env::current_exe().expect("the path of this program is known");
    let mut server = Command::new(program)
        .arg(SERVE_ARGUMENT)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the workers' process starts");
    let output = server.stdout.take().expect("the output of the workers' process is piped");
    let addresses: Vec<Arc<str>> = BufReader::new(output)
        .lines()
        .take(WORKERS)
        .map(|line| line.expect("an address is read").into())
        .collect();
    // As in the control plane, all tasks run on the executor's threads while this thread waits.
    let (ended, end) = channel();
    task::spawn(async move {
        measure(&addresses).await;
        let _ = ended.send(());
    });
    end.recv().expect("the measurement ends");
    server.kill().expect("the workers' process can be killed");
    server.wait().expect("the workers' process can be waited for");
}

/// Measures calls and prints the results.
async fn measure(addresses: &[Arc<str>]) {
    let client = WorkerClient::new(WORKERS * 2);
    make_calls(&client, addresses, WARM_UP_CALLS).await;
    let (cpu_before, started_at) = (process_cpu_time(), Instant::now());
    let mut latencies = make_calls(&client, addresses, MEASURED_CALLS).await;
    let (cpu, elapsed) = (process_cpu_time() - cpu_before, started_at.elapsed());
    latencies.sort();
    let quantile = |share: f64| latencies[(share * (latencies.len() - 1) as f64) as usize].as_micros();
    println!("calls {MEASURED_CALLS} concurrent {CONCURRENT_CALLS} workers {WORKERS}");
    println!("processor_us_per_call {:.1}", cpu.as_secs_f64() * 1e6 / MEASURED_CALLS as f64);
    println!("calls_per_s {:.0}", MEASURED_CALLS as f64 / elapsed.as_secs_f64());
    println!("latency_us p50 {} p99 {}", quantile(0.5), quantile(0.99));
}

/// Makes `count` calls, up to [`CONCURRENT_CALLS`] at a time, and returns the latency of each.
async fn make_calls(client: &WorkerClient, addresses: &[Arc<str>], count: usize) -> Vec<Duration> {
    let (done, results) = unbounded();
    let mut latencies = Vec::with_capacity(count);
    for number in 0..count {
        if number >= CONCURRENT_CALLS {
            latencies.push(next_latency(&results).await);
        }
        spawn_call(client, addresses, number, done.clone());
    }
    while latencies.len() < count {
        latencies.push(next_latency(&results).await);
    }
    latencies
}

fn spawn_call(
    client: &WorkerClient,
    addresses: &[Arc<str>],
    number: usize,
    done: Sender<(Duration, WorkerResponse)>,
) {
    let worker = number % addresses.len();
    let task = TaskId::parse("5c0e7a21d94b36f8.0.1.17").expect("the task ID is valid");
    let payload: Arc<str> = "a".repeat(300).into();
    let request = WorkerRequest::Start {
        task,
        run: 1,
        payload,
        lease_expires_at_ms: 486_000,
        checkpoint: Default::default(),
    };
    let call = WorkerCall {
        worker_id: format!("i-{worker}").into(),
        address: addresses[worker].clone(),
        request,
        timeout_ms: CALL_TIMEOUT_MS,
        fencing_token: 7,
    };
    let sent_at = Instant::now();
    client.spawn(call, move |_, response| {
        let _ = done.try_send((sent_at.elapsed(), response));
    });
}

async fn next_latency(results: &Receiver<(Duration, WorkerResponse)>) -> Duration {
    let (latency, response) = results.recv().await.expect("the channel stays open");
    assert!(matches!(response, WorkerResponse::Acknowledged { .. }), "{response:?}");
    latency
}

fn process_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Serves all workers and prints their addresses, one per line.
async fn serve_workers() {
    for _ in 0..WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        println!("{}", listener.local_addr().expect("the listener has an address"));
        task::spawn(accept(listener));
    }
    std::future::pending::<()>().await;
}

async fn accept(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        task::spawn(respond_to_all(stream));
    }
}

async fn respond_to_all(mut stream: TcpStream) {
    let mut buffer = [0; 4_096];
    while matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}
