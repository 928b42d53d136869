//! The links of a soak: what passes while they are cut, cut in one direction or delayed.
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use spanlead_cluster_testbed::links::{
    CutDirection, Forwarder, LinkFault, LinkFaultKind, LinkFaults, ProcessIds,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The machine whose process is this test's.
const CLIENT: usize = 0;
/// The machine that is called.
const SERVER: usize = 1;
const FAULT_DURATION: Duration = Duration::from_millis(700);
/// Well within the duration of a fault.
const SHORT_WAIT: Duration = Duration::from_millis(250);
/// Well after the end of a fault.
const LONG_WAIT: Duration = Duration::from_millis(5_000);

/// A server that returns every byte, behind a forwarder.
struct Echo {
    stream: TcpStream,
    received: Arc<AtomicUsize>,
    faults: LinkFaults,
}

impl Echo {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let process_address = listener.local_addr().expect("an address");
        let received = Arc::new(AtomicUsize::new(0));
        task::spawn(serve_echo(listener, received.clone()));
        let (process_ids, faults) = (ProcessIds::default(), LinkFaults::default());
        process_ids.set(CLIENT, std::process::id());
        let address = free_address().await;
        let forwarder =
            Forwarder { machine: SERVER, address, process_address, process_ids, faults: faults.clone() };
        task::spawn(forwarder.serve());
        Echo { stream: connect(address).await, received, faults }
    }

    fn add_fault(&self, kind: LinkFaultKind) {
        let until = Instant::now() + FAULT_DURATION;
        let group = CLIENT..CLIENT + 1;
        self.faults.add(LinkFault { group, concerns_data_planes: false, kind, until });
    }

    async fn send(&mut self) {
        self.stream.write_all(b"x").await.expect("the forwarder reads");
    }

    /// Whether a byte comes back within this time.
    async fn returns_within(&mut self, wait: Duration) -> bool {
        timeout(wait, self.stream.read_exact(&mut [0])).await.is_ok_and(|read| read.is_ok())
    }

    fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

async fn connect(address: SocketAddr) -> TcpStream {
    loop {
        match TcpStream::connect(address).await {
            Ok(stream) => return stream,
            Err(_) => task::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve_echo(listener: TcpListener, received: Arc<AtomicUsize>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut buffer = [0; 64];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            received.fetch_add(count, Ordering::SeqCst);
            if stream.write_all(&buffer[..count]).await.is_err() {
                break;
            }
        }
    }
}

#[async_std::test]
async fn what_is_sent_to_a_group_waits_while_that_direction_is_cut() {
    let mut echo = Echo::start().await;
    echo.send().await;
    assert!(echo.returns_within(LONG_WAIT).await, "no fault yet");

    echo.add_fault(LinkFaultKind::Cut(CutDirection::ToGroup));
    echo.send().await;
    assert!(!echo.returns_within(SHORT_WAIT).await, "what is sent to the group is held back");
    assert_eq!(echo.received(), 2, "what the group sends passes");
    assert!(echo.returns_within(LONG_WAIT).await, "the fault is over");
}

#[async_std::test]
async fn what_a_group_sends_waits_while_that_direction_is_cut() {
    let mut echo = Echo::start().await;
    echo.send().await;
    assert!(echo.returns_within(LONG_WAIT).await, "no fault yet");

    echo.add_fault(LinkFaultKind::Cut(CutDirection::FromGroup));
    echo.send().await;
    assert!(!echo.returns_within(SHORT_WAIT).await, "what the group sends is held back");
    assert_eq!(echo.received(), 1, "the second byte has not arrived");
    assert!(echo.returns_within(LONG_WAIT).await, "the fault is over");
}

#[async_std::test]
async fn what_passes_a_slow_link_is_delayed_in_both_directions() {
    let mut echo = Echo::start().await;
    let delay = Duration::from_millis(150);
    echo.add_fault(LinkFaultKind::Delay(delay));
    let sent_at = Instant::now();
    echo.send().await;
    assert!(echo.returns_within(LONG_WAIT).await, "a slow link loses nothing");
    assert!(sent_at.elapsed() >= 2 * delay, "returned after {:?}", sent_at.elapsed());
}
