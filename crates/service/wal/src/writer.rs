//! The thread that writes: it takes what has gathered while it was busy, so that one sync serves many records.
use crate::log::Log;
use bytes::Bytes;
use hdrhistogram::Histogram;
use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The most that one group commit takes, so that the first of it does not wait for the last.
const MAX_GROUP: usize = 4 << 20;

/// What the writer tells, from its own thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// All records up to this number are durable, and the log has this size on disk.
    Durable {
        /// The last durable record's number.
        upto: u64,
        /// Bytes on disk.
        bytes: u64,
    },
    /// The log has failed, and takes nothing more for the life of this process. Records after the last that were told
    /// durable may be on disk or not.
    Failed,
}

/// What the writer has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Group commits.
    pub commits: u64,
    /// Records in them.
    pub records: u64,
    /// Time that half of the commits took at most.
    pub p50: Duration,
    /// Time that 99 in 100 took at most.
    pub p99: Duration,
    /// The longest.
    pub max: Duration,
}

enum Order {
    Append(Vec<Bytes>),
    Trim(u64),
}

/// The way to a log that is written by a thread of its own. Dropping it ends the log in order.
pub struct Writer {
    orders: Option<Sender<Order>>,
    /// Records that nobody waits for yet.
    kept: Vec<Bytes>,
    thread: Option<JoinHandle<()>>,
    next: u64,
    stats: Arc<Mutex<Recorder>>,
}

struct Recorder {
    commits: u64,
    records: u64,
    /// Microseconds.
    times: Option<Histogram<u64>>,
}

impl Writer {
    /// Begins to write; `tell` hears how far it has come. A commit begins `gather` after its first record, so that more may
    /// go with it.
    ///
    /// # Errors
    /// If no thread can be had.
    pub fn start(
        log: Log,
        gather: Duration,
        tell: impl FnMut(Progress) + Send + 'static,
    ) -> io::Result<Self> {
        let (orders, inbox) = channel();
        let next = log.next();
        // A minute with three digits of it; a longer commit counts as one.
        let times = Histogram::new_with_max(60_000_000, 3).ok();
        let stats = Arc::new(Mutex::new(Recorder { commits: 0, records: 0, times }));
        let recorder = stats.clone();
        let thread = std::thread::Builder::new()
            .name("ledger".into())
            .spawn(move || write(log, gather, &inbox, tell, &recorder))?;
        Ok(Writer { orders: Some(orders), kept: Vec::new(), thread: Some(thread), next, stats })
    }

    /// Takes a record; returns its number. It is written with the next [`Writer::flush`], and durable once that was told.
    pub fn append(&mut self, record: Bytes) -> u64 {
        self.kept.push(record);
        self.next += 1;
        self.next - 1
    }

    /// Hands what was taken to the thread.
    pub fn flush(&mut self) {
        if !self.kept.is_empty() {
            let kept = std::mem::take(&mut self.kept);
            self.order(Order::Append(kept));
        }
    }

    /// Lets segments go that hold nothing from record `oldest` on.
    pub fn trim(&self, oldest: u64) {
        self.order(Order::Trim(oldest));
    }

    fn order(&self, order: Order) {
        // The thread ends early only after a failure, which it has told.
        let _ = self.orders.as_ref().map(|to| to.send(order));
    }

    /// What was done so far.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let recorder = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        let quantile = |q| recorder.times.as_ref().map_or(0, |times| times.value_at_quantile(q));
        Stats {
            commits: recorder.commits,
            records: recorder.records,
            p50: Duration::from_micros(quantile(0.5)),
            p99: Duration::from_micros(quantile(0.99)),
            max: Duration::from_micros(quantile(1.0)),
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.flush();
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write(
    mut log: Log,
    gather: Duration,
    inbox: &Receiver<Order>,
    mut tell: impl FnMut(Progress),
    stats: &Mutex<Recorder>,
) {
    let mut group: Vec<Bytes> = Vec::new();
    while let Ok(first) = inbox.recv() {
        let (mut trim, mut size) = (None, 0);
        if !gather.is_zero() && matches!(first, Order::Append(_)) {
            std::thread::sleep(gather);
        }
        let mut next = Some(first);
        while let Some(order) = next {
            match order {
                Order::Append(records) => {
                    size += records.iter().map(Bytes::len).sum::<usize>();
                    group.extend(records);
                }
                Order::Trim(oldest) => trim = Some(oldest),
            }
            next = if size < MAX_GROUP { inbox.try_recv().ok() } else { None };
        }
        if !group.is_empty() {
            let begun = Instant::now();
            if log.append(&group).is_err() {
                return tell(Progress::Failed);
            }
            let mut stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
            stats.commits += 1;
            stats.records += group.len() as u64;
            if let Some(times) = &mut stats.times {
                times.saturating_record(begun.elapsed().as_micros() as u64);
            }
        }
        // What can't be removed now is tried with the next; space that runs out shows at an append.
        let trimmed = trim.is_some_and(|oldest| log.trim(oldest).unwrap_or(false));
        if !group.is_empty() || trimmed {
            tell(Progress::Durable { upto: log.next() - 1, bytes: log.bytes() });
        }
        group.clear();
    }
    let _ = log.close();
}
