//! Short messages between schedulers.
use crate::Message;
use spanlead_engine::Input;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// The longest message that may be sent.
const MAX_DATAGRAM: usize = 256;
/// The pause after a failed receive.
const RECEIVE_AGAIN: Duration = Duration::from_millis(20);

/// Where the other schedulers are.
pub struct PeerAddresses {
    pub listen: SocketAddr,
    pub each: Vec<SocketAddr>,
    pub all: Option<SocketAddr>,
}

/// The socket that the schedulers' messages come and go by; dropping it gives the address up.
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    receiving: AbortHandle,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    /// Datagrams from addresses that are no peer's, and longer ones than may be sent.
    strangers: Arc<AtomicU64>,
}

impl PeerSocket {
    /// Listens for messages and hands them to the driver.
    pub fn open(peers: &PeerAddresses, to: UnboundedSender<Message>) -> std::io::Result<Self> {
        let socket = std::net::UdpSocket::bind(peers.listen)?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        let (receiver, senders) = (socket.clone(), peers.each.clone());
        let strangers = Arc::new(AtomicU64::new(0));
        let counted = strangers.clone();
        let receiving = tokio::spawn(async move {
            let mut buffer = [0; MAX_DATAGRAM + 1];
            loop {
                let Ok((length, sender)) = receiver.recv_from(&mut buffer).await else {
                    // An earlier send's error, as a rule: nobody listened there. Whatever it is, it must not spin.
                    sleep_until(Instant::now() + RECEIVE_AGAIN).await;
                    continue;
                };
                let number = senders.iter().position(|a| *a == sender);
                // Counted here: a stranger must not fill the driver's inbox.
                let Some(from) = number.filter(|_| length <= MAX_DATAGRAM) else {
                    counted.fetch_add(1, Ordering::Relaxed);
                    continue;
                };
                let input = Input::PeerMessage { from: from as u32, data: buffer[..length].to_vec() };
                let _ = to.send(Message::Input(input));
            }
        });
        let receiving = receiving.abort_handle();
        Ok(PeerSocket { socket, receiving, each: peers.each.clone(), all: peers.all, strangers })
    }

    /// How many datagrams were dropped since they came from no peer or were too long.
    pub fn strangers(&self) -> u64 {
        self.strangers.load(Ordering::Relaxed)
    }

    /// Sends a message to one peer or to all; like any datagram it may get lost.
    pub fn tell(&self, peer: Option<u32>, data: &[u8]) {
        let to = peer.map_or(self.all, |p| self.each.get(p as usize).copied());
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
