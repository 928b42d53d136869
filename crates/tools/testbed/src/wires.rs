//! The network between schedulers. Each reaches each other at an address set aside for that pair
//! and direction, so that every
//! datagram passes here and can be lost, late, doubled, overtaken, cut off or spoilt, by direction.
use crate::process::own_address;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// What a direction does to datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Way {
    /// Nothing passes.
    pub cut: bool,
    /// Shares of datagrams: lost, doubled, cut off at some byte, with a byte spoilt.
    pub loss: f64,
    pub double: f64,
    pub truncate: f64,
    pub corrupt: f64,
    /// The least and the most delay; those drawn differently overtake each other.
    pub delay: (Duration, Duration),
}

impl Default for Way {
    fn default() -> Self {
        Way {
            cut: false,
            loss: 0.0,
            double: 0.0,
            truncate: 0.0,
            corrupt: 0.0,
            delay: (Duration::ZERO, Duration::ZERO),
        }
    }
}

/// What has passed between schedulers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Passed {
    pub sent: u64,
    pub delivered: u64,
    pub bytes: u64,
}

struct State {
    ways: Vec<Way>,
    rng: SmallRng,
    passed: Passed,
}

/// The network; it ends with this.
pub struct Wires {
    count: usize,
    /// Where each scheduler listens.
    pub listens: Vec<SocketAddr>,
    /// `addrs[i][j]` is where scheduler `i` reaches `j`, and where `j` hears `i` from is
    /// `addrs[j][i]`.
    addrs: Vec<Vec<SocketAddr>>,
    state: Arc<Mutex<State>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Wires {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Wires {
    /// A network of so many schedulers in which nothing goes wrong yet.
    ///
    /// # Errors
    /// If no addresses are free.
    pub async fn start(count: usize, seed: u64) -> io::Result<Self> {
        let mut listens = Vec::new();
        for _ in 0..count {
            listens.push(UdpSocket::bind((own_address(), 0)).await?.local_addr()?);
        }
        let mut sockets: Vec<Vec<Arc<UdpSocket>>> = Vec::new();
        for _ in 0..count {
            let mut row = Vec::new();
            for _ in 0..count {
                row.push(Arc::new(UdpSocket::bind("127.0.0.1:0").await?));
            }
            sockets.push(row);
        }
        let mut addrs = Vec::new();
        for row in &sockets {
            addrs.push(row.iter().map(|s| s.local_addr()).collect::<io::Result<Vec<_>>>()?);
        }
        let rng = SmallRng::seed_from_u64(seed ^ 0x0077_6972_6573);
        let state = State { ways: vec![Way::default(); count * count], rng, passed: Passed::default() };
        let mut wires =
            Wires { count, listens, addrs, state: Arc::new(Mutex::new(state)), tasks: Vec::new() };
        for (from, row) in sockets.iter().enumerate() {
            for (to, socket) in row.iter().enumerate().filter(|(to, _)| *to != from) {
                let (socket, back) = (socket.clone(), sockets[to][from].clone());
                let (state, target, way) = (wires.state.clone(), wires.listens[to], from * count + to);
                let sender = wires.listens[from];
                let task = tokio::spawn(async move {
                    let mut buffer = [0; 2048];
                    loop {
                        // An error is an earlier send's, to a scheduler that is down.
                        let Ok((length, by)) = socket.recv_from(&mut buffer).await else { continue };
                        if by != sender {
                            continue;
                        }
                        let copies = lock(&state).carry(way, &buffer[..length]);
                        for (delay, bytes) in copies {
                            let back = back.clone();
                            if delay.is_zero() {
                                let _ = back.send_to(&bytes, target).await;
                                continue;
                            }
                            tokio::spawn(async move {
                                sleep_until(Instant::now() + delay).await;
                                let _ = back.send_to(&bytes, target).await;
                            });
                        }
                    }
                });
                wires.tasks.push(task.abort_handle());
            }
        }
        Ok(wires)
    }

    /// The peers as a scheduler's configuration names them, its own address included.
    pub fn peers_of(&self, scheduler: usize) -> &[SocketAddr] {
        &self.addrs[scheduler]
    }

    /// Changes one direction.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut Way)) {
        change(&mut lock(&self.state).ways[from * self.count + to]);
    }

    /// Changes every direction.
    pub fn change_all(&self, mut change: impl FnMut(&mut Way)) {
        lock(&self.state).ways.iter_mut().for_each(&mut change);
    }

    /// Cuts what goes from these schedulers to those, or ends that.
    pub fn cut(&self, from: &[usize], to: &[usize], cut: bool) {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.change(a, b, |way| way.cut = cut);
        }
    }

    /// What has passed so far.
    pub fn passed(&self) -> Passed {
        lock(&self.state).passed
    }

    /// Sends a datagram to a scheduler from an address that is nobody's.
    ///
    /// # Errors
    /// If no address is free.
    pub async fn stranger(&self, to: usize, bytes: &[u8]) -> io::Result<()> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        socket.send_to(bytes, self.listens[to]).await.map(|_| ())
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// What arrives of a datagram, and how late.
    fn carry(&mut self, way: usize, bytes: &[u8]) -> Vec<(Duration, Vec<u8>)> {
        let Way { cut, loss, double, truncate, corrupt, delay } = self.ways[way];
        self.passed.sent += 1;
        if cut || self.rng.random_bool(loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.rng.random_bool(double));
        let mut all = Vec::new();
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if self.rng.random_bool(truncate) {
                bytes.truncate(self.rng.random_range(0..=bytes.len()));
            }
            if self.rng.random_bool(corrupt) && !bytes.is_empty() {
                let at = self.rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << self.rng.random_range(0..8);
            }
            self.passed.delivered += 1;
            self.passed.bytes += bytes.len() as u64;
            let span = self.rng.random::<f64>();
            all.push((delay.0 + (delay.1.saturating_sub(delay.0)).mul_f64(span), bytes));
        }
        all
    }
}
