//! The real program carries out a data plane's requests only with a token that it issued recently,
//! and those of a data plane of the version before, which sends none.
mod process;

use async_std::channel::{Receiver, unbounded};
use async_std::task;
use process::start_control_plane;
use spanlead_cluster_runtime::frame::{ClientOperation, ClientRequest, ClientResponse, Frame};
use spanlead_cluster_runtime::freshness::{FreshnessToken, TOKEN_INTERVAL_MS, TOKEN_VALIDITY_MS};
use spanlead_cluster_runtime::peer_links::{LinkEvent, PeerLinks};
use spanlead_cluster_runtime::timeout::timeout;
use spanlead_replication::TrafficClass;
use std::net::TcpListener;
use std::time::{Duration, Instant};

const IP: &str = "127.0.10.2";
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The status of a request that was carried out: the program has no configuration.
const CARRIED_OUT: u16 = 503;

/// A data plane's connection to the program.
struct DataPlane {
    links: PeerLinks,
    events: Receiver<LinkEvent>,
    address: String,
    last_request_id: u64,
}

impl DataPlane {
    fn connect(address: String) -> Self {
        let (sender, events) = unbounded();
        let data_plane = DataPlane { links: PeerLinks::new(sender), events, address, last_request_id: 0 };
        let hello = Frame::Hello { node: "edge-1".into(), peer: "127.0.10.3:1".into(), version: 0 };
        data_plane.send(&hello);
        data_plane
    }

    fn send(&self, frame: &Frame) {
        self.links.send(&self.address, TrafficClass::Control, frame);
    }

    /// The next frame; `None` without one within `wait`.
    async fn next_frame(&self, wait: Duration) -> Option<Frame> {
        let until = Instant::now() + wait;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            match timeout(remaining, self.events.recv()).await {
                Ok(Ok(LinkEvent::Received(_, frame))) => return Some(frame),
                Ok(Ok(_)) => {}
                _ => return None,
            }
        }
    }

    async fn next_token(&self) -> FreshnessToken {
        loop {
            let frame = self.next_frame(START_TIMEOUT).await.expect("a token");
            if let Frame::ClientResponse(response) = frame
                && let Some(token) = response.token()
            {
                return token;
            }
        }
    }

    /// Sends a request with a token, or as the version before does, and returns the response.
    async fn request(&mut self, token: Option<FreshnessToken>) -> ClientResponse {
        self.last_request_id += 1;
        let request = ClientRequest {
            request_id: self.last_request_id,
            host: "h".into(),
            path: "/p/00000000000000aa".into(),
            operation: ClientOperation::Cancel,
        };
        self.send(&match token {
            Some(token) => Frame::FreshClientRequest { token, request },
            None => Frame::ClientRequest(request),
        });
        loop {
            let frame = self.next_frame(START_TIMEOUT).await.expect("a response");
            if let Frame::ClientResponse(response) = frame
                && response.request_id == self.last_request_id
            {
                return response;
            }
        }
    }
}

/// Connects to the program once it is primary.
async fn connect_to_primary(address: &str) -> DataPlane {
    let deadline = Instant::now() + START_TIMEOUT;
    loop {
        assert!(Instant::now() < deadline, "the program is not primary in time");
        let mut data_plane = DataPlane::connect(address.to_owned());
        if data_plane.next_frame(Duration::from_millis(500)).await.is_some()
            && data_plane.request(None).await.status == CARRIED_OUT
        {
            return data_plane;
        }
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a data plane that gets no token, directory or configuration any more: the first
/// frame of a connection that it had given up arrived after that of its present one, and displaced
/// it.
#[async_std::test]
async fn connection_is_served_although_the_first_frame_of_another_one_arrives_later() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let port = TcpListener::bind((IP, 0)).expect("a free port").local_addr().expect("bound").port();
    let _process = start_control_plane(folder.path(), IP, port);
    let present = connect_to_primary(&format!("{IP}:{port}")).await;
    present.next_token().await;

    let given_up = DataPlane::connect(format!("{IP}:{port}"));
    let last_of_both = given_up.next_token().await;
    drop(given_up);

    let until = Instant::now() + START_TIMEOUT;
    let max_issued_at_ms = last_of_both.issued_at_ms + 2 * TOKEN_INTERVAL_MS;
    while present.next_token().await.issued_at_ms <= max_issued_at_ms {
        assert!(Instant::now() < until, "expected tokens as long as the connection is open");
    }
}

#[async_std::test]
async fn request_is_carried_out_only_with_a_token_that_has_not_expired() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let port = TcpListener::bind((IP, 0)).expect("a free port").local_addr().expect("bound").port();
    let _process = start_control_plane(folder.path(), IP, port);
    let mut data_plane = connect_to_primary(&format!("{IP}:{port}")).await;

    let first = data_plane.next_token().await;
    let token = data_plane.next_token().await;
    assert_eq!(token.issuer, first.issuer);
    assert!(token.issued_at_ms >= first.issued_at_ms + TOKEN_INTERVAL_MS, "a primary renews its tokens");
    assert_eq!(data_plane.request(Some(token)).await.status, CARRIED_OUT);

    let expired = FreshnessToken { issued_at_ms: token.issued_at_ms - TOKEN_VALIDITY_MS - 1, ..token };
    assert!(data_plane.request(Some(expired)).await.is_not_executed());
    let foreign = FreshnessToken { issuer: token.issuer ^ 1, ..token };
    assert!(data_plane.request(Some(foreign)).await.is_not_executed());
}

/// A data plane takes a node whose directory arrives without a token for one of the version before.
#[async_std::test]
async fn token_is_the_first_frame_of_a_connection() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let port = TcpListener::bind((IP, 0)).expect("a free port").local_addr().expect("bound").port();
    let _process = start_control_plane(folder.path(), IP, port);
    let deadline = Instant::now() + START_TIMEOUT;
    let first = loop {
        assert!(Instant::now() < deadline, "the program does not answer");
        let data_plane = DataPlane::connect(format!("{IP}:{port}"));
        if let Some(frame) = data_plane.next_frame(Duration::from_millis(500)).await {
            break frame;
        }
    };
    let Frame::ClientResponse(response) = first else { panic!("expected a token: {first:?}") };
    assert!(response.token().is_some());
}
