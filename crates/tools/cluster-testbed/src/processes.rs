//! The real programs as processes on loopback addresses.
use quick_error::quick_error;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

quick_error! {
    /// Why a trial can't go on.
    #[derive(Debug)]
    pub enum TrialError {
        /// A file or process.
        Io(what: String, error: std::io::Error) {
            display("{}: {}", what, error)
        }
        /// The system does not serve.
        Start(what: &'static str) {
            display("{}", what)
        }
    }
}

/// Ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// The first of a few that must be free.
    pub first: u16,
}

impl Ports {
    /// Between schedulers.
    #[must_use]
    pub fn peer(self) -> u16 {
        self.first
    }

    /// For operators.
    #[must_use]
    pub fn control(self) -> u16 {
        self.first + 2
    }

    /// For clients.
    #[must_use]
    pub fn front(self) -> u16 {
        self.first + 3
    }

    /// For the platform.
    #[must_use]
    pub fn readiness(self) -> u16 {
        self.first + 4
    }

    /// Of workers.
    #[must_use]
    pub fn worker(self) -> u16 {
        self.first + 5
    }

    /// Of the platform's list.
    #[must_use]
    pub fn list(self) -> u16 {
        self.first + 6
    }
}

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Of the control plane.
    Control,
    /// Of the data plane.
    Data,
}

/// A machine with its process.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub node: String,
    /// Its address.
    pub ip: String,
    /// What it runs.
    pub role: Role,
    folder: PathBuf,
    child: Option<Child>,
}

/// All machines.
#[derive(Debug)]
pub struct Machines {
    /// They.
    pub machines: Vec<Machine>,
    ports: Ports,
    programs: PathBuf,
    log: String,
}

impl Machines {
    /// Machines that were not started yet, with their folders below `folder`.
    ///
    /// # Errors
    /// If a folder can't be made.
    pub fn new(
        folder: &Path,
        programs: &Path,
        ports: Ports,
        control: usize,
        data: usize,
        log: &str,
    ) -> Result<Self, TrialError> {
        let mut machines = Vec::new();
        for i in 0..control + data {
            let role = if i < control { Role::Control } else { Role::Data };
            let number = if i < control { i + 1 } else { i - control + 1 };
            let (name, net) = if role == Role::Control { ("core", 1) } else { ("edge", 2) };
            let node = format!("{name}-{number}");
            let folder = folder.join(&node);
            std::fs::create_dir_all(folder.join("data")).map_err(|e| TrialError::Io(node.clone(), e))?;
            machines.push(Machine { node, ip: format!("127.71.{net}.{number}"), role, folder, child: None });
        }
        Ok(Machines { machines, ports, programs: programs.to_owned(), log: log.to_owned() })
    }

    /// Starts a machine's process.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn start(&mut self, i: usize, bootstrap: bool) -> Result<(), TrialError> {
        let settings = self.settings(i, bootstrap);
        let machine = &mut self.machines[i];
        let io = |error| TrialError::Io(machine.node.clone(), error);
        let file = machine.folder.join("settings.json");
        std::fs::write(&file, settings).map_err(io)?;
        let log = File::options().create(true).append(true).open(machine.folder.join("log")).map_err(io)?;
        let program = match machine.role {
            Role::Control => "spanlead-control-plane",
            Role::Data => "spanlead-data-plane",
        };
        let child = Command::new(self.programs.join(program))
            .args(["--log", &self.log])
            .env("SPANLEAD_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(io)?;
        machine.child = Some(child);
        Ok(())
    }

    fn settings(&self, i: usize, bootstrap: bool) -> String {
        let machine = &self.machines[i];
        let control = |m: &&Machine| m.role == Role::Control;
        let seeds: Vec<String> = self
            .machines
            .iter()
            .filter(control)
            .take(3)
            .map(|m| format!("{}:{}", m.ip, self.ports.control()))
            .collect();
        let members = self.machines.iter().filter(control).count();
        let at = |port: u16| format!("{}:{port}", machine.ip);
        let listen = match machine.role {
            Role::Control => json!({ "control": at(self.ports.control()) }),
            Role::Data => json!({ "front": at(self.ports.front()), "readiness": at(self.ports.readiness()) }),
        };
        json!({
            "node": machine.node,
            "ip": machine.ip,
            "zone": "z-1",
            "listenAddrs": listen,
            "portRange": [self.ports.peer(), self.ports.peer() + 1],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "countsForQuorum": machine.role == Role::Control,
            "dataDir": machine.folder.join("data"),
            "faultTolerance": { "machines": (members - 1) / 2 },
            "bounds": { "graceS": 6, "maxHoldMs": 6_000, "far_x": 2.0 },
            "cloudApi": { "address": format!("127.71.4.1:{}", self.ports.list()), "ratePerS": 30.0 },
        })
        .to_string()
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&mut self, i: usize, signal: Signal) {
        if let Some(child) = &self.machines[i].child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Ends a machine's process at once, as a loss of power would for it.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.machines[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends a machine's process in order.
    pub fn terminate(&mut self, i: usize) {
        self.signal(i, Signal::TERM);
        if let Some(mut child) = self.machines[i].child.take() {
            let _ = child.wait();
        }
    }

    /// Ends a machine's process and empties its disk.
    pub fn wipe(&mut self, i: usize) {
        self.kill(i);
        let data = self.machines[i].folder.join("data");
        let _ = std::fs::remove_dir_all(&data);
        let _ = std::fs::create_dir_all(&data);
    }

    /// The machines of a role.
    #[must_use]
    pub fn of(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|i| self.machines[*i].role == role).collect()
    }

    /// Where clients reach the data planes.
    #[must_use]
    pub fn fronts(&self) -> Vec<String> {
        let port = self.ports.front();
        self.of(Role::Data).into_iter().map(|i| format!("{}:{port}", self.machines[i].ip)).collect()
    }

    /// Where operators reach the control planes.
    #[must_use]
    pub fn controls(&self) -> Vec<String> {
        let port = self.ports.control();
        self.of(Role::Control).into_iter().map(|i| format!("{}:{port}", self.machines[i].ip)).collect()
    }

    /// Processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let gone = |m: &mut Machine| m.child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        self.machines.iter_mut().filter_map(|m| gone(m).then(|| m.node.clone())).collect()
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        (0..self.machines.len()).for_each(|i| self.kill(i));
    }
}
