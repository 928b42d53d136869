//! How the processes of one scheduler find each other: the older one listens on a Unix socket whose
//! path follows from the scheduler's name, the newer one connects to it.
use super::link::start_link;
use crate::message::{Message, PeerProcessEvent, ProcessLink};
use rustix::fs::{Mode, OFlags, open};
use std::io;
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep_until};

/// The pause before the socket is made again.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Where the processes of the scheduler of this name find each other.
pub fn socket_path(name: &str) -> PathBuf {
    let plain = |character: char| if character.is_ascii_alphanumeric() { character } else { '-' };
    let file_name: String = name.chars().map(plain).collect();
    std::env::temp_dir().join(format!("{file_name}.sock"))
}

/// The link to the process that this one takes over from, if there is one. A socket that was left
/// behind refuses.
pub async fn connect_to_predecessor(path: &Path, messages: &UnboundedSender<Message>) -> Option<ProcessLink> {
    let short = ShortPath::new(path).ok()?;
    let stream = UnixStream::connect(&short.path).await.ok()?;
    Some(start_link(stream, messages.clone()))
}

/// The same place by way of its folder, held open as long as this lives. Guards against a folder
/// whose path is longer than the 107 bytes that a Unix socket's address holds: nobody could take
/// over there.
struct ShortPath {
    path: PathBuf,
    _folder: OwnedFd,
}

impl ShortPath {
    fn new(path: &Path) -> io::Result<Self> {
        let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let folder = open(folder, OFlags::PATH | OFlags::DIRECTORY | OFlags::CLOEXEC, Mode::empty())?;
        let path = Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(name);
        Ok(ShortPath { path, _folder: folder })
    }
}

/// Waits for the process that takes over from this one, again and again: a successor that ends
/// leaves its place to the next.
pub async fn listen_for_successors(path: PathBuf, messages: UnboundedSender<Message>) {
    loop {
        match accept_successor(&path).await {
            Ok(stream) => {
                let link = start_link(stream, messages.clone());
                let connected = PeerProcessEvent::SuccessorConnected(link.clone());
                let _ = messages.send(Message::PeerProcess(connected));
                link.closed().await;
            }
            Err(error) => {
                tracing::warn!(path = %path.display(), %error, "no successor could be taken in");
                sleep_until(Instant::now() + LISTEN_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn accept_successor(path: &Path) -> io::Result<UnixStream> {
    // What a killed process left behind, or the name of the process before, which has accepted this
    // one.
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(&ShortPath::new(path)?.path)?;
    Ok(listener.accept().await?.0)
}
