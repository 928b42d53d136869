//! Five processes of the program as a tier, with faults between them: datagrams lost, doubled,
//! late, cut off and spoilt, cuts of one direction and of sides, processes stopped, killed and
//! restarted. What must never happen is judged from what each process has done or said over the
//! whole run, whenever it did; what must come in the end is waited for with `PATIENCE`.
mod rigs;

use rigs::{COUNT, PATIENCE, play};
use spanlead_testbed::check::check;
use spanlead_testbed::{Act, Load, Logged, Mixture, Plan, Rig, Script, Seen, Way};
use std::time::Duration;

const SECTION: &str = "membership\n  every 50ms\n";

async fn rig(name: &str, conf: &str) -> Rig {
    let rig = rigs::start(&format!("tier-{name}"), COUNT, 6, conf).await;
    assert!(rig.whole(PATIENCE).await, "{name}: they don't find each other");
    rig
}

/// What scheduler `by` has logged of another since `from`.
fn changes(rig: &Rig, by: usize, of: usize, from: usize) -> Vec<Logged> {
    rig.logged(by).into_iter().skip(from).filter(|c| c.number == of).collect()
}

/// How much each has logged so far.
fn marks(rig: &Rig) -> Vec<usize> {
    (0..COUNT).map(|by| rig.logged(by).len()).collect()
}

fn sees(view: Option<&Vec<Seen>>, of: usize, state: &str) -> bool {
    view.is_some_and(|v| v[of].state == state)
}

/// Nobody was taken for dead but those, by anyone but those.
fn nobody_accused(rig: &Rig, marks: &[usize], but: &[usize]) {
    for by in (0..COUNT).filter(|by| !but.contains(by)) {
        let accused: Vec<Logged> = rig.logged(by).into_iter().skip(marks[by]).collect();
        let accused: Vec<&Logged> =
            accused.iter().filter(|c| c.to == "Dead" && !but.contains(&c.number)).collect();
        assert!(accused.is_empty(), "{by} accuses {accused:?}");
    }
}

async fn pass(span: Duration) {
    tokio::time::sleep(span).await;
}

#[test]
fn a_killed_one_is_known_by_all_and_back_as_a_new_start() {
    play(async {
        let mut rig = rig("kill", SECTION).await;
        let marks = marks(&rig);
        let before = rig.members(0).await.expect("a view")[3].incarnation.clone();
        rig.schedulers[3].kill().await;
        let known =
            |views: &[Option<Vec<Seen>>]| (0..COUNT).all(|by| by == 3 || sees(views[by].as_ref(), 3, "dead"));
        assert!(rig.until(PATIENCE, known).await, "a kill is not noticed");
        rig.schedulers[3].start().await.expect("it starts");
        assert!(rig.whole(PATIENCE).await, "it is not found again");
        let after = rig.members(0).await.expect("a view")[3].incarnation.clone();
        assert_ne!(before, after);
        nobody_accused(&rig, &marks, &[3]);
    });
}

// A process that ends in order is known to have left by its own word: nobody ever suspects it.
#[test]
fn an_orderly_end_is_told_and_never_suspected() {
    play(async {
        let mut rig = rig("leave", SECTION).await;
        let marks = marks(&rig);
        rig.schedulers[1].terminate();
        let left =
            |views: &[Option<Vec<Seen>>]| (0..COUNT).all(|by| by == 1 || sees(views[by].as_ref(), 1, "left"));
        assert!(rig.until(PATIENCE, left).await, "an orderly end is not known");
        for by in (0..COUNT).filter(|by| *by != 1) {
            let seen = changes(&rig, by, 1, marks[by]);
            assert!(seen.iter().all(|c| c.to == "Draining" || c.to == "Left"), "{by}: {seen:?}");
        }
        while !rig.schedulers[1].ended() {
            pass(Duration::from_millis(10)).await;
        }
        rig.schedulers[1].start().await.expect("it starts");
        assert!(rig.whole(PATIENCE).await, "it is not found again");
    });
}

// The datagrams from one to another are cut, not those back: what the others pass on bears it,
// however long it lasts.
#[test]
fn a_cut_of_one_direction_makes_nobody_dead() {
    play(async {
        let rig = rig("one-way", SECTION).await;
        let marks = marks(&rig);
        rig.wires.cut(&[0], &[1], true);
        rig.wires.cut(&[2], &[3, 4], true);
        pass(Duration::from_secs(5)).await;
        nobody_accused(&rig, &marks, &[]);
        assert!(rig.whole(PATIENCE).await);
    });
}

// One that hears all and is heard by nobody: counted out once by each, not back and forth; it
// accuses nobody, and is found again.
#[test]
fn one_that_nobody_hears_is_counted_out_once() {
    play(async {
        let rig = rig("unheard", SECTION).await;
        let marks = marks(&rig);
        let others: Vec<usize> = (1..COUNT).collect();
        rig.wires.cut(&[0], &others, true);
        let out = |views: &[Option<Vec<Seen>>]| (1..COUNT).all(|by| sees(views[by].as_ref(), 0, "dead"));
        assert!(rig.until(PATIENCE, out).await, "it is not counted out");
        pass(Duration::from_secs(2)).await;
        for (by, mark) in marks.iter().enumerate().skip(1) {
            let dead = changes(&rig, by, 0, *mark).iter().filter(|c| c.to == "Dead").count();
            assert_eq!(dead, 1, "{by} changes its mind");
        }
        rig.wires.cut(&[0], &others, false);
        assert!(rig.whole(PATIENCE).await, "it is not found again");
        let accused: Vec<Logged> =
            rig.logged(0).into_iter().skip(marks[0]).filter(|c| c.to == "Dead").collect();
        assert!(accused.is_empty(), "{accused:?}");
    });
}

// An observer that stood still has heard nothing for as long: it accuses nobody when it goes on,
// and refutes what was said of it.
#[test]
fn one_that_stood_still_accuses_nobody_when_it_goes_on() {
    play(async {
        let rig = rig("pause", SECTION).await;
        let marks = marks(&rig);
        rig.schedulers[2].pause(true);
        let out =
            |views: &[Option<Vec<Seen>>]| (0..COUNT).all(|by| by == 2 || sees(views[by].as_ref(), 2, "dead"));
        assert!(rig.until(PATIENCE, out).await, "it is not counted out");
        pass(Duration::from_secs(2)).await;
        rig.schedulers[2].pause(false);
        assert!(rig.whole(PATIENCE).await, "it is not found again");
        let accused: Vec<Logged> =
            rig.logged(2).into_iter().skip(marks[2]).filter(|c| c.to == "Dead").collect();
        assert!(accused.is_empty(), "it accuses {accused:?}");
        nobody_accused(&rig, &marks, &[2]);
    });
}

// All stand still together, as on a machine that is out of breath: nothing has happened.
#[test]
fn all_that_stood_still_together_accuse_nobody() {
    play(async {
        let rig = rig("storm", SECTION).await;
        let marks = marks(&rig);
        rig.schedulers.iter().for_each(|s| s.pause(true));
        pass(Duration::from_secs(3)).await;
        rig.schedulers.iter().for_each(|s| s.pause(false));
        pass(Duration::from_secs(2)).await;
        assert!(rig.whole(PATIENCE).await);
        nobody_accused(&rig, &marks, &[]);
    });
}

// A third of all datagrams is lost, others come twice, late, overtaken, cut off or spoilt: nobody
// dies of that, every drop is counted.
#[test]
fn bad_weather_makes_nobody_dead() {
    play(async {
        let rig = rig("weather", SECTION).await;
        let marks = marks(&rig);
        let delay = (Duration::ZERO, Duration::from_millis(60));
        let weather = Way { loss: 0.3, double: 0.1, truncate: 0.02, corrupt: 0.02, delay, ..Way::default() };
        rig.wires.change_all(|way| *way = weather);
        pass(Duration::from_secs(8)).await;
        nobody_accused(&rig, &marks, &[]);
        let stats = rig.ask(0, "/ops/stats").await.expect("figures");
        assert!(stats["membership"]["dropped"]["garbled"].as_u64() > Some(0), "{}", stats["membership"]);
        assert!(rig.whole(PATIENCE).await);
    });
}

// The sides of a cut count each other out, and find each other again when it heals, one that died
// meanwhile too.
#[test]
fn sides_of_a_cut_find_each_other_again() {
    play(async {
        let mut rig = rig("sides", SECTION).await;
        let (few, many) = ([0, 1], [2, 3, 4]);
        rig.act(Act::Cut { from: few.into(), to: many.into(), both: true }).await.expect("done");
        let apart = |views: &[Option<Vec<Seen>>]| {
            few.iter().all(|a| {
                many.iter()
                    .all(|b| sees(views[*a].as_ref(), *b, "dead") && sees(views[*b].as_ref(), *a, "dead"))
            })
        };
        assert!(rig.until(PATIENCE, apart).await, "they don't notice");
        rig.schedulers[4].kill().await;
        rig.act(Act::Heal).await.expect("done");
        let together = |views: &[Option<Vec<Seen>>]| {
            (0..4).all(|by| (0..4).all(|of| sees(views[by].as_ref(), of, "alive")))
        };
        assert!(rig.until(PATIENCE, together).await, "they don't find each other");
        rig.schedulers[4].start().await.expect("it starts");
        assert!(rig.whole(PATIENCE).await);
    });
}

// Datagrams of strangers, of another tier and rubbish change nothing and are counted.
#[test]
fn strangers_are_counted_and_not_heard() {
    play(async {
        let rig = rig("strangers", SECTION).await;
        let marks = marks(&rig);
        for bytes in [&b"rubbish"[..], &[0; 256], &[255; 1000], b""] {
            rig.wires.stranger(0, bytes).await.expect("sent");
        }
        let counted =
            async || rig.ask(0, "/ops/stats").await.and_then(|s| s["membership"]["strangers"].as_u64());
        while counted().await < Some(4) {
            pass(Duration::from_millis(20)).await;
        }
        nobody_accused(&rig, &marks, &[]);
    });
}

// Without the section nothing is sent and there is nothing to see; beside a configuration that has
// no place for it, it is refused.
#[test]
fn it_is_off_without_its_section() {
    play(async {
        let rig = rigs::start("tier-off", 2, 3, "").await;
        pass(Duration::from_secs(1)).await;
        assert!(rig.members(0).await.is_none());
        assert_eq!(rig.wires.passed().sent, 0);
    });
}

// All of it at once by a seed, under load, with ledgers: every job has one answer, no keyed one
// runs twice, and in the end all see all.
#[test]
fn a_mixture_of_faults_breaks_no_rule() {
    play(async {
        let ledger = format!(
            "{SECTION}ledger\n  folder '{{folder}}/ledger'\n  lease 2s\n  clock-bound 200ms\n  keep 60s\n"
        );
        let mut rig = rig("mixture", &ledger).await;
        let seed = 31;
        println!("seed {seed}");
        let mix = Mixture {
            schedulers: COUNT,
            workers: 6,
            length: Duration::from_secs(12),
            loss: 0.2,
            cuts: 3,
            pauses: 2,
            kills: 3,
            restarts: 1,
            blind: 1,
            worker_kills: 1,
        };
        let classes = rig.fleet.classes().to_vec();
        let loads: Vec<(Load, Plan)> = (0..COUNT as u64)
            .map(|n| {
                let load = Load::of(n as u32, rig.schedulers[n as usize].addr, rig.record.clone());
                let owners = rig.fleet.deployment().tenants.clone();
                let plan = Plan {
                    jobs: 120,
                    first: 1000 * n,
                    rate: 10.0,
                    at_once: 64,
                    doubled: 0.05,
                    only: vec![],
                    owners,
                    seed: seed + n,
                };
                (load, plan)
            })
            .collect();
        let mut clients = tokio::task::JoinSet::new();
        for (load, plan) in loads {
            let classes = classes.clone();
            clients.spawn(async move { load.play(&plan, &classes).await });
        }
        rig.play(Script::draw(&mix, seed)).await.expect("it plays");
        rig.mend().await.expect("all start");
        assert!(rig.whole(PATIENCE).await, "they don't find each other");
        while clients.join_next().await.is_some() {}
        let broken = check(&rig.record.events(), rig.fleet.deployment());
        assert!(broken.is_empty(), "{broken:#?}");
    });
}
