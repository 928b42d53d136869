//! The workers: what the list says of them.
use crate::{Core, Effect, Host};
use oatdock::{Entry, Event, ListScope, Nanos, WorkerState};
use std::net::SocketAddr;

impl Core {
    /// Goes on with the list at another address. For the module the watch just goes on: a call at the old address
    /// that ends with it is no failure of discovery.
    pub(crate) fn move_discovery(&mut self, addr: SocketAddr, out: &mut Vec<Effect>) {
        if addr != self.discovery {
            self.discovery = addr;
            out.extend(self.watching.then_some(Effect::Watch { addr, version: self.version }));
        }
    }

    pub(crate) fn list(&mut self, now: Nanos, scope: ListScope, hosts: Vec<Host>, out: &mut Vec<Effect>) {
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            for host in self.workers.values_mut() {
                if !hosts.iter().any(|h| h.name == host.name) {
                    host.state = WorkerState::Gone;
                }
            }
        }
        for host in &hosts {
            let old = self.workers.insert(host.name.clone(), host.clone());
            // A connection to a process that was replaced or removed only waits to be reset under a request.
            let changed = |o: &Host| o.started != host.started || o.addr != host.addr;
            if let Some(old) = old.filter(|o| changed(o) || host.state == WorkerState::Gone) {
                out.push(Effect::CloseIdle { addr: old.addr });
            }
        }
        let entries: Vec<Entry<'_>> = hosts.iter().map(entry).collect();
        self.decide(now, Event::Members { scope, entries: &entries }, out);
    }
}

fn entry(host: &Host) -> Entry<'_> {
    Entry {
        worker: &host.name,
        state: host.state,
        started: host.started,
        kind: host.kind,
        zone: host.zone,
        cell: host.cell,
        weight: host.weight,
    }
}
