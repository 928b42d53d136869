//! Jobs and the tasks they consist of.
//!
//! A [`Scheduler`] is fed what clients hand in, the platform's list of workers, the answers of workers and the time. It
//! answers with records that must be durable and with calls to workers that go out once those are. Everything it knows
//! of jobs follows from the records, so another machine goes on from them ([`Scheduler::recover`]); what runs where right
//! now it learns from the workers.
//!
//! - **Starts** are recorded before they are ordered. A start without an answer counts as running until the worker says
//!   otherwise, a stop was acknowledged, or its time has run out there.
//! - **Ends** are recorded before the worker may forget them.
//! - **Room** is counted strictly: what was ordered counts until its end is known.
//! - **Fencing**: every call carries the term; a worker that has seen a later one does nothing for it.
mod answers;
mod clock;
mod copies;
mod deadlines;
mod effect;
mod events;
mod gangs;
mod graphs;
mod holds;
mod inspect;
mod job;
mod listing;
mod lookup;
mod pace;
mod placement;
mod queue;
mod record;
mod recover;
mod runs;
mod scheduler;
mod spec;
mod stops;
mod terms;
mod throttle;
mod watch;
mod worker;
mod writing;

pub use effect::{Call, Effect, FinishedTask, Listed, ListedState, Order, Reply, RunningTask, WorkerReport};
pub use inspect::{JobView, RunView, TaskView, WorkerView};
pub use job::{Outcome, State};
pub use record::{Queue, TaskKey};
pub use recover::is_readable;
pub use scheduler::Scheduler;
pub use spec::{JobSpec, SpecError, Stage};
pub use terms::{Admission, Bounds, Figures, Now, Terms};
pub use writing::Write;
