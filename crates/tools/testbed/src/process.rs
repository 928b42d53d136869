//! The scheduler as a process, killed and started again at one address.
use crate::record::{Record, What};
use crate::worker::answers;
use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::Instant;

/// A scheduler. It is killed with this.
pub struct Scheduler {
    /// Its number among the schedulers.
    pub number: u32,
    pub addr: SocketAddr,
    pub operator: SocketAddr,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    record: Record,
    /// Whether its log goes to our own standard error.
    pub loud: bool,
}

/// An address on loopback that no other scheduler of this machine is given, and that no connection
/// goes out from: a port that is
/// drawn and given back until its process starts, or while it is down, must be nobody else's.
pub(crate) fn own_address() -> IpAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let (id, serial) = (std::process::id(), GIVEN.fetch_add(1, Ordering::Relaxed));
    let byte = |x: u32| (x % 250) as u8;
    // Some thousand schedulers in a process, and processes whose ids are 62500 apart, share one.
    Ipv4Addr::new(127, 1 + byte(id), byte(id / 250).wrapping_add(byte(serial / 250)), 1 + byte(serial)).into()
}

/// What a process has taken of a CPU so far.
pub fn cpu_of(id: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // Fields 14 and 15 of proc(5)'s stat, counted behind the name, which ends with the last
    // bracket.
    let fields = text.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: u64 = fields.skip(11).take(2).filter_map(|f| f.parse::<u64>().ok()).sum();
    Duration::from_millis(ticks * 10)
}

fn free(on: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((on, 0))?.local_addr()
}

impl Scheduler {
    /// Prepares one that keeps its files in `folder`, with this configuration and these settings of
    /// the operators'.
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
        let on = own_address();
        let addr = free(on)?;
        let mut operator = free(on)?;
        while operator == addr {
            operator = free(on)?;
        }
        let (binary, folder) = (binary.to_owned(), folder.to_owned());
        let scheduler =
            Scheduler { number: 0, addr, operator, binary, folder, child: None, record, loud: false };
        scheduler.configure(config, conf)?;
        Ok(scheduler)
    }

    /// The configuration that it starts with next.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn config(&self) -> io::Result<serde_json::Value> {
        Ok(serde_json::from_slice(&std::fs::read(self.folder.join("config.json"))?)?)
    }

    /// Gives it another configuration and settings of the operators' for its next start.
    ///
    /// # Errors
    /// If the files can't be written.
    pub fn configure(&self, config: &serde_json::Value, conf: &str) -> io::Result<()> {
        std::fs::write(self.folder.join("config.json"), config.to_string())?;
        std::fs::write(self.folder.join("spanlead.conf"), conf)
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
        if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
            return Err(io::Error::other(format!("the scheduler has ended at once: {status}")));
        }
        self.record.add(What::Serving { scheduler: self.number });
        Ok(())
    }

    /// Kills it outright.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Before: whatever breaks from here on is no fault of a running scheduler.
            self.record.add(What::Killed { scheduler: self.number });
            let _ = child.kill().await;
        }
    }

    /// Tells it to end in order.
    pub fn terminate(&self) {
        self.record.add(What::Ending { scheduler: self.number });
        self.signal(Signal::TERM);
    }

    /// Lets it stand still, or go on.
    pub fn pause(&self, on: bool) {
        let noted = What::Paused { scheduler: self.number, on };
        // Noted when it can still do something, and when it can again.
        if on {
            self.record.add(noted);
            self.signal(Signal::STOP);
        } else {
            self.signal(Signal::CONT);
            self.record.add(noted);
        }
    }

    fn signal(&self, signal: Signal) {
        let id = self.id().and_then(|id| Pid::from_raw(id as i32));
        let _ = id.map(|id| kill_process(id, signal));
    }

    /// What its processes have logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// What the process has taken of a CPU so far.
    pub fn cpu(&self) -> Duration {
        self.id().map_or(Duration::ZERO, cpu_of)
    }

    /// Whether it has ended, or was never started.
    pub fn ended(&mut self) -> bool {
        let ended = self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended && self.child.take().is_some() {
            self.record.add(What::Killed { scheduler: self.number });
        }
        ended
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.wait().await.ok()
    }
}
