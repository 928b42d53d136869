//! The updates sent to data planes: the directory with the primary, the configuration and the
//! gossip peers.
use super::Node;
use async_std::channel::Sender;
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::frame::{ClientResponse, Directory, Frame};
use spanlead_cluster_runtime::freshness::TOKEN_INTERVAL_MS;
use spanlead_dissemination::{PEERS_PER_PROCESS, select_peers};
use std::collections::BTreeSet;

/// A connection of a data plane to this node.
#[derive(Debug)]
struct Subscriber {
    peer_address: String,
    frames: Sender<Frame>,
}

/// The connections of data planes to this node, and the updates that were sent to them last.
///
/// A data plane may have several connections for a while, and which of them it uses is not known:
/// the first frame of a connection that it has given up may arrive after that of the next one.
/// Each is therefore served until it closes.
#[derive(Debug, Default)]
pub(super) struct DataPlanes {
    subscribers: Vec<Subscriber>,
    /// Whether the gossip peers must be selected and sent again.
    gossip_peers_outdated: bool,
    /// When the last tokens were sent to all data planes, monotonic milliseconds.
    tokens_sent_at_ms: u64,
    directory: Directory,
    /// The version of the last configuration that was sent to all data planes; 0 for none.
    configuration_version: u64,
}

impl DataPlanes {
    /// Adds a connection of a data plane.
    fn subscribe(&mut self, peer_address: String, frames: Sender<Frame>) {
        self.subscribers.push(Subscriber { peer_address, frames });
        self.gossip_peers_outdated = true;
    }

    /// Marks the gossip peers as outdated, so that they are sent again. Needed when the node
    /// becomes primary, since the data planes may still use the peers that the previous primary
    /// selected among the data planes connected to it.
    pub(super) fn mark_gossip_peers_outdated(&mut self) {
        self.gossip_peers_outdated = true;
    }

    /// Marks the tokens as outdated, so that new ones are sent at once. Needed when the node becomes
    /// primary, since only a primary renews them.
    pub(super) fn mark_tokens_outdated(&mut self) {
        self.tokens_sent_at_ms = 0;
    }

    fn are_tokens_due(&self, now_ms: u64) -> bool {
        now_ms >= self.tokens_sent_at_ms + TOKEN_INTERVAL_MS
    }

    fn send_token(&mut self, now_ms: u64, token: Frame) {
        self.tokens_sent_at_ms = now_ms;
        self.send_to_all(&token);
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
        let previous_count = self.subscribers.len();
        self.subscribers.retain(|subscriber| subscriber.frames.try_send(frame.clone()).is_ok());
        self.gossip_peers_outdated |= self.subscribers.len() != previous_count;
    }

    /// Sends each data plane its gossip peers if they are outdated or a data plane disconnected.
    fn update_gossip_peers(&mut self) {
        let any_closed = self.subscribers.iter().any(|subscriber| subscriber.frames.is_closed());
        if std::mem::take(&mut self.gossip_peers_outdated) || any_closed {
            self.send_gossip_peers();
        }
    }

    fn send_gossip_peers(&mut self) {
        self.subscribers.retain(|subscriber| !subscriber.frames.is_closed());
        let addresses: BTreeSet<&str> =
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
    /// Sends the data planes the directory, the gossip peers and the configuration, each if it has
    /// changed, and from time to time a token.
    pub(super) fn update_data_planes(&mut self) {
        self.renew_tokens();
        self.data_planes.send_directory(self.directory());
        if self.primary.is_some() {
            self.data_planes.update_gossip_peers();
        }
        let known_version = self.data_planes.configuration_version;
        if let Some(configuration) = self.configuration_newer_than(known_version) {
            self.data_planes.send_configuration(configuration);
        }
    }

    /// Sends each data plane a new token if this node is primary and the last one is outdated.
    fn renew_tokens(&mut self) {
        let now_ms = self.clock.monotonic_ms();
        if self.primary.is_some() && self.data_planes.are_tokens_due(now_ms) {
            self.data_planes.send_token(now_ms, self.token_frame());
        }
    }

    fn token_frame(&self) -> Frame {
        let token = self.token_issuer.issue(self.clock.monotonic_ms());
        Frame::ClientResponse(ClientResponse::with_token(token))
    }

    /// Adds a data plane that has connected. Sends it a token, the directory, and the configuration
    /// if it is newer than `known_version`. The token comes first: a data plane takes a node whose
    /// directory arrives without one for a node of the previous version.
    pub(super) fn subscribe_data_plane(
        &mut self,
        peer_address: String,
        known_version: u64,
        frames: Sender<Frame>,
    ) {
        let _ = frames.try_send(self.token_frame());
        let _ = frames.try_send(Frame::Directory(self.data_planes.directory.clone()));
        if let Some(configuration) = self.configuration_newer_than(known_version) {
            let _ = frames.try_send(Frame::Configuration(configuration));
        }
        self.data_planes.subscribe(peer_address, frames);
    }

    /// Returns the directory with the primary that this node can verify. If it can verify none,
    /// returns the directory that was sent last.
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

    /// Returns the part of the configuration that data planes use, if it is newer than
    /// `known_version` and certainly in force: this node is primary, its lease is valid and the
    /// configuration is committed.
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
