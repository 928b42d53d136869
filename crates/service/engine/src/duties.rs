//! Duties' place in the reducer: leases by the timers and the members' datagrams, and what the holder of a duty does: a call to an
//! address that operators have named, with the term in it.
use crate::{Effect, Engine, MS, Timer};
use serde::Serialize;
use spanlead_balancing_policy::Nanos;
use spanlead_singleton_roles::{
    Action, ClockReading, MAX_MESSAGES, RoleConfig, RoleIndex, RoleManager, RoleStats, Term, decode,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// The protocol's number among those that members' datagrams carry.
pub(crate) const KIND: u8 = 1;
/// How long a call may take.
const ROLE_CALL_TIMEOUT: Nanos = 2_000 * MS;
const _: () = assert!(MAX_MESSAGES * 36 <= spanlead_membership::MAX_PAYLOAD_BYTES);

/// What the holder of a duty does: it calls this address, so often.
#[derive(Clone, Debug)]
pub struct RoleTask {
    pub name: String,
    pub addr: SocketAddr,
    pub path: Arc<str>,
    pub every: Nanos,
}

/// How the call of a duty ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleCallResult {
    /// It was done.
    Done,
    /// Whatever is called knows this later term.
    Fenced(Term),
    /// It could not be reached, or said something else.
    Failed,
}

/// The duties, and what they are.
pub(crate) struct Held {
    duties: RoleManager,
    /// What they are, in their order.
    work: Vec<Work>,
    every: Nanos,
}

struct Work {
    task: RoleTask,
    /// Its call is out.
    calling: bool,
    /// Calls that were made.
    calls: u64,
}

/// A duty as operators are shown it.
#[derive(Debug, Serialize)]
pub struct RoleView {
    pub name: String,
    /// Who holds it as far as this scheduler has granted it.
    pub holder: Option<u16>,
    pub term: Option<Term>,
    /// `held` by this scheduler, `granted` to another, `vacant`.
    pub state: &'static str,
    pub left_ms: u64,
    /// Calls that this scheduler has made for it.
    pub calls: u64,
    #[serde(flatten)]
    pub figures: RoleStats,
}

/// The time as the leases of duties are measured by. This clock starts at the wall clock's time, so it stands for both.
fn clock_reading(now: Nanos) -> ClockReading {
    ClockReading { monotonic: now / MS, wall: now / MS }
}

impl Engine {
    pub(crate) fn take_duties(
        &mut self,
        now: Nanos,
        settings: RoleConfig,
        tasks: Vec<RoleTask>,
        out: &mut Vec<Effect>,
    ) {
        let names: Vec<String> = tasks.iter().map(|t| t.name.clone()).collect();
        let every = settings.reply_timeout.max(2) / 2 * MS;
        for (at, task) in tasks.iter().enumerate() {
            self.set_timer(now + task.every, Timer::Duty(at));
        }
        let work = tasks.into_iter().map(|task| Work { task, calling: false, calls: 0 }).collect();
        self.duties = Some(Held { duties: RoleManager::new(settings, &names, now / MS), work, every });
        self.tend_duties(now, out);
    }

    /// Asks, renews and loses leases by the time that has passed.
    pub(crate) fn tend_duties(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(held) = &mut self.duties else { return };
        let Some(membership) = &self.membership else { return };
        let mut said = Vec::new();
        // One that serves nobody does not ask for duties; what it held it has given back.
        held.duties.set_passive(self.stopping.is_some() || self.draining.is_some());
        held.duties.tick(clock_reading(now), |n| membership.members.is_serving(n), &mut said);
        let every = held.every;
        self.duty_effects(said, out);
        self.set_timer(now + every, Timer::Duties);
    }

    /// Gives all duties back.
    pub(crate) fn release_duties(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        let Some(held) = &mut self.duties else { return };
        let mut said = Vec::new();
        held.duties.set_passive(true);
        (0..held.work.len()).for_each(|at| held.duties.release(now / MS, RoleIndex(at), &mut said));
        self.duty_effects(said, out);
    }

    /// Gives one back by its name, if it is held.
    pub(crate) fn release_duty(&mut self, now: Nanos, name: &str, out: &mut Vec<Effect>) {
        let Some(held) = &mut self.duties else { return };
        let Some(at) = held.work.iter().position(|w| w.task.name == name) else { return };
        let mut said = Vec::new();
        held.duties.release(now / MS, RoleIndex(at), &mut said);
        self.duty_effects(said, out);
    }

    pub(crate) fn hear_duties(&mut self, now: Nanos, from: u16, bytes: &[u8], out: &mut Vec<Effect>) {
        let (Some(held), Some(membership)) = (&mut self.duties, &self.membership) else { return };
        let Some(items) = decode(bytes) else { return };
        let mut said = Vec::new();
        let serves = |number| membership.members.is_serving(number);
        held.duties.receive(clock_reading(now), from, &items, serves, &mut said);
        self.duty_effects(said, out);
    }

    /// It is time for what a duty does: if it is held here, at this moment.
    pub(crate) fn do_duty(&mut self, now: Nanos, at: usize, out: &mut Vec<Effect>) {
        let Some(held) = &mut self.duties else { return };
        let Some(work) = held.work.get_mut(at) else { return };
        if let Some(term) = held.duties.term_to_act_under(now / MS, RoleIndex(at)).filter(|_| !work.calling) {
            (work.calling, work.calls) = (true, work.calls + 1);
            let (addr, path) = (work.task.addr, work.task.path.clone());
            out.push(Effect::CallRole { role: at, term, addr, path, until: now + ROLE_CALL_TIMEOUT });
        }
        let every = work.task.every;
        self.set_timer(now + every, Timer::Duty(at));
    }

    pub(crate) fn called(&mut self, now: Nanos, at: usize, how: RoleCallResult, out: &mut Vec<Effect>) {
        let Some(held) = &mut self.duties else { return };
        let Some(work) = held.work.get_mut(at) else { return };
        work.calling = false;
        if let RoleCallResult::Fenced(highest) = how {
            let mut said = Vec::new();
            held.duties.fence(now / MS, RoleIndex(at), highest, &mut said);
            self.duty_effects(said, out);
        }
    }

    /// The duties as operators are shown them; `None` where there are none.
    pub fn roles_view(&self, now: Nanos) -> Option<Vec<RoleView>> {
        let held = self.duties.as_ref()?;
        let views = held.duties.roles().enumerate().map(|(at, (duty, figures))| {
            let mine = held.duties.term_to_act_under(now / MS, RoleIndex(at));
            let granted = held.duties.known_grant(now / MS, RoleIndex(at));
            RoleView {
                name: duty.name.clone(),
                holder: granted.map(|grant| grant.holder),
                term: mine.or(granted.map(|grant| grant.term)),
                state: match (mine, granted) {
                    (Some(_), _) => "held",
                    (None, Some(_)) => "granted",
                    (None, None) => "vacant",
                },
                left_ms: granted.map_or(0, |grant| grant.remaining),
                calls: held.work[at].calls,
                figures,
            }
        });
        Some(views.collect())
    }

    fn duty_effects(&mut self, said: Vec<Action>, out: &mut Vec<Effect>) {
        for said in said {
            match said {
                Action::Send { to, payload: bytes } => self.carry(to, KIND, bytes, out),
                Action::LeaseChanged { role: RoleIndex(at), change } => {
                    let name = self.duties.as_ref().and_then(|h| h.work.get(at)).map(|w| w.task.name.clone());
                    out.push(Effect::RoleChanged { name: name.unwrap_or_default(), change });
                }
            }
        }
    }
}
