//! Incoming connections from other processes.
use crate::frame::Frame;
use crate::frame_codec::read_frame;
use crate::socket::{listen, write_all_with_timeout};
use crate::traffic::encode_counted;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::BufReader;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::net::Shutdown;
use std::sync::Arc;
use std::time::Duration;

/// Capacity of a connection's queue of outgoing frames, which fills if the peer does not read;
/// frames beyond it are dropped.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Size at which a batch of frames for one write is complete, in bytes.
const MAX_WRITE_BATCH_BYTES: usize = 64 * 1024;
/// Time-out for a write that makes no progress.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a frame from a peer, which pings twice a second, after which its connection is
/// closed.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 1_024;
/// Delay before listening or accepting is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Handles a received frame. Frames sent to the [`Sender`] are queued for the peer on the same
/// connection.
pub type FrameHandler = Arc<dyn Fn(Frame, &Sender<Frame>) + Send + Sync>;

/// Accepts connections on an address, `ip:port`, and passes their frames to `handler`. Never
/// returns.
pub async fn serve(address: String, handler: FrameHandler) {
    loop {
        match listen(&address) {
            Ok(listener) => accept_all(&listener, &handler).await,
            Err(error) => log::error!("peer listener failed address={address} error={error}"),
        }
        task::sleep(RETRY_INTERVAL).await;
    }
}

async fn accept_all(listener: &TcpListener, handler: &FrameHandler) {
    // The reference count is the number of open connections plus one: each owns a clone.
    let open = Arc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Arc::strong_count(&open) > MAX_CONNECTIONS => {
                log::warn!(
                    "peer connection refused: too many open connections max_connections={MAX_CONNECTIONS}"
                );
            }
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let (handler, open) = (handler.clone(), open.clone());
                task::spawn(async move {
                    serve_connection(stream, handler).await;
                    drop(open);
                });
            }
            Err(error) => {
                log::warn!("peer accept failed error={error}");
                task::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Answers pings and passes all other frames to `handler` until the connection ends.
async fn serve_connection(stream: TcpStream, handler: FrameHandler) {
    let mut reader = BufReader::new(stream.clone());
    // Before its first frame a connection has no queue and no writer task, so that connections from
    // anything other than a peer cost little more than their descriptor.
    let first = match read_frame(&mut reader, READ_TIMEOUT).await {
        Ok(first) => first,
        Err(error) => {
            log::debug!("peer connection ended before its first frame error={error}");
            return;
        }
    };
    let (replies, queue) = bounded(MAX_QUEUED_FRAMES);
    let writer = task::spawn(write_frames(stream.clone(), queue));
    let mut next = Ok(first);
    loop {
        match next {
            Ok(Frame::Ping) => {
                let _ = replies.try_send(Frame::Ping);
            }
            Ok(frame) => handler(frame, &replies),
            Err(error) => {
                log::debug!("peer connection ended error={error}");
                break;
            }
        }
        next = read_frame(&mut reader, READ_TIMEOUT).await;
    }
    replies.close();
    let _ = stream.shutdown(Shutdown::Both);
    writer.cancel().await;
}

/// Writes queued frames until the queue is closed or the connection fails.
async fn write_frames(mut stream: TcpStream, queue: Receiver<Frame>) {
    while let Ok(frame) = queue.recv().await {
        let mut bytes = encode_counted(&frame);
        while bytes.len() < MAX_WRITE_BATCH_BYTES
            && let Ok(next) = queue.try_recv()
        {
            bytes.extend(encode_counted(&next));
        }
        if write_all_with_timeout(&mut stream, &bytes, WRITE_TIMEOUT).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
