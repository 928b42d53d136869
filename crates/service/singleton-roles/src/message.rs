//! What schedulers say to each other of duties: a few words, several in one datagram.
use crate::{Millis, Term};
use serde::{Deserialize, Serialize};

/// More words than these are in no datagram: with the longest figures they take less than the 200 bytes that one carries.
pub const MAX_ITEMS: usize = 5;

/// Terms from here on are not believed: one that is, could not be followed by any.
pub const LAST_TERM: Term = 1 << 60;

/// The sets of schedulers whose majorities grant a duty: the first so many by number; while the set is changed, of both sets (joint
/// consensus: Ongaro, "Consensus: Bridging Theory and Practice", 2014, 4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
pub struct Sets {
    /// All schedulers that are configured.
    pub count: u16,
    /// How many the set had that this one is changed from, or will have that it is changed to; 0 where it isn't.
    pub joint: u16,
}

impl Sets {
    /// One set of so many.
    pub fn of(count: u16) -> Self {
        Sets { count, joint: 0 }
    }

    fn sizes(self) -> impl Iterator<Item = u16> {
        [self.count, self.joint].into_iter().filter(|n| *n > 0)
    }

    /// Whether those who granted are a majority of each set.
    pub fn majority(self, granted: &[u16]) -> bool {
        self.sizes().all(|size| granted.iter().filter(|n| **n < size).count() > usize::from(size / 2))
    }

    /// Whether each majority of these and each of the others' have a scheduler in common: they do where a set is in both.
    pub fn meet(self, others: Sets) -> bool {
        self.sizes().any(|size| others.sizes().any(|other| size == other))
    }
}

/// A word on one duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct Item {
    /// Which, by the hash of its name: names needn't come in the same order everywhere.
    pub duty: u32,
    /// The sets whose majorities the sender goes by.
    pub sets: Sets,
    /// What is said of it.
    pub word: Word,
}

/// What is said of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum Word {
    /// Grant me this term, or go on granting it. `ask` is repeated in the answer.
    Ask {
        /// Which of the sender's questions.
        ask: u32,
        /// Its term.
        term: Term,
    },
    /// It is yours for a lease, from when you asked.
    Grant {
        /// The question.
        ask: u32,
        /// Its term.
        term: Term,
    },
    /// It is another's, or that term is too low.
    Refuse {
        /// The question.
        ask: u32,
        /// The highest term known here.
        highest: Term,
        /// How long the other's grant lasts here.
        left: Millis,
    },
    /// I did not get it: what you granted me of this term is another's to have.
    Withdraw {
        /// The term that was asked for.
        term: Term,
    },
    /// I hold it no more, whatever I was granted.
    Release {
        /// The term that is over.
        term: Term,
    },
}

/// A datagram's part.
pub fn encode(items: &[Item]) -> Vec<u8> {
    postcard::to_stdvec(items).unwrap_or_default()
}

/// Reads one; `None` if it is none.
pub fn decode(bytes: &[u8]) -> Option<Vec<Item>> {
    let (items, rest) = postcard::take_from_bytes::<Vec<Item>>(bytes).ok()?;
    let term = |item: &Item| match item.word {
        Word::Ask { term, .. } | Word::Grant { term, .. } => term,
        Word::Withdraw { term } | Word::Release { term } => term,
        Word::Refuse { highest, .. } => highest,
    };
    let sound = items.len() <= MAX_ITEMS && items.iter().all(|item| term(item) < LAST_TERM);
    (rest.is_empty() && sound).then_some(items)
}
