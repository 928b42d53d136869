//! The role manager of one scheduler: it grants leases to other schedulers, and requests, renews
//! and releases the scheduler's own leases.
//!
//! - `acquire`: requests and renews leases, and cancels requests that fail.
//! - `receive`: processes messages of other schedulers.
//! - `release`: ends leases.
mod acquire;
mod receive;
mod release;

use crate::acceptor::Grant;
use crate::config::RoleConfig;
use crate::message::{MessageBody, RoleMessage, Term};
use crate::outbox::{Action, Outbox};
use crate::quorum::SchedulerNumber;
use crate::role::{Role, RoleIndex, RoleStats};
use crate::time::{ClockReading, Millis};
use std::hash::{Hash, Hasher};

/// The state of all roles in the view of one scheduler.
#[derive(Clone, Debug)]
pub struct RoleManager {
    config: RoleConfig,
    /// The number of requests sent so far, which is also the number of the last request.
    requests_sent: u32,
    roles: Vec<Role>,
    /// The counters of each role, by its index.
    stats: Vec<RoleStats>,
    last_tick: Millis,
    /// Whether this scheduler only grants leases to others and requests none.
    is_passive: bool,
}

/// Hashes the scheduler's number, its request counter and the state of its roles. The rest of the
/// configuration, the counters, the time of the last tick and the passive flag are left out.
impl Hash for RoleManager {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.config.own_number, &self.requests_sent, &self.roles).hash(state);
    }
}

/// Compares the same state as the hash.
impl PartialEq for RoleManager {
    fn eq(&self, other: &Self) -> bool {
        (&self.config.own_number, &self.requests_sent, &self.roles)
            == (&other.config.own_number, &other.requests_sent, &other.roles)
    }
}

impl Eq for RoleManager {}

impl RoleManager {
    /// Creates the role manager of a scheduler that starts at `now`, with the names of its roles.
    pub fn new(config: RoleConfig, names: &[String], now: Millis) -> Self {
        let grant_duration = config.grant_duration();
        RoleManager {
            requests_sent: 0,
            roles: names.iter().map(|name| Role::new(name, now, grant_duration)).collect(),
            stats: vec![RoleStats::default(); names.len()],
            last_tick: now,
            is_passive: false,
            config,
        }
    }

    /// The roles, by index, with their counters.
    pub fn roles(&self) -> impl Iterator<Item = (&Role, RoleStats)> {
        self.roles.iter().zip(self.stats.iter().copied())
    }

    /// The term of this scheduler's unexpired lease on the role, under which it may act now.
    ///
    /// The caller reads it immediately before it acts, and passes the term on to the resource that
    /// it acts on. That resource rejects an older term, since the process may be suspended between
    /// this check and the act.
    pub fn held_term(&self, now: Millis, role: RoleIndex) -> Option<Term> {
        let held = self.roles.get(role.0)?.held;
        held.filter(|lease| now < lease.expires_at).map(|lease| lease.term)
    }

    /// The unexpired grant of this scheduler's own acceptor for the role. It names the lease holder
    /// that this scheduler knows of.
    pub fn local_grant(&self, now: Millis, role: RoleIndex) -> Option<Grant> {
        self.roles.get(role.0)?.acceptor.grant(now)
    }

    /// Expires, requests and renews leases, as is due at `now`. `is_alive` tells whether a
    /// scheduler is believed to be alive: this decides which scheduler requests a role first, but
    /// never to which one it is granted.
    pub fn tick(
        &mut self,
        now: ClockReading,
        is_alive: impl Fn(SchedulerNumber) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let mut outbox = Outbox::default();
        let elapsed = now.monotonic.saturating_sub(std::mem::replace(&mut self.last_tick, now.monotonic));
        for role in (0..self.roles.len()).map(RoleIndex) {
            self.expire_lease(now.monotonic, role, actions);
            self.track_vacancy(now.monotonic, role, elapsed);
            self.cancel_timed_out_request(now.monotonic, role, &mut outbox);
            if self.should_request(now.monotonic, role, &is_alive) {
                self.request(now, role, &mut outbox, actions);
            }
        }
        outbox.flush(actions);
    }

    /// Makes this scheduler passive, so that it only grants leases to others and requests none, or
    /// active again.
    pub fn set_passive(&mut self, is_passive: bool) {
        self.is_passive = is_passive;
    }

    /// Updates the start of the role's vacancy and the counter of the vacant time.
    fn track_vacancy(&mut self, now: Millis, role: RoleIndex, elapsed: Millis) {
        let role_state = &mut self.roles[role.0];
        if role_state.acceptor.grant(now).is_some() {
            role_state.vacant_since = None;
            return;
        }
        role_state.vacant_since.get_or_insert(now);
        self.stats[role.0].vacant_ms += elapsed;
    }

    fn send(&self, role: RoleIndex, to: SchedulerNumber, body: MessageBody, outbox: &mut Outbox) {
        let role_hash = self.roles[role.0].name_hash;
        outbox.push(to, RoleMessage { role_hash, quorum: self.config.quorum, body });
    }

    fn send_to_others(&self, role: RoleIndex, body: MessageBody, outbox: &mut Outbox) {
        self.config.other_schedulers().for_each(|to| self.send(role, to, body, outbox));
    }
}
