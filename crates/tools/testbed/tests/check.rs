//! The checker against records made by hand: each breaks one rule, or none.
use spanlead_testbed::check::{Rule, check, check_cold};
use spanlead_testbed::{Deployment, Event, What};
use std::time::Duration;

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

fn asked(request: &str, job: u64, class: &str) -> What {
    let key = (class != "status-check").then(|| format!("key-{job}"));
    What::Asked {
        scheduler: 0,
        request: request.into(),
        job,
        class: class.into(),
        owner: "o".into(),
        key,
        due: ms(5000),
    }
}

fn answered(request: &str, job: u64) -> What {
    What::Answered { request: request.into(), status: 200, body: format!("key-{job} {request} by w00") }
}

fn began(request: &str, class: &str, key: &str, group: &str) -> What {
    let (request, class, group) = (request.into(), class.into(), group.into());
    What::Began { request, worker: "w00".into(), key: Some(key.into()), class, group }
}

fn ran(request: &str, class: &str, key: &str) -> What {
    let (request, class) = (request.into(), class.into());
    What::Ran { request, worker: "w00".into(), key: Some(key.into()), class, group: "g".into() }
}

fn received(request: &str, worker: &str) -> What {
    What::Received { scheduler: 0, request: request.into(), worker: worker.into(), token: None }
}

fn over(request: &str, worker: &str) -> What {
    What::Over { request: request.into(), worker: worker.into(), why: "done" }
}

fn broken(happened: Vec<(u64, What)>) -> Vec<Rule> {
    // The list has named two workers from the start.
    let listed = ["w00", "w01"].map(|w| (0, What::Lives { scheduler: 0, worker: w.into() }));
    let events: Vec<Event> =
        listed.into_iter().chain(happened).map(|(at, what)| Event { at: ms(at), what }).collect();
    check(&events, &Deployment::default_one(Some(1.0))).into_iter().map(|b| b.rule).collect()
}

#[test]
fn a_good_record_breaks_nothing() {
    let class = "new-membership";
    let good = vec![
        (0, asked("r1", 1, class)),
        (1, received("r1", "w00")),
        (2, began("r1", class, "key-1", "w00")),
        (3, What::Killed { scheduler: 0 }),
        (4, What::Broke { request: "r1".into() }),
        (9, asked("r2", 1, class)),
        (10, ran("r1", class, "key-1")),
        (11, over("r1", "w00")),
        (12, answered("r2", 1)),
        (13, What::Settled { job: 1, answered: true }),
    ];
    assert_eq!(broken(good), []);
}

// Guards the checker: a check that can't fail shows nothing.
#[test]
fn each_rule_is_seen_to_break() {
    let (never, cell) = ("new-membership", "guest-visit");
    let cases = [
        (Rule::OneAnswer, vec![(0, asked("r1", 1, never)), (1, answered("r1", 1)), (2, answered("r1", 1))]),
        (Rule::OneAnswer, vec![(0, asked("r1", 1, never)), (5051, answered("r1", 1))]),
        (Rule::OneAnswer, vec![(0, asked("r1", 1, never)), (1, What::Broke { request: "r1".into() })]),
        (Rule::OneAnswer, vec![(0, asked("r1", 1, never)), (6000, What::Impatient { request: "r1".into() })]),
        (
            Rule::OneAnswer,
            vec![
                (3, What::Killed { scheduler: 0 }),
                (4, What::Serving { scheduler: 0 }),
                (10, asked("r1", 1, never)),
                (11, What::Broke { request: "r1".into() }),
            ],
        ),
        (Rule::Settled, vec![(0, What::Settled { job: 1, answered: false })]),
        (Rule::OneRun, vec![(0, began("r1", never, "k", "w00")), (9, began("r2", never, "k", "w00"))]),
        (Rule::OneRun, vec![(0, began("r1", cell, "k", "cell 0")), (9, began("r1", cell, "k", "cell 1"))]),
        (Rule::OneRun, vec![(0, ran("r1", cell, "k")), (9, ran("r2", cell, "k"))]),
        (Rule::OneAttempt, vec![(0, received("r1", "w00")), (1, received("r1", "w01"))]),
        (Rule::OwnResult, vec![(0, asked("r1", 1, never)), (1, answered("r1", 2))]),
        (Rule::Listed, vec![(0, received("r1", "ghost"))]),
        (
            Rule::Drain,
            vec![(0, What::Told { scheduler: 0, worker: "w00".into() }), (801, received("r1", "w00"))],
        ),
    ];
    for (rule, record) in cases {
        assert_eq!(broken(record.clone()), [rule], "{record:?}");
    }
    // Within its bounds none of these is broken.
    assert_eq!(
        broken(vec![(0, What::Told { scheduler: 0, worker: "w00".into() }), (799, received("r1", "w00"))]),
        []
    );
    assert_eq!(
        broken(vec![(0, began("r1", cell, "k", "cell 0")), (9, began("r1", cell, "k", "cell 0"))]),
        []
    );
    // What a killed process was told the next one has not heard.
    let anew = vec![
        (0, What::Told { scheduler: 0, worker: "w00".into() }),
        (10, What::Killed { scheduler: 0 }),
        (20, What::Serving { scheduler: 0 }),
        (801, received("r1", "w00")),
    ];
    assert_eq!(broken(anew), []);
    let again = vec![(0, received("r1", "w00")), (1, over("r1", "w00")), (2, received("r1", "w01"))];
    assert_eq!(broken(again), []);
}

// A worker that starts is sent so many jobs, evenly over two seconds, by two schedulers.
#[test]
fn a_cold_worker_that_is_pushed_over_is_seen() {
    let mut deployment = Deployment::default_one(Some(0.02));
    (deployment.cold, deployment.tip, deployment.tip_multiple) = (ms(8000), ms(2000), 3.0);
    let pushed = |jobs: u64| {
        let born = Event { at: ms(1000), what: What::Born { worker: "w00".into() } };
        let sent = (0..jobs).map(|n| {
            let (scheduler, worker) = ((n % 2) as u32, "w00".into());
            let what = What::Received { scheduler, request: format!("r{n}"), worker, token: None };
            Event { at: ms(1000 + 2000 * n / jobs), what }
        });
        check_cold(&std::iter::once(born).chain(sent).collect::<Vec<_>>(), &deployment)
    };
    // It does about 50 a second when it is warm, and four tenths of that in the mean of these two
    // seconds.
    assert!(pushed(60).is_empty());
    assert_eq!(pushed(400).into_iter().map(|b| b.rule).collect::<Vec<_>>(), [Rule::Cold]);
}
