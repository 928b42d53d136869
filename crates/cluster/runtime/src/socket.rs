//! Listening sockets with a long accept queue, and writes that time out without progress.
use crate::timeout::timeout;
use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, socket_with, sockopt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of connections that wait to be accepted. The standard library's 128 are fewer
/// than arrive at the same time after a failover, and a connection beyond the limit waits a second
/// until its SYN is retransmitted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Opens a listening socket on an address, `ip:port`.
///
/// # Errors
/// If `address` is malformed or can't be bound.
pub fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
    Ok(TcpListener::from(std::net::TcpListener::from(socket)))
}

/// Writes all bytes. The time-out applies to each write call rather than to the whole, so that a
/// slow connection is not closed while it makes progress.
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
