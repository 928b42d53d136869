//! Starts, signals and ends the real programs, as processes on loopback addresses.
use crate::deployment_form::Bounds;
use crate::links::{Forwarder, LinkFaults, ProcessIds};
use crate::platform::WORKER_LIST_IP;
use quick_error::quick_error;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The difference between the third octets of a machine's address and of the one where its process
/// listens behind a forwarder.
const FORWARDED_NETWORK_OFFSET: usize = 4;
/// The most seeds in a machine's settings.
const MAX_SEEDS: usize = 3;

quick_error! {
    /// Why a trial can't go on.
    #[derive(Debug)]
    pub enum TrialError {
        /// A file or a process failed; with what it is.
        Io(what: String, error: std::io::Error) {
            display("{}: {}", what, error)
        }
        /// The system does not serve after its start.
        Start(what: &'static str) {
            display("{}", what)
        }
    }
}

/// The ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// The first of seven that must be free.
    pub first: u16,
}

impl Ports {
    /// Between machines of the control plane, the first of two.
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

    /// For the platform's readiness checks.
    #[must_use]
    pub fn readiness(self) -> u16 {
        self.first + 4
    }

    /// Of workers.
    #[must_use]
    pub fn worker(self) -> u16 {
        self.first + 5
    }

    /// Of the platform's list of workers.
    #[must_use]
    pub fn list(self) -> u16 {
        self.first + 6
    }
}

/// The plane that a machine belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The control plane.
    Control,
    /// The data plane.
    Data,
}

impl Role {
    /// The file name of the program.
    fn program(self) -> &'static str {
        match self {
            Role::Control => "spanlead-control-plane",
            Role::Data => "spanlead-data-plane",
        }
    }
}

/// A machine with its process.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub node: String,
    /// Its address.
    pub ip: String,
    /// Where its process listens behind a forwarder.
    process_ip: String,
    /// What it runs.
    pub role: Role,
    folder: PathBuf,
    child: Option<Child>,
}

/// The folder of this program, where the other programs are too.
///
/// # Errors
/// If the path of this program is not known.
pub fn program_folder() -> Result<PathBuf, TrialError> {
    let program = std::env::current_exe().map_err(|e| TrialError::Io("own program".to_owned(), e))?;
    Ok(program.parent().map(PathBuf::from).unwrap_or_default())
}

/// The machines of a trial before their start.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The folder with a folder for each machine.
    pub folder: PathBuf,
    /// The folder with the programs.
    pub programs: PathBuf,
    /// The ports.
    pub ports: Ports,
    /// Machines of the control plane.
    pub control: usize,
    /// Machines of the data plane.
    pub data: usize,
    /// The platform's bounds.
    pub bounds: Bounds,
    /// Whether the machines of the control plane are reached through forwarders.
    pub has_forwarders: bool,
    /// The programs' option `--log`.
    pub log: String,
}

/// All machines. Their processes are killed when this is dropped.
#[derive(Debug)]
pub struct Machines {
    /// The machines: first those of the control plane, then those of the data plane.
    pub machines: Vec<Machine>,
    ports: Ports,
    programs: PathBuf,
    bounds: Bounds,
    has_forwarders: bool,
    /// The processes of the control plane.
    process_ids: ProcessIds,
    log: String,
}

impl Machines {
    /// Machines that are not started yet; makes their folders.
    ///
    /// # Errors
    /// If a folder can't be made.
    pub fn new(layout: Layout) -> Result<Self, TrialError> {
        let control = (1..=layout.control).map(|number| (Role::Control, number));
        let data = (1..=layout.data).map(|number| (Role::Data, number));
        let machines = control.chain(data).map(|(role, number)| new_machine(&layout, role, number));
        let machines = machines.collect::<Result<_, _>>()?;
        let Layout { ports, programs, bounds, has_forwarders, log, .. } = layout;
        let process_ids = ProcessIds::default();
        Ok(Machines { machines, ports, programs, bounds, has_forwarders, process_ids, log })
    }

    /// The forwarders of the control plane's machines, which subject their links to `faults`; none
    /// if the machines are reached without.
    #[must_use]
    pub fn forwarders(&self, faults: &LinkFaults) -> Vec<Forwarder> {
        let control = self.with_role(Role::Control).into_iter().filter(|_| self.has_forwarders);
        control.filter_map(|machine| self.forwarder(machine, faults)).collect()
    }

    fn forwarder(&self, machine: usize, faults: &LinkFaults) -> Option<Forwarder> {
        let Machine { ip, process_ip, .. } = &self.machines[machine];
        let address = |ip: &str| format!("{ip}:{}", self.ports.peer()).parse::<SocketAddr>().ok();
        Some(Forwarder {
            machine,
            address: address(ip)?,
            process_address: address(process_ip)?,
            process_ids: self.process_ids.clone(),
            faults: faults.clone(),
        })
    }

    /// The ports.
    #[must_use]
    pub fn ports(&self) -> Ports {
        self.ports
    }

    /// Starts a machine's process. `bootstrap` allows it to form a new control plane.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn start(&mut self, machine_index: usize, bootstrap: bool) -> Result<(), TrialError> {
        let settings = self.settings(machine_index, bootstrap);
        let machine = &mut self.machines[machine_index];
        let io_error = |error| TrialError::Io(machine.node.clone(), error);
        let file = machine.folder.join("settings.json");
        std::fs::write(&file, settings).map_err(io_error)?;
        let log = File::options().create(true).append(true).open(machine.folder.join("log"));
        let child = Command::new(self.programs.join(machine.role.program()))
            .args(["--log", &self.log])
            .env("SPANLEAD_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(io_error)?)
            .spawn()
            .map_err(io_error)?;
        if machine.role == Role::Control {
            self.process_ids.set(machine_index, child.id());
        }
        machine.child = Some(child);
        Ok(())
    }

    /// The text of a machine's settings file.
    fn settings(&self, machine_index: usize, bootstrap: bool) -> String {
        let machine = &self.machines[machine_index];
        let controls = self.control_addresses();
        let address = |port: u16| format!("{}:{port}", machine.ip);
        let ports = self.ports;
        let listen = match machine.role {
            Role::Control if self.has_forwarders => {
                let peer = format!("{}:{}", machine.process_ip, ports.peer());
                json!({ "control": address(ports.control()), "peer": peer })
            }
            Role::Control => json!({ "control": address(ports.control()) }),
            Role::Data => {
                json!({ "front": address(ports.front()), "readiness": address(ports.readiness()) })
            }
        };
        json!({
            "node": machine.node,
            "ip": machine.ip,
            "zone": "z-1",
            "listenAddrs": listen,
            "portRange": [ports.peer(), ports.peer() + 1],
            "seeds": &controls[..controls.len().min(MAX_SEEDS)],
            "bootstrap": bootstrap,
            "countsForQuorum": machine.role == Role::Control,
            "dataDir": machine.folder.join("data"),
            "faultTolerance": { "machines": (controls.len() - 1) / 2 },
            "bounds": self.bounds.to_settings(),
            "cloudApi": { "address": format!("{WORKER_LIST_IP}:{}", ports.list()), "ratePerS": 30.0 },
        })
        .to_string()
    }

    /// Sends a signal to a machine's process.
    pub fn signal(&mut self, machine_index: usize, signal: Signal) {
        if let Some(child) = &self.machines[machine_index].child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills a machine's process, as a loss of power would.
    pub fn kill(&mut self, machine_index: usize) {
        if let Some(mut child) = self.machines[machine_index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks a machine's process to shut down gracefully, and waits until it ends.
    pub fn terminate(&mut self, machine_index: usize) {
        self.signal(machine_index, Signal::TERM);
        if let Some(mut child) = self.machines[machine_index].child.take() {
            let _ = child.wait();
        }
    }

    /// Whether a machine's process has ended. It is reaped then.
    pub fn has_ended(&mut self, machine_index: usize) -> bool {
        let child = &mut self.machines[machine_index].child;
        let is_running = child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        if !is_running {
            *child = None;
        }
        !is_running
    }

    /// Kills a machine's process and empties its disk.
    pub fn wipe(&mut self, machine_index: usize) {
        self.kill(machine_index);
        let data = self.machines[machine_index].folder.join("data");
        let _ = std::fs::remove_dir_all(&data);
        let _ = std::fs::create_dir_all(&data);
    }

    /// The indexes of the machines with a role.
    #[must_use]
    pub fn with_role(&self, role: Role) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].role == role).collect()
    }

    /// Where clients reach the data plane, `IP:port`.
    #[must_use]
    pub fn front_addresses(&self) -> Vec<String> {
        self.addresses(Role::Data, self.ports.front())
    }

    /// Where operators reach the control plane, `IP:port`.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<String> {
        self.addresses(Role::Control, self.ports.control())
    }

    fn addresses(&self, role: Role, port: u16) -> Vec<String> {
        let machines = self.machines.iter().filter(|machine| machine.role == role);
        machines.map(|machine| format!("{}:{port}", machine.ip)).collect()
    }

    /// The names of the machines whose process ended by itself.
    pub fn exited(&mut self) -> Vec<String> {
        let has_exited = |machine: &mut Machine| {
            machine.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
        };
        let machines = self.machines.iter_mut();
        machines.filter_map(|machine| has_exited(machine).then(|| machine.node.clone())).collect()
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        for index in 0..self.machines.len() {
            self.kill(index);
        }
    }
}

fn new_machine(layout: &Layout, role: Role, number: usize) -> Result<Machine, TrialError> {
    let (name, network) = match role {
        Role::Control => ("core", 1),
        Role::Data => ("edge", 2),
    };
    let node = format!("{name}-{number}");
    let folder = layout.folder.join(&node);
    std::fs::create_dir_all(folder.join("data")).map_err(|e| TrialError::Io(node.clone(), e))?;
    let ip = format!("127.71.{network}.{number}");
    let process_ip = format!("127.71.{}.{number}", network + FORWARDED_NETWORK_OFFSET);
    Ok(Machine { node, ip, process_ip, role, folder, child: None })
}
