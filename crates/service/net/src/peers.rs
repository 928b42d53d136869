//! Datagrams between schedulers.
use crate::Message;
use spanlead_engine::Input;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// The longest datagram, bytes.
const MAX_DATAGRAM: usize = 256;
/// The pause after a failed receive.
const RECEIVE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Where the schedulers of a tier are.
pub struct PeerAddresses {
    /// Where this scheduler receives datagrams.
    pub listen: SocketAddr,
    /// The address of each scheduler, by its number.
    pub each: Vec<SocketAddr>,
    /// The address that reaches all of them, if there is one.
    pub all: Option<SocketAddr>,
}

/// The socket that datagrams come and go by; dropping it gives the address up.
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    receiving: AbortHandle,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    /// Datagrams that were dropped: from addresses that are no peer's, or longer than allowed.
    dropped: Arc<AtomicU64>,
}

impl PeerSocket {
    /// Listens for datagrams and gives them to the driver.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn open(peers: &PeerAddresses, messages: UnboundedSender<Message>) -> io::Result<Self> {
        let socket = std::net::UdpSocket::bind(peers.listen)?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        let dropped = Arc::new(AtomicU64::new(0));
        let receiver = PeerReceiver {
            socket: socket.clone(),
            senders: peers.each.clone(),
            dropped: dropped.clone(),
            messages,
        };
        let receiving = tokio::spawn(receiver.run()).abort_handle();
        Ok(PeerSocket { socket, receiving, each: peers.each.clone(), all: peers.all, dropped })
    }

    /// How many datagrams were dropped since they came from no peer or were too long.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Sends a datagram to one peer, or to all; like any datagram it may get lost.
    pub fn send(&self, peer: Option<u32>, data: &[u8]) {
        let to = peer.map_or(self.all, |index| self.each.get(index as usize).copied());
        if let Some(to) = to.filter(|_| data.len() <= MAX_DATAGRAM) {
            let _ = self.socket.try_send_to(data, to);
        }
    }
}

impl Drop for PeerSocket {
    fn drop(&mut self) {
        self.receiving.abort();
    }
}

/// The receiving side of the socket.
struct PeerReceiver {
    socket: Arc<UdpSocket>,
    senders: Vec<SocketAddr>,
    dropped: Arc<AtomicU64>,
    messages: UnboundedSender<Message>,
}

impl PeerReceiver {
    async fn run(self) {
        // One more than allowed, so that a longer datagram is noticed.
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier send's error, as a rule: nobody listened there. Whatever it is, it
                // must not spin.
                sleep_until(Instant::now() + RECEIVE_RETRY_INTERVAL).await;
                continue;
            };
            let index = self.senders.iter().position(|address| *address == sender);
            // Counted here: a stranger must not fill the driver's inbox.
            let Some(from) = index.filter(|_| length <= MAX_DATAGRAM) else {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let input = Input::PeerMessage { from: from as u32, data: buffer[..length].to_vec() };
            let _ = self.messages.send(Message::Input(input));
        }
    }
}
