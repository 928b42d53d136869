//! A control plane as a process of its own.
use std::path::Path;
use std::process::{Child, Command, Stdio};

const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_spanlead-control-plane");

/// The program's process, which is killed when this is dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a control plane of one machine with an empty data folder. `peer_port` is its port for
/// other processes, 0 for any.
pub fn start_control_plane(folder: &Path, ip: &str, peer_port: u16) -> Process {
    let data = folder.join("data");
    let settings = format!(
        r#"{{"node":"core-1","ip":"{ip}","listenAddrs":{{"control":"{ip}:0"}},"portRange":[{peer_port},{peer_port}],"seeds":["{ip}:9"],"bootstrap":true,"countsForQuorum":true,"dataDir":"{}"}}"#,
        data.display()
    );
    std::fs::create_dir(data).expect("the data folder is made");
    std::fs::write(folder.join("settings.json"), settings).expect("the settings are written");
    let child = Command::new(PROGRAM_PATH)
        .env("SPANLEAD_CONFIG", folder.join("settings.json"))
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    Process(child)
}
