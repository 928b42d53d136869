//! Forwards the connections to one machine, and subjects their bytes to the faults of links.
use super::connection_owner::ProcessIds;
use super::link_faults::{LinkDirection, LinkFaults};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_lite::future::{or, zip};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

/// How often a connection that is held back looks whether its link is still cut.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The most bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// The number of chunks that may wait on a connection; further ones are left with their sender.
const MAX_WAITING_CHUNKS: usize = 64;

/// Bytes that wait to be passed on.
struct Chunk {
    due_at: Instant,
    bytes: Vec<u8>,
}

/// The forwarder of one machine.
#[derive(Clone, Debug)]
pub struct Forwarder {
    /// The index of the machine.
    pub machine: usize,
    /// Where others call the machine.
    pub address: SocketAddr,
    /// Where its process listens.
    pub process_address: SocketAddr,
    /// The processes of the control plane.
    pub process_ids: ProcessIds,
    /// The present faults.
    pub faults: LinkFaults,
}

impl Forwarder {
    /// Forwards connections without end.
    ///
    /// # Errors
    /// If the address can't be listened at.
    pub async fn serve(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        loop {
            let (client, client_address) = listener.accept().await?;
            let forwarder = self.clone();
            task::spawn(async move { forwarder.forward(client, client_address).await });
        }
    }

    async fn forward(self, client: TcpStream, client_address: SocketAddr) {
        let (process_ids, address) = (self.process_ids.clone(), self.address);
        let owner = task::spawn_blocking(move || process_ids.owner_of(client_address, address)).await;
        let to_machine = LinkDirection { from: owner, to: Some(self.machine) };
        let from_machine = LinkDirection { from: Some(self.machine), to: owner };
        self.wait_while_cut(to_machine).await;
        if let Ok(server) = TcpStream::connect(self.process_address).await {
            let _ = server.set_nodelay(true);
            let requests = self.pump(client.clone(), server.clone(), to_machine);
            let replies = self.pump(server.clone(), client.clone(), from_machine);
            or(requests, replies).await;
            let _ = server.shutdown(Shutdown::Both);
        }
        let _ = client.shutdown(Shutdown::Both);
    }

    /// Passes bytes on until the source has no more and all have been written, or the target ends.
    async fn pump(&self, source: TcpStream, target: TcpStream, link: LinkDirection) {
        let (sender, chunks) = bounded(MAX_WAITING_CHUNKS);
        zip(self.read_chunks(source, link, sender), self.write_chunks(target, link, chunks)).await;
    }

    async fn read_chunks(&self, mut source: TcpStream, link: LinkDirection, chunks: Sender<Chunk>) {
        let mut buffer = vec![0; READ_BYTES];
        while let Ok(count @ 1..) = source.read(&mut buffer).await {
            let due_at = Instant::now() + self.faults.delay(link);
            if chunks.send(Chunk { due_at, bytes: buffer[..count].to_vec() }).await.is_err() {
                return;
            }
        }
    }

    async fn write_chunks(&self, mut target: TcpStream, link: LinkDirection, chunks: Receiver<Chunk>) {
        while let Ok(Chunk { due_at, bytes }) = chunks.recv().await {
            task::sleep(due_at.saturating_duration_since(Instant::now())).await;
            self.wait_while_cut(link).await;
            if target.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn wait_while_cut(&self, link: LinkDirection) {
        while self.faults.is_cut(link) {
            task::sleep(CUT_POLL_INTERVAL).await;
        }
    }
}
