//! Files that nobody would write: any bytes, and good files with a fault put in. None stops
//! anything, hangs or takes more
//! memory than is stated; and a refusal names the line in which the fault truly is.
//!
//! `CASES` (10,000) and `SEED` (1) may be set; the seed of each case is printed when it fails.
//! Millions by command:
//! `CASES=3000000 cargo test --release -p spanlead-inventory --test fuzz -- --nocapture`.
use peak_alloc::PeakAlloc;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};
use spanlead_inventory::{Form, InventoryFiles, ReadOptions, SourceFile, read};
use spanlead_worker_attributes::{
    Attribute, DiagnosticEffect, Schema, ValidatedInventory, Vocabulary, validate,
};
use std::sync::Mutex;
use std::time::Duration;

#[global_allocator]
static PEAK: PeakAlloc = PeakAlloc;
/// The peak is the process's: one test at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// What reading and judging a file may take in memory: so much, so much for each byte of it and for
/// each host that the
/// settings allow (a range of a few bytes stands for thousands).
const BASE: usize = 2 << 20;
const PER_BYTE: usize = 600;
const PER_HOST: usize = 2 << 10;
const HOSTS: usize = 500;
/// No file keeps the reader longer.
const PATIENCE: Duration = Duration::from_secs(5);

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

fn schema() -> Schema {
    let words = |all: &[&str]| Some(all.iter().map(|w| (*w).to_owned()).collect());
    let (zones, kinds) = (words(&["solna", "kista"]), words(&["std-2c", "slow-2c"]));
    Schema::new(&Vocabulary { zones, kinds }).expect("a schema")
}

fn taken(bytes: &[u8], form: Form, schema: &Schema) -> ValidatedInventory {
    let name = if form == Form::Csv { "h.csv" } else { "h.yml" };
    let main = Some(SourceFile { name: name.into(), bytes: bytes.to_vec() });
    let options = ReadOptions { form: Some(form), max_hosts: HOSTS, ..ReadOptions::default() };
    validate(read(&InventoryFiles { main, ..InventoryFiles::default() }, &options), schema)
}

/// A line of a good file, and the facts that it states.
struct Line {
    host: String,
    zone: &'static str,
    pod: u32,
    weight: f64,
}

fn lines(rng: &mut SmallRng) -> Vec<Line> {
    let count = rng.random_range(1..40);
    let line = |i| Line {
        host: format!("w{i:02}.kista.example.org"),
        zone: ["solna", "kista"].choose(rng).expect("some"),
        pod: rng.random_range(0..9),
        weight: f64::from(rng.random_range(1_u32..400)) / 100.0,
    };
    (0..count).map(line).collect()
}

/// A good file, and the number of each host's line in it.
fn good(form: Form, lines: &[Line], rng: &mut SmallRng) -> (Vec<String>, Vec<usize>) {
    let (mut text, mut at) = (Vec::new(), Vec::new());
    match form {
        Form::Csv => text.push("zone,host,pod,note,weight".to_owned()),
        Form::Hosts => {}
        _ => text.extend(["all:", "  children:", "    north:", "      hosts:"].map(str::to_owned)),
    }
    for line in lines {
        if rng.random_bool(0.2) {
            text.push("# a comment, with \"one quote".to_owned());
        }
        if rng.random_bool(0.1) {
            text.push(String::new());
        }
        text.push(write(form, line));
        at.push(text.len());
    }
    (text, at)
}

fn write(form: Form, Line { host, zone, pod, weight }: &Line) -> String {
    entry(form, host, zone, &pod.to_string(), &weight.to_string())
}

/// A host's line, whatever is said in it.
fn entry(form: Form, host: &str, zone: &str, pod: &str, weight: &str) -> String {
    match form {
        Form::Csv => format!("{zone},{host},{pod},\"a, note\",{weight}"),
        Form::Hosts => format!("- {{host: {host}, zone: {zone}, pod: {pod}, weight: {weight}}}"),
        _ => format!("        {host}: {{zone: {zone}, pod: {pod}, weight: {weight}}}"),
    }
}

fn states(validated: &ValidatedInventory, line: &Line) -> bool {
    let Some(row) = validated.hosts.get(line.host.as_str()) else { return false };
    row.zone.value().is_some_and(|z| **z == *line.zone)
        && row.pod.value().is_some_and(|p| **p == line.pod.to_string())
        && row.weight.value() == Some(&line.weight)
}

// Guards what a refusal says: of a good file with one fault exactly the line with the fault is
// named, and all others hold.
#[test]
fn a_refusal_names_the_line_that_is_truly_at_fault() {
    let _alone = ALONE.lock();
    let (cases, seed, schema) = (number("CASES", 10_000) / 2, number("SEED", 1), schema());
    println!("SEED={seed} CASES={cases}");
    for case in 0..cases {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1 << 32).wrapping_add(case));
        let form = *[Form::Csv, Form::Hosts, Form::Ansible].choose(&mut rng).expect("some");
        let lines = lines(&mut rng);
        let (mut text, at) = good(form, &lines, &mut rng);
        let clean = taken(text.join("\n").as_bytes(), form, &schema);
        assert!(clean.diagnostics.is_empty(), "case {case}: {:?}", clean.diagnostics);
        assert!(lines.iter().all(|l| states(&clean, l)), "case {case}: {clean:?}");

        let which = rng.random_range(0..lines.len());
        let Line { host, zone, pod, weight } = &lines[which];
        let bad = |zone: &str, pod: &str, weight: &str| entry(form, host, zone, pod, weight);
        let (pod, weight) = (pod.to_string(), weight.to_string());
        // A fact in a host's variables is lost alone, a line of a list or table as a whole.
        let (fault, key, doubled) = match rng.random_range(0..6) {
            0 => (bad("malmo", &pod, &weight), Attribute::Zone, false),
            1 => (bad(zone, "'a b'", &weight), Attribute::Pod, false),
            2 => (bad(zone, &pod, "-1"), Attribute::Weight, false),
            3 => (bad(zone, &pod, "heavy"), Attribute::Weight, false),
            4 => (bad(zone, &pod, "99999"), Attribute::Weight, false),
            _ => (bad(zone, "77", &weight), Attribute::Pod, true),
        };
        if doubled {
            text.insert(at[which], fault);
        } else {
            text[at[which] - 1] = fault;
        }
        let line = at[which] + usize::from(doubled);
        let validated = taken(text.join("\n").as_bytes(), form, &schema);
        let told: Vec<String> = validated.diagnostics.iter().map(|r| r.describe(&validated.files)).collect();
        assert_eq!(told.len(), 1, "case {case}: {told:?}\n{}", text.join("\n"));
        let diagnostic = &validated.diagnostics[0];
        assert_eq!(diagnostic.location.line as usize, line, "case {case}: {told:?}\n{}", text.join("\n"));
        assert_eq!(diagnostic.key, key.name(), "case {case}: {told:?}");
        let whole = !doubled && form != Form::Ansible;
        assert_eq!(
            diagnostic.effect,
            if whole { DiagnosticEffect::LineSkipped } else { DiagnosticEffect::AttributeUnknown },
            "case {case}: {told:?}"
        );
        assert_eq!(validated.hosts.contains_key(host.as_str()), !whole, "case {case}");
        let others = lines.iter().enumerate().filter(|(i, _)| *i != which);
        assert!(others.into_iter().all(|(_, l)| states(&validated, l)), "case {case}: {told:?}");
        if let Some(row) = validated.hosts.get(host.as_str()) {
            assert!(
                row.describe(key).is_none_or(|shown| shown.starts_with("unknown")),
                "case {case}: a guess: {row:?}"
            );
        }
    }
}

fn noise(rng: &mut SmallRng) -> Vec<u8> {
    let length = rng.random_range(0..2000);
    let mut bytes = vec![0; length];
    if rng.random_bool(0.5) {
        rng.fill_bytes(&mut bytes);
    } else {
        let pieces: [&[u8]; 24] = [
            b"host",
            b",",
            b"\"",
            b"\n",
            b"  ",
            b"- ",
            b": ",
            b"[",
            b"]",
            b"{",
            b"}",
            b"&a ",
            b"*a",
            b"<<: ",
            b"all:",
            b"hosts:",
            b"children:",
            b"vars:",
            b"w[1:9]",
            b"#",
            b"|\n",
            b"'",
            b"\xff",
            b"zone: kista",
        ];
        bytes.clear();
        while bytes.len() < length {
            bytes.extend_from_slice(pieces.choose(rng).expect("some"));
        }
    }
    bytes
}

/// A good file with bytes changed, doubled, dropped or cut off.
fn mutated(form: Form, rng: &mut SmallRng) -> Vec<u8> {
    let lines = lines(rng);
    let mut bytes = good(form, &lines, rng).0.join("\n").into_bytes();
    for _ in 0..rng.random_range(1..8) {
        let at = rng.random_range(0..=bytes.len().saturating_sub(1));
        let end = (at + rng.random_range(1..60)).min(bytes.len());
        match rng.random_range(0..6) {
            0 if at < bytes.len() => bytes[at] = rng.random(),
            1 => bytes.insert(at, rng.random()),
            2 => drop(bytes.drain(at..end)),
            3 => {
                let part = bytes[at..end].to_vec();
                let to = rng.random_range(0..=bytes.len());
                bytes.splice(to..to, part);
            }
            4 => bytes.truncate(at),
            _ => drop(bytes.splice(at..at, noise(rng).into_iter().take(30))),
        }
    }
    bytes
}

/// Processor time of this thread: what else the machine does is no fault of the file's.
fn processor_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn bounded(bytes: &[u8], form: Form, schema: &Schema, case: &str) {
    PEAK.reset_peak_usage();
    let (before, begun) = (PEAK.current_usage(), processor_time());
    let validated = taken(bytes, form, schema);
    let took = PEAK.peak_usage().saturating_sub(before);
    let allowed = BASE + PER_BYTE * bytes.len() + PER_HOST * HOSTS;
    assert!(
        took <= allowed,
        "{case}: {took} bytes of memory for {} of file, {allowed} are stated",
        bytes.len()
    );
    let worked = processor_time() - begun;
    assert!(worked < PATIENCE, "{case}: took {worked:?}");
    let last = bytes.split(|b| *b == b'\n' || *b == b'\r').count() + 1;
    for diagnostic in &validated.diagnostics {
        assert!(
            diagnostic.location.line as usize <= last,
            "{case}: {} of {last} lines",
            diagnostic.describe(&validated.files)
        );
    }
    assert!(validated.hosts.len() <= HOSTS, "{case}: {} hosts", validated.hosts.len());
    assert!(
        validated.file_rejection().is_none() || validated.hosts.is_empty(),
        "{case}: refused whole, and yet in use"
    );
}

#[test]
fn no_file_hangs_or_takes_more_memory_than_stated() {
    let _alone = ALONE.lock();
    let (cases, seed, schema) = (number("CASES", 10_000) / 2, number("SEED", 1), schema());
    println!("SEED={seed} CASES={cases}");
    for case in 0..cases {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1 << 33).wrapping_add(case));
        let form = *[Form::Csv, Form::Yaml, Form::Hosts, Form::Ansible].choose(&mut rng).expect("some");
        let bytes = if rng.random_bool(0.4) { noise(&mut rng) } else { mutated(form, &mut rng) };
        bounded(&bytes, form, &schema, &format!("SEED={seed} case {case}"));
    }
}

// Guards against files that are small and stand for much: aliases of aliases, ranges, groups in
// chains, one long line.
#[test]
fn files_made_to_be_large_are_bounded() {
    let _alone = ALONE.lock();
    let schema = schema();
    let mut laughs = String::from("a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n");
    for i in 1..20 {
        laughs.push_str(&format!("a{i}: &a{i} [{}]\n", vec![format!("*a{}", i - 1); 10].join(",")));
    }
    let mut merges = String::from("m0: &m0 {a: 1, b: 2}\n");
    for i in 1..200 {
        merges.push_str(&format!("m{i}: &m{i} {{<<: [*m{0}, *m{0}], k{i}: 1}}\n", i - 1));
    }
    let mut chain = String::from("g0:\n  hosts: {w1: }\n");
    for i in 1..2000 {
        chain.push_str(&format!("g{i}:\n  children: {{g{}: }}\n", i - 1));
    }
    let ranges = format!("all:\n  hosts:\n{}", "    w[1:9][1:9][1:9][1:9][1:9][1:9][1:9][1:9]:\n".repeat(50));
    let wide = format!("a: &a [{}]\nb: [{}]\n", vec!["x"; 5000].join(","), vec!["*a"; 5000].join(","));
    let deep = "[".repeat(5000);
    let blocks: String = (0..200).map(|i| format!("{}a:\n", " ".repeat(i))).collect();
    for (what, text) in [
        ("laughs", laughs),
        ("merges", merges),
        ("chain", chain),
        ("ranges", ranges),
        ("wide", wide),
        ("deep", deep),
        ("blocks", blocks),
        ("quote", format!("host\n\"{}", "x,\n".repeat(20_000))),
        ("columns", format!("host,{}\n{}\n", "z,".repeat(50_000), ",".repeat(50_000))),
        ("long", format!("host,zone\nw1,{}\n", "k".repeat(1 << 20))),
        ("anchors", (0..5000).map(|i| format!("k{i}: &a{i} v\n")).collect()),
    ] {
        for form in [Form::Csv, Form::Yaml, Form::Hosts, Form::Ansible] {
            bounded(text.as_bytes(), form, &schema, &format!("{what} as {form:?}"));
        }
    }
}
