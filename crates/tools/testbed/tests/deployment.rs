//! Deployment files: the two that come with the project, and faulty ones, whose faults are told all
//! at once.
use spanlead_testbed::{Deployment, Mode, Scope, Via};
use std::path::Path;

fn read(name: &str) -> Deployment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/deployments").join(name);
    Deployment::read(&path, None).unwrap_or_else(|faults| panic!("{faults}"))
}

#[test]
fn both_files_are_good_and_of_different_character() {
    let (clubs, scores) = (read("memberships.toml"), read("engraving.toml"));
    assert_eq!((clubs.via, clubs.mode), (Via::Answers, Mode::Watch));
    assert_eq!((scores.via, scores.mode), (Via::Probe, Mode::Push));
    assert!(clubs.drain_grace > scores.drain_grace);
    assert!(scores.prices.handshake > 0.0 && scores.classes.iter().all(|c| c.memory.1 > 0.0));
    let scopes = |d: &Deployment| d.classes.iter().map(|c| c.scope).collect::<Vec<_>>();
    assert_eq!(scopes(&clubs), [Scope::Safe, Scope::Cell, Scope::Zone, Scope::Never]);
    assert_eq!(scopes(&scores), [Scope::Safe, Scope::Zone, Scope::Never]);
}

#[test]
fn kinds_come_as_often_as_their_shares_say() {
    let clubs = read("memberships.toml");
    for n in [10, 50, 200] {
        let slow = (0..n).filter(|i| clubs.kind(*i).name == "slow-2c").count() as f64 / n as f64;
        assert!((slow - 0.4).abs() < 0.11, "{slow} of {n}");
    }
}

#[test]
fn all_faults_are_told_at_once_with_line_and_key() {
    let text = r#"zones = ["a", "a"]
tenants = []
[workers]
pods = 2
cold_from = 1.5
[[workers.kind]]
name = "k"
slots = 2.5
memory = 1.0
[reports]
via = "letters"
fields = ["x0", "x9"]
[list]
mode = "push"
[rules]
drain_grace_ms = "soon"
[limits]
attempts = 0
[[class]]
name = "c"
run_ms = 10
aim_ms = 900
deadline_ms = 500
repeats = "pod"
memory = [2.0, 1.0]
[[class]]
run_ms = -1
aim_ms = 1
deadline_ms = 10
memory = [0, 3]
"#;
    let faults = Deployment::parse("d.toml", text, None).expect_err("it is faulty");
    let told: Vec<String> = faults.to_string().lines().map(str::to_owned).collect();
    let expected = [
        "d.toml:1: zones: `a` stands there twice",
        "d.toml:2: tenants: is empty",
        "d.toml:4: workers.pods: is unknown, perhaps `pod`",
        "d.toml:5: workers.cold_from: 1.5 is not within 0.01 to 1",
        "d.toml:8: workers.kind[0].slots: is no whole number",
        "d.toml:11: reports.via: `letters` is none of answers, probe, none",
        "d.toml:12: reports.fields: `x9` is none of x0, x1, queue, eps, util",
        "d.toml:16: rules.drain_grace_ms: is no number",
        "d.toml:18: limits.attempts: 0 is not within 1 to 1000",
        "d.toml:19: class[0].aim_ms: is longer than the deadline",
        "d.toml:19: class[0].window_ms: is missing",
        "d.toml:25: class[0].memory: is no pair of numbers from 0 to 1000000, the least first",
        "d.toml:26: class[1].name: is missing",
        "d.toml:27: class[1].run_ms: -1 is not within 0.01 to 3600000",
        "d.toml:1: class.memory: class `` needs up to 3 and no kind has more than 1",
    ];
    let mut missing: Vec<&str> = expected.iter().copied().filter(|e| !told.iter().any(|t| t == e)).collect();
    missing.sort_unstable();
    assert!(missing.is_empty() && told.len() == expected.len(), "not told: {missing:#?}\ntold: {told:#?}");
}

#[test]
fn what_is_no_toml_is_told_with_its_line() {
    let faults =
        Deployment::parse("d.toml", "zones = [\"a\"]\nscale = = 2\n", None).expect_err("it is faulty");
    assert_eq!(faults.faults.len(), 1);
    assert_eq!(faults.faults[0].line, 2);
}
