//! Singleton roles' place in the engine: their leases by the timers and the members' datagrams, and
//! what the holder of a role does: a call to an address that operators have named, with the term in
//! it.
use crate::timers::Timer;
use crate::{Effect, Engine, MS};
use serde::Serialize;
use spanlead_balancing_policy::Nanos;
use spanlead_singleton_roles::{
    Action, ClockReading, MAX_MESSAGES, RoleConfig, RoleIndex, RoleManager, RoleStats, Term, decode,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// The protocol's number among those that members' datagrams carry.
pub(crate) const ROLES_PROTOCOL: u8 = 1;
/// How long a call may take.
const ROLE_CALL_TIMEOUT: Nanos = 2_000 * MS;
/// The most bytes of an item in a datagram.
const MAX_ITEM_BYTES: usize = 36;
const _: () = assert!(MAX_MESSAGES * MAX_ITEM_BYTES <= spanlead_membership::MAX_PAYLOAD_BYTES);

/// What the holder of a role does: it calls this address, so often.
#[derive(Clone, Debug)]
pub struct RoleTask {
    /// The role's name, the same at all schedulers.
    pub name: String,
    /// The address that is called.
    pub addr: SocketAddr,
    /// The path that is called.
    pub path: Arc<str>,
    /// The span between two calls.
    pub interval: Nanos,
}

/// How the call of a role ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleCallResult {
    /// It was answered yes.
    Done,
    /// Whoever was called knows this later term.
    Fenced(Term),
    /// It could not be reached, or answered something else.
    Failed,
}

/// The roles, and the calls that their holder makes.
pub(crate) struct SingletonRoles {
    leases: RoleManager,
    /// The calls, by the roles' numbers.
    calls: Vec<RoleCalls>,
    maintenance_interval: Nanos,
}

/// The calls of one role.
struct RoleCalls {
    task: RoleTask,
    /// A call is in progress.
    is_calling: bool,
    /// Calls that were made.
    made: u64,
}

/// A role as operators are shown it. Field names are keys of `/ops` JSON.
#[derive(Debug, Serialize)]
pub struct RoleView {
    /// The role's name.
    pub name: String,
    /// Who holds it as far as this scheduler has granted it.
    pub holder: Option<u16>,
    /// The term of its lease.
    pub term: Option<Term>,
    /// `held` by this scheduler, `granted` to another, `vacant`.
    pub state: &'static str,
    /// How long the lease that this scheduler has granted lasts, milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
    /// Calls that this scheduler has made for it.
    pub calls: u64,
    /// The protocol's figures.
    #[serde(flatten)]
    pub stats: RoleStats,
}

/// The time by which the leases of roles are measured. The engine's clock starts at the wall
/// clock's time, so it stands for both.
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
        // Often enough to renew within the time that an answer may take.
        let maintenance_interval = settings.reply_timeout.max(2) / 2 * MS;
        for (role, task) in tasks.iter().enumerate() {
            self.timers.set(now + task.interval, Timer::RoleCall(role));
        }
        let calls = |task| RoleCalls { task, is_calling: false, made: 0 };
        let calls = tasks.into_iter().map(calls).collect();
        let leases = RoleManager::new(settings, &names, now / MS);
        self.roles = Some(SingletonRoles { leases, calls, maintenance_interval });
        self.maintain_role_leases(now, out);
    }

    /// Asks for leases, renews them, and loses them by the time that has passed.
    pub(crate) fn maintain_role_leases(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let Some(membership) = &self.membership else { return };
        let mut messages = Vec::new();
        // One that serves nobody does not ask for roles; what it held it has released.
        roles.leases.set_passive(self.lifecycle.is_closing());
        let serves = |member| membership.members.is_serving(member);
        roles.leases.tick(clock_reading(now), serves, &mut messages);
        self.timers.set(now + roles.maintenance_interval, Timer::RoleLeases);
        self.push_role_effects(messages, out);
    }

    /// Releases all roles.
    pub(crate) fn release_roles(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let mut messages = Vec::new();
        roles.leases.set_passive(true);
        for role in 0..roles.calls.len() {
            roles.leases.release(now / MS, RoleIndex(role), &mut messages);
        }
        self.push_role_effects(messages, out);
    }

    /// Releases a role by its name, if it is held.
    pub(crate) fn release_role(&mut self, now: Nanos, name: &str, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let Some(role) = roles.calls.iter().position(|calls| calls.task.name == name) else { return };
        let mut messages = Vec::new();
        roles.leases.release(now / MS, RoleIndex(role), &mut messages);
        self.push_role_effects(messages, out);
    }

    /// The roles' message of another member.
    pub(crate) fn roles_message(&mut self, now: Nanos, from: u16, bytes: &[u8], out: &mut Vec<Effect>) {
        let (Some(roles), Some(membership)) = (&mut self.roles, &self.membership) else { return };
        let Some(items) = decode(bytes) else { return };
        let mut messages = Vec::new();
        let serves = |member| membership.members.is_serving(member);
        roles.leases.receive(clock_reading(now), from, &items, serves, &mut messages);
        self.push_role_effects(messages, out);
    }

    /// It is time for the call of a role: it is made if the role is held here, at this moment.
    pub(crate) fn call_role(&mut self, now: Nanos, role: usize, out: &mut Vec<Effect>) {
        let Some(roles) = &mut self.roles else { return };
        let Some(calls) = roles.calls.get_mut(role) else { return };
        if let Some(term) =
            roles.leases.term_to_act_under(now / MS, RoleIndex(role)).filter(|_| !calls.is_calling)
        {
            calls.is_calling = true;
            calls.made += 1;
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

    /// The roles as operators are shown them; `None` where there are none.
    pub fn roles_view(&self, now: Nanos) -> Option<Vec<RoleView>> {
        let roles = self.roles.as_ref()?;
        let views = roles.leases.roles().enumerate().map(|(number, (role, stats))| {
            let own_term = roles.leases.term_to_act_under(now / MS, RoleIndex(number));
            let granted = roles.leases.known_grant(now / MS, RoleIndex(number));
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
                calls: roles.calls[number].made,
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
