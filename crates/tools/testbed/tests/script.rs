//! Scripts of what goes wrong in a tier: read, checked, and drawn by a seed.
use spanlead_testbed::{Act, Mixture, Script, Step};
use std::time::Duration;

#[test]
fn a_script_is_read_and_its_faults_told() {
    let text = "[[step]]\nat_ms = 100\ndo = \"cut\"\nfrom = [0]\nto = [1, 2]\n[[step]]\nat_ms = 900\ndo = \"heal\"\n";
    let script = Script::parse(text, 3, 1).expect("good");
    let cut = Act::Cut { from: vec![0], to: vec![1, 2], both: false };
    assert_eq!(script.steps, [Step { at_ms: 100, act: cut }, Step { at_ms: 900, act: Act::Heal }]);
    assert!(Script::parse(text, 2, 1).expect_err("there is no scheduler 2").starts_with("step 1"));
    let unknown = text.replace("heal", "hail");
    assert!(Script::parse(&unknown, 3, 1).expect_err("unknown").starts_with("6:"), "by its line");
    let share = "[[step]]\nat_ms = 1\ndo = \"weather\"\nloss = 1.5\n";
    assert!(Script::parse(share, 3, 1).is_err());
}

// The same seed, the same script; it survives being written and read again; every cut and stop has
// its end.
#[test]
fn a_seed_draws_a_script() {
    let mix = Mixture {
        schedulers: 5,
        workers: 6,
        length: Duration::from_secs(20),
        loss: 0.2,
        cuts: 4,
        pauses: 3,
        kills: 3,
        restarts: 2,
        blind: 2,
        worker_kills: 2,
    };
    for seed in 0..50 {
        let script = Script::draw(&mix, seed);
        assert_eq!(script, Script::draw(&mix, seed));
        let text = toml::to_string(&script).expect("it has a form");
        assert_eq!(Script::parse(&text, 5, 6).expect("good"), script);
        let count = |wanted: fn(&Act) -> bool| script.steps.iter().filter(|s| wanted(&s.act)).count();
        assert_eq!(count(|a| matches!(a, Act::Cut { .. })), count(|a| matches!(a, Act::Heal)));
        let blind = |cut: bool| {
            script.steps.iter().filter(|s| matches!(s.act, Act::Discovery { cut: c, .. } if c == cut)).count()
        };
        assert_eq!(blind(true), blind(false));
    }
}
