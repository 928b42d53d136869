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
    /// Who was refused since another held it: the question, its term, and when it came. Where the holder gives it back just then, by a
    /// word that was overtaken, that one is granted it after all.
    refused: Option<(u16, u32, Term, Millis)>,
}

impl Elector {
    /// One that starts now and keeps silent for as long as a grant that it has forgotten may last.
    pub fn new(now: Millis, grant: Millis) -> Self {
        Elector { silent_until: now + grant, highest: 0, granted: None, refused: None }
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
            Some((to, _, left)) if to != from => {
                self.refused = Some((from, ask, term, now));
                return refuse(left);
            }
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

    /// One that was refused does not want it any more.
    pub fn withdraw(&mut self, from: u16) {
        self.refused.take_if(|(to, ..)| *to == from);
    }

    /// Its holder gives it back; who gets it at once, if one has asked within `patience`.
    pub fn release(
        &mut self,
        now: Millis,
        from: u16,
        term: Term,
        patience: Millis,
        grant: Millis,
    ) -> Option<(u16, Word)> {
        if !self.granted.is_some_and(|(to, old, _)| to == from && old <= term) {
            return None;
        }
        self.granted = None;
        let (to, ask, wanted, at) = self.refused.take()?;
        let waits = now < at + patience && wanted > self.highest && to != from;
        let word = waits.then(|| self.ask(now, to, ask, wanted, grant)).flatten()?;
        Some((to, word))
    }
}
