//! Peers that announce large frames and do not send them.
//!
//! The test measures the memory of its process, so it has a process of its own: beside it, tests that
//! send large frames would count too.
mod common;

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use common::free_address;
use spanlead_cluster_runtime::frame_codec::MAX_FRAME_BYTES;
use spanlead_cluster_runtime::peer_server;
use std::sync::Arc;
use std::time::Duration;

#[async_std::test]
async fn frames_that_are_announced_and_not_sent_use_little_memory_and_time_out() {
    let address = free_address();
    task::spawn(peer_server::serve(address.clone(), Arc::new(|_, _| {})));
    task::sleep(Duration::from_millis(50)).await;
    let before = resident_kb();
    let mut open = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(&address).await.expect("connected");
        stream.write_all(&(MAX_FRAME_BYTES as u32).to_le_bytes()).await.expect("written");
        open.push(stream);
    }
    task::sleep(Duration::from_millis(200)).await;
    let growth_kb = resident_kb().saturating_sub(before);
    assert!(growth_kb < 32 * 1024, "{growth_kb} kB for 50 announced frames of 64 MB");
    let mut byte = [0];
    let ended = timeout(Duration::from_secs(6), open[0].read(&mut byte)).await;
    assert!(matches!(ended, Ok(Ok(0) | Err(_))), "a peer that sends nothing is disconnected");
}

/// Returns the resident memory of this process, in kilobytes.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line");
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("a number")
}
