//! Connections between processes on real sockets.
mod common;

use async_std::channel::unbounded;
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use common::free_address;
use spanlead_cluster_runtime::frame::Frame;
use spanlead_cluster_runtime::frame_codec::{MAX_FRAME_BYTES, encode};
use spanlead_cluster_runtime::peer_links::{LinkEvent, PeerLinks};
use spanlead_cluster_runtime::peer_server;
use spanlead_replication::TrafficClass;
use std::sync::Arc;
use std::time::Duration;

/// Pings must also be sent between other frames: only they are answered, and without answers the
/// connection times out.
#[async_std::test]
async fn a_connection_without_pauses_is_kept() {
    let address = free_address();
    task::spawn(peer_server::serve(address.clone(), Arc::new(|_, _| {})));
    let (events, inbox) = unbounded();
    let links = PeerLinks::new(events);
    for _ in 0..100 {
        links.send(&address, TrafficClass::Data, &Frame::GossipPeers(vec!["x".to_owned()]));
        task::sleep(Duration::from_millis(25)).await;
    }
    let mut lost = 0;
    while let Ok(event) = inbox.try_recv() {
        lost += usize::from(matches!(event, LinkEvent::Disconnected(_)));
    }
    assert_eq!(lost, 0, "the connection was lost");
}

#[async_std::test]
async fn an_announced_frame_that_is_not_sent_uses_no_memory_and_ends_the_connection() {
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
    let grown = resident_kb().saturating_sub(before);
    assert!(grown < 32 * 1024, "{grown} kB for 50 announced frames of 64 MB");
    let mut byte = [0];
    let ended = timeout(Duration::from_secs(6), open[0].read(&mut byte)).await;
    assert!(matches!(ended, Ok(Ok(0) | Err(_))), "a peer that sends nothing is disconnected");
}

fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line");
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).expect("a number")
}

/// The time-out of a write holds for its progress: a large frame may take longer.
#[async_std::test]
async fn a_slow_reader_receives_a_large_frame() {
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let (events, inbox) = unbounded();
    let links = PeerLinks::new(events);
    let large = "x".repeat(12 << 20);
    links.send(&address, TrafficClass::Data, &Frame::GossipPeers(vec![large]));
    let (mut stream, _) = listener.accept().await.expect("connected");
    let mut buffer = vec![0; 512 * 1024];
    let (mut read, began) = (0, std::time::Instant::now());
    while read < 12 << 20 {
        let count =
            timeout(Duration::from_secs(3), stream.read(&mut buffer)).await.expect("goes on").expect("open");
        assert!(count > 0, "ended after {read} bytes");
        read += count;
        // An answer to pings, and the time that a slow link takes.
        stream.write_all(&encode(&Frame::Ping)).await.expect("open");
        task::sleep(Duration::from_millis(130)).await;
    }
    assert!(began.elapsed() > Duration::from_millis(2_600), "too fast to show anything");
    let mut lost = 0;
    while let Ok(event) = inbox.try_recv() {
        lost += usize::from(matches!(event, LinkEvent::Disconnected(_)));
    }
    assert_eq!(lost, 0, "the connection was lost");
}

#[async_std::test]
async fn a_lost_connection_is_reestablished_at_once_without_anything_to_send() {
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let (events, _inbox) = unbounded();
    let links = PeerLinks::new(events);
    links.send(&address, TrafficClass::Control, &Frame::Ping);
    let (first, _) = listener.accept().await.expect("connected");
    // As usual it has lasted for a while.
    task::sleep(Duration::from_millis(150)).await;
    drop(first);
    let again = timeout(Duration::from_millis(200), listener.accept()).await;
    assert!(again.is_ok(), "nobody connects");
}
