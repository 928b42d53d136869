//! How long nobody acts for a duty when its holder is told to end, is moved by an operator, is
//! killed or stands still: the gap between the last act under one term and the first under the
//! next, at what is acted on. Figures: `docs/measurements/duties.md`.
//!
//! `cargo run --release -p spanlead --example handover -- PROGRAM COUNT end|move|kill|stop TIMES`
use spanlead_testbed::{Deployment, FleetPlan, Resource, Rig, RigPlan};
use std::time::Duration;
use tokio::time::{Instant, sleep};

type Failure = Box<dyn std::error::Error>;

async fn holder(rig: &Rig) -> Option<usize> {
    for n in 0..rig.schedulers.len() {
        let view = rig.ask(n, "/ops/duties").await;
        if view.is_some_and(|v| v["duties"][0]["state"] == "held") {
            return Some(n);
        }
    }
    None
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), Failure> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [program, count, how, times] = &args[..] else {
        return Err("PROGRAM COUNT end|move|kill|stop TIMES".into());
    };
    let (count, times): (usize, usize) = (count.parse()?, times.parse()?);
    let resource = Resource::start(true).await?;
    let folder = tempfile::tempdir()?;
    let mut fleet = FleetPlan::of(Deployment::default_one(None), 3, 1);
    fleet.schedulers = count;
    let conf = format!("membership\nduty beacon\n  call http://{}/act\n  every 20ms\n", resource.addr);
    let plan = RigPlan {
        fleet,
        sockets: 256,
        conf,
        binary: program.into(),
        other: None,
        folder: folder.path().to_owned(),
    };
    let mut rig = Rig::start(plan, 1).await?;
    let mut gaps: Vec<u128> = Vec::new();
    let passed = (rig.wires.passed(), Instant::now());
    for _ in 0..times {
        let until = Instant::now() + Duration::from_secs(30);
        let whom = loop {
            if let Some(n) = holder(&rig).await {
                break n;
            }
            if Instant::now() > until {
                return Err("nobody holds it".into());
            }
        };
        // It acts for a while; those who have just started are silent for a lease, and must not be
        // needed.
        sleep(Duration::from_millis(if matches!(how.as_str(), "end" | "kill") { 4000 } else { 300 })).await;
        let term = resource.highest();
        match how.as_str() {
            "end" => rig.schedulers[whom].terminate(),
            "kill" => rig.schedulers[whom].kill().await,
            "stop" => rig.schedulers[whom].pause(true),
            _ => drop(rig.order(whom, "/ops/duties/beacon/release").await),
        }
        let until = Instant::now() + Duration::from_secs(30);
        while resource.highest() <= term && Instant::now() < until {
            sleep(Duration::from_millis(5)).await;
        }
        let acts = resource.acts();
        let last = acts.iter().filter(|a| a.accepted && a.term == term).map(|a| a.at).max();
        let first = acts.iter().filter(|a| a.accepted && a.term > term).map(|a| a.at).min();
        if let (Some(last), Some(first)) = (last, first) {
            gaps.push(first.duration_since(last).as_millis());
        }
        match how.as_str() {
            "end" => {
                while !rig.schedulers[whom].ended() {
                    sleep(Duration::from_millis(20)).await;
                }
                rig.schedulers[whom].start().await?;
            }
            "kill" => rig.schedulers[whom].start().await?,
            "stop" => rig.schedulers[whom].pause(false),
            _ => {}
        }
        if !rig.whole(Duration::from_secs(30)).await {
            return Err("they don't find each other again".into());
        }
    }
    gaps.sort_unstable();
    let at = |q: f64| gaps.get(((gaps.len() as f64 * q) as usize).min(gaps.len().saturating_sub(1))).copied();
    let (sent, seconds) = (rig.wires.passed().sent - passed.0.sent, passed.1.elapsed().as_secs_f64());
    println!(
        "{count} schedulers, {how}: {} hand-overs, without a holder p50 {:?} p99 {:?} most {:?} ms; {} acts refused, {} overlaps; {:.0} datagrams a second of each",
        gaps.len(),
        at(0.5),
        at(0.99),
        gaps.last(),
        resource.acts().iter().filter(|a| !a.accepted).count(),
        resource.overlaps().len(),
        sent as f64 / seconds / count as f64
    );
    Ok(())
}
