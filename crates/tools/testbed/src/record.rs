//! What happened, in the order in which it did.
use serde::Serialize;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One thing that happened.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// When, since the record began.
    pub at: Duration,
    pub what: What,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum What {
    /// A client has written a request whole. `job` is the same for all its tries.
    Asked {
        /// Of which scheduler, by its number.
        scheduler: u32,
        request: String,
        job: u64,
        class: String,
        owner: String,
        key: Option<String>,
        due: Duration,
    },
    /// It has read the whole answer.
    Answered {
        request: String,
        status: u16,
        body: String,
    },
    /// The connection ended without one.
    Broke {
        request: String,
    },
    /// The client has waited long enough for this try.
    Impatient {
        request: String,
    },
    /// The client has done with a job, and had a final answer or not.
    Settled {
        job: u64,
        answered: bool,
    },
    /// A worker has read an attempt whole.
    Received {
        scheduler: u32,
        request: String,
        worker: String,
        token: Option<u64>,
    },
    /// It has begun to run it.
    Began {
        request: String,
        worker: String,
        key: Option<String>,
        class: String,
        group: String,
    },
    /// It has done the work once and for all: the effect is there.
    Ran {
        request: String,
        worker: String,
        key: Option<String>,
        class: String,
        group: String,
    },
    /// It runs no more there, and never will: done, failed, given back, called off, stopped by its
    /// lease, or dead.
    Over {
        request: String,
        worker: String,
        why: &'static str,
    },
    /// The scheduler has refused a worker's notice since its lease is over.
    Fenced {
        request: String,
        worker: String,
    },
    /// Discovery has told the scheduler that a worker gets nothing new.
    Told {
        scheduler: u32,
        worker: String,
    },
    /// It has told that a worker runs (again).
    Lives {
        scheduler: u32,
        worker: String,
    },
    /// A scheduler process serves, or has been killed.
    Serving {
        scheduler: u32,
    },
    Killed {
        scheduler: u32,
    },
    /// It was told to end, and is owed nothing once it has.
    Ending {
        scheduler: u32,
    },
    /// It stands still, or goes on.
    Paused {
        scheduler: u32,
        on: bool,
    },
    /// What was done to the network between schedulers, or to one's way to discovery.
    Network {
        what: String,
    },
    /// A worker process has started, cold.
    Born {
        worker: String,
    },
    /// A worker process has died.
    Died {
        worker: String,
    },
}

/// All that happened, shared by all who take part.
#[derive(Clone)]
pub struct Record {
    begun: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

impl Record {
    /// An empty one that begins now.
    pub fn new() -> Self {
        Record { begun: Instant::now(), events: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Writes one thing down.
    pub fn add(&self, what: What) {
        let mut events = self.lock();
        // Read under the lock, so that the order of the list is that of the times.
        let at = self.begun.elapsed();
        events.push(Event { at, what });
    }

    /// All so far.
    pub fn events(&self) -> Vec<Event> {
        self.lock().clone()
    }

    /// Writes all so far to a file, a line of JSON each.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        let mut out = BufWriter::new(File::create(path)?);
        for event in self.events() {
            writeln!(out, "{}", serde_json::to_string(&event)?)?;
        }
        out.flush()
    }

    /// How many so far.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing has happened.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
