//! What the tests on sockets share.
#![allow(dead_code, reason = "each test uses a part")]
use async_std::net::TcpStream;
use async_std::task;
use std::time::Duration;

/// Connects to a server that may not listen yet.
pub async fn connect(address: &str) -> TcpStream {
    for _ in 0..100 {
        if let Ok(stream) = TcpStream::connect(address).await {
            return stream;
        }
        task::sleep(Duration::from_millis(10)).await;
    }
    panic!("nobody listens");
}

/// An address on which nobody listens.
pub fn free_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("bound").to_string()
}
