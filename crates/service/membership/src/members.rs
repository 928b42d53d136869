//! What is known of the members, and what is said to them.
use crate::message::{
    Body, DROPS, Drop, Entry, Frame, MAX_ENTRIES, PROTOCOL, Stage, TYPICAL_ENTRIES, fitting, short,
};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// A heartbeat that is further ahead of the last one than this was never made: at ten a second it is a day.
const PLAUSIBLE: u32 = 1 << 20;
/// Incarnations from here on are refused, so that ours can always go beyond one that is heard of.
const LAST_INCARNATION: u32 = u32::MAX - (1 << 16);
/// Every so many periods one that is counted out is knocked at, so that the sides of a cut find each other again.
const KNOCK_EVERY: u32 = 4;
/// Time by which others are judged goes on by a thousand a period; by a quarter of that at least for one that hears hardly anything.
const PERIOD: u64 = 1000;
const SLOWEST: f64 = 0.25;
/// How much of what is heard in a period counts in the mean.
const MEMORY: f64 = 0.2;
/// The time by which others are judged begins here, so that a heartbeat may be older than the process that hears of it.
const BEGINNING: u64 = 1 << 44;
/// A datagram asks for so many suspects at the most; the rest of it is gossip.
const ASKED: usize = 10;
/// An ending scheduler tells so many members at the most, and each so often.
const FAREWELLS: (usize, usize) = (64, 3);

/// How this scheduler takes part.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its number.
    pub me: u16,
    /// How many schedulers are configured.
    pub count: u16,
    /// Tells tiers apart.
    pub tier: [u8; 4],
    /// Its name.
    pub name: String,
    /// Its program's version.
    pub version: String,
    /// Higher than those of its earlier starts, as far as it knows.
    pub incarnation: u32,
    /// To how many members it sends in each period.
    pub fanout: u16,
    /// The share of datagrams whose loss must not make a live member dead.
    pub loss: f64,
    /// For the choice of whom to send to.
    pub seed: u64,
}

/// How old the newest heartbeat of a member is when it is suspected, and what makes it dead then.
///
/// A heartbeat of a member reaches another with rate `r` a period: `fanout` datagrams that arrive, each of which holds it if all fit, else
/// by chance. It spreads as an epidemic, so that all but one in `1/p` have it after `(2 ln n + ln 1/p) / r` periods. Who suspects a member asks
/// it, and `fanout` others whether they have a newer heartbeat; a question succeeds if neither it nor the answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Periods until it is suspected: one in a thousand checks is wrong.
    pub suspect: u32,
    /// Questions in vain until a suspected one is dead: one suspicion in ten million is wrong, at the loss that is borne.
    pub questions: u32,
    /// Periods until it is dead, where all that can be asked are.
    pub dead: u32,
}

impl Bounds {
    /// For a tier of `count`.
    pub fn of(count: u16, fanout: u16, loss: f64) -> Self {
        let n = f64::from(count.max(2));
        let arrives = (1.0 - loss).clamp(0.05, 1.0);
        let fits = (TYPICAL_ENTRIES as f64 / n).min(1.0);
        let rate = arrives * f64::from(fanout.min(count.saturating_sub(1)).max(1)) * fits;
        let suspect = (2.0 * n.ln() + 1e3_f64.ln()) / rate;
        let questions = 1e7_f64.ln() / -(1.0 - arrives * arrives).max(1e-4).ln();
        let asked = 1.0 + f64::from(fanout.min(count.saturating_sub(2)));
        let dead = suspect.ceil() + (questions / asked).ceil();
        Bounds { suspect: suspect.ceil() as u32, questions: questions.ceil() as u32, dead: dead as u32 }
    }
}

/// What a member is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Nothing was ever heard of it.
    Unheard,
    /// It lives and can't serve yet.
    Starting,
    /// It serves.
    Alive,
    /// It takes nothing new.
    Draining,
    /// Nothing new was heard of it for a while.
    Suspect,
    /// Nothing new was heard of it for so long that it must be dead or cut off.
    Dead,
    /// It has ended in order.
    Left,
}

impl State {
    /// Whether it counts among those that live.
    pub fn lives(self) -> bool {
        matches!(self, State::Starting | State::Alive | State::Draining | State::Suspect)
    }
}

/// A member as this scheduler sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Its number.
    pub number: u16,
    /// Its name, once it was told.
    pub name: Option<String>,
    /// Its program's version, once it was told.
    pub version: Option<String>,
    /// Its start.
    pub incarnation: u32,
    /// What it is taken for.
    pub state: State,
    /// Periods since it is.
    pub since: u64,
}

/// A member is taken for something else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The view that this makes.
    pub view: u64,
    /// Whose state.
    pub number: u16,
    /// Its name, if it was told.
    pub name: Option<String>,
    /// Its start.
    pub incarnation: u32,
    /// What it was taken for.
    pub from: State,
    /// What it is taken for now.
    pub to: State,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send a datagram to this member.
    Send(u16, Vec<u8>),
    /// Tell of a change.
    Changed(Change),
    /// Words of another protocol have come.
    Carried {
        /// Whose.
        from: u16,
        /// Which protocol's.
        kind: u8,
        /// The words.
        bytes: Vec<u8>,
    },
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Figures {
    /// The view: one more with each change of a member's state.
    pub view: u64,
    /// Members that live, this one included.
    pub living: u16,
    /// Members that are suspected now.
    pub suspects: u16,
    /// Members that were suspected, or dead, and were heard of again.
    pub refutations: u64,
    /// Times that others knew a later start of this scheduler than its own.
    pub renewals: u64,
    /// Datagrams and their bytes.
    pub datagrams_out: u64,
    /// See `datagrams_out`.
    pub bytes_out: u64,
    /// Datagrams that were read, and their bytes.
    pub datagrams_in: u64,
    /// See `datagrams_in`.
    pub bytes_in: u64,
    /// Datagrams from addresses that are no peer's, or longer than any may be; counted by whoever holds the socket.
    pub strangers: u64,
    /// Datagrams that were dropped, by reason.
    pub dropped: std::collections::BTreeMap<Drop, u64>,
}

#[derive(Clone, Debug)]
struct Known {
    entry: Option<Entry>,
    /// When its newest heartbeat was made, by [`Members::judging`].
    made: u64,
    /// Questions about it that may have been heard, since it is suspected; in thousandths.
    asked: u64,
    state: State,
    since: u64,
    /// Name and version, of which start.
    told: Option<(u32, String, String)>,
}

/// The members, as one of them sees them.
#[derive(Clone, Debug)]
pub struct Members {
    set: Settings,
    bounds: Bounds,
    rng: ChaCha8Rng,
    incarnation: u32,
    beat: u32,
    stage: Stage,
    /// Periods lived through.
    now: u64,
    /// The time that others are judged by. It goes on by the periods that this process itself lives through, so that one that was
    /// stopped accuses nobody when it wakes; and slower where little is heard, since then it may be this one that is cut off
    /// or not spoken to (local health: Dadgar, Phillips, Currey, "Lifeguard", 2018).
    judging: u64,
    /// How far it goes on in this period, and what a question counts.
    health: u64,
    /// Datagrams heard in this period, and in the mean of the last.
    heard: u32,
    hearing: f64,
    /// Answers that may still be given in this period, so that nobody makes this one send without end.
    answers: u32,
    known: Vec<Known>,
    figures: Figures,
}

impl Members {
    /// A member that knows nothing of the others yet.
    pub fn new(set: Settings) -> Self {
        let unheard = Known { entry: None, made: 0, asked: 0, state: State::Unheard, since: 0, told: None };
        let mut members = Members {
            bounds: Bounds::of(set.count, set.fanout, set.loss),
            rng: ChaCha8Rng::seed_from_u64(set.seed),
            incarnation: set.incarnation.min(LAST_INCARNATION),
            beat: 0,
            stage: Stage::Starting,
            now: 0,
            judging: BEGINNING,
            health: PERIOD,
            heard: 0,
            hearing: 0.0,
            answers: 0,
            known: vec![unheard; usize::from(set.count)],
            figures: Figures::default(),
            set,
        };
        if let Some(me) = members.known.get_mut(usize::from(members.set.me)) {
            me.state = State::Starting;
        }
        members
    }

    /// After how many periods members are suspected, and dead.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// What this scheduler says of itself from now on. It is told with the next heartbeat; the last word at once.
    pub fn say(&mut self, stage: Stage, out: &mut Vec<Out>) {
        if self.stage == stage || self.stage == Stage::Left {
            return;
        }
        self.stage = stage;
        self.beat = self.beat.saturating_add(1);
        let (me, state) = (self.set.me, said(stage));
        self.turn(me, state, out);
        if stage == Stage::Left {
            let mut others = self.others(|k| k.state.lives());
            others.shuffle(&mut self.rng);
            others.truncate(FAREWELLS.0);
            for _ in 0..FAREWELLS.1 {
                for to in &others {
                    self.tell_beats(*to, false, &[], out);
                }
            }
        }
    }

    /// One period has passed.
    pub fn tick(&mut self, out: &mut Vec<Out>) {
        if self.stage == Stage::Left {
            return;
        }
        self.now += 1;
        self.beat = self.beat.saturating_add(1);
        self.answers = 8 + 2 * u32::from(self.set.count);
        self.hearing += MEMORY * (f64::from(std::mem::take(&mut self.heard)) - self.hearing);
        let expected = (1.0 - self.set.loss) * f64::from(self.set.fanout.min(self.set.count - 1).max(1));
        self.health = (PERIOD as f64 * (self.hearing / expected).clamp(SLOWEST, 1.0)) as u64;
        self.judging += self.health;
        for number in 0..self.set.count {
            if number != self.set.me {
                self.judge(number, out);
            }
        }
        // Who is suspected is asked, and those to whom heartbeats are told by chance are asked about them: where one direction to a
        // member is cut, others have newer ones.
        let suspects = self.others(|k| k.state == State::Suspect);
        for to in &suspects {
            self.known[usize::from(*to)].asked += self.health;
            self.tell_beats(*to, true, &[], out);
        }
        let fresh = self.now <= u64::from(self.bounds.dead);
        let living = self.others(|k| k.state.lives() || fresh && k.state == State::Unheard);
        let fanout = usize::from(self.set.fanout);
        let chosen: Vec<u16> = living.choose_multiple(&mut self.rng, fanout).copied().collect();
        for to in chosen.into_iter().filter(|to| !suspects.contains(to)) {
            let about: Vec<u16> = suspects.choose_multiple(&mut self.rng, ASKED).copied().collect();
            for number in &about {
                self.known[usize::from(*number)].asked += self.health;
            }
            self.tell_beats(to, !about.is_empty(), &about, out);
        }
        if self.rng.random_ratio(1, KNOCK_EVERY) {
            let gone = self.others(|k| !k.state.lives());
            if let Some(to) = gone.choose(&mut self.rng) {
                self.tell_beats(*to, true, &[], out);
            }
        }
        // One whose name was not told of its present start.
        let nameless = self.others(|k| {
            k.state.lives() && k.told.as_ref().map(|(of, ..)| *of) != k.entry.map(|e| e.incarnation)
        });
        if let Some(to) = nameless.choose(&mut self.rng) {
            self.tell_hello(*to, true, out);
        }
    }

    /// A datagram has come from the address of member `from`.
    pub fn hear(&mut self, from: u16, bytes: &[u8], out: &mut Vec<Out>) {
        self.figures.datagrams_in += 1;
        self.figures.bytes_in += bytes.len() as u64;
        if let Err(reason) = self.read(from, bytes, out) {
            self.count(reason);
        }
    }

    /// Sends another protocol's words, at most [`MAX_CARRIED`](crate::MAX_CARRIED) bytes.
    pub fn carry(&mut self, to: u16, kind: u8, bytes: Vec<u8>, out: &mut Vec<Out>) {
        self.send(to, Body::Carried { kind, bytes }, out);
    }

    /// Whether this member serves, as far as is known.
    pub fn serves(&self, number: u16) -> bool {
        self.known.get(usize::from(number)).is_some_and(|k| k.state == State::Alive)
    }

    /// A datagram was dropped before it came here: nobody's, or too long.
    pub fn count(&mut self, reason: Drop) {
        *self.figures.dropped.entry(reason).or_default() += 1;
    }

    /// All members, by number.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.known.iter().enumerate().map(|(number, known)| {
            let me = number == usize::from(self.set.me);
            let incarnation = known.entry.map_or(0, |e| e.incarnation);
            let told = known.told.as_ref().filter(|(of, ..)| *of == incarnation);
            let (name, version) = match (me, told) {
                (true, _) => (Some(self.set.name.clone()), Some(self.set.version.clone())),
                (_, Some((_, name, version))) => (Some(name.clone()), Some(version.clone())),
                _ => (None, None),
            };
            Member {
                number: number as u16,
                name,
                version,
                incarnation: if me { self.incarnation } else { incarnation },
                state: known.state,
                since: self.now - known.since.min(self.now),
            }
        })
    }

    /// The view's version and the other counts.
    pub fn figures(&self) -> Figures {
        let mut figures = self.figures.clone();
        figures.living = self.known.iter().filter(|k| k.state.lives()).count() as u16;
        figures.suspects = self.known.iter().filter(|k| k.state == State::Suspect).count() as u16;
        for reason in DROPS {
            figures.dropped.entry(reason).or_default();
        }
        figures
    }

    /// This scheduler's number.
    pub fn me(&self) -> u16 {
        self.set.me
    }

    fn others(&self, wanted: impl Fn(&Known) -> bool) -> Vec<u16> {
        let me = self.set.me;
        (0..self.set.count).filter(|n| *n != me && wanted(&self.known[usize::from(*n)])).collect()
    }

    // ------------------------------------------------------------ what is said

    fn own(&self) -> Entry {
        Entry {
            number: self.set.me,
            incarnation: self.incarnation,
            beat: self.beat,
            age: 0,
            stage: self.stage,
        }
    }

    /// The newest heartbeat of a member, as it is passed on.
    fn entry(&self, number: u16) -> Option<Entry> {
        let known = &self.known[usize::from(number)];
        let age = (self.judging - known.made) / PERIOD;
        known.entry.map(|e| Entry { age: u32::try_from(age).unwrap_or(u32::MAX), ..e })
    }

    /// Heartbeats: ours, those that `first` names, and others' that may be new to whoever hears them. What has gone stale is not passed
    /// on but in questions: it would make one that has just started take a dead member for a live one.
    fn tell_beats(&mut self, to: u16, ask: bool, first: &[u16], out: &mut Vec<Out>) {
        let stale = u64::from(self.bounds.suspect) * PERIOD;
        let fresh = self.others(|k| {
            k.entry.is_some_and(|e| e.stage == Stage::Left)
                || self.judging - k.made < stale && k.state.lives()
        });
        let chosen: Vec<u16> = fresh.choose_multiple(&mut self.rng, MAX_ENTRIES).copied().collect();
        let others = chosen.iter().filter(|n| **n != to && !first.contains(n));
        let others = first.iter().chain(others).filter_map(|n| self.entry(*n));
        // What is known of the other itself, however old: one that has started again under a clock that went back learns that
        // its heartbeats pass for old ones.
        let theirs = self.entry(to);
        let entries = fitting(std::iter::once(self.own()).chain(theirs).chain(others));
        self.send(to, Body::Beats { ask, entries }, out);
    }

    fn tell_hello(&mut self, to: u16, ask: bool, out: &mut Vec<Out>) {
        let (name, version) = (short(&self.set.name), short(&self.set.version));
        self.send(to, Body::Hello { ask, incarnation: self.incarnation, name, version }, out);
    }

    fn send(&mut self, to: u16, body: Body, out: &mut Vec<Out>) {
        let frame = Frame { protocol: PROTOCOL, tier: self.set.tier, from: self.set.me, to, body };
        let bytes = frame.encode();
        self.figures.datagrams_out += 1;
        self.figures.bytes_out += bytes.len() as u64;
        out.push(Out::Send(to, bytes));
    }

    // ------------------------------------------------------------ what is heard

    fn read(&mut self, from: u16, bytes: &[u8], out: &mut Vec<Out>) -> Result<(), Drop> {
        let frame = Frame::decode(bytes)?;
        if frame.tier != self.set.tier {
            return Err(Drop::Tier);
        }
        if frame.from != from || frame.to != self.set.me || from == self.set.me {
            return Err(Drop::Misled);
        }
        if from >= self.set.count {
            return Err(Drop::Absurd);
        }
        self.heard += 1;
        match frame.body {
            Body::Beats { ask, entries } => {
                // All or nothing: one entry that can't be says what the others are worth.
                if entries.len() > MAX_ENTRIES || !entries.iter().all(|e| self.plausible(e)) {
                    return Err(Drop::Absurd);
                }
                let newer = |e: &Entry| {
                    let known = self.known[usize::from(e.number)].entry;
                    e.number != from && known.is_some_and(|k| k.newer_than(e))
                };
                let wanted: Vec<u16> = entries.iter().filter(|e| newer(e)).map(|e| e.number).collect();
                entries.into_iter().for_each(|entry| self.learn(entry, out));
                if ask && self.may_answer() {
                    self.tell_beats(from, false, &wanted, out);
                }
            }
            Body::Carried { kind, bytes } => out.push(Out::Carried { from, kind, bytes }),
            Body::Hello { ask, incarnation, name, version } => {
                let known = &mut self.known[usize::from(from)];
                // One of an earlier start, come late, says nothing of this one.
                if known.told.as_ref().is_none_or(|(of, ..)| *of <= incarnation) {
                    known.told = Some((incarnation, short(&name), short(&version)));
                }
                if ask && self.may_answer() {
                    self.tell_hello(from, false, out);
                }
            }
        }
        Ok(())
    }

    fn may_answer(&mut self) -> bool {
        let may = self.answers > 0 && self.stage != Stage::Left;
        self.answers = self.answers.saturating_sub(1);
        may
    }

    fn plausible(&self, entry: &Entry) -> bool {
        let Some(known) = self.known.get(usize::from(entry.number)) else { return false };
        let last = known.entry.filter(|e| e.incarnation == entry.incarnation).map_or(entry.beat, |e| e.beat);
        entry.incarnation < LAST_INCARNATION && entry.beat <= last.saturating_add(PLAUSIBLE)
    }

    fn learn(&mut self, entry: Entry, out: &mut Vec<Out>) {
        if entry.number == self.set.me {
            // Others know of a later start of ours: the clock that ours was numbered by has gone back, or two started as
            // one. Our heartbeats would pass for old ones.
            let later = entry.newer_than(&self.own());
            if later && self.stage != Stage::Left {
                self.incarnation = entry.incarnation + 1;
                self.figures.renewals += 1;
            }
            return;
        }
        // Stale words say nothing of who lives now. That one has left stays true.
        if entry.age > self.bounds.suspect && entry.stage != Stage::Left {
            return;
        }
        let made = self.judging - u64::from(entry.age) * PERIOD;
        let known = &mut self.known[usize::from(entry.number)];
        let newer = known.entry.is_none_or(|old| entry.newer_than(&old));
        // What has left comes back by a new start only.
        let gone = known.entry.is_some_and(|old| {
            old.incarnation == entry.incarnation && old.stage == Stage::Left && entry.stage != Stage::Left
        });
        if !newer || gone {
            return;
        }
        (known.entry, known.made, known.asked) = (Some(entry), made.max(known.made), 0);
        if matches!(known.state, State::Suspect | State::Dead) {
            self.figures.refutations += 1;
        }
        self.turn(entry.number, said(entry.stage), out);
    }

    fn judge(&mut self, number: u16, out: &mut Vec<Out>) {
        let known = &self.known[usize::from(number)];
        let silent = (self.judging - known.made) / PERIOD;
        if known.entry.is_none() || !known.state.lives() || silent <= u64::from(self.bounds.suspect) {
            return;
        }
        let in_vain = known.asked >= u64::from(self.bounds.questions) * PERIOD;
        let state = if known.state == State::Suspect && in_vain { State::Dead } else { State::Suspect };
        self.turn(number, state, out);
    }

    fn turn(&mut self, number: u16, to: State, out: &mut Vec<Out>) {
        let me = number == self.set.me;
        let known = &mut self.known[usize::from(number)];
        let from = known.state;
        if from == to {
            return;
        }
        (known.state, known.since) = (to, self.now);
        self.figures.view += 1;
        let incarnation = if me { self.incarnation } else { known.entry.map_or(0, |e| e.incarnation) };
        let told = known.told.as_ref().filter(|(of, ..)| *of == incarnation);
        let name = if me { Some(self.set.name.clone()) } else { told.map(|(_, name, _)| name.clone()) };
        out.push(Out::Changed(Change { view: self.figures.view, number, name, incarnation, from, to }));
    }
}

/// What a member is taken for by its own word.
fn said(stage: Stage) -> State {
    match stage {
        Stage::Starting => State::Starting,
        Stage::Serving => State::Alive,
        Stage::Draining => State::Draining,
        Stage::Left => State::Left,
    }
}
