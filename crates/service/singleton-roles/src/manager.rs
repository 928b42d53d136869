//! One scheduler's part in all roles: it grants them to others, requests them in its turn, and
//! holds some.
//!
//! - `acquire`: when a lease is requested or renewed, and when a request is given up.
//! - `receive`: what a message changes.
//! - `release`: how a lease ends.
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

/// All roles, as one scheduler has them.
#[derive(Clone, Debug)]
pub struct RoleManager {
    config: RoleConfig,
    /// Requests sent so far; the last one has this number.
    requests_sent: u32,
    roles: Vec<Role>,
    /// The counters of each role, by its index.
    stats: Vec<RoleStats>,
    last_tick: Millis,
    /// This scheduler grants to others and requests nothing.
    passive: bool,
}

/// Of the state that decides; counters don't.
impl Hash for RoleManager {
    fn hash<H: Hasher>(&self, to: &mut H) {
        (&self.config.own_number, &self.requests_sent, &self.roles).hash(to);
    }
}

impl PartialEq for RoleManager {
    fn eq(&self, other: &Self) -> bool {
        (&self.config.own_number, &self.requests_sent, &self.roles)
            == (&other.config.own_number, &other.requests_sent, &other.roles)
    }
}

impl Eq for RoleManager {}

impl RoleManager {
    /// A scheduler that starts now.
    pub fn new(config: RoleConfig, names: &[String], now: Millis) -> Self {
        let grant_duration = config.grant_duration();
        RoleManager {
            requests_sent: 0,
            roles: names.iter().map(|name| Role::new(name, now, grant_duration)).collect(),
            stats: vec![RoleStats::default(); names.len()],
            last_tick: now,
            passive: false,
            config,
        }
    }

    /// All roles with their counters.
    pub fn roles(&self) -> impl Iterator<Item = (&Role, RoleStats)> {
        self.roles.iter().zip(self.stats.iter().copied())
    }

    /// The term under which this scheduler may act in the role now.
    ///
    /// The caller asks at that moment, and passes the term to what it acts on, which rejects an
    /// older one: the process may be suspended between this check and the act.
    pub fn held_term(&self, now: Millis, role: RoleIndex) -> Option<Term> {
        let held = self.roles.get(role.0)?.held;
        held.filter(|lease| now < lease.expires_at).map(|lease| lease.term)
    }

    /// The lease holder by this scheduler's own grant.
    pub fn local_grant(&self, now: Millis, role: RoleIndex) -> Option<Grant> {
        self.roles.get(role.0)?.acceptor.grant(now)
    }

    /// Some time has passed. `is_alive` says whether a scheduler is thought to be alive: that
    /// decides who requests a role first, never whom it is granted to.
    pub fn tick(
        &mut self,
        now: ClockReading,
        is_alive: impl Fn(SchedulerNumber) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let mut outbox = Outbox::default();
        let since_last_tick =
            now.monotonic.saturating_sub(std::mem::replace(&mut self.last_tick, now.monotonic));
        for role in (0..self.roles.len()).map(RoleIndex) {
            self.expire(now.monotonic, role, actions);
            self.track_vacancy(now.monotonic, role, since_last_tick);
            self.cancel_unanswered(now.monotonic, role, &mut outbox);
            if self.should_request(now.monotonic, role, &is_alive) {
                self.request(now, role, &mut outbox, actions);
            }
        }
        outbox.flush(actions);
    }

    /// Makes this scheduler passive, so that it grants to others and requests nothing, or active
    /// again.
    pub fn set_passive(&mut self, passive: bool) {
        self.passive = passive;
    }

    fn track_vacancy(&mut self, now: Millis, role: RoleIndex, since_last_tick: Millis) {
        let this = &mut self.roles[role.0];
        if this.acceptor.grant(now).is_some() {
            this.vacant_since = None;
            return;
        }
        this.vacant_since.get_or_insert(now);
        self.stats[role.0].vacant_ms += since_last_tick;
    }

    fn send(&self, role: RoleIndex, to: SchedulerNumber, body: MessageBody, outbox: &mut Outbox) {
        let role_hash = self.roles[role.0].name_hash;
        outbox.push(to, RoleMessage { role_hash, quorum: self.config.quorum, body });
    }

    fn send_to_others(&self, role: RoleIndex, body: MessageBody, outbox: &mut Outbox) {
        self.config.others().for_each(|to| self.send(role, to, body, outbox));
    }
}
