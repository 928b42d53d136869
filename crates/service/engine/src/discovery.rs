//! Where the endpoint list comes from: discovery is watched, or an agent on this machine that lists
//! are pushed to.
use crate::timers::Timer;
use crate::{Effect, Engine, MS};
use spanlead_balancing_policy::{EndpointUpdate, Nanos};
use std::net::SocketAddr;

/// How soon after a failed call an agent is asked again: within the shortest grace for draining
/// that is left after a call.
const AGENT_RETRY_INTERVAL: Nanos = 100 * MS;

/// Discovery as this scheduler sees it.
pub(crate) struct DiscoveryState {
    /// Its address.
    pub(crate) addr: SocketAddr,
    /// Version of its list that is known.
    pub(crate) version: u64,
    /// It is watched for changes.
    pub(crate) is_watched: bool,
    /// Lists come unasked, to an agent beside this process.
    pub(crate) is_pushed: bool,
}

impl Engine {
    /// Goes on with the list at another address. For the policy the watch just goes on: a call at
    /// the old address that ends with it is no failure of discovery.
    pub(crate) fn move_discovery(&mut self, addr: SocketAddr, out: &mut Vec<Effect>) {
        if addr != self.discovery.addr {
            self.discovery.addr = addr;
            if self.discovery.is_watched {
                self.watch_endpoints(out);
            }
        }
    }

    /// Watches discovery for what is newer than the known version.
    pub(crate) fn watch_endpoints(&mut self, out: &mut Vec<Effect>) {
        self.discovery.is_watched = true;
        let (addr, version) = (self.discovery.addr, self.discovery.version);
        out.push(Effect::WatchEndpoints { addr, version });
    }

    /// Where lists are pushed, the policy waits for them and asks for none. On sockets they lie
    /// with an agent on this machine, and what it holds counts as notified: it is watched from the
    /// start, and again soon after a call that failed.
    pub(crate) fn follow_agent(&mut self, now: Nanos, scope: EndpointUpdate, out: &mut Vec<Effect>) {
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
