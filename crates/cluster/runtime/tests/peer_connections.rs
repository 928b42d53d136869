//! Peer connections on real sockets: liveness, slow and silent peers, and reconnection.
mod common;

use async_std::channel::unbounded;
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::task;
use common::free_address;
use spanlead_cluster_runtime::frame::Frame;
use spanlead_cluster_runtime::frame_codec::encode;
use spanlead_cluster_runtime::peer_links::{LinkEvent, PeerLinks};
use spanlead_cluster_runtime::peer_server;
use spanlead_replication::TrafficClass;
use std::sync::Arc;
use std::time::Duration;

/// Guards against pings that are sent only on idle connections: only pings are answered, and
/// without answers the connection times out.
#[async_std::test]
async fn a_connection_with_continuous_traffic_is_kept() {
    let address = free_address();
    task::spawn(peer_server::serve(address.clone(), Arc::new(|_, _| {})));
    let (events, inbox) = unbounded();
    let links = PeerLinks::new(events);
    for _ in 0..100 {
        links.send(&address, TrafficClass::Data, &Frame::GossipPeers(vec!["x".to_owned()]));
        task::sleep(Duration::from_millis(25)).await;
    }
    let mut disconnects = 0;
    while let Ok(event) = inbox.try_recv() {
        disconnects += usize::from(matches!(event, LinkEvent::Disconnected(_)));
    }
    assert_eq!(disconnects, 0, "the connection was lost");
}

/// Guards against a write time-out that applies to the whole frame: while the write makes progress,
/// a large frame may take longer.
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
    let (mut read, started_at) = (0, std::time::Instant::now());
    while read < 12 << 20 {
        let count = timeout(Duration::from_secs(3), stream.read(&mut buffer))
            .await
            .expect("a read before the time-out")
            .expect("open");
        assert!(count > 0, "the connection ended after {read} bytes");
        read += count;
        // Sends a frame, without which the link would time out, then delays the next read as a slow
        // connection would.
        stream.write_all(&encode(&Frame::Ping)).await.expect("open");
        task::sleep(Duration::from_millis(130)).await;
    }
    assert!(
        started_at.elapsed() > Duration::from_millis(2_600),
        "the transfer was too short to exceed the write time-out"
    );
    let mut disconnects = 0;
    while let Ok(event) = inbox.try_recv() {
        disconnects += usize::from(matches!(event, LinkEvent::Disconnected(_)));
    }
    assert_eq!(disconnects, 0, "the connection was lost");
}

#[async_std::test]
async fn a_lost_connection_is_reestablished_at_once_with_nothing_to_send() {
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let (events, _inbox) = unbounded();
    let links = PeerLinks::new(events);
    links.send(&address, TrafficClass::Control, &Frame::Ping);
    let (first, _) = listener.accept().await.expect("connected");
    // Longer than the minimum time between two connection attempts, 100 ms.
    task::sleep(Duration::from_millis(150)).await;
    drop(first);
    let reconnected = timeout(Duration::from_millis(200), listener.accept()).await;
    assert!(reconnected.is_ok(), "no reconnection within 200 ms");
}
