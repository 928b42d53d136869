//! One scheduler's say in who holds a duty.
use crate::message::Word;
use crate::{Millis, Term};

/// What a scheduler has granted of one duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Elector {
    /// Nothing is granted before: what an earlier process of this scheduler granted, and this one has forgotten, is over then.
    silent_until: Millis,
    /// The highest term that was granted or heard of.
    highest: Term,
    /// To whom, and until when by this clock.
    granted: Option<(u16, Term, Millis)>,
}

impl Elector {
    /// One that starts now and keeps silent for as long as a grant that it has forgotten may last.
    pub fn new(now: Millis, grant: Millis) -> Self {
        Elector { silent_until: now + grant, highest: 0, granted: None }
    }

    /// Whether it may grant anything yet.
    pub fn silent(&self, now: Millis) -> bool {
        now < self.silent_until
    }

    /// The highest term that it knows.
    pub fn highest(&self) -> Term {
        self.highest
    }

    /// To whom it is granted now, with its term and how long.
    pub fn granted(&self, now: Millis) -> Option<(u16, Term, Millis)> {
        self.granted.filter(|(.., until)| now < *until).map(|(to, term, until)| (to, term, until - now))
    }

    /// A term that was heard of elsewhere, from whatever the duty acts on.
    pub fn learn(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// Asked for a term; what is answered, if anything is.
    pub fn ask(&mut self, now: Millis, from: u16, ask: u32, term: Term, grant: Millis) -> Option<Word> {
        if self.silent(now) {
            return None;
        }
        let refuse = |left| Some(Word::Refuse { ask, highest: self.highest, left });
        match self.granted(now) {
            // While one holds it nobody else is granted it, whatever its term.
            Some((to, _, left)) if to != from => return refuse(left),
            // A question that was overtaken by a later one of the same.
            Some((_, old, _)) if term < old => return refuse(0),
            Some((_, old, _)) if term == old => {}
            // A new term must be higher than all before it, also for the one who held it last.
            _ if term <= self.highest => return refuse(0),
            _ => {}
        }
        self.highest = term;
        self.granted = Some((from, term, now + grant));
        Some(Word::Grant { ask, term })
    }

    /// Its holder gives it back.
    pub fn release(&mut self, from: u16, term: Term) {
        if self.granted.is_some_and(|(to, old, _)| to == from && old <= term) {
            self.granted = None;
        }
    }
}
