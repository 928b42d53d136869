//! Time-outs without a system call for each.
//!
//! Registering a timer of the I/O library interrupts its event loop, which costs an `eventfd`
//! write, a wake-up and a re-armed timer per call, although most time-outs never expire. The
//! time-outs of this module are entries of one map instead, and one timer task sleeps until the
//! earliest is due. They expire up to [`GRANULARITY`] late.
use async_std::task;
use futures_lite::future::{or, poll_fn};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Maximum delay between the deadline of a time-out and its expiry.
pub const GRANULARITY: Duration = Duration::from_millis(5);
/// Maximum time-out; a longer one is shortened to this.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);

/// The error of a future that was not ready before its time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

/// Waits for a future, for at most `after`.
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

/// A deadline that is registered with the timer when it is first polled and removed when dropped.
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

/// Key of a registered deadline. `number` distinguishes deadlines that are due at the same instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DeadlineKey {
    due_at: Instant,
    number: u64,
}

/// The registered deadlines of the process.
///
/// Invariant: while a deadline is registered, the timer task wakes at most [`GRANULARITY`] after
/// the earliest one. It sleeps until `wakes_at`; the registration of a deadline for which that is
/// too late interrupts the sleep.
#[derive(Debug, Default)]
struct TimerState {
    wakers: BTreeMap<DeadlineKey, Waker>,
    last_number: u64,
    /// When the timer task wakes; `None` while no deadline is registered.
    wakes_at: Option<Instant>,
    /// Interrupts the sleep of the timer task.
    timer_task: Option<Waker>,
}

impl TimerState {
    /// Removes the deadlines that are due and returns their wakers.
    fn take_expired(&mut self, now: Instant) -> Vec<Waker> {
        let last_due = DeadlineKey { due_at: now, number: u64::MAX };
        let pending = self.wakers.split_off(&last_due);
        std::mem::replace(&mut self.wakers, pending).into_values().collect()
    }
}

/// The timer of the process: its deadlines, and the task that expires them.
#[derive(Debug, Default)]
struct Timers {
    state: Mutex<TimerState>,
}

impl Timers {
    /// Returns the timer of the process, starting its task on the first call.
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

    fn lock(&self) -> MutexGuard<'_, TimerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a deadline, and wakes the timer task if it would otherwise wake too late.
    fn register(&self, due_at: Instant, waker: &Waker) -> DeadlineKey {
        let mut state = self.lock();
        state.last_number += 1;
        let key = DeadlineKey { due_at, number: state.last_number };
        state.wakers.insert(key, waker.clone());
        let is_too_late = |wakes_at| wakes_at > due_at + GRANULARITY;
        let interrupted = if state.wakes_at.is_none_or(is_too_late) { state.timer_task.take() } else { None };
        drop(state);
        if let Some(timer_task) = interrupted {
            timer_task.wake();
        }
        key
    }

    /// Replaces the waker of a deadline. Returns `false` if the deadline has expired.
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

    /// Expires deadlines. Never returns.
    async fn run(&self) {
        loop {
            let next = {
                let mut state = self.lock();
                let expired = state.take_expired(Instant::now());
                let next = state.wakers.keys().next().map(|first| first.due_at + GRANULARITY);
                state.wakes_at = next;
                state.timer_task = None;
                drop(state);
                expired.into_iter().for_each(Waker::wake);
                next
            };
            match next {
                Some(wakes_at) => or(sleep_until(wakes_at), self.wait_for_earlier_deadline(next)).await,
                None => self.wait_for_earlier_deadline(next).await,
            }
        }
    }

    /// Waits until a deadline is registered that expires too late if the timer task sleeps until
    /// `wakes_at`; with `None`, until any deadline is registered.
    async fn wait_for_earlier_deadline(&self, wakes_at: Option<Instant>) {
        poll_fn(|context| {
            let mut state = self.lock();
            let first = state.wakers.keys().next();
            let wakes_too_late =
                first.is_some_and(|first| wakes_at.is_none_or(|at| at > first.due_at + GRANULARITY));
            if wakes_too_late {
                return Poll::Ready(());
            }
            state.timer_task = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

async fn sleep_until(moment: Instant) {
    task::sleep(moment.saturating_duration_since(Instant::now())).await;
}
