//! What data planes are sent: who is primary, the configuration, and which of them exchange gossip.
use super::Node;
use async_std::channel::Sender;
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::frame::{Directory, Frame};
use spanlead_dissemination::{PEERS_PER_PROCESS, select_peers};

/// A data plane that is connected here.
#[derive(Debug)]
struct Subscriber {
    peer_address: String,
    frames: Sender<Frame>,
}

/// The data planes that are connected here, and what they were sent last.
#[derive(Debug, Default)]
pub(super) struct DataPlanes {
    subscribers: Vec<Subscriber>,
    /// Whether the subscribers must be sent their gossip peers again.
    peers_changed: bool,
    directory: Directory,
    configuration_version: u64,
}

impl DataPlanes {
    /// Adds a data plane, in place of an earlier connection of the same.
    fn subscribe(&mut self, peer_address: String, frames: Sender<Frame>) {
        self.subscribers.retain(|subscriber| subscriber.peer_address != peer_address);
        self.subscribers.push(Subscriber { peer_address, frames });
        self.peers_changed = true;
    }

    /// A new primary sends the gossip peers again, as the earlier one may have known other data
    /// planes.
    pub(super) fn renew_gossip_peers(&mut self) {
        self.peers_changed = true;
    }

    fn send_directory(&mut self, directory: Directory) {
        if directory != self.directory {
            self.directory = directory;
            self.send_to_all(&Frame::Directory(self.directory.clone()));
        }
    }

    fn send_configuration(&mut self, configuration: DataPlaneConfiguration) {
        self.configuration_version = configuration.version;
        self.send_to_all(&Frame::Configuration(configuration));
    }

    fn send_to_all(&mut self, frame: &Frame) {
        let before = self.subscribers.len();
        self.subscribers.retain(|subscriber| subscriber.frames.try_send(frame.clone()).is_ok());
        self.peers_changed |= self.subscribers.len() != before;
    }

    /// Sends each data plane its gossip peers, if a data plane has connected or disconnected.
    fn send_changed_gossip_peers(&mut self) {
        let any_closed = self.subscribers.iter().any(|subscriber| subscriber.frames.is_closed());
        if std::mem::take(&mut self.peers_changed) || any_closed {
            self.send_gossip_peers();
        }
    }

    fn send_gossip_peers(&mut self) {
        self.subscribers.retain(|subscriber| !subscriber.frames.is_closed());
        let addresses: Vec<&str> =
            self.subscribers.iter().map(|subscriber| subscriber.peer_address.as_str()).collect();
        for subscriber in &self.subscribers {
            let candidates = addresses.iter().copied();
            let peers = select_peers(&subscriber.peer_address, candidates, PEERS_PER_PROCESS);
            let peers = peers.into_iter().map(str::to_owned).collect();
            let _ = subscriber.frames.try_send(Frame::GossipPeers(peers));
        }
    }
}

impl Node {
    /// Sends the data planes the directory and the configuration, when they have changed.
    pub(super) fn announce(&mut self) {
        self.data_planes.send_directory(self.directory());
        if self.primary.is_some() {
            self.data_planes.send_changed_gossip_peers();
        }
        let known_version = self.data_planes.configuration_version;
        if let Some(configuration) = self.configuration_newer_than(known_version) {
            self.data_planes.send_configuration(configuration);
        }
    }

    /// A data plane has connected. It is sent what it lacks.
    pub(super) fn subscribe(&mut self, peer_address: String, known_version: u64, frames: Sender<Frame>) {
        let _ = frames.try_send(Frame::Directory(self.data_planes.directory.clone()));
        if let Some(configuration) = self.configuration_newer_than(known_version) {
            let _ = frames.try_send(Frame::Configuration(configuration));
        }
        self.data_planes.subscribe(peer_address, frames);
    }

    /// Who is primary, as far as this node can prove it; until then what it could prove last.
    fn directory(&self) -> Directory {
        let primary = self.replica.verified_primary(self.clock.monotonic_ms());
        let (Some(view), Some(primary)) = (self.replica.view(), primary) else {
            return self.data_planes.directory.clone();
        };
        Directory {
            epoch: view.epoch.0,
            primary: primary.peer_address.clone(),
            members: view.members.iter().map(|member| member.peer_address.clone()).collect(),
        }
    }

    /// What data planes need of the configuration, if it is newer than `known_version` and
    /// certainly in force: a primary's own, once it is committed and while the lease is valid.
    fn configuration_newer_than(&self, known_version: u64) -> Option<DataPlaneConfiguration> {
        let primary = self.primary.as_ref()?;
        let version = primary.configuration.version();
        let is_committed = version == self.data_planes.configuration_version
            || self.replica.committed_sequence() >= primary.proposed_sequence;
        if version <= known_version || !is_committed {
            return None;
        }
        self.replica.active_term(self.clock.monotonic_ms())?;
        primary.configuration.current().map(DataPlaneConfiguration::from)
    }
}
