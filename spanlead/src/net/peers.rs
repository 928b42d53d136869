//! Short messages between schedulers.
use crate::config::Peers;
use crate::core::Input;
use crate::driver::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;

/// The longest message that may be sent.
const MAX_DATAGRAM: usize = 256;

/// The socket that the schedulers' messages come and go by.
pub struct PeerLink {
    socket: Arc<UdpSocket>,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl PeerLink {
    /// Listens for messages and hands them to the driver.
    pub async fn open(peers: Peers, to: UnboundedSender<Message>) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(peers.listen).await?);
        let (receiver, senders) = (socket.clone(), peers.each.clone());
        tokio::spawn(async move {
            let mut buffer = [0; MAX_DATAGRAM + 1];
            loop {
                // An error here is an earlier send's (nobody listened there); such messages may be lost.
                let Ok((length, sender)) = receiver.recv_from(&mut buffer).await else { continue };
                let number = senders.iter().position(|a| *a == sender);
                if let Some(from) = number.filter(|_| length <= MAX_DATAGRAM) {
                    let input = Input::Peer { from: from as u32, data: buffer[..length].to_vec() };
                    let _ = to.send(Message::Input(input));
                }
            }
        });
        Ok(PeerLink { socket, each: peers.each, all: peers.all })
    }

    /// Sends a message to one peer or to all; like any datagram it may get lost.
    pub fn tell(&self, peer: Option<u32>, data: &[u8]) {
        let to = peer.map_or(self.all, |p| self.each.get(p as usize).copied());
        if let Some(to) = to.filter(|_| data.len() <= MAX_DATAGRAM) {
            let _ = self.socket.try_send_to(data, to);
        }
    }
}
