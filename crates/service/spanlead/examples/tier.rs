//! Many processes of the program as a tier: false deaths in a quiet time at a loss, what membership
//! costs, and how soon a kill is known. Figures: `docs/measurements/membership.md`.
//!
//! `cargo run --release -p spanlead --example tier -- PROGRAM COUNT LOSS% MINUTES KILLS`
use spanlead_testbed::{Deployment, FleetPlan, Rig, RigPlan, Way, cpu_of};
use std::time::{Duration, SystemTime};
use tokio::time::{Instant, sleep, sleep_until};

type Failure = Box<dyn std::error::Error>;

/// The resident memory of a process in KiB (proc(5)).
fn memory_of(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kib = status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
    kib.unwrap_or(0)
}

fn quantile(values: &mut [u128], q: f64) -> u128 {
    values.sort_unstable();
    values.get(((values.len() as f64 * q) as usize).min(values.len().saturating_sub(1))).copied().unwrap_or(0)
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), Failure> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [program, count, loss, minutes, kills] = &args[..] else {
        return Err("PROGRAM COUNT LOSS% MINUTES KILLS".into());
    };
    let (count, kills): (usize, usize) = (count.parse()?, kills.parse()?);
    let (loss, minutes): (f64, f64) = (loss.parse::<f64>()? / 100.0, minutes.parse()?);
    let folder = tempfile::tempdir()?;
    let mut fleet = FleetPlan::of(Deployment::default_one(None), 3, 1);
    fleet.schedulers = count;
    let plan = RigPlan {
        fleet,
        sockets: 256,
        conf: "membership\n".into(),
        binary: program.into(),
        other: None,
        folder: folder.path().to_owned(),
    };
    let mut rig = Rig::start(plan, 1).await?;
    if !rig.whole(Duration::from_secs(60)).await {
        for n in 0..count {
            let seen = rig.members(n).await;
            let seen = seen.map(|v| {
                v.iter().map(|m| format!("{}{}", m.number, &m.state[..2])).collect::<Vec<_>>().join(" ")
            });
            println!("{n}: {seen:?}");
        }
        return Err("they don't find each other".into());
    }
    rig.wires.change_all(|way| *way = Way { loss, ..Way::default() });
    let marks: Vec<usize> = (0..count).map(|n| rig.logged(n).len()).collect();
    let ids: Vec<u32> = rig.schedulers.iter().filter_map(spanlead_testbed::Scheduler::id).collect();
    let cpu_by_now = || ids.iter().copied().map(cpu_of).sum::<Duration>();
    let (before, begun) = (cpu_by_now(), Instant::now());
    let passed = rig.wires.passed();
    sleep_until(begun + Duration::from_secs_f64(minutes * 60.0)).await;
    let seconds = begun.elapsed().as_secs_f64();
    let (sent, bytes) = (rig.wires.passed().sent - passed.sent, rig.wires.passed().bytes - passed.bytes);
    let cpu = cpu_by_now().checked_sub(before).unwrap().as_secs_f64() * 1000.0;
    let memory = ids.iter().copied().map(memory_of).max().unwrap_or(0);
    let logged = |rig: &Rig, to: &str| -> usize {
        (0..count).map(|n| rig.logged(n).iter().skip(marks[n]).filter(|c| c.to == to).count()).sum()
    };
    println!("{count} processes, {:.0}% lost, {minutes} minutes", 100.0 * loss);
    println!("false deaths {}, suspicions {}", logged(&rig, "Dead"), logged(&rig, "Suspect"));
    let each = seconds * count as f64;
    println!(
        "each: {:.1} datagrams a second sent, {:.0} bytes a second arrived, {:.2} ms of CPU a second, {memory} KiB at the most",
        sent as f64 / each,
        bytes as f64 / each,
        cpu / each
    );
    let (mut first, mut most) = (Vec::new(), Vec::new());
    for n in 0..kills {
        let whom = n % count;
        let at = SystemTime::now();
        rig.schedulers[whom].kill().await;
        let known = |rig: &Rig| -> Vec<u128> {
            let others = (0..count).filter(|by| *by != whom);
            let when =
                |by| rig.logged(by).into_iter().rfind(|c| c.number == whom && c.to == "Dead" && c.at > at);
            others.filter_map(|by| when(by)?.at.duration_since(at).ok()).map(|d| d.as_millis()).collect()
        };
        let until = Instant::now() + Duration::from_secs(30);
        while known(&rig).len() < count - 1 && Instant::now() < until {
            sleep(Duration::from_millis(200)).await;
        }
        let mut known = known(&rig);
        first.push(quantile(&mut known, 0.0));
        most.push(if known.len() < count - 1 { 30_000 } else { quantile(&mut known, 1.0) });
        rig.schedulers[whom].start().await?;
        if !rig.whole(Duration::from_secs(30)).await {
            println!("{whom} was not found again within 30 s");
        }
    }
    println!(
        "{kills} kills: the first knows after p50 {} p99 {} ms, all after p50 {} p99 {} ms",
        quantile(&mut first, 0.5),
        quantile(&mut first, 0.99),
        quantile(&mut most, 0.5),
        quantile(&mut most, 0.99)
    );
    Ok(())
}
