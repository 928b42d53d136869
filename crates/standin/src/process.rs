//! The scheduler as a process, killed and started again at one address.
use crate::record::{Record, What};
use crate::worker::answers;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::Instant;

/// A scheduler. It is killed with this.
pub struct Scheduler {
    pub addr: SocketAddr,
    pub operator: SocketAddr,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
    /// Whether its log goes to our own standard error.
    pub loud: bool,
}

/// An address that is free now.
fn free() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Scheduler {
    /// Prepares one that keeps its files in `folder`, with this configuration and these settings of the operators'.
    ///
    /// # Errors
    /// If files can't be written there.
    pub fn new(
        binary: &Path,
        folder: &Path,
        config: &serde_json::Value,
        conf: &str,
        record: Record,
    ) -> io::Result<Self> {
        std::fs::write(folder.join("config.json"), config.to_string())?;
        std::fs::write(folder.join("spanlead.conf"), conf)?;
        let (addr, operator) = (free()?, free()?);
        let (binary, folder) = (binary.to_owned(), folder.to_owned());
        Ok(Scheduler { addr, operator, binary, folder, child: None, record, loud: false })
    }

    /// Starts it and waits until it accepts.
    ///
    /// # Errors
    /// If it doesn't within 20 s.
    pub async fn start(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.binary);
        command
            .args(["serve", "--conf"])
            .arg(self.folder.join("spanlead.conf"))
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env("ROUTER_LISTEN", self.addr.to_string())
            .env("ROUTER_OPERATOR", self.operator.to_string())
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("ROUTER_LISTEN_FD")
            .env_remove("ROUTER_NAME")
            .kill_on_drop(true)
            .stdin(Stdio::null());
        let log = std::fs::File::options().append(true).create(true).open(self.folder.join("log"))?;
        command.stderr(if self.loud { Stdio::inherit() } else { log.into() });
        self.child = Some(command.spawn()?);
        let until = Instant::now() + Duration::from_secs(20);
        if !answers(self.addr, until).await {
            let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
            let last: Vec<&str> = log.lines().rev().take(3).collect();
            return Err(io::Error::other(format!("the scheduler does not start: {last:?}")));
        }
        self.record.add(What::Serving);
        Ok(())
    }

    /// Kills it outright.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Before: whatever breaks from here on is no fault of a running scheduler.
            self.record.add(What::Killed);
            let _ = child.kill().await;
        }
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.wait().await.ok()
    }
}
