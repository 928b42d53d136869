//! Listening sockets with room for many that connect at once.
use async_std::net::TcpListener;
use rustix::net::{
    AddressFamily, SocketFlags, SocketType, bind, listen as start_listening, socket_with, sockopt,
};
use std::net::SocketAddr;

/// Connections that may wait to be accepted. The standard library's 128 are fewer than come at once after a failover; one
/// too many waits a second.
const BACKLOG: i32 = 1_024;

/// Listens at an address.
///
/// # Errors
/// If it is none, or can't be had.
pub fn listen(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(|_| std::io::ErrorKind::InvalidInput)?;
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &address)?;
    start_listening(&socket, BACKLOG)?;
    Ok(TcpListener::from(std::net::TcpListener::from(socket)))
}
