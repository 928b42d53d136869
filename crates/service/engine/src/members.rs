//! The workers: what the list says of them, what files add to it, and what the module is told.
//!
//! The list is the one authority on who is there: state, start and address come from nowhere else, and a host that it has
//! not named gets nothing. Files ([`Sheet`]) only fill what the list leaves open, and the weight where that is set so.
//!
//! **Large changes go to the module in slices**, so that no job waits for a list: of more than [`MAX_SLICE_HOSTS`] hosts the rest is
//! taken a slice at a time, [`SLICE_INTERVAL`] apart, and other inputs pass between. What drains, is gone or has just started goes
//! first.
//!
//! **Pods and zones that change are nobody's for a while.** Repeats of a keyed job are dropped within its worker's pod or
//! zone, for the class's window. A worker that another file puts elsewhere may hold jobs of the place before: until the
//! longest window is over it is in a pod, or zone, of its own. So is one of which nothing is known.
use crate::input::{InventoryUpdate, InventoryVersion};
use crate::stats::{HostView, InventoryStats};
use crate::{Effect, Engine, MS, Timer, WorkerEndpoint};
use rustc_hash::{FxHashMap, FxHashSet};
use spanlead_balancing_policy::{Endpoint, EndpointUpdate, Event, Idempotency, Nanos, WorkerState};
use spanlead_deployment_settings::index_of;
use spanlead_worker_attributes::{LiveHost, Sheet, normal, provenance};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Hosts that are taken at once. A slice of them takes well under a millisecond.
const MAX_SLICE_HOSTS: usize = 512;
/// The pause between slices.
const SLICE_INTERVAL: Nanos = MS;
/// How soon after a failed call an agent is asked again: within the shortest grace for drains that is left after a call.
const AGENT_RETRY_INTERVAL: Nanos = 100 * MS;
/// Numbers of pods below are the list's own; from here on they are those that files name by words, and from
/// [`FIRST_OWN_POD`] on those of single workers.
const FIRST_NAMED_POD: u32 = 1 << 30;
const FIRST_OWN_POD: u32 = 1 << 31;
/// The number of a name that the settings don't have, and of a pod that another process would not know.
pub(crate) const UNKNOWN_NUMBER: u32 = u32::MAX;

/// A worker.
pub(crate) struct Member {
    /// As the list has it.
    pub host: WorkerEndpoint,
    /// What the module was told of it last.
    pub told: Option<Told>,
    /// The name by which files know it, and whether one does.
    normal: Option<Arc<str>>,
    named: bool,
    /// Its number where it must be told apart from all others.
    own: u32,
    /// The pod and zone that it was last known to be in, and until when it is in none.
    pod: Place,
    zone: Place,
    /// Since when the list says of it what it says, and since when it is gone from there.
    since: Nanos,
    gone: Option<Nanos>,
}

#[derive(Clone, Copy, Default)]
struct Place {
    last: Option<u32>,
    barred: Nanos,
}

impl Place {
    /// Where it counts as standing: `now_in` is what is known, `own` its place apart from all others.
    fn settle(&mut self, now: Nanos, now_in: Option<u32>, own: u32, window: Nanos) -> u32 {
        let Some(place) = now_in else { return own };
        if self.last.is_some_and(|last| last != place) {
            self.barred = now + window;
        }
        self.last = Some(place);
        if now < self.barred { own } else { place }
    }
}

/// What the module knows of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Told {
    pub state: WorkerState,
    started: Option<Nanos>,
    kind: u32,
    pub zone: u32,
    pub cell: u32,
    weight: f64,
}

impl Told {
    fn entry(self, worker: &str) -> Endpoint<'_> {
        let Told { state, started, kind, zone, cell, weight } = self;
        Endpoint { worker, state, started_at: started, machine_kind: kind, zone, cell, weight }
    }

    /// The pod as another process would know it.
    pub fn lasting_cell(self) -> u32 {
        if self.cell < FIRST_NAMED_POD { self.cell } else { UNKNOWN_NUMBER }
    }
}

/// What is still to be taken, and what files say.
#[derive(Default)]
pub(crate) struct Facts {
    /// Hosts of the list that were not looked at yet.
    incoming: VecDeque<WorkerEndpoint>,
    /// Workers of which files may say something else now.
    again: VecDeque<Arc<str>>,
    /// A slice's timer is set.
    waiting: bool,
    /// What files say; `None` as long as there are none.
    sheet: Option<Arc<Sheet>>,
    /// The numbers of pods that files name by words.
    pods: FxHashMap<Arc<str>, u32>,
    /// Workers so far.
    members: u32,
}

impl Facts {
    fn pod(&mut self, name: &Arc<str>) -> u32 {
        match name.parse::<u32>() {
            Ok(number) if number < FIRST_NAMED_POD => number,
            _ => {
                let next = FIRST_NAMED_POD + self.pods.len() as u32 % (FIRST_OWN_POD - FIRST_NAMED_POD);
                *self.pods.entry(name.clone()).or_insert(next)
            }
        }
    }
}

impl Engine {
    /// Goes on with the list at another address. For the module the watch just goes on: a call at the old address
    /// that ends with it is no failure of discovery.
    pub(crate) fn move_discovery(&mut self, addr: SocketAddr, out: &mut Vec<Effect>) {
        if addr != self.discovery {
            self.discovery = addr;
            out.extend(self.watching.then_some(Effect::WatchEndpoints { addr, version: self.version }));
        }
    }

    pub(crate) fn watch(&mut self, out: &mut Vec<Effect>) {
        self.watching = true;
        out.push(Effect::WatchEndpoints { addr: self.discovery, version: self.version });
    }

    /// Where lists are pushed, the module waits for them and asks for none. On sockets they lie with an agent on this machine, and
    /// what it holds counts as told: it is watched from the start, and again soon after a call that failed.
    pub(crate) fn hear_agent(&mut self, now: Nanos, scope: EndpointUpdate, out: &mut Vec<Effect>) {
        match scope {
            EndpointUpdate::CachedSnapshot if self.pushed => self.watch(out),
            EndpointUpdate::Unavailable if self.pushed => {
                self.set_timer(now + AGENT_RETRY_INTERVAL, Timer::Watch)
            }
            _ => {}
        }
    }

    /// Takes news of the list, at once or, if there are many, their first slice.
    pub(crate) fn list(
        &mut self,
        now: Nanos,
        scope: EndpointUpdate,
        hosts: Vec<WorkerEndpoint>,
        out: &mut Vec<Effect>,
    ) {
        let mut hosts = hosts;
        if matches!(scope, EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot) {
            self.facts.incoming.clear();
            hosts.extend(self.missing(&hosts));
            self.workers.reserve(hosts.len().saturating_sub(self.workers.len()));
        } else if !self.facts.incoming.is_empty() {
            // What is still to be taken of these hosts is old.
            let named: FxHashSet<&str> = hosts.iter().map(|h| &*h.name).collect();
            self.facts.incoming.retain(|h| !named.contains(&*h.name));
        }
        if hosts.len() > MAX_SLICE_HOSTS {
            // Stable: of what the list names twice, the last word stays the last.
            hosts.sort_by_key(|h| (h.state == WorkerState::Ready, std::cmp::Reverse(h.started)));
        }
        // News goes before what is left of an older list.
        let older = std::mem::replace(&mut self.facts.incoming, hosts.into());
        self.facts.incoming.extend(older);
        // Who is not in a whole list is among what is taken; the module need not look for them.
        let scope = if scope == EndpointUpdate::Snapshot { EndpointUpdate::Delta } else { scope };
        self.slice(now, scope, out);
    }

    /// The workers that a whole list leaves out, as gone.
    fn missing(&self, hosts: &[WorkerEndpoint]) -> Vec<WorkerEndpoint> {
        if self.workers.is_empty() {
            return Vec::new();
        }
        let named: FxHashSet<&str> = hosts.iter().map(|h| &*h.name).collect();
        let here = self.workers.values().filter(|m| m.host.state != WorkerState::Removed);
        let left = here.filter(|m| !named.contains(&*m.host.name));
        left.map(|m| WorkerEndpoint { state: WorkerState::Removed, ..m.host.clone() }).collect()
    }

    /// Takes the next hosts and tells the module what is new of them.
    fn slice(&mut self, now: Nanos, scope: EndpointUpdate, out: &mut Vec<Effect>) {
        let mut entries: Vec<(Arc<str>, Told)> = Vec::new();
        for _ in 0..MAX_SLICE_HOSTS {
            let name = match self.facts.incoming.pop_front() {
                Some(host) => self.hear(now, host, out),
                None => match self.facts.again.pop_front() {
                    Some(name) => name,
                    None => break,
                },
            };
            if let Some(told) = self.look_again(now, &name) {
                entries.push((name, told));
            }
        }
        let more = !self.facts.incoming.is_empty() || !self.facts.again.is_empty();
        if more && !self.facts.waiting {
            self.facts.waiting = true;
            self.set_timer(now + SLICE_INTERVAL, Timer::Slice);
        }
        let entries: Vec<Endpoint<'_>> = entries.iter().map(|(name, told)| told.entry(name)).collect();
        self.decide(now, Event::EndpointsChanged { update: scope, endpoints: &entries }, out);
    }

    /// The pause between two slices is over.
    pub(crate) fn next_slice(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        self.facts.waiting = false;
        self.slice(now, EndpointUpdate::Delta, out);
    }

    /// Notes what the list says of a host.
    fn hear(&mut self, now: Nanos, host: WorkerEndpoint, out: &mut Vec<Effect>) -> Arc<str> {
        let (name, state) = (host.name.clone(), host.state);
        match self.workers.get_mut(&name) {
            Some(member) => {
                // A connection to a process that was replaced or removed only waits to be reset under a request.
                let replaced = member.host.started != host.started || member.host.addr != host.addr;
                if replaced || state == WorkerState::Removed {
                    out.push(Effect::CloseIdleConnections { addr: member.host.addr });
                }
                let facts = |h: &WorkerEndpoint| (h.zone, h.cell, h.kind, h.weight);
                if facts(&member.host) != facts(&host) || member.gone.is_some() {
                    member.since = now;
                }
                member.gone = (state == WorkerState::Removed).then(|| member.gone.unwrap_or(now));
                member.host = host;
            }
            None => {
                let gone = (state == WorkerState::Removed).then_some(now);
                let own = FIRST_OWN_POD + self.facts.members;
                self.facts.members = (self.facts.members + 1) % (UNKNOWN_NUMBER - FIRST_OWN_POD);
                let (pod, zone) = (Place::default(), Place::default());
                let member =
                    Member { host, told: None, normal: None, named: false, own, pod, zone, since: now, gone };
                self.workers.insert(name.clone(), member);
            }
        }
        name
    }

    /// What the module must be told of a worker, if that is anything new.
    fn look_again(&mut self, now: Nanos, name: &Arc<str>) -> Option<Told> {
        let window = self.window();
        let member = self.workers.get_mut(name)?;
        let host = &member.host;
        let known = |number: Option<u32>| number.filter(|n| *n != UNKNOWN_NUMBER);
        let (mut zone, mut kind) = (known(host.zone), known(host.kind));
        let (mut pod, mut weight) = (host.cell.filter(|c| *c < FIRST_NAMED_POD), host.weight);
        if let Some(sheet) = self.facts.sheet.clone() {
            let normal = &**member.normal.get_or_insert_with(|| normal_name(name));
            member.named = sheet.names(normal);
            let said = |words: &[String], word: Option<&Arc<str>>| word.and_then(|w| index_of(words, w));
            zone = zone.or_else(|| said(&self.names.zones, sheet.zone(normal)?.value));
            let default = || said(&self.names.kinds, sheet.defaults.kind.as_ref());
            kind = kind.or_else(|| said(&self.names.kinds, sheet.kind(normal)?.value)).or_else(default);
            pod = pod.or_else(|| Some(self.facts.pod(sheet.pod(normal)?.value?)));
            let by_file = sheet.weight(normal);
            let first = by_file.is_some_and(|f| sheet.sources[f.source].weight_first);
            let by_file = by_file.and_then(|f| f.value.copied());
            weight = if first { by_file.or(weight) } else { weight.or(by_file) }.or(sheet.defaults.weight);
        }
        let before = (member.pod.barred, member.zone.barred);
        let told = Told {
            state: host.state,
            started: host.started,
            kind: kind.unwrap_or(UNKNOWN_NUMBER),
            zone: member.zone.settle(now, zone, member.own, window),
            cell: member.pod.settle(now, pod, member.own, window),
            weight: weight.unwrap_or(1.0),
        };
        let barred = (member.pod.barred, member.zone.barred);
        let new = member.told != Some(told);
        member.told = Some(told);
        if barred != before {
            self.set_timer(barred.0.max(barred.1), Timer::Unbar(name.clone()));
        }
        new.then_some(told)
    }

    /// A worker's pod and zone are its own no longer.
    pub(crate) fn unbar(&mut self, now: Nanos, name: Arc<str>, out: &mut Vec<Effect>) {
        if let Some(told) = self.look_again(now, &name) {
            let entry = [told.entry(&name)];
            self.decide(
                now,
                Event::EndpointsChanged { update: EndpointUpdate::Delta, endpoints: &entry },
                out,
            );
        }
    }

    /// The longest time for which repeats of some class are dropped.
    fn window(&self) -> Nanos {
        let window =
            |e: &Idempotency| if let Idempotency::Deduplicated { window, .. } = e { *window } else { 0 };
        self.effects.iter().map(window).max().unwrap_or(0)
    }

    /// Files say something else from now on. If a class that has a worker would have none by it, nothing changes, unless an
    /// operator wants it all the same.
    pub(crate) fn offered(&mut self, now: Nanos, offered: InventoryUpdate, out: &mut Vec<Effect>) {
        let InventoryUpdate { sheet, by, forced } = offered;
        if !forced && let Some(why) = self.without_worker(&sheet) {
            if let Some(InventoryVersion { name, number }) = by {
                out.push(Effect::InventoryRejected { name, version: number, reason: why });
            }
            return;
        }
        self.facts.sheet = Some(sheet).filter(|s| !s.is_empty());
        self.facts.again = self.workers.keys().cloned().collect();
        self.slice(now, EndpointUpdate::Delta, out);
    }

    /// The class that has a worker now and would have none by this sheet.
    fn without_worker(&self, sheet: &Sheet) -> Option<String> {
        for (class, kind) in &self.kinds {
            let kind_by = |m: &Member| {
                let listed = m.host.kind.filter(|k| *k != UNKNOWN_NUMBER);
                let name = normal_name(&m.host.name);
                let said = || sheet.kind(&name)?.value.or(sheet.defaults.kind.as_ref()).cloned();
                listed.or_else(|| index_of(&self.names.kinds, &said()?))
            };
            let ready = || self.workers.values().filter(|m| m.host.state == WorkerState::Ready);
            let now = ready().any(|m| m.told.is_some_and(|t| t.kind == *kind));
            if now && !ready().any(|m| kind_by(m) == Some(*kind)) {
                let (class, kind) = (&self.names.classes[*class as usize], &self.names.kinds[*kind as usize]);
                return Some(format!("class {class} would be left without a worker of kind {kind}"));
            }
        }
        None
    }

    /// Whether slices of a large change are still to come.
    pub fn has_pending_list_changes(&self) -> bool {
        self.facts.waiting
    }

    /// What files say.
    pub fn sheet(&self) -> Option<&Arc<Sheet>> {
        self.facts.sheet.as_ref()
    }

    /// The live list with names for numbers, to compare it with what files say.
    pub fn live_hosts(&self) -> Vec<LiveHost> {
        // Zones and kinds are few: each name is made once.
        let words = |names: &[String]| names.iter().map(|n| Arc::from(n.as_str())).collect::<Vec<Arc<str>>>();
        let (zones, kinds) = (words(&self.names.zones), words(&self.names.kinds));
        let mut pods: FxHashMap<u32, Arc<str>> = FxHashMap::default();
        let of = |words: &[Arc<str>], n: Option<u32>| words.get(n? as usize).cloned();
        let live = |m: &Member| LiveHost {
            name: m.host.name.clone(),
            normal: m.normal.clone().unwrap_or_else(|| normal_name(&m.host.name)),
            zone: of(&zones, m.host.zone),
            pod: m.host.cell.map(|c| pods.entry(c).or_insert_with(|| c.to_string().into()).clone()),
            kind: of(&kinds, m.host.kind),
            weight: m.host.weight,
            since_ms: m.since / MS,
            gone_ms: m.gone.map(|at| at / MS),
        };
        self.workers.values().map(live).collect()
    }

    /// What is known of a worker that the list has named, and by whose word.
    pub fn worker_view(&self, now: Nanos, name: &str) -> Option<HostView> {
        let wanted = normal(name).ok()?;
        let member = self.workers.get(name).or_else(|| {
            let here = |m: &&Member| normal(&m.host.name).is_ok_and(|n| n == wanted);
            self.workers.values().find(here)
        })?;
        let word = |words: &[String], n: Option<u32>| words.get(n? as usize).map(|w| Arc::from(w.as_str()));
        let host = &member.host;
        let live = LiveHost {
            name: host.name.clone(),
            normal: normal_name(&host.name),
            zone: word(&self.names.zones, host.zone),
            pod: host.cell.map(|c| c.to_string().into()),
            kind: word(&self.names.kinds, host.kind),
            weight: host.weight,
            since_ms: member.since / MS,
            gone_ms: member.gone.map(|at| at / MS),
        };
        let empty = Sheet::default();
        let sheet = self.facts.sheet.as_deref().unwrap_or(&empty);
        let state = match host.state {
            WorkerState::Ready => "ready",
            WorkerState::Draining => "draining",
            WorkerState::Removed => "gone",
        };
        let apart = [("pod", member.pod.barred), ("zone", member.zone.barred)];
        let apart = apart.into_iter().filter(|(_, until)| now < *until).map(|(what, _)| what).collect();
        Some(HostView { host: host.name.clone(), state, facts: provenance(&live, sheet), apart })
    }

    pub(crate) fn fact_figures(&self, now: Nanos) -> Option<InventoryStats> {
        let sheet = self.facts.sheet.as_ref()?;
        let here = || self.workers.values().filter(|m| m.host.state != WorkerState::Removed);
        let apart = |m: &&Member| now < m.pod.barred.max(m.zone.barred);
        Some(InventoryStats {
            inventories: sheet.sources.len(),
            hosts: sheet.sources.iter().map(|s| s.version.rows.len()).sum(),
            matched: here().filter(|m| m.named).count(),
            apart: here().filter(apart).count(),
            pending: self.facts.incoming.len() + self.facts.again.len(),
        })
    }

    /// A worker that the list doesn't name, as one that is gone: where an attempt of an earlier process was.
    pub(crate) fn introduce_gone(&mut self, now: Nanos, host: WorkerEndpoint, out: &mut Vec<Effect>) {
        let name = self.hear(now, host, out);
        self.unbar(now, name, out);
    }
}

/// The name by which files know a host; one that is no name in DNS is known as it is.
fn normal_name(name: &Arc<str>) -> Arc<str> {
    match normal(name) {
        Ok(same) if same.len() == name.len() && *same == **name => name.clone(),
        Ok(normal) => Arc::from(&*normal),
        Err(_) => name.clone(),
    }
}
