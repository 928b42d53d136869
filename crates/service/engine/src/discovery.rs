//! The source of the endpoint list: discovery, which is watched or asked, or an agent on this
//! machine to which lists are pushed.
use crate::timers::Timer;
use crate::{Effect, Engine, MS};
use spanlead_balancing_policy::{EndpointUpdate, Nanos};
use std::net::SocketAddr;

/// Delay before the agent is called again after a failed call. It is shorter than the rest that a
/// call leaves of the shortest drain grace period, so that a draining worker is learned of in time.
const AGENT_RETRY_INTERVAL: Nanos = 100 * MS;

/// The address of discovery and the state of the watch on it.
pub(crate) struct DiscoveryState {
    /// The address of discovery.
    pub(crate) addr: SocketAddr,
    /// The known version of the endpoint list.
    pub(crate) version: u64,
    /// Whether discovery is watched for changes.
    pub(crate) is_watched: bool,
    /// Whether lists are pushed, to an agent on this machine.
    pub(crate) is_pushed: bool,
}

impl Engine {
    /// Changes the address of discovery and restarts a watch in progress there. The policy is not
    /// told: the end of the call to the old address is not a failure of discovery.
    pub(crate) fn move_discovery(&mut self, addr: SocketAddr, out: &mut Vec<Effect>) {
        if addr != self.discovery.addr {
            self.discovery.addr = addr;
            if self.discovery.is_watched {
                self.watch_endpoints(out);
            }
        }
    }

    /// Watches discovery for versions newer than the known one.
    pub(crate) fn watch_endpoints(&mut self, out: &mut Vec<Effect>) {
        self.discovery.is_watched = true;
        let (addr, version) = (self.discovery.addr, self.discovery.version);
        out.push(Effect::WatchEndpoints { addr, version });
    }

    /// Watches the agent if lists are pushed. The policy then requests no list but waits for one to
    /// be pushed. In this program lists are pushed to an agent on this machine, and a list held by
    /// the agent counts as pushed. So the agent is watched from the start, that is, from the cached
    /// list on, and again [`AGENT_RETRY_INTERVAL`] after a failed call.
    pub(crate) fn keep_watching_agent(&mut self, now: Nanos, scope: EndpointUpdate, out: &mut Vec<Effect>) {
        if !self.discovery.is_pushed {
            return;
        }
        match scope {
            EndpointUpdate::CachedSnapshot => self.watch_endpoints(out),
            EndpointUpdate::Unavailable => self.timers.set(now + AGENT_RETRY_INTERVAL, Timer::WatchAgent),
            EndpointUpdate::Snapshot | EndpointUpdate::Delta => {}
        }
    }
}
