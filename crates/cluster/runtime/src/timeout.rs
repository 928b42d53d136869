//! Time-outs that cost no system call each.
//!
//! A timer of the I/O library interrupts its event loop when it is registered: an `eventfd` write,
//! a wake-up and a re-armed timer for each call, although most time-outs never expire. The
//! time-outs of this module are entries of one map instead, and one task sleeps until the first of
//! them is due. They expire up to [`GRANULARITY`] late.
use async_std::task;
use futures_lite::future::{or, poll_fn};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// How late a time-out may expire.
pub const GRANULARITY: Duration = Duration::from_millis(5);
/// The longest time-out; one that is longer expires after this.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// The future was not ready in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

/// Waits for a future, but not for longer than `after`.
///
/// # Errors
/// If the future is not ready in time.
pub async fn timeout<F: Future>(after: Duration, future: F) -> Result<F::Output, TimedOut> {
    let mut future = pin!(future);
    let mut deadline = Deadline { due_at: Instant::now() + after.min(MAX_TIMEOUT), registered: None };
    poll_fn(|context| match future.as_mut().poll(context) {
        Poll::Ready(output) => Poll::Ready(Ok(output)),
        Poll::Pending => deadline.poll(context).map(|()| Err(TimedOut)),
    })
    .await
}

/// A deadline, registered when it is first waited for and removed when it is dropped.
#[derive(Debug)]
struct Deadline {
    due_at: Instant,
    registered: Option<DeadlineKey>,
}

impl Deadline {
    fn poll(&mut self, context: &Context<'_>) -> Poll<()> {
        let timers = Timers::get();
        match self.registered {
            None if Instant::now() >= self.due_at => Poll::Ready(()),
            None => {
                self.registered = Some(timers.register(self.due_at, context.waker()));
                Poll::Pending
            }
            Some(key) if timers.update_waker(key, context.waker()) => Poll::Pending,
            Some(_) => Poll::Ready(()),
        }
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        if let Some(key) = self.registered {
            Timers::get().remove(key);
        }
    }
}

/// A registered deadline. Deadlines are numbered, since several may fall on one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DeadlineKey {
    due_at: Instant,
    number: u64,
}

/// The registered deadlines of the process.
///
/// Invariant: while there is a deadline, the sleeper wakes at the latest [`GRANULARITY`] after the
/// first. It sleeps until `wakes_at`, and a deadline registered before that interrupts it.
#[derive(Debug, Default)]
struct State {
    wakers: BTreeMap<DeadlineKey, Waker>,
    last_number: u64,
    /// When the sleeper wakes; `None` while it waits for a first deadline.
    wakes_at: Option<Instant>,
    /// Interrupts the sleeper.
    sleeper: Option<Waker>,
}

impl State {
    /// Removes the deadlines that are due, and returns whom to wake.
    fn take_due(&mut self, now: Instant) -> Vec<Waker> {
        let first_later = DeadlineKey { due_at: now, number: u64::MAX };
        let later = self.wakers.split_off(&first_later);
        std::mem::replace(&mut self.wakers, later).into_values().collect()
    }
}

/// The deadlines and the task that sleeps until the first.
#[derive(Debug, Default)]
struct Timers {
    state: Mutex<State>,
}

impl Timers {
    fn get() -> &'static Timers {
        static TIMERS: OnceLock<Timers> = OnceLock::new();
        let mut is_new = false;
        let timers = TIMERS.get_or_init(|| {
            is_new = true;
            Timers::default()
        });
        if is_new {
            task::spawn(timers.run());
        }
        timers
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, due_at: Instant, waker: &Waker) -> DeadlineKey {
        let mut state = self.lock();
        state.last_number += 1;
        let key = DeadlineKey { due_at, number: state.last_number };
        state.wakers.insert(key, waker.clone());
        let is_too_late = |wakes_at| wakes_at > due_at + GRANULARITY;
        let interrupted = if state.wakes_at.is_none_or(is_too_late) { state.sleeper.take() } else { None };
        drop(state);
        if let Some(sleeper) = interrupted {
            sleeper.wake();
        }
        key
    }

    /// Has another waker woken; `false` if the deadline has expired.
    fn update_waker(&self, key: DeadlineKey, waker: &Waker) -> bool {
        let mut state = self.lock();
        let Some(registered) = state.wakers.get_mut(&key) else { return false };
        if !registered.will_wake(waker) {
            registered.clone_from(waker);
        }
        true
    }

    fn remove(&self, key: DeadlineKey) {
        self.lock().wakers.remove(&key);
    }

    /// Expires deadlines for as long as the process runs.
    async fn run(&self) {
        loop {
            let next = {
                let mut state = self.lock();
                let due = state.take_due(Instant::now());
                let next = state.wakers.keys().next().map(|first| first.due_at + GRANULARITY);
                state.wakes_at = next;
                state.sleeper = None;
                drop(state);
                due.into_iter().for_each(Waker::wake);
                next
            };
            match next {
                Some(wakes_at) => or(sleep_until(wakes_at), self.interrupted(next)).await,
                None => self.interrupted(next).await,
            }
        }
    }

    /// Waits until a deadline is registered that the sleeper, who wakes at `wakes_at`, would miss.
    async fn interrupted(&self, wakes_at: Option<Instant>) {
        poll_fn(|context| {
            let mut state = self.lock();
            let first = state.wakers.keys().next();
            let would_miss =
                first.is_some_and(|first| wakes_at.is_none_or(|at| at > first.due_at + GRANULARITY));
            if would_miss {
                return Poll::Ready(());
            }
            state.sleeper = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

async fn sleep_until(moment: Instant) {
    task::sleep(moment.saturating_duration_since(Instant::now())).await;
}
