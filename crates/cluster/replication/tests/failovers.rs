//! How long the system is without a primary, measured over many failovers of each kind. `cargo test --release --test failovers
//! -- --nocapture` prints the table of docs/measurements/system.md.
mod common;
use common::SimulatedCluster;

/// A way to lose the primary, for a world that serves and its primary.
type Strike = fn(&mut SimulatedCluster, usize);

fn started(seed: u64) -> SimulatedCluster {
    let mut world = SimulatedCluster::new(seed, 1);
    world.run(1_500 + seed * 13 % 200);
    assert!(world.primary().is_some(), "seed {seed}: no start");
    world
}

/// How long after the strike nobody acts, milliseconds.
fn without_primary(seed: u64, strike: Strike) -> u64 {
    let mut world = started(seed);
    let primary = world.primary().expect("serves");
    strike(&mut world, primary);
    let struck_at = world.now_ms;
    let mut gap = 0;
    // The lease of the one that was struck may go on for a while: the time counts until somebody else acts.
    for _ in 0..8_000 {
        world.run(1);
        let acts = world.active_machines().into_iter().any(|i| i != primary || world.is_reachable(i));
        if acts {
            gap = gap.max(world.now_ms - struck_at);
            break;
        }
    }
    assert!(gap > 0, "seed {seed}: nobody acts: {}", world.describe());
    gap
}

fn kill(world: &mut SimulatedCluster, primary: usize) {
    world.crash(primary);
}

fn freeze(world: &mut SimulatedCluster, primary: usize) {
    world.pause(primary, 5_000);
}

fn cut_both_ways(world: &mut SimulatedCluster, primary: usize) {
    world.isolate(primary, true, true);
}

fn cut_what_it_sends(world: &mut SimulatedCluster, primary: usize) {
    world.isolate(primary, true, false);
}

fn cut_what_it_receives(world: &mut SimulatedCluster, primary: usize) {
    world.isolate(primary, false, true);
}

fn power_of_all(world: &mut SimulatedCluster, _: usize) {
    (0..3).for_each(|i| world.crash(i));
    (0..3).for_each(|i| world.start(i));
}

fn lost_disk(world: &mut SimulatedCluster, primary: usize) {
    world.lose_disk(primary);
    world.start(primary);
}

fn planned_departure(world: &mut SimulatedCluster, primary: usize) {
    let new = world.add_machine();
    world.start(new);
    world.run(1_000);
    world.request_leave(primary);
}

/// Runs that are measured of each kind.
fn runs() -> u64 {
    std::env::var("RUNS").ok().and_then(|s| s.parse().ok()).unwrap_or(40)
}

/// Kind, strike, and bounds for the half and for all runs, milliseconds.
const KINDS: [(&str, Strike, u64, u64); 8] = [
    ("killed", kill, 620, 1_000),
    ("frozen", freeze, 620, 1_000),
    ("cut off", cut_both_ways, 620, 1_000),
    ("not heard", cut_what_it_sends, 620, 1_000),
    ("hears nobody", cut_what_it_receives, 620, 1_000),
    ("power of all", power_of_all, 120, 700),
    ("lost disk", lost_disk, 620, 1_000),
    ("planned departure", planned_departure, 120, 400),
];

#[test]
fn time_without_a_primary_stays_within_bounds() {
    println!("{:20} {:>5} {:>8} {:>8} {:>8}", "primary", "runs", "half ms", "95 % ms", "most ms");
    let mut over = Vec::new();
    for (name, strike, half_bound, bound) in KINDS {
        let mut gaps: Vec<u64> = (0..runs()).map(|seed| without_primary(seed, strike)).collect();
        gaps.sort_unstable();
        let at = |share: usize| gaps[(gaps.len() - 1) * share / 100];
        println!("{name:20} {:>5} {:>8} {:>8} {:>8}", gaps.len(), at(50), at(95), at(100));
        if at(50) > half_bound || at(100) > bound {
            over.push(name);
        }
    }
    assert!(over.is_empty(), "over their bounds: {over:?}");
}

/// How long until all members are in sync again, milliseconds.
fn until_all_in_sync(world: &mut SimulatedCluster) -> u64 {
    let began = world.now_ms;
    while !(0..3).all(|i| world.is_in_sync(i)) {
        world.run(1);
        assert!(world.now_ms < began + 8_000, "never: {}", world.describe());
    }
    world.now_ms - began
}

/// The windows in which the in-sync set has no more than f + 1 members, so that the next loss of a disk together with that
/// of another machine could lose what was committed.
#[test]
fn the_in_sync_set_is_whole_again_soon() {
    let windows: [(&str, Strike, u64); 4] = [
        ("after a planned change of primary", |world, primary| world.request_leave(primary), 400),
        ("after a restart of 200 ms", |world, primary| restart(world, (primary + 1) % 3, 200), 150),
        ("after a freeze of 800 ms", |world, primary| still(world, (primary + 1) % 3, 800), 150),
        ("after a lost disk", |world, primary| lost_disk(world, (primary + 1) % 3), 150),
    ];
    println!("{:36} {:>5} {:>8} {:>8}", "in-sync set whole again", "runs", "half ms", "most ms");
    for (name, strike, bound) in windows {
        let mut times: Vec<u64> = (0..runs())
            .map(|seed| {
                let mut world = started(seed);
                let primary = world.primary().expect("serves");
                strike(&mut world, primary);
                world.run(20);
                until_all_in_sync(&mut world) + 20
            })
            .collect();
        times.sort_unstable();
        let (half, most) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{name:36} {:>5} {half:>8} {most:>8}", times.len());
        assert!(most <= bound, "{name}: {most} ms");
    }
}

fn restart(world: &mut SimulatedCluster, i: usize, down: u64) {
    world.crash(i);
    world.run(down);
    world.start(i);
}

fn still(world: &mut SimulatedCluster, i: usize, for_ms: u64) {
    world.pause(i, for_ms);
    world.run(for_ms);
}

/// How long nothing is committed when two of five followers fall silent at once: the set then has f + 1 members, and no
/// other is waited for.
#[test]
fn two_silent_replicas_of_five_hold_commits_up_for_less_than_a_second() {
    let mut gaps: Vec<u64> = (0..runs() / 4)
        .map(|seed| {
            let mut world = SimulatedCluster::new(900 + seed, 2);
            world.run(1_800);
            let primary = world.primary().expect("serves");
            world.crash((primary + 1) % 5);
            world.crash((primary + 2) % 5);
            let (mut longest, mut last, mut committed) = (0, world.now_ms, world.committed_keys.len());
            for _ in 0..3_000 {
                world.run(1);
                if world.committed_keys.len() > committed {
                    longest = longest.max(world.now_ms - last);
                    (last, committed) = (world.now_ms, world.committed_keys.len());
                }
            }
            assert!(world.now_ms - last < 500, "seed {seed}: commits stopped");
            longest
        })
        .collect();
    gaps.sort_unstable();
    println!(
        "two of five silent: commits wait {} ms (half), {} ms (most)",
        gaps[gaps.len() / 2],
        gaps[gaps.len() - 1]
    );
    assert!(gaps[gaps.len() - 1] < 1_000);
}
