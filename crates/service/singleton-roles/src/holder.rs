//! One scheduler's part in all duties: it grants them to others, asks for them in its turn, holds some.
use crate::elector::Elector;
use crate::message::{Item, MAX_ITEMS, Sets, Word, encode};
use crate::{Millis, Term};
use serde::Serialize;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How duties are held.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This scheduler's number.
    pub me: u16,
    /// How many are configured, and the other set while they are changed; a majority of each grants.
    pub sets: Sets,
    /// How long a lease lasts.
    pub lease: Millis,
    /// By how much an elector's grant outlasts the lease: clocks that run at different rates for a lease's time.
    pub bound: Millis,
    /// How long an answer may take.
    pub patience: Millis,
    /// For the choice of when to ask.
    pub seed: u64,
}

impl Settings {
    /// How long an elector's grant lasts.
    fn grant(&self) -> Millis {
        self.lease + self.bound
    }

    /// All other schedulers.
    fn others(&self) -> impl Iterator<Item = u16> + use<> {
        let me = self.me;
        (0..self.sets.count).filter(move |n| *n != me)
    }
}

/// Why a duty was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A majority did not go on granting it in time.
    Expired,
    /// It was given back.
    Released,
    /// What it acts on knows a later term.
    Fenced,
}

/// A duty has changed hands here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is held here from now on.
    Took(Term),
    /// It is not any more.
    Lost(Term, Reason),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    /// Send words to this scheduler.
    Send(u16, Vec<u8>),
    /// This duty, by its place, has changed hands.
    Changed(usize, Change),
}

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// Its term.
    pub term: Term,
    /// Until when by this clock, if it isn't renewed.
    pub until: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    number: u32,
    term: Term,
    /// When it was asked: the lease counts from then.
    at: Millis,
    granted: Vec<u16>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Figures {
    /// Terms that began here.
    pub terms: u64,
    /// Times that a lease held here was renewed.
    pub renewals: u64,
    /// Times that a term held here was refused by what it acted on.
    pub fenced: u64,
    /// Milliseconds in which nobody was known to hold it.
    pub vacant_ms: u64,
}

/// One duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Duty {
    /// Its name.
    pub name: String,
    hash: u32,
    elector: Elector,
    held: Option<Held>,
    question: Option<Question>,
    /// Not asked for before.
    not_before: Millis,
    /// Nobody has held it since, as far as is known here.
    vacant: Option<Millis>,
    /// Who has just given it back, and until when it is another's turn.
    passed: Option<(u16, Millis)>,
}

impl Duty {
    /// Whether a lease of it is held here, over or not.
    pub fn holds(&self) -> bool {
        self.held.is_some()
    }
}

/// All duties, as one scheduler has them.
#[derive(Clone, Debug)]
pub struct Duties {
    set: Settings,
    questions: u32,
    duties: Vec<Duty>,
    figures: Vec<Figures>,
    last_tick: Millis,
    /// It grants to others and asks for nothing.
    resting: bool,
}

/// By what decides: counts don't.
impl Hash for Duties {
    fn hash<H: Hasher>(&self, to: &mut H) {
        (&self.set.me, &self.questions, &self.duties).hash(to);
    }
}

impl PartialEq for Duties {
    fn eq(&self, other: &Self) -> bool {
        (&self.set.me, &self.questions, &self.duties) == (&other.set.me, &other.questions, &other.duties)
    }
}

impl Eq for Duties {}

impl Duties {
    /// A scheduler that starts now.
    pub fn new(set: Settings, names: &[String], now: Millis) -> Self {
        let duty = |name: &String| Duty {
            name: name.clone(),
            hash: xxh3_64(name.as_bytes()) as u32,
            elector: Elector::new(now, set.grant()),
            held: None,
            question: None,
            not_before: 0,
            vacant: Some(now),
            passed: None,
        };
        Duties {
            questions: 0,
            duties: names.iter().map(duty).collect(),
            figures: vec![Figures::default(); names.len()],
            last_tick: now,
            resting: false,
            set,
        }
    }

    /// All duties, with what was counted.
    pub fn duties(&self) -> impl Iterator<Item = (&Duty, Figures)> {
        self.duties.iter().zip(self.figures.iter().copied())
    }

    /// The term under which this duty may be acted for now. Whoever acts asks at that moment, and tells the term to what is
    /// acted on, which refuses an older one: a process may stop between this and the act.
    pub fn may_act(&self, now: Millis, duty: usize) -> Option<Term> {
        self.duties.get(duty)?.held.filter(|h| now < h.until).map(|h| h.term)
    }

    /// Who holds it by this scheduler's own grant, the term, and how long that lasts.
    pub fn holder(&self, now: Millis, duty: usize) -> Option<(u16, Term, Millis)> {
        self.duties.get(duty)?.elector.granted(now)
    }

    /// Some time has passed; `wall` is the time of day, which only lifts the first term above those of processes that all have
    /// forgotten. `lives` says whether a scheduler is thought alive: it decides who asks first, never who is granted.
    pub fn tick(&mut self, now: Millis, wall: Millis, lives: impl Fn(u16) -> bool, out: &mut Vec<Out>) {
        let mut words = BTreeMap::new();
        let passed = now.saturating_sub(std::mem::replace(&mut self.last_tick, now));
        for at in 0..self.duties.len() {
            self.expire(now, at, out);
            let duty = &mut self.duties[at];
            if duty.elector.granted(now).is_none() {
                self.figures[at].vacant_ms += passed;
                duty.vacant.get_or_insert(now);
            } else {
                duty.vacant = None;
            }
            self.withdraw(now, at, &mut words);
            if self.wants(now, at, &lives) {
                self.ask(now, wall, at, &mut words, out);
            }
        }
        send(words, out);
    }

    /// Words have come from another.
    pub fn hear(
        &mut self,
        now: Millis,
        wall: Millis,
        from: u16,
        items: &[Item],
        lives: impl Fn(u16) -> bool,
        out: &mut Vec<Out>,
    ) {
        let mut words = BTreeMap::new();
        for item in items {
            // One that goes by other sets may have a majority that meets none of ours: two would hold it.
            if !item.sets.meet(self.set.sets) || from >= self.set.sets.count || from == self.set.me {
                continue;
            }
            let Some(at) = self.duties.iter().position(|d| d.hash == item.duty) else { continue };
            self.hear_one(now, at, from, item.word, &mut words, out);
            // Handed on at once, not at the next tick.
            if matches!(item.word, Word::Release { .. }) && self.wants(now, at, &lives) {
                self.ask(now, wall, at, &mut words, out);
            }
        }
        send(words, out);
    }

    /// Grants to others and asks for nothing from now on, or asks again.
    pub fn rest(&mut self, resting: bool) {
        self.resting = resting;
    }

    /// Gives a duty back; the next one may ask for it at once.
    pub fn release(&mut self, now: Millis, at: usize, out: &mut Vec<Out>) {
        self.lose(now, at, Reason::Released, out);
    }

    /// What it acts on knows this later term: this one's is over, whatever the electors say.
    pub fn fenced(&mut self, now: Millis, at: usize, highest: Term, out: &mut Vec<Out>) {
        let Some(duty) = self.duties.get_mut(at) else { return };
        duty.elector.learn(highest);
        self.figures[at].fenced += 1;
        if duty.held.is_some_and(|h| h.term < highest) {
            self.lose(now, at, Reason::Fenced, out);
        }
    }

    // ------------------------------------------------------------ asking

    /// Whether it is time to ask: for more of what is held, or in its turn for what nobody holds.
    fn wants(&mut self, now: Millis, at: usize, lives: &impl Fn(u16) -> bool) -> bool {
        let (set, duty) = (&self.set, &self.duties[at]);
        if self.resting {
            return false;
        }
        let waits = duty.question.as_ref().is_some_and(|q| now < q.at + set.patience);
        if waits || now < duty.not_before || duty.elector.silent(now) {
            return false;
        }
        match duty.held {
            // A third of the lease is left for questions that get lost.
            Some(held) => now + set.lease * 2 / 3 >= held.until,
            // The first choice may be one that can't ask: just started, or gone and not yet known to be. So the others follow.
            None => {
                let vacant = self.duties[at].vacant.unwrap_or(now);
                let turn = vacant + self.rank(now, at, lives) * self.set.patience;
                self.duties[at].elector.granted(now).is_none() && now >= turn
            }
        }
    }

    /// How many of those who live should hold it rather than this one: by rendezvous hashing, so that duties are spread and few move
    /// when one goes.
    fn rank(&self, now: Millis, at: usize, lives: &impl Fn(u16) -> bool) -> u64 {
        let weight = |n: &u16| (xxh3_64_with_seed(&n.to_le_bytes(), self.duties[at].hash.into()), *n);
        let me = self.set.me;
        let passed = self.duties[at].passed.filter(|(_, until)| now < *until).map(|(who, _)| who);
        let may = |n: &u16| (*n == me || lives(*n)) && passed != Some(*n);
        (0..self.set.sets.count).filter(may).filter(|n| weight(n) > weight(&me)).count() as u64
    }

    /// A span to wait, other than that of those who asked at the same time.
    fn pause(&self) -> Millis {
        let drawn = xxh3_64_with_seed(&self.questions.to_le_bytes(), self.set.seed);
        self.set.patience + drawn % (2 * self.set.patience + 1)
    }

    /// A question that was not answered well in time: what was granted of it is given back. Two that each have some of the others would
    /// keep it from each other, and from everyone, for a lease.
    fn withdraw(&mut self, now: Millis, at: usize, words: &mut Words) {
        let (pause, patience) = (self.pause(), self.set.patience);
        let duty = &mut self.duties[at];
        let over = |q: &mut Question| duty.held.is_none() && now >= q.at + patience;
        let Some(Question { term, .. }) = duty.question.take_if(over) else { return };
        duty.not_before = duty.not_before.max(now + pause);
        self.tell_others(at, Word::Withdraw { term }, words);
        self.free(now, at, self.set.me, term, words);
    }

    /// What this elector has granted of that term is over; it goes to the one that it has just refused, if there is one.
    fn free(&mut self, now: Millis, at: usize, from: u16, term: Term, words: &mut Words) {
        let (patience, grant) = (self.set.patience, self.set.grant());
        if let Some((to, word)) = self.duties[at].elector.release(now, from, term, patience, grant) {
            self.tell(at, to, word, words);
        }
    }

    fn tell(&self, at: usize, to: u16, word: Word, words: &mut Words) {
        let item = Item { duty: self.duties[at].hash, sets: self.set.sets, word };
        words.entry(to).or_default().push(item);
    }

    fn tell_others(&self, at: usize, word: Word, words: &mut Words) {
        self.set.others().for_each(|to| self.tell(at, to, word, words));
    }

    fn ask(&mut self, now: Millis, wall: Millis, at: usize, words: &mut Words, out: &mut Vec<Out>) {
        self.questions += 1;
        let (number, me, grant) = (self.questions, self.set.me, self.set.grant());
        let duty = &mut self.duties[at];
        // One that holds it goes on under its term, unless an elector has heard of a higher one in vain: it would never grant this one
        // again.
        let next = duty.elector.highest() + 1;
        let term = duty.held.map_or(next.max(wall), |h| if next > h.term + 1 { next } else { h.term });
        duty.question = Some(Question { number, term, at: now, granted: Vec::new() });
        let own = duty.elector.ask(now, me, number, term, grant);
        self.tell_others(at, Word::Ask { ask: number, term }, words);
        if let Some(word) = own {
            self.answered(now, at, me, word, out);
        }
    }

    fn answered(&mut self, now: Millis, at: usize, from: u16, word: Word, out: &mut Vec<Out>) {
        let (sets, lease) = (self.set.sets, self.set.lease);
        let duty = &mut self.duties[at];
        match word {
            Word::Grant { ask, term } => {
                let Some(question) = duty.question.as_mut().filter(|q| q.number == ask && q.term == term)
                else {
                    return;
                };
                if !question.granted.contains(&from) {
                    question.granted.push(from);
                }
                if !sets.majority(&question.granted) {
                    return;
                }
                let until = question.at + lease;
                duty.question = None;
                // Answers that came too late are worth nothing: the grants may be over.
                if now >= until {
                    return;
                }
                let before = duty.held.replace(Held { term, until });
                if before.is_some_and(|h| h.term == term) {
                    self.figures[at].renewals += 1;
                } else {
                    self.figures[at].terms += 1;
                    out.push(Out::Changed(at, Change::Took(term)));
                }
            }
            Word::Refuse { ask, highest, left } => {
                duty.elector.learn(highest);
                if duty.question.as_ref().is_some_and(|q| q.number == ask) && duty.held.is_none() {
                    // Another has it; should it be given back before, that is heard of.
                    duty.not_before = duty.not_before.max(now + left.min(lease));
                }
            }
            Word::Ask { .. } | Word::Withdraw { .. } | Word::Release { .. } => {}
        }
    }

    fn hear_one(
        &mut self,
        now: Millis,
        at: usize,
        from: u16,
        word: Word,
        words: &mut Words,
        out: &mut Vec<Out>,
    ) {
        match word {
            Word::Ask { ask, term } => {
                let grant = self.set.grant();
                if let Some(word) = self.duties[at].elector.ask(now, from, ask, term, grant) {
                    self.tell(at, from, word, words);
                }
            }
            Word::Withdraw { term } => {
                self.free(now, at, from, term, words);
                let pause = self.pause();
                let duty = &mut self.duties[at];
                duty.elector.withdraw(from);
                duty.not_before = duty.not_before.min(now + pause);
            }
            Word::Release { term } => {
                self.free(now, at, from, term, words);
                let duty = &mut self.duties[at];
                duty.not_before = duty.not_before.min(now);
                duty.passed = Some((from, now + self.set.lease));
                duty.vacant = Some(now);
            }
            Word::Grant { .. } | Word::Refuse { .. } => self.answered(now, at, from, word, out),
        }
    }

    // ------------------------------------------------------------ losing

    fn expire(&mut self, now: Millis, at: usize, out: &mut Vec<Out>) {
        if let Some(held) = self.duties[at].held.filter(|h| now >= h.until) {
            self.duties[at].held = None;
            out.push(Out::Changed(at, Change::Lost(held.term, Reason::Expired)));
        }
    }

    fn lose(&mut self, now: Millis, at: usize, why: Reason, out: &mut Vec<Out>) {
        let Some(duty) = self.duties.get_mut(at) else { return };
        let Some(held) = duty.held.take() else { return };
        out.push(Out::Changed(at, Change::Lost(held.term, why)));
        duty.question = None;
        // Who gives it back does not take it again before the others had their turn.
        duty.not_before = now + self.set.lease;
        duty.passed = Some((self.set.me, now + self.set.lease));
        let mut words = Words::new();
        self.tell_others(at, Word::Release { term: held.term }, &mut words);
        self.free(now, at, self.set.me, held.term, &mut words);
        send(words, out);
    }
}

/// What is to be said, by whom it is for.
type Words = BTreeMap<u16, Vec<Item>>;

fn send(words: Words, out: &mut Vec<Out>) {
    for (to, items) in words {
        out.extend(items.chunks(MAX_ITEMS).map(|part| Out::Send(to, encode(part))));
    }
}
