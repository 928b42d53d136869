//! Finds the process that has opened a connection, from the kernel's table of connections.
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

const CONNECTION_TABLE: &str = "/proc/net/tcp";
/// The columns of the table: own address, other address, number of the socket.
const LOCAL_COLUMN: usize = 1;
const REMOTE_COLUMN: usize = 2;
const SOCKET_COLUMN: usize = 9;

/// The process identifiers of the control plane's machines, by machine. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ProcessIds {
    by_machine: Arc<Mutex<BTreeMap<usize, u32>>>,
}

impl ProcessIds {
    /// Sets the identifier of a machine's process.
    pub fn set(&self, machine: usize, process_id: u32) {
        self.by_machine.lock().unwrap_or_else(PoisonError::into_inner).insert(machine, process_id);
    }

    /// The machine whose process has opened the connection from `client` to `server`; `None` if it is
    /// none of these machines.
    #[must_use]
    pub fn owner_of(&self, client: SocketAddr, server: SocketAddr) -> Option<usize> {
        let socket = format!("socket:[{}]", socket_number(client, server)?);
        let by_machine = self.by_machine.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let owns = |process_id: u32| has_open(process_id, &socket);
        by_machine.into_iter().find(|(_, process_id)| owns(*process_id)).map(|(machine, _)| machine)
    }
}

/// The number of the socket with this own and this other address.
fn socket_number(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let (local, remote) = (table_address(local)?, table_address(remote)?);
    let table = std::fs::read_to_string(CONNECTION_TABLE).ok()?;
    for line in table.lines().skip(1) {
        let columns: Vec<&str> = line.split_whitespace().collect();
        if columns.get(LOCAL_COLUMN) == Some(&local.as_str())
            && columns.get(REMOTE_COLUMN) == Some(&remote.as_str())
        {
            return columns.get(SOCKET_COLUMN).map(|number| (*number).to_owned());
        }
    }
    None
}

/// An address as the table shows it: the octets as one number of the machine's byte order.
fn table_address(address: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    Some(format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port()))
}

/// Whether a process has a file open that is shown by this name.
fn has_open(process_id: u32, name: &str) -> bool {
    let Ok(files) = std::fs::read_dir(format!("/proc/{process_id}/fd")) else { return false };
    let mut targets = files.flatten().filter_map(|file| std::fs::read_link(file.path()).ok());
    targets.any(|target| target.to_str() == Some(name))
}
