//! Listening sockets with a long accept queue, and writes that are bounded by progress.
use crate::timeout::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, socket_with, sockopt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Connections that may wait to be accepted. The standard library's 128 are fewer than arrive at
/// once after a failover, and one too many waits a second until its SYN is sent again.
const MAX_ACCEPT_QUEUE: i32 = 1_024;

/// Listens at an address, `ip:port`.
///
/// # Errors
/// If the text is no address, or the address can't be bound.
pub fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    rustix::net::listen(&socket, MAX_ACCEPT_QUEUE)?;
    Ok(TcpListener::from(std::net::TcpListener::from(socket)))
}

/// Writes all bytes. The time-out holds for each write, not for all, so that a slow connection that
/// makes progress is not ended.
///
/// # Errors
/// If the connection fails, or makes no progress for `write_timeout`.
pub async fn write_all_with_timeout(
    stream: &mut TcpStream,
    mut bytes: &[u8],
    write_timeout: Duration,
) -> std::io::Result<()> {
    while !bytes.is_empty() {
        let written = match timeout(write_timeout, stream.write(bytes)).await {
            Ok(written) => written?,
            Err(_) => return Err(ErrorKind::TimedOut.into()),
        };
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
