//! A duty of five processes, one of which holds it: killed, stopped, cut off, restarted. The judge
//! is what the duty acts on, by its own clock: the terms of the acts that it lets through never go
//! back, and where no process stands still they don't even without its fence. That somebody holds
//! it in the end is waited for with `PATIENCE`.
mod rigs;

use rigs::{COUNT, PATIENCE, play};
use spanlead_testbed::{Act, Mixture, Resource, Rig, Script};
use std::time::Duration;

struct Tier {
    rig: Rig,
    resource: Resource,
}

/// The operators' settings; `more` stands in the section `leases`.
fn conf(resource: &Resource, more: &str) -> String {
    format!(
        "membership\n  every 50ms\nleases\n  lease 1s\n  clock-bound 200ms\n  patience 100ms\n{more}duty beacon\n  call http://{}/act\n  every 30ms\n",
        resource.addr
    )
}

impl Tier {
    async fn start(name: &str, fence: bool) -> Self {
        let resource = Resource::start(fence).await.expect("an address");
        let rig = rigs::start(&format!("duties-{name}"), COUNT, 3, &conf(&resource, "")).await;
        let tier = Tier { rig, resource };
        tier.acted_beyond(0).await;
        tier
    }

    /// The state of the duty as that scheduler's door tells it; `None` if it doesn't answer.
    async fn state(&self, scheduler: usize) -> Option<String> {
        let view = self.rig.ask(scheduler, "/ops/duties").await?;
        view["duties"][0]["state"].as_str().map(str::to_owned)
    }

    /// Who holds it by the doors.
    async fn holder(&self) -> usize {
        self.patiently("a holder", async || {
            for n in 0..COUNT {
                if self.state(n).await.as_deref() == Some("held") {
                    return Some(n);
                }
            }
            None
        })
        .await
    }

    async fn patiently<T>(&self, what: &str, look: impl AsyncFn() -> Option<T>) -> T {
        let until = tokio::time::Instant::now() + PATIENCE;
        loop {
            if let Some(found) = look().await {
                return found;
            }
            assert!(
                tokio::time::Instant::now() < until,
                "no {what}; acts: {:?}",
                self.resource.acts().last()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until something was done under a later term than this; that term.
    async fn acted_beyond(&self, term: u64) -> u64 {
        self.patiently("act under a later term", async || {
            Some(self.resource.highest()).filter(|highest| *highest > term)
        })
        .await
    }

    /// Waits for another act, whatever its term.
    async fn acts_go_on(&self) {
        let before = self.resource.acts().len();
        self.patiently("further act", async || (self.resource.acts().len() > before).then_some(())).await;
    }

    /// Starts one, again or for the first time, in a set of so many; with `joint`, of which the set
    /// of the first three is the other.
    async fn restart(&mut self, scheduler: usize, count: usize, joint: bool) {
        let conf = conf(&self.resource, if joint { "  joint-with 3\n" } else { "" });
        self.stop(scheduler).await;
        self.rig.configure(scheduler, count, &conf).expect("written");
        self.rig.schedulers[scheduler].start().await.expect("it starts");
    }

    /// Ends one in order, if it runs.
    async fn stop(&mut self, scheduler: usize) {
        if !self.rig.schedulers[scheduler].ended() {
            self.rig.schedulers[scheduler].terminate();
            self.end_of(scheduler).await;
        }
    }

    async fn end_of(&mut self, scheduler: usize) {
        while !self.rig.schedulers[scheduler].ended() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Only the first three run, in a set of three.
    async fn begin_with_three(&mut self) {
        for scheduler in 0..COUNT {
            self.rig.schedulers[scheduler].kill().await;
        }
        for scheduler in 0..3 {
            self.restart(scheduler, 3, false).await;
        }
        self.acts_go_on().await;
    }

    fn judge(&self) {
        let overlaps = self.resource.overlaps();
        assert!(overlaps.is_empty(), "terms went back: {overlaps:?}");
    }
}

#[test]
fn a_killed_holder_s_duty_goes_to_another() {
    play(async {
        let mut tier = Tier::start("kill", false).await;
        for _ in 0..3 {
            let (holder, term) = (tier.holder().await, tier.resource.highest());
            tier.rig.schedulers[holder].kill().await;
            tier.acted_beyond(term).await;
            tier.rig.schedulers[holder].start().await.expect("it starts");
        }
        tier.judge();
    });
}

#[test]
fn an_orderly_end_hands_it_on() {
    play(async {
        let mut tier = Tier::start("end", false).await;
        let (holder, term) = (tier.holder().await, tier.resource.highest());
        tier.rig.schedulers[holder].terminate();
        tier.acted_beyond(term).await;
        tier.end_of(holder).await;
        tier.judge();
    });
}

#[test]
fn an_operator_moves_it() {
    play(async {
        let tier = Tier::start("move", false).await;
        let (holder, term) = (tier.holder().await, tier.resource.highest());
        assert!(tier.rig.order((holder + 1) % COUNT, "/ops/duties/beacon/release").await == Some(409));
        assert!(tier.rig.order(holder, "/ops/duties/none/release").await == Some(404));
        assert!(tier.rig.order(holder, "/ops/duties/beacon/release").await == Some(200));
        tier.acted_beyond(term).await;
        assert_ne!(tier.holder().await, holder);
        tier.judge();
    });
}

// It stands still past its lease and goes on: by then another holds it, and whatever it still sends
// is under an older term.
#[test]
fn one_that_stood_still_does_nothing_under_its_old_term() {
    play(async {
        let tier = Tier::start("stop", true).await;
        for _ in 0..3 {
            let (holder, term) = (tier.holder().await, tier.resource.highest());
            tier.rig.schedulers[holder].pause(true);
            tier.acted_beyond(term).await;
            tier.rig.schedulers[holder].pause(false);
            tier.patiently("view of the one that stood still", async || {
                tier.state(holder).await.filter(|state| state != "held")
            })
            .await;
        }
        tier.judge();
    });
}

/// An act that was sent in time and comes when another has acted: held up on its way. What comes of
/// it.
async fn late_act(name: &str, fence: bool) -> Tier {
    let tier = Tier::start(name, fence).await;
    let (holder, term) = (tier.holder().await, tier.resource.highest());
    tier.resource.hold(term);
    tier.resource.holds(1).await;
    // It stands still with its act under way, so that its connection stays.
    tier.rig.schedulers[holder].pause(true);
    tier.acted_beyond(term).await;
    let before = tier.resource.acts().len();
    tier.resource.hold(0);
    tier.patiently("late act", async || {
        tier.resource.acts().iter().skip(before).any(|act| act.term == term).then_some(())
    })
    .await;
    tier
}

#[test]
fn an_act_that_comes_late_is_refused() {
    play(async {
        let tier = late_act("late", true).await;
        assert!(tier.resource.acts().iter().any(|act| !act.accepted), "nothing came late");
        tier.judge();
    });
}

// The judge can see it: without the fence the same act is let through.
#[test]
fn without_the_fence_a_late_act_is_seen() {
    play(async {
        let tier = late_act("unfenced", false).await;
        assert!(!tier.resource.overlaps().is_empty());
    });
}

// A holder that is cut off from all gives up when its lease is over; the others hand it on. So does
// one that hears no answers any more, and one whose questions nobody hears.
#[test]
fn a_holder_that_is_cut_off_gives_up() {
    play(async {
        let mut tier = Tier::start("cut", false).await;
        for (out, back) in [(true, true), (false, true), (true, false)] {
            let (holder, term) = (tier.holder().await, tier.resource.highest());
            let others: Vec<usize> = (0..COUNT).filter(|n| *n != holder).collect();
            if out {
                tier.rig.wires.cut(&[holder], &others, true);
            }
            if back {
                tier.rig.wires.cut(&others, &[holder], true);
            }
            tier.acted_beyond(term).await;
            assert_ne!(tier.state(holder).await.as_deref(), Some("held"));
            tier.rig.act(Act::Heal).await.expect("done");
            assert!(tier.rig.whole(PATIENCE).await);
        }
        tier.judge();
    });
}

// Where no side has a majority of the configured nobody holds it, however long that lasts; when it
// heals, somebody does.
#[test]
fn without_a_majority_nobody_holds_it() {
    play(async {
        let mut tier = Tier::start("none", false).await;
        let sides: [&[usize]; 3] = [&[0, 1], &[2, 3], &[4]];
        for (a, b) in [(0, 1), (0, 2), (1, 2)] {
            tier.rig.wires.cut(sides[a], sides[b], true);
            tier.rig.wires.cut(sides[b], sides[a], true);
        }
        let nobody = async || {
            for n in 0..COUNT {
                if tier.state(n).await? == "held" {
                    return None;
                }
            }
            Some(())
        };
        tier.patiently("end of the lease", nobody).await;
        // A call that was out when the lease ended may still come.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let acts = tier.resource.acts().len();
        let term = tier.resource.highest();
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert_eq!(tier.resource.acts().len(), acts, "somebody acts without a majority");
        tier.rig.act(Act::Heal).await.expect("done");
        tier.acted_beyond(term).await;
        tier.judge();
    });
}

// All die at once and start with nothing: those who have forgotten keep silent until what they
// granted is over, and terms go on.
#[test]
fn all_restarted_at_once_go_on_with_later_terms() {
    play(async {
        let mut tier = Tier::start("all", false).await;
        let term = tier.resource.highest();
        for scheduler in &mut tier.rig.schedulers {
            scheduler.kill().await;
        }
        for scheduler in &mut tier.rig.schedulers {
            scheduler.start().await.expect("it starts");
        }
        tier.acted_beyond(term).await;
        tier.judge();
    });
}

// All of it by a seed, with datagrams lost, doubled, late and spoilt.
#[test]
fn a_mixture_of_faults_never_turns_terms_back() {
    play(async {
        let mut tier = Tier::start("mixture", true).await;
        let seed = 57;
        println!("seed {seed}");
        let mix = Mixture {
            schedulers: COUNT,
            workers: 3,
            length: Duration::from_secs(12),
            loss: 0.2,
            cuts: 3,
            pauses: 4,
            kills: 3,
            restarts: 2,
            blind: 0,
            worker_kills: 0,
        };
        tier.rig.play(Script::draw(&mix, seed)).await.expect("it plays");
        tier.rig.mend().await.expect("all start");
        let term = tier.resource.highest();
        let holder = tier.holder().await;
        tier.rig.schedulers[holder].kill().await;
        tier.acted_beyond(term).await;
        tier.judge();
    });
}

// From three to five and back, one after the other, by way of both sets; somebody holds it again
// after each step.
#[test]
fn a_set_grows_and_shrinks_while_it_is_held() {
    play(async {
        let mut tier = Tier::start("sets", false).await;
        tier.begin_with_three().await;
        for joint in [true, false] {
            for scheduler in 0..COUNT {
                tier.restart(scheduler, COUNT, joint).await;
                tier.acts_go_on().await;
            }
        }
        for scheduler in 0..COUNT {
            tier.restart(scheduler, COUNT, true).await;
            tier.acts_go_on().await;
        }
        for scheduler in 0..3 {
            tier.restart(scheduler, 3, false).await;
            tier.acts_go_on().await;
        }
        for scheduler in 3..COUNT {
            tier.stop(scheduler).await;
        }
        tier.acts_go_on().await;
        tier.judge();
    });
}

/// Two of three stay in their set; the third starts in one of five, with the two new ones, and is
/// cut off from those two just then. What each side does in the time of three leases.
async fn cut_while_it_grows(name: &str, joint: bool) -> Tier {
    let mut tier = Tier::start(name, false).await;
    tier.begin_with_three().await;
    let (old, new) = ([0, 1], [2, 3, 4]);
    tier.rig.wires.cut(&old, &new, true);
    tier.rig.wires.cut(&new, &old, true);
    for scheduler in new {
        tier.restart(scheduler, COUNT, joint).await;
    }
    tier.acts_go_on().await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    tier.acts_go_on().await;
    tier
}

#[test]
fn a_cut_while_the_set_grows_leaves_one_holder() {
    play(async {
        let tier = cut_while_it_grows("joint", true).await;
        for scheduler in [2, 3, 4] {
            assert_ne!(tier.state(scheduler).await.as_deref(), Some("held"), "{scheduler}");
        }
        tier.judge();
    });
}

// The judge can see it: without the way by both sets each side has a majority of its own.
#[test]
fn without_both_sets_a_cut_leaves_two_holders() {
    play(async {
        let tier = cut_while_it_grows("unjoint", false).await;
        assert!(!tier.resource.overlaps().is_empty());
    });
}
