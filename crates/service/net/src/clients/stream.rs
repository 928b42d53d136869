//! The byte stream under a connection's HTTP.
use crate::client_connection::ClientConnection;
use bytes::Bytes;
use rustix::io::ioctl_fionread;
use rustix::net::{Shutdown, shutdown};
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// It notices when a request begins to arrive, and tells HTTP of the end of a connection that is to
/// end once nothing is left to read. A request that another process had read comes before what the
/// socket brings.
pub(super) struct ConnectionStream {
    pub replayed: Bytes,
    pub connection: Arc<ClientConnection>,
}

impl ConnectionStream {
    fn read(&mut self, cx: &mut Context<'_>, to: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.replayed.is_empty() {
            let piece = self.replayed.split_to(self.replayed.len().min(to.remaining()));
            to.put_slice(&piece);
            return Poll::Ready(Ok(()));
        }
        let socket = &self.connection.socket;
        let is_ending = self.connection.is_ending() && self.connection.is_idle();
        if is_ending && ioctl_fionread(socket.as_fd()) == Ok(0) {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(socket.poll_read_ready(cx))?;
            match socket.try_read(to.initialize_unfilled()) {
                Ok(length) => {
                    to.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncRead for ConnectionStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = to.filled().len();
        let read = self.read(cx, to);
        if to.filled().len() > before {
            self.connection.bytes_arrived(&to.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for ConnectionStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let socket = &self.connection.socket;
        loop {
            ready!(socket.poll_write_ready(cx))?;
            match socket.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(shutdown(self.connection.socket.as_fd(), Shutdown::Write)?))
    }
}
