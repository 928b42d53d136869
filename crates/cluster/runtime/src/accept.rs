//! Connections that other processes make to this one.
use crate::frame::{Frame, encode_to_send};
use crate::link::{read_frame, write_steadily};
use crate::listen::listen;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::BufReader;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::sync::Arc;
use std::time::Duration;

/// Frames that wait for one that does not read; beyond that its connection ends.
const QUEUE: usize = 4_096;
/// How long a write may go without progress.
const WRITE: Duration = Duration::from_millis(1_000);
/// Silence after which a connection is closed: a peer's says something every half second.
const SILENCE: Duration = Duration::from_secs(4);
/// Connections that are held at most.
const CONNECTIONS: usize = 1_024;
/// Between two tries to listen.
const RETRY: Duration = Duration::from_millis(100);

/// Takes a frame, and where answers to it go.
pub type Taker = Arc<dyn Fn(Frame, &Sender<Frame>) + Send + Sync>;

/// Accepts connections and hands over their frames.
pub async fn serve(address: String, take: Taker) {
    loop {
        match listen(&address) {
            Ok(listener) => accept(&listener, &take).await,
            Err(error) => log::error!("{address}: {error}"),
        }
        task::sleep(RETRY).await;
    }
}

async fn accept(listener: &TcpListener, take: &Taker) {
    let held = Arc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Arc::strong_count(&held) > CONNECTIONS => log::warn!("too many connections of peers"),
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let (take, held) = (take.clone(), held.clone());
                task::spawn(async move {
                    read(stream, take).await;
                    drop(held);
                });
            }
            Err(error) => {
                log::warn!("accept: {error}");
                task::sleep(RETRY).await;
            }
        }
    }
}

async fn read(stream: TcpStream, take: Taker) {
    let mut reader = BufReader::new(stream.clone());
    // Until it has said something, a connection is given nothing but its descriptor.
    let first = match read_frame(&mut reader, SILENCE).await {
        Ok(first) => first,
        Err(error) => {
            log::debug!("no peer's connection: {error}");
            return;
        }
    };
    let (answers, queue) = bounded(QUEUE);
    let writer = task::spawn(write(stream.clone(), queue));
    let mut next = Ok(first);
    loop {
        match next {
            Ok(Frame::Ping) => {
                let _ = answers.try_send(Frame::Ping);
            }
            Ok(frame) => take(frame, &answers),
            Err(error) => {
                log::debug!("a connection ends: {error}");
                break;
            }
        }
        next = read_frame(&mut reader, SILENCE).await;
    }
    answers.close();
    let _ = stream.shutdown(std::net::Shutdown::Both);
    writer.cancel().await;
}

async fn write(mut stream: TcpStream, queue: Receiver<Frame>) {
    while let Ok(frame) = queue.recv().await {
        let mut bytes = encode_to_send(&frame);
        while bytes.len() < 64 * 1024
            && let Ok(more) = queue.try_recv()
        {
            bytes.extend(encode_to_send(&more));
        }
        if write_steadily(&mut stream, &bytes, WRITE).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
