//! The state that the records add up to.
use crate::record::{Anchor, End, Key, Past, Place, Record, Repeats, Session, Taken};
use crate::{JobNo, Lsn, Nanos, Token};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What a job takes beside its texts, in memory and, once carried, on disk: an estimate on the high side.
const JOB_BYTES: usize = 512;

/// What bounds a ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long an ended job is kept at least, for clients that come back.
    pub keep: Nanos,
    /// The most jobs, open and kept ones.
    pub jobs: usize,
}

/// A lease: the one attempt of a job that is out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its fencing token.
    pub token: Token,
    /// Its worker.
    pub place: Place,
    /// When it was sent.
    pub sent: Nanos,
    /// The latest moment to which its worker may believe in it.
    pub until: Nanos,
    /// The worker has said that it has the job.
    pub held: bool,
    /// The worker goes by the lease: it stops when it may not believe in it any more.
    pub aware: bool,
}

impl Lease {
    fn past(self, ran: bool) -> Past {
        Past { place: self.place, sent: self.sent, ran, token: self.token }
    }
}

/// Where a job stands. The last state, expired, is that the ledger knows it no more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// No attempt is out.
    Taken,
    /// An attempt is out and has not been heard to run.
    Leased(Lease),
    /// An attempt is out and runs.
    Started(Lease),
    /// It has its end, and no client is known to have it.
    Ended {
        /// When.
        at: Nanos,
        /// How.
        end: End,
    },
    /// It has its end, and a client was handed it.
    Answered {
        /// When it ended.
        at: Nanos,
        /// How.
        end: End,
    },
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// As it was taken.
    pub taken: Taken,
    /// Its attempts that are over.
    pub past: Vec<Past>,
    /// Where it stands.
    pub stage: Stage,
}

impl Job {
    /// The lease of the attempt that is out.
    #[must_use]
    pub fn lease(&self) -> Option<&Lease> {
        match &self.stage {
            Stage::Leased(lease) | Stage::Started(lease) => Some(lease),
            _ => None,
        }
    }

    /// How and when it ended.
    #[must_use]
    pub fn end(&self) -> Option<(Nanos, &End)> {
        match &self.stage {
            Stage::Ended { at, end } | Stage::Answered { at, end } => Some((*at, end)),
            _ => None,
        }
    }

    /// What a repeat is recognised by.
    #[must_use]
    pub fn key(&self) -> Option<Key> {
        let key = self.taken.key.clone()?;
        Some(Key { owner: self.taken.owner.clone(), class: self.taken.class.clone(), key })
    }

    /// The stage's name, for people.
    #[must_use]
    pub fn state(&self) -> &'static str {
        match &self.stage {
            Stage::Taken => "taken",
            Stage::Leased(_) => "leased",
            Stage::Started(_) => "started",
            Stage::Ended { .. } => "ended",
            Stage::Answered { .. } => "answered",
        }
    }

    /// Attempts that may have run, of this job and of those that it goes on from.
    pub fn exposed(&self) -> impl Iterator<Item = &Past> {
        self.taken.before.iter().chain(&self.past).filter(|p| p.ran)
    }

    /// Until when an ended job must be known: while its client may come back, and while a second run could be one too
    /// many. Without a key nobody can come back, and what never ran leaves nothing to guard.
    fn keep_until(&self, keep: Nanos) -> Option<Nanos> {
        let (at, end) = self.end()?;
        let first = self.exposed().map(|p| p.sent).min();
        let free = first.is_none() || self.taken.repeats == Repeats::Harmless;
        if self.taken.key.is_none() || *end == End::Refused && free {
            return Some(0);
        }
        let window = match self.taken.repeats {
            Repeats::Dropped(span) => first.map_or(0, |sent| sent.saturating_add(span)),
            Repeats::Harmless | Repeats::Never => 0,
        };
        Some(self.taken.due.max(at.saturating_add(keep)).max(window))
    }

    fn bytes(&self) -> usize {
        let result = match self.end() {
            Some((_, End::Served(result))) => result.len(),
            _ => 0,
        };
        JOB_BYTES + self.taken.text.len() + result
    }

    /// Reads all times in another clock, that much ahead of or behind the one so far.
    fn shift(&mut self, by: i128) {
        let moved = |t: &mut Nanos| *t = (i128::from(*t) + by).clamp(0, i128::from(Nanos::MAX)) as Nanos;
        moved(&mut self.taken.at);
        moved(&mut self.taken.due);
        self.taken.before.iter_mut().chain(&mut self.past).for_each(|p| moved(&mut p.sent));
        match &mut self.stage {
            Stage::Taken => {}
            Stage::Leased(lease) | Stage::Started(lease) => {
                moved(&mut lease.sent);
                moved(&mut lease.until);
            }
            Stage::Ended { at, .. } | Stage::Answered { at, .. } => moved(at),
        }
    }
}

/// A record that doesn't fit the state: a fault of whoever made it, or of the disk.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a record `{kind}` of job {job} does not fit: {why}")]
pub struct Illegal {
    /// The record's kind.
    pub kind: &'static str,
    /// Its job.
    pub job: u64,
    /// What is wrong.
    pub why: &'static str,
}

/// What a client's request is to the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// Nothing is known of it.
    New,
    /// It repeats one that is open.
    Running(JobNo),
    /// It repeats one that has this end.
    Over(JobNo, End),
    /// An earlier job of this key may have run and failed; the class's rules say where a repeat may go, given these.
    Unsettled(Vec<Past>),
    /// Its key was used for another request.
    Mismatch,
}

/// What operators are shown of a ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Figures {
    /// Jobs without an end.
    pub open: usize,
    /// Jobs with one, kept for clients that come back.
    pub kept: usize,
    /// What both take, bytes: an estimate on the high side.
    pub live_bytes: usize,
}

/// Where a job's oldest record that matters lies, and when it is to be forgotten.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Shelf {
    base: Lsn,
    until: Option<Nanos>,
    bytes: usize,
}

/// All jobs, open and kept.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    jobs: HashMap<JobNo, (Job, Shelf)>,
    by_key: HashMap<Key, JobNo>,
    by_id: HashMap<Arc<str>, JobNo>,
    /// The log may forget what lies before the first of these.
    bases: BTreeMap<Lsn, JobNo>,
    expiries: BTreeSet<(Nanos, JobNo)>,
    session: Option<Session>,
    /// Where sessions lie: what was written in one can be read only with it.
    sessions: BTreeSet<Lsn>,
    last: Lsn,
    /// The log that it was read from lacks its beginning.
    trimmed: bool,
    next_job: u64,
    next_token: u64,
    open: usize,
    bytes: usize,
}

impl Ledger {
    /// An empty one.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Ledger {
            limits,
            jobs: HashMap::new(),
            by_key: HashMap::new(),
            by_id: HashMap::new(),
            bases: BTreeMap::new(),
            expiries: BTreeSet::new(),
            session: None,
            sessions: BTreeSet::new(),
            last: 0,
            trimmed: false,
            next_job: 1,
            next_token: 1,
            open: 0,
            bytes: 0,
        }
    }

    /// Goes by other limits from now on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Whether one more job can be held. Nothing is forgotten before its time to make room.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.jobs.len() < self.limits.jobs
    }

    /// The next job's number.
    #[must_use]
    pub fn next_job(&self) -> JobNo {
        JobNo(self.next_job)
    }

    /// The next lease's token.
    #[must_use]
    pub fn next_token(&self) -> Token {
        Token(self.next_token)
    }

    /// A job, unless it is unknown or expired.
    #[must_use]
    pub fn job(&self, no: JobNo) -> Option<&Job> {
        self.jobs.get(&no).map(|(job, _)| job)
    }

    /// The job of this id.
    #[must_use]
    pub fn by_id(&self, id: &str) -> Option<&Job> {
        self.job(*self.by_id.get(id)?)
    }

    /// All jobs, in the order of their numbers.
    #[must_use]
    pub fn all(&self) -> Vec<&Job> {
        let mut all: Vec<&Job> = self.jobs.values().map(|(job, _)| job).collect();
        all.sort_by_key(|job| job.taken.job);
        all
    }

    /// The open ones, in the order of their numbers.
    #[must_use]
    pub fn open(&self) -> Vec<JobNo> {
        let mut open: Vec<JobNo> =
            self.jobs.iter().filter(|(_, (job, _))| job.end().is_none()).map(|(no, _)| *no).collect();
        open.sort_unstable();
        open
    }

    /// What operators are shown.
    #[must_use]
    pub fn figures(&self) -> Figures {
        Figures { open: self.open, kept: self.jobs.len() - self.open, live_bytes: self.bytes }
    }

    /// The number of the last record.
    #[must_use]
    pub fn last(&self) -> Lsn {
        self.last
    }

    /// The oldest record that is needed; those before it can go.
    #[must_use]
    pub fn oldest(&self) -> Lsn {
        let first = self.bases.first_key_value().map_or(self.last + 1, |(lsn, _)| *lsn);
        self.sessions.range(..=first).next_back().copied().unwrap_or(first)
    }

    /// What a request with this key and digest is.
    ///
    /// A failed job that may have run settles nothing for a class whose repeats some workers drop: the repeat goes on
    /// from its attempts. For one that must never run twice it is the end, told again to whoever asks.
    #[must_use]
    pub fn find(&self, key: &Key, fingerprint: &[u8; 16]) -> Found {
        let Some(job) = self.by_key.get(key).and_then(|no| self.job(*no)) else { return Found::New };
        if job.taken.fingerprint != *fingerprint {
            return Found::Mismatch;
        }
        let no = job.taken.job;
        match job.end() {
            None => Found::Running(no),
            Some((_, end @ (End::Served(_) | End::Unusable))) => Found::Over(no, end.clone()),
            Some((_, end @ (End::Failed | End::Refused))) => match job.taken.repeats {
                Repeats::Harmless => Found::Unsettled(Vec::new()),
                Repeats::Dropped(_) => Found::Unsettled(job.exposed().cloned().collect()),
                Repeats::Never if job.exposed().next().is_none() => Found::Unsettled(Vec::new()),
                Repeats::Never => Found::Over(no, end.clone()),
            },
        }
    }

    /// Takes one record, the next in number. This is the only place where anything changes but for [`Ledger::expire`].
    ///
    /// # Errors
    /// If it doesn't fit; then nothing has changed.
    pub fn apply(&mut self, record: &Record) -> Result<(), Illegal> {
        let lsn = self.last + 1;
        let bad = |why| Illegal { kind: record.kind(), job: record.job().map_or(0, |j| j.0), why };
        match record {
            Record::Session(session) => self.begin(session, lsn),
            Record::Taken(taken) => {
                if taken.job.0 < self.next_job {
                    return Err(bad("its number was given before"));
                }
                // Whoever took it had let go by then of what had expired.
                self.expire(taken.at);
                let job = Job { taken: taken.clone(), past: Vec::new(), stage: Stage::Taken };
                let old = job.key().and_then(|key| self.by_key.get(&key).copied());
                if let Some(old) = old.and_then(|no| self.job(no)) {
                    // What it left unsettled must go on in this one, or a second run would not be seen as one.
                    let kept = old.exposed().all(|p| taken.before.contains(p));
                    match old.end() {
                        None => return Err(bad("another job of its key is open")),
                        Some((_, End::Served(_) | End::Unusable)) => {
                            return Err(bad("a job of its key has its end"));
                        }
                        Some(_) if !kept && old.taken.repeats != Repeats::Harmless => {
                            return Err(bad("it lacks what the last job of its key left unsettled"));
                        }
                        Some(_) => {}
                    }
                    let old = old.taken.job;
                    self.remove(old);
                }
                if self
                    .by_id
                    .get(&job.taken.id)
                    .and_then(|no| self.job(*no))
                    .is_some_and(|j| j.end().is_none())
                {
                    return Err(bad("another job of its id is open"));
                }
                self.next_job = taken.job.0 + 1;
                self.insert(job, lsn);
            }
            Record::Leased { job, token, place, sent, until } => {
                if token.0 < self.next_token {
                    return Err(bad("its token was given before"));
                }
                let lease = Lease {
                    token: *token,
                    place: place.clone(),
                    sent: *sent,
                    until: *until,
                    held: false,
                    aware: false,
                };
                self.change(*job, |job| match &job.stage {
                    Stage::Taken => {
                        job.stage = Stage::Leased(lease);
                        Ok(())
                    }
                    Stage::Leased(_) | Stage::Started(_) => Err("an attempt is out"),
                    Stage::Ended { .. } | Stage::Answered { .. } => Err("the job has its end"),
                })
                .map_err(bad)?;
                self.next_token = token.0 + 1;
            }
            Record::Held { job, token, aware } => self
                .change(*job, |job| {
                    let lease = lease_of(job, *token)?;
                    lease.held = true;
                    lease.aware |= aware;
                    Ok(())
                })
                .map_err(bad)?,
            Record::Renewed { job, token, until } => self
                .change(*job, |job| {
                    let lease = lease_of(job, *token)?;
                    // A worker that was told a later moment goes by that.
                    lease.until = lease.until.max(*until);
                    (lease.held, lease.aware) = (true, true);
                    Ok(())
                })
                .map_err(bad)?,
            Record::Started { job, token } => self
                .change(*job, |job| {
                    let mut lease = lease_of(job, *token)?.clone();
                    lease.held = true;
                    job.stage = Stage::Started(lease);
                    Ok(())
                })
                .map_err(bad)?,
            Record::Released { job, token, ran } => self
                .change(*job, |job| {
                    let lease = lease_of(job, *token)?.clone();
                    job.past.push(lease.past(*ran));
                    job.stage = Stage::Taken;
                    Ok(())
                })
                .map_err(bad)?,
            Record::Ended { job, at, end } => {
                self.change(*job, |job| {
                    let stage = match &job.stage {
                        Stage::Ended { .. } | Stage::Answered { .. } => return Err("the job has its end"),
                        Stage::Leased(lease) | Stage::Started(lease) => {
                            // Whatever is said of the job, an attempt that is out may run.
                            job.past.push(lease.clone().past(true));
                            Stage::Ended { at: *at, end: end.clone() }
                        }
                        Stage::Taken => Stage::Ended { at: *at, end: end.clone() },
                    };
                    job.stage = stage;
                    Ok(())
                })
                .map_err(bad)?;
                if self.jobs.get(job).is_some_and(|(_, shelf)| shelf.until == Some(0)) {
                    self.remove(*job);
                }
            }
            // By then the job may have expired.
            Record::Answered { job } if !self.jobs.contains_key(job) => {}
            Record::Answered { job } => self
                .change(*job, |job| match &job.stage {
                    Stage::Ended { at, end } => {
                        job.stage = Stage::Answered { at: *at, end: end.clone() };
                        Ok(())
                    }
                    Stage::Answered { .. } => Ok(()),
                    _ => Err("the job has no end"),
                })
                .map_err(bad)?,
            Record::Carried(job) => {
                let no = job.taken.job;
                let other = job.key().and_then(|key| self.by_key.get(&key)).is_some_and(|at| *at != no);
                if other {
                    return Err(bad("its key is another job's"));
                }
                self.remove(no);
                self.next_job = self.next_job.max(no.0 + 1);
                let tokens = job.lease().map(|l| l.token).into_iter().chain(job.past.iter().map(|p| p.token));
                self.next_token = tokens.map(|t| t.0 + 1).fold(self.next_token, u64::max);
                self.insert((**job).clone(), lsn);
            }
        }
        self.last = lsn;
        Ok(())
    }

    /// Takes record number `lsn` as it is read back.
    ///
    /// # Errors
    /// As [`Ledger::apply`]; but where the log does not begin at its beginning, what is told of jobs that the missing part
    /// was about is passed over: they were done with.
    pub fn replay(&mut self, lsn: Lsn, record: &Record) -> Result<(), Illegal> {
        if self.last + 1 != lsn {
            (self.last, self.trimmed) = (lsn - 1, true);
        }
        let begins = matches!(record, Record::Session(_) | Record::Taken(_) | Record::Carried(_));
        let unknown = record.job().is_some_and(|no| !self.jobs.contains_key(&no));
        if self.trimmed && unknown && !begins {
            self.last = lsn;
            return Ok(());
        }
        self.apply(record)
    }

    /// The next record will be number `next`: whatever came before it and was not read is not needed.
    pub fn seek(&mut self, next: Lsn) {
        if self.last + 1 != next {
            (self.last, self.trimmed) = (next.saturating_sub(1), true);
        }
    }

    /// Another process goes on: all times are read in its clock from here.
    fn begin(&mut self, session: &Session, lsn: Lsn) {
        if let Some(old) = self.session.take() {
            let (from, to) = (&old.anchor, &session.anchor);
            // After a restart of the machine only the wall clock can tell how long that took.
            if from.boot == to.boot {
                let passed = i128::from(to.up) - i128::from(from.up);
                let by = i128::from(to.clock) - (i128::from(from.clock) + passed);
                if by != 0 {
                    self.shift(by);
                }
            }
        }
        self.next_job = self.next_job.max(session.next_job);
        self.next_token = self.next_token.max(session.next_token);
        self.sessions = self.sessions.split_off(&self.oldest());
        self.sessions.insert(lsn);
        self.session = Some(session.clone());
    }

    fn shift(&mut self, by: i128) {
        self.expiries.clear();
        for (no, (job, shelf)) in &mut self.jobs {
            job.shift(by);
            shelf.until = job.keep_until(self.limits.keep);
            self.expiries.extend(shelf.until.map(|until| (until, *no)));
        }
    }

    /// The record with which a process begins; `last` is the number of the last one that it has read.
    #[must_use]
    pub fn session(&self, anchor: Anchor) -> Record {
        Record::Session(Session { anchor, next_job: self.next_job, next_token: self.next_token })
    }

    /// Forgets what has expired by `now`; returns how many jobs that was.
    pub fn expire(&mut self, now: Nanos) -> usize {
        let mut gone = 0;
        while let Some((_, no)) = self.expiries.first().filter(|(at, _)| *at <= now).copied() {
            self.remove(no);
            gone += 1;
        }
        gone
    }

    /// When the next job expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.expiries.first().map(|(at, _)| *at)
    }

    /// Records that write anew what keeps the oldest part of the log from going, at most `most`. They change nothing but
    /// where things lie.
    #[must_use]
    pub fn carry(&self, most: usize) -> Vec<Record> {
        let first = self.bases.first_key_value().map_or(Lsn::MAX, |(lsn, _)| *lsn);
        let pins = self.sessions.last().is_some_and(|lsn| *lsn < first);
        let session = self.session.as_ref().filter(|_| pins).map(|s| self.session(s.anchor.clone()));
        let jobs = self.bases.values().filter_map(|no| self.job(*no));
        let jobs = jobs.map(|job| Record::Carried(Box::new(job.clone())));
        session.into_iter().chain(jobs).take(most).collect()
    }

    fn change(
        &mut self,
        no: JobNo,
        change: impl FnOnce(&mut Job) -> Result<(), &'static str>,
    ) -> Result<(), &'static str> {
        let (job, shelf) = self.jobs.get_mut(&no).ok_or("there is no such job")?;
        let was_open = job.end().is_none();
        change(job)?;
        if was_open && let Some(until) = job.keep_until(self.limits.keep) {
            self.open -= 1;
            shelf.until = Some(until);
            self.expiries.insert((until, no));
            let bytes = job.bytes();
            self.bytes += bytes;
            self.bytes -= std::mem::replace(&mut shelf.bytes, bytes);
        }
        Ok(())
    }

    fn insert(&mut self, job: Job, base: Lsn) {
        let no = job.taken.job;
        let shelf = Shelf { base, until: job.keep_until(self.limits.keep), bytes: job.bytes() };
        self.by_id.insert(job.taken.id.clone(), no);
        if let Some(key) = job.key() {
            self.by_key.insert(key, no);
        }
        self.bases.insert(base, no);
        self.expiries.extend(shelf.until.map(|until| (until, no)));
        self.open += usize::from(shelf.until.is_none());
        self.bytes += shelf.bytes;
        self.jobs.insert(no, (job, shelf));
    }

    /// The one place where a job is forgotten.
    fn remove(&mut self, no: JobNo) {
        let Some((job, shelf)) = self.jobs.remove(&no) else { return };
        if self.by_id.get(&job.taken.id) == Some(&no) {
            self.by_id.remove(&job.taken.id);
        }
        if let Some(key) = job.key().filter(|key| self.by_key.get(key) == Some(&no)) {
            self.by_key.remove(&key);
        }
        self.bases.remove(&shelf.base);
        if let Some(until) = shelf.until {
            self.expiries.remove(&(until, no));
        }
        self.open -= usize::from(shelf.until.is_none());
        self.bytes -= shelf.bytes;
    }
}

fn lease_of(job: &mut Job, token: Token) -> Result<&mut Lease, &'static str> {
    match &mut job.stage {
        Stage::Leased(lease) | Stage::Started(lease) if lease.token == token => Ok(lease),
        Stage::Leased(_) | Stage::Started(_) => Err("another lease is out"),
        Stage::Taken => Err("no lease is out"),
        Stage::Ended { .. } | Stage::Answered { .. } => Err("the job has its end"),
    }
}
