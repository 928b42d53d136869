//! What data planes are told: who serves, the configuration, and which of them to tell and watch.
use super::Node;
use async_std::channel::Sender;
use spanlead_cluster_config::DataPlaneConfiguration;
use spanlead_cluster_runtime::frame::{Directory, Frame};
use spanlead_dissemination::{PEERS, pick};

impl Node {
    /// Tells the data planes who serves, and the configuration, when that has changed.
    pub(super) fn announce(&mut self) {
        let directory = self.directory();
        if directory != self.announced {
            self.announced = directory;
            let frame = Frame::Directory(self.announced.clone());
            self.tell_listeners(&frame);
        }
        let lost = self.listeners.iter().any(|listener| listener.frames.is_closed());
        if self.serving.is_some() && (std::mem::take(&mut self.listeners_changed) || lost) {
            self.introduce();
        }
        let Some(configuration) = self.configuration(self.announced_version) else { return };
        self.announced_version = configuration.version;
        self.tell_listeners(&Frame::Configuration(configuration));
    }

    fn tell_listeners(&mut self, frame: &Frame) {
        let before = self.listeners.len();
        self.listeners.retain(|listener| listener.frames.try_send(frame.clone()).is_ok());
        self.listeners_changed |= self.listeners.len() != before;
    }

    /// Tells each data plane whom it should tell and watch.
    fn introduce(&mut self) {
        self.listeners.retain(|listener| !listener.frames.is_closed());
        let names: Vec<&str> = self.listeners.iter().map(|listener| listener.peer.as_str()).collect();
        for listener in &self.listeners {
            let picked = pick(&listener.peer, names.iter().copied(), PEERS);
            let picked = picked.into_iter().map(str::to_owned).collect();
            let _ = listener.frames.try_send(Frame::Peers(picked));
        }
    }

    /// Who serves, once this machine can prove it; until then what it could prove last.
    fn directory(&self) -> Directory {
        let (Some(view), Some(primary)) =
            (self.replica.view(), self.replica.verified_primary(self.clock.steady()))
        else {
            return self.announced.clone();
        };
        Directory {
            epoch: view.epoch.0,
            primary: primary.peer_address.clone(),
            members: view.members.iter().map(|m| m.peer_address.clone()).collect(),
        }
    }

    /// What data planes need of the configuration that is in force for certain, if it is newer than `known`: a primary's
    /// own, once it lasts and while the lease holds.
    fn configuration(&self, known: u64) -> Option<DataPlaneConfiguration> {
        let serving = self.serving.as_ref()?;
        let version = serving.configurations.version();
        let lasts =
            version == self.announced_version || self.replica.committed_sequence() >= serving.sequence;
        if version <= known || !lasts {
            return None;
        }
        self.replica.active_term(self.clock.steady())?;
        serving.configurations.current().map(DataPlaneConfiguration::from)
    }

    pub(super) fn bring_configuration(&self, to: &Sender<Frame>, known: u64) {
        if let Some(configuration) = self.configuration(known) {
            let _ = to.try_send(Frame::Configuration(configuration));
        }
    }
}
