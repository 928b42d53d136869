//! What reading, judging and merging an inventory costs: `cargo run --release -p spanlead-inventory
//! --example read`.
//!
//! For each size and form: the file's size, the time to read it, to judge it, to compare it with
//! the version before and with
//! a live list of the same hosts, and the peak of memory beyond the file itself. Medians of some
//! rounds.
use peak_alloc::PeakAlloc;
use spanlead_inventory::{Form, InventoryFiles, ReadOptions, SourceFile, read};
use spanlead_worker_attributes::{
    DefaultAttributes, InventorySource, InventoryVersions, LiveHost, MergedInventory, Schema, UpdateLimits,
    UpdateOutcome, Vocabulary, reconcile, validate,
};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Instant;

#[global_allocator]
static PEAK: PeakAlloc = PeakAlloc;

const ROUNDS: usize = 5;
const ZONES: [&str; 3] = ["solna", "kista", "haninge"];

fn file(form: Form, hosts: usize, round: usize) -> String {
    let mut text = String::new();
    match form {
        Form::Csv => text.push_str("host,zone,pod,kind,weight,slots,rack\n"),
        Form::Hosts => {}
        _ => text.push_str("all:\n  vars: {kind: std-2c}\n  children:\n"),
    }
    for i in 0..hosts {
        let (zone, pod, weight) = (ZONES[i % 3], i / 2, 0.5 + ((i + round) % 100) as f64 / 100.0);
        let name = format!("w{i:06}.{zone}.example.org");
        match form {
            Form::Csv => writeln!(text, "{name},{zone},{pod},std-2c,{weight},2,r{}", i / 40),
            Form::Hosts => writeln!(
                text,
                "- host: {name}\n  zone: {zone}\n  pod: {pod}\n  kind: std-2c\n  weight: {weight}\n  slots: 2"
            ),
            _ => {
                if i % 100 == 0 {
                    write!(text, "    g{}:\n      vars: {{slots: 2}}\n      hosts:\n", i / 100)
                        .expect("a string");
                }
                writeln!(text, "        {name}: {{zone: {zone}, pod: {pod}, weight: {weight}}}")
            }
        }
        .expect("a string");
    }
    text
}

fn main() {
    let words = |all: &[&str]| Some(all.iter().map(|w| (*w).to_owned()).collect());
    let vocabulary = Vocabulary { zones: words(&ZONES), kinds: words(&["std-2c"]) };
    let schema = Schema::new(&vocabulary).expect("a schema");
    println!(
        "form      hosts   file KiB   read ms  judge ms  offer ms  reconcile ms  peak MiB  bytes a host"
    );
    for form in [Form::Csv, Form::Hosts, Form::Ansible] {
        for hosts in [100, 1_000, 10_000, 100_000] {
            let mut rounds = Vec::new();
            let (mut peak, mut size) = (0, 0);
            let limits = UpdateLimits { max_skipped_fraction: 1.0, max_changed_fraction: 1.0 };
            let mut versions = InventoryVersions::new("clubs", limits);
            for round in 0..ROUNDS {
                let text = file(form, hosts, round);
                size = text.len();
                let main = Some(SourceFile { name: "hosts".into(), bytes: text.into_bytes() });
                let options = ReadOptions { form: Some(form), ..ReadOptions::default() };
                let files = InventoryFiles { main, ..InventoryFiles::default() };
                PEAK.reset_peak_usage();
                let before = PEAK.current_usage();
                let mut times = Vec::new();
                let mut begun = Instant::now();
                let mut lap = || {
                    times.push(begun.elapsed().as_secs_f64() * 1000.0);
                    begun = Instant::now();
                };
                let raw = read(&files, &options);
                lap();
                let validated = validate(raw, &schema);
                lap();
                assert!(validated.diagnostics.is_empty(), "{:?}", validated.diagnostics.first());
                let verdict = versions.update(validated, &format!("{round}"), 1);
                lap();
                peak = peak.max(PEAK.peak_usage().saturating_sub(before));
                let UpdateOutcome::Accepted(version) = verdict else { panic!("it is taken") };
                let live: Vec<LiveHost> = version
                    .hosts
                    .keys()
                    .map(|name| LiveHost {
                        name: name.clone(),
                        normalized_name: name.clone(),
                        weight: Some(1.0),
                        ..LiveHost::default()
                    })
                    .collect();
                let source = InventorySource { name: "clubs".into(), weight_first: false, version };
                let merged_inventory = Arc::new(MergedInventory {
                    sources: vec![source],
                    defaults: DefaultAttributes::default(),
                });
                let begun = Instant::now();
                let report = reconcile(&live, &merged_inventory, 2, 1000);
                times.push(begun.elapsed().as_secs_f64() * 1000.0);
                assert_eq!(report.counts.matched, hosts);
                rounds.push(times);
            }
            let median = |at: usize| {
                let mut all: Vec<f64> = rounds.iter().map(|r| r[at]).collect();
                all.sort_by(f64::total_cmp);
                all[ROUNDS / 2]
            };
            println!(
                "{:8} {hosts:6} {:10.1} {:9.2} {:9.2} {:9.2} {:13.2} {:9.1} {:13.0}",
                format!("{form:?}"),
                size as f64 / 1024.0,
                median(0),
                median(1),
                median(2),
                median(3),
                peak as f64 / f64::from(1 << 20),
                peak as f64 / hosts as f64
            );
        }
    }
}
