//! Helpers shared by the tests on sockets.
#![allow(dead_code, reason = "each test file uses some of the helpers")]
use async_std::net::TcpStream;
use async_std::task;
use std::time::Duration;

/// Connects to a server, retrying for a second in case it does not listen yet.
pub async fn connect(address: &str) -> TcpStream {
    for _ in 0..100 {
        if let Ok(stream) = TcpStream::connect(address).await {
            return stream;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("no server listens on {address}");
}

/// Returns a loopback address on which no socket listens.
pub fn free_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("bound").to_string()
}
