//! Single crossings, forced by the order of events.
use spanlead_jobs::*;

const BOUNDS: Bounds = Bounds {
    max_hold_ms: 6_000,
    gang_ms: 3_000,
    stop_ms: 400,
    restore_ms: 600,
    status_ms: 120_000,
    far_factor: 3.0,
    max_calls: 10_000,
};

struct Desk {
    /// The last hold that went out to each worker.
    holds: std::collections::BTreeMap<String, Call>,
    scheduler: Scheduler,
    now: u64,
    sequence: u64,
}

impl Desk {
    fn new(workers: usize) -> Self {
        let mut desk = Desk::unanswered(workers, BOUNDS);
        for call in desk.pass(20) {
            desk.report(&call, &[], &[]);
        }
        desk
    }

    /// No worker has answered a hold yet.
    fn unanswered(workers: usize, bounds: Bounds) -> Self {
        let at = Now { steady: 1_000_000, unix: 1_000_000 };
        let holds = Default::default();
        let mut desk =
            Desk { holds, scheduler: Scheduler::new(bounds, 4, 1, at), now: at.steady, sequence: 0 };
        let listed = |i: usize| Listed {
            id: format!("i-{i}").as_str().into(),
            service: "s".into(),
            address: format!("w-{i}").as_str().into(),
            zone: "z".into(),
            state: ListedState::Ready,
            cpu: 1_000,
            mem_mb: 1_000,
            gpus: 0,
            labels: vec!["a".into(), "r1".into()],
        };
        let list: Vec<Listed> = (0..workers).map(listed).collect();
        desk.scheduler.listed(at, &list);
        desk
    }

    fn at(&self) -> Now {
        Now { steady: self.now, unix: self.now }
    }

    /// Lets time pass, writes what came of it at once, and tells the calls that go out.
    fn pass(&mut self, ms: u64) -> Vec<Call> {
        self.now += ms;
        self.scheduler.tick(self.at());
        self.write(true)
    }

    fn write(&mut self, lasts: bool) -> Vec<Call> {
        let write = self.scheduler.take_write();
        self.sequence += u64::from(!write.is_empty());
        self.scheduler.written_as(self.sequence);
        if lasts {
            self.scheduler.committed(self.at(), self.sequence);
        }
        let calls: Vec<Call> = self.scheduler.drain().into_iter().map(|Effect::Call(call)| call).collect();
        let holds = calls.iter().filter(|call| matches!(call.order, Order::Hold { wait_ms: 1.., .. }));
        self.holds.extend(holds.map(|call| (call.worker.to_string(), call.clone())));
        calls
    }

    /// The hold that a worker has to answer.
    fn hold_out(&mut self, worker: &str) -> Call {
        self.pass(20);
        self.holds.remove(worker).expect("a hold is out")
    }

    fn answer(&mut self, call: &Call, reply: Reply) {
        self.scheduler.answered(self.at(), &call.worker, &call.order, reply);
    }

    fn report(&mut self, call: &Call, running: &[(TaskKey, u32)], finished: &[(u64, TaskKey, u32, &str)]) {
        let running = running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            saved: "".into(),
            percent: 1.0,
        });
        let finished = finished.iter().map(|(number, task, run, how)| FinishedTask {
            number: *number,
            task: *task,
            run: *run,
            how: (*how).into(),
            saved: "".into(),
        });
        let report = WorkerReport {
            clock_ms: self.now - 900_000,
            running: running.collect(),
            finished: finished.collect(),
            remaining_ms: None,
        };
        self.answer(call, Reply::Report(report));
    }

    fn submit(&mut self, id: u64, body: &str) {
        let spec = JobSpec::read(body.as_bytes()).expect("good");
        let terms = Terms { queue: Queue::default(), service: "s".into(), priority: 1, max_attempts: 3 };
        assert_eq!(self.scheduler.submit(self.at(), id, terms, spec), Admission::Accepted);
        self.scheduler.place(self.at());
    }
}

fn starts(calls: &[Call]) -> Vec<&Call> {
    calls.iter().filter(|call| matches!(call.order, Order::Start { .. })).collect()
}

fn hold_of<'a>(calls: &'a [Call], worker: &str) -> Option<&'a Call> {
    calls.iter().find(|call| *call.worker == *worker && matches!(call.order, Order::Hold { .. }))
}

const SMALL: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":300,"memMb":10,"estRuntimeMs":500}]}"#;
const ONE: &str = r#"{"spec":"x","stages":[{"count":1,"cpu":600,"memMb":10,"estRuntimeMs":500}]}"#;

#[test]
fn a_start_goes_out_only_when_its_record_lasts() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    assert!(starts(&desk.write(false)).is_empty(), "not before");
    let sequence = desk.sequence;
    desk.scheduler.committed(desk.at(), sequence);
    let calls: Vec<Call> = desk.scheduler.drain().into_iter().map(|Effect::Call(call)| call).collect();
    assert_eq!(starts(&calls).len(), 1);
}

#[test]
fn a_start_without_an_answer_is_stopped_before_the_task_starts_again() {
    let mut desk = Desk::new(2);
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, Reply::Silence);
    let calls = desk.write(true);
    let stop = calls.iter().find(|c| matches!(c.order, Order::Stop { .. })).expect("a stop").clone();
    assert!(starts(&desk.pass(50)).is_empty(), "it may run there");
    desk.answer(&stop, Reply::Done { clock_ms: desk.now - 900_000 });
    let look = hold_of(&desk.write(true), &start.worker).expect("a look").clone();
    assert!(starts(&desk.pass(20)).is_empty(), "the look is not answered yet");
    desk.report(&look, &[], &[]);
    let calls = desk.pass(20);
    let again = starts(&calls);
    assert!(matches!(again[0].order, Order::Start { run: 2, .. }), "{again:?}");
}

#[test]
fn an_answer_that_was_on_its_way_before_the_start_says_nothing_of_it() {
    let mut desk = Desk::new(1);
    // This hold goes out before the start.
    let before = hold_of(&desk.pass(20), "i-0").cloned();
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, Reply::Done { clock_ms: desk.now - 900_000 });
    if let Some(before) = before {
        desk.report(&before, &[], &[]);
    }
    assert!(starts(&desk.pass(20)).is_empty(), "it runs");
}

#[test]
fn an_end_may_be_forgotten_only_when_its_record_lasts() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    let calls = desk.write(true);
    let start = starts(&calls)[0].clone();
    desk.answer(&start, Reply::Done { clock_ms: desk.now - 900_000 });
    let task = TaskKey { job: 1, occurrence: 0, stage: 0, index: 0 };
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[], &[(1, task, 1, "done")]);
    desk.now += 20;
    desk.scheduler.tick(desk.at());
    let early = desk.write(false);
    let seen = |call: &Call| matches!(call.order, Order::Hold { last_seen, .. } if last_seen > 0);
    assert!(!early.iter().any(seen), "{early:?}");
    assert!(desk.pass(20).iter().any(seen), "once it lasts");
    assert_eq!(desk.scheduler.state(1), Some(State::Closed(Outcome::Succeeded)));
}

/// Ends taken while the records of earlier ones are on their way are in a later batch, which may still be lost.
#[test]
fn an_end_taken_after_a_batch_is_not_forgotten_with_it() {
    let mut desk = Desk::new(1);
    desk.submit(1, SMALL);
    desk.submit(2, SMALL);
    let calls = desk.write(true);
    let ordered: Vec<Call> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(ordered.len(), 2);
    for start in &ordered {
        desk.answer(start, Reply::Done { clock_ms: desk.now - 900_000 });
    }
    let [first, second] = [1, 2].map(|job| TaskKey { job, occurrence: 0, stage: 0, index: 0 });
    let hold = desk.hold_out("i-0");
    desk.report(&hold, &[(second, 1)], &[(1, first, 1, "done")]);
    desk.write(false);
    let earlier = desk.sequence;
    // Another answer, as after a stop, brings the second end before the first one's record lasts.
    desk.report(&hold, &[], &[(1, first, 1, "done"), (2, second, 1, "done")]);
    desk.write(false);
    assert!(desk.sequence > earlier, "the second end is in a batch of its own");
    desk.scheduler.committed(desk.at(), earlier);
    desk.now += 20;
    desk.scheduler.tick(desk.at());
    let calls: Vec<Call> = desk.scheduler.drain().into_iter().map(|Effect::Call(call)| call).collect();
    let hold = hold_of(&calls, "i-0").expect("a hold goes out");
    assert!(matches!(hold.order, Order::Hold { last_seen: 1, .. }), "{hold:?}");
}

/// While calls are at their bound, the next look begins with the first worker that found no room.
#[test]
fn workers_are_asked_in_turn_while_calls_are_at_their_bound() {
    const WORKERS: usize = 200;
    let mut desk = Desk::unanswered(WORKERS, Bounds { max_calls: 100, ..BOUNDS });
    let mut asked: std::collections::BTreeSet<String> = Default::default();
    for _ in 0..4 {
        // Those that turn the hold away are due again by the next round.
        for call in desk.pass(400) {
            asked.insert(call.worker.to_string());
            desk.answer(&call, Reply::Refused { status: 503, reason: "".into() });
        }
    }
    assert_eq!(asked.len(), WORKERS);
}

#[test]
fn the_ends_of_a_gang_count_one_time_once() {
    let mut desk = Desk::new(2);
    let body = r#"{"spec":"x","repeats":2,"startAtMs":1000000,"intervalMs":60000,
        "stages":[{"count":2,"cpu":600,"memMb":10,"estRuntimeMs":500,"gang":true}]}"#;
    desk.submit(1, body);
    let calls = desk.write(true);
    let ordered: Vec<Call> = starts(&calls).into_iter().cloned().collect();
    assert_eq!(ordered.len(), 2);
    for start in &ordered {
        desk.answer(start, Reply::Done { clock_ms: desk.now - 900_000 });
    }
    for start in &ordered {
        let Order::Start { task, .. } = start.order else { continue };
        let hold = desk.hold_out(&start.worker);
        desk.report(&hold, &[], &[(1, task, 1, "done")]);
    }
    assert_eq!(desk.scheduler.state(1), Some(State::Running), "the second time is still to come");
}

#[test]
fn another_scheduler_goes_on_from_the_records() {
    let mut desk = Desk::new(1);
    desk.submit(1, ONE);
    let write = desk.scheduler.take_write();
    let mut next = Scheduler::new(BOUNDS, 5, 2, desk.at());
    let entries = write.iter().filter_map(|(key, value)| Some((key.as_slice(), value.as_deref()?)));
    next.recover(desk.at(), entries);
    assert_eq!(next.state(1), Some(State::Running));
    let view = next.inspect(1).expect("there");
    assert_eq!(view.open[0].runs.len(), 1, "the run that was recorded may be there");
    assert!(!view.open[0].waits);
}
