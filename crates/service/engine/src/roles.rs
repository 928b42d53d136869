//! The integration of singleton roles: maintains their leases by timer and by messages between
//! members, and makes the periodic call of each role that this scheduler holds. The call goes to an
//! address that operators configure and carries the term of the lease.
use crate::timers::Timer;
use crate::{Effect, Engine, MS};
use serde::Serialize;
use spanlead_balancing_policy::Nanos;
use spanlead_singleton_roles::{
    Action, ClockReading, MAX_MESSAGES, RoleConfig, RoleIndex, RoleManager, RoleStats, Term, decode,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// The protocol number of role messages in the datagrams of the membership.
pub(crate) const ROLES_PROTOCOL: u8 = 1;
/// Timeout of a role's call.
const ROLE_CALL_TIMEOUT: Nanos = 2_000 * MS;
/// The maximum encoded size of an item in a datagram, bytes.
const MAX_ITEM_BYTES: usize = 36;
const _: () = assert!(MAX_MESSAGES * MAX_ITEM_BYTES <= spanlead_membership::MAX_PAYLOAD_BYTES);

/// A role and the call that its holder makes periodically.
#[derive(Clone, Debug)]
pub struct RoleTask {
    /// The role's name, the same at all schedulers.
    pub name: String,
    /// The address to call.
    pub addr: SocketAddr,
    /// The path to call.
    pub path: Arc<str>,
    /// The interval between calls.
    pub interval: Nanos,
}

/// The result of a role's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleCallResult {
    /// The callee accepted the call.
    Done,
    /// The callee rejected the call because it knows this later term.
    Fenced(Term),
    /// The callee could not be reached or gave another answer.
    Failed,
}

/// The singleton roles and the calls of their holders.
pub(crate) struct SingletonRoles {
    leases: RoleManager,
    /// The calls, by role number.
    calls: Vec<RoleCalls>,
    maintenance_interval: Nanos,
}

/// The calls of one role.
struct RoleCalls {
    task: RoleTask,
    /// Whether a call is in progress.
    is_calling: bool,
    /// Calls made so far.
    calls_made: u64,
}

/// A role, for operators. The serialised names are keys of `/ops` JSON.
#[derive(Debug, Serialize)]
pub struct RoleView {
    /// The role's name.
    pub name: String,
    /// Member number of the holder to which this scheduler has granted the role.
    pub holder: Option<u16>,
    /// The term of its lease.
    pub term: Option<Term>,
    /// `held` by this scheduler, `granted` to another one, or `vacant`.
    pub state: &'static str,
    /// Remaining time of the lease that this scheduler has granted, milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// Calls that this scheduler has made for the role.
    pub calls: u64,
    /// Statistics of the lease protocol.
    #[serde(flatten)]
    pub stats: RoleStats,
}

/// The clock reading, in milliseconds, for the lease protocol. The engine's clock starts at the
/// wall clock's time, so it serves as both.
fn clock_reading(now: Nanos) -> ClockReading {
    ClockReading { monotonic: now / MS, wall: now / MS }
}

impl Engine {
    pub(crate) fn configure_roles(
        &mut self,
        now: Nanos,
        settings: RoleConfig,
        tasks: Vec<RoleTask>,
        out: &mut Vec<Effect>,
    ) {
        let names: Vec<String> = tasks.iter().map(|task| task.name.clone()).collect();
        // Half the reply timeout, so that the leases are maintained at least once within it.
        let maintenance_interval = settings.reply_timeout.max(2) / 2 * MS;
        for (role, task) in tasks.iter().enumerate() {
            self.timers.set(now + task.interval, Timer::RoleCall(role));
        }
        let calls = |task| RoleCalls { task, is_calling: false, calls_made: 0 };
        let calls = tasks.into_iter().map(calls).collect();
        let leases = RoleManager::new(settings, &names, now / MS);
        self.roles = Some(SingletonRoles { leases, calls, maintenance_interval });
        self.maintain_role_leases(now, out);
    }

    /// Requests, renews and expires the leases on roles.
    pub(crate) fn maintain_role_leases(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let Some(membership) = &self.membership else { return };
        let mut messages = Vec::new();
        // A scheduler that is shutting down or draining does not request roles; it has released
        // those that it held.
        roles.leases.set_passive(self.lifecycle.is_closing());
        let serves = |member| membership.members.is_serving(member);
        roles.leases.tick(clock_reading(now), serves, &mut messages);
        self.timers.set(now + roles.maintenance_interval, Timer::RoleLeases);
        self.push_role_effects(messages, out);
    }

    /// Releases all roles that this scheduler holds and stops requesting them.
    pub(crate) fn release_roles(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let mut messages = Vec::new();
        roles.leases.set_passive(true);
        for role in 0..roles.calls.len() {
            roles.leases.release(now / MS, RoleIndex(role), &mut messages);
        }
        self.push_role_effects(messages, out);
    }

    /// Releases the role of this name, if this scheduler holds it.
    pub(crate) fn release_role(&mut self, now: Nanos, name: &str, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let Some(role) = roles.calls.iter().position(|calls| calls.task.name == name) else { return };
        let mut messages = Vec::new();
        roles.leases.release(now / MS, RoleIndex(role), &mut messages);
        self.push_role_effects(messages, out);
    }

    /// Processes a role message of another member.
    pub(crate) fn roles_message(&mut self, now: Nanos, from: u16, bytes: &[u8], out: &mut Vec<Effect>) {
        let (Some(roles), Some(membership)) = (&mut self.roles, &self.membership) else { return };
        let Some(items) = decode(bytes) else { return };
        let mut messages = Vec::new();
        let serves = |member| membership.members.is_serving(member);
        roles.leases.receive(clock_reading(now), from, &items, serves, &mut messages);
        self.push_role_effects(messages, out);
    }

    /// Makes the periodic call of a role, provided that this scheduler holds the role now and no
    /// call is in progress.
    pub(crate) fn call_role(&mut self, now: Nanos, role: usize, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let Some(calls) = roles.calls.get_mut(role) else { return };
        if let Some(term) = roles.leases.held_term(now / MS, RoleIndex(role)).filter(|_| !calls.is_calling) {
            calls.is_calling = true;
            calls.calls_made += 1;
            let (addr, path) = (calls.task.addr, calls.task.path.clone());
            out.push(Effect::CallRole { role, term, addr, path, until: now + ROLE_CALL_TIMEOUT });
        }
        self.timers.set(now + calls.task.interval, Timer::RoleCall(role));
    }

    pub(crate) fn role_call_finished(
        &mut self,
        now: Nanos,
        role: usize,
        result: RoleCallResult,
        out: &mut Vec<Effect>,
    ) {
        let Some(roles) = &mut self.roles else { return };
        let Some(calls) = roles.calls.get_mut(role) else { return };
        calls.is_calling = false;
        if let RoleCallResult::Fenced(highest_term) = result {
            let mut messages = Vec::new();
            roles.leases.fence(now / MS, RoleIndex(role), highest_term, &mut messages);
            self.push_role_effects(messages, out);
        }
    }

    /// The roles for operators; `None` if none are configured.
    pub fn roles_view(&self, now: Nanos) -> Option<Vec<RoleView>> {
        let roles = self.roles.as_ref()?;
        let views = roles.leases.roles().enumerate().map(|(number, (role, stats))| {
            let own_term = roles.leases.held_term(now / MS, RoleIndex(number));
            let granted = roles.leases.local_grant(now / MS, RoleIndex(number));
            RoleView {
                name: role.name.clone(),
                holder: granted.map(|grant| grant.holder),
                term: own_term.or(granted.map(|grant| grant.term)),
                state: match (own_term, granted) {
                    (Some(_), _) => "held",
                    (None, Some(_)) => "granted",
                    (None, None) => "vacant",
                },
                remaining_ms: granted.map_or(0, |grant| grant.remaining),
                calls: roles.calls[number].calls_made,
                stats,
            }
        });
        Some(views.collect())
    }

    fn push_role_effects(&mut self, messages: Vec<Action>, out: &mut Vec<Effect>) {
        for message in messages {
            match message {
                Action::Send { to, payload: bytes } => self.send_to_member(to, ROLES_PROTOCOL, bytes, out),
                Action::LeaseChanged { role: RoleIndex(role), change } => {
                    let calls = self.roles.as_ref().and_then(|roles| roles.calls.get(role));
                    let name = calls.map(|calls| calls.task.name.clone()).unwrap_or_default();
                    out.push(Effect::RoleChanged { name, change });
                }
            }
        }
    }
}
