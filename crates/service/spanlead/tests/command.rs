//! The command line and the messages on bad configuration.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{config, nobody, run, run_with_conf};
use insta::assert_snapshot;

#[test]
fn version_and_check_say_what_they_know() {
    let good = config(([127, 0, 0, 1], 8500).into(), "");
    assert_snapshot!(String::from_utf8_lossy(&run("version", "").stdout), @"spanlead 0.2.0");
    assert_snapshot!(String::from_utf8_lossy(&run("check", &good).stdout), @r"
    name       n0
    listen     127.0.0.1:0
    discovery  127.0.0.1:8500
    workers    0 known
    classes    status-check, guest-visit, once
    tenants    kraftverket, norrtrim
    zones      solna, kista
    kinds      std-2c
    clients    64 connections, 48 requests at a time
    to workers 32 connections
    ");
    // The least machine, and one whose memory would not do for what its descriptors allow.
    let shares = |sockets: u32, memory: u32| {
        let limits = format!(r#""memory_mb":{memory},"sockets":{sockets}"#);
        let text = good.replace(r#""memory_mb":192,"sockets":128"#, &limits);
        let output = String::from_utf8(run("check", &text).stdout).expect("text");
        output.lines().skip(8).map(|line| format!("{line}\n")).collect::<String>()
    };
    assert_snapshot!(shares(256, 32) + &shares(1024, 32), @r"
    clients    149 connections, 112 requests at a time
    to workers 74 connections
    clients    170 connections, 128 requests at a time
    to workers 330 connections
    ");
}

// Guards against configuration that fails late or in riddles: one line that names the key, and a
// bad exit.
#[test]
fn bad_configuration_names_its_key() {
    let good = config(nobody(), "");
    let cases = [
        "{".to_owned(),
        good.replace(r#""effect":"idempotent""#, r#""effect":"sometimes""#),
        good.replace(r#""aim":300000000,"deadline":7500000000,"effect":"at"#, r#""aim":-1,"effect":"at"#),
        good.replace(r#""nInstances":1"#, r#""nInstances":0"#),
        good.replace(r#""nInstances":1"#, r#""nInstances":1,"worthBy":"hours""#),
        good.replace(r#""sockets":128"#, r#""sockets":8"#),
        good.replace(r#""memory_mb":192"#, r#""memory_mb":1"#),
        good.replace("8c1f30d27a5be964", "seed"),
        good.replace(r#""settings":"#, r#""other":"#),
        good.replace(r#""seq":41"#, r#""seq":"x""#),
    ];
    let lines = cases.map(|text| {
        let output = run("serve", &text);
        assert!(!output.status.success());
        String::from_utf8(output.stderr).expect("text")
    });
    assert_snapshot!(lines.concat(), @r#"
    spanlead: configuration key `ROUTER_CONFIG`: EOF while parsing an object at line 1 column 1
    spanlead: configuration key `settings.grades[0].effect`: unknown effect `sometimes`
    spanlead: configuration key `settings.grades[2].aim`: invalid value: integer `-1`, expected u64 at line 4 column 305
    spanlead: configuration key `settings.nInstances`: must be greater than this dispatcher's instance number
    spanlead: configuration key `settings.worthBy`: unknown value `hours`
    spanlead: configuration key `limits.sockets`: must be at least 64
    spanlead: configuration key `limits.memory_mb`: must be at least 16
    spanlead: configuration key `seed`: invalid digit found in string
    spanlead: configuration key `ROUTER_CONFIG`: missing field `settings` at line 8 column 73
    spanlead: configuration key `known.seq`: invalid type: string "x", expected u64 at line 3 column 18
    "#);
}

// Guards a membership that could never work: the section is refused at the start, by its place,
// where the configuration has no peers, not this scheduler among them, or bars messages. Where it
// can, `check` says when a scheduler counts as dead.
#[test]
fn membership_wants_peers() {
    let peers = |list: &str| {
        let with = format!(r#""seed":"8c1f30d27a5be964","peer_listen":"127.0.0.1:0","peers":[{list}]"#);
        let text = config(nobody(), "").replace(r#""seed":"8c1f30d27a5be964""#, &with);
        text.replace(r#""cancel":true"#, r#""cancel":true,"peerMessages":true"#)
    };
    let two = peers(r#""127.0.0.1:7","127.0.0.1:8""#).replace(r#""nInstances":1"#, r#""nInstances":2"#);
    let cases = [
        config(nobody(), ""),
        config(nobody(), "").replace(r#""cancel":true"#, r#""cancel":true,"peerMessages":true"#),
        peers(""),
        two.replace(r#""me":0"#, r#""me":1"#).replace(r#","127.0.0.1:8""#, ""),
        peers(r#""127.0.0.1:7","127.0.0.1:8""#),
    ];
    let said = |output: std::process::Output| {
        let text = String::from_utf8(output.stderr).expect("text");
        // The file's folder differs from machine to machine.
        text.split_once(".conf").map_or(text.clone(), |(_, rest)| format!("FILE{rest}"))
    };
    let lines = cases.map(|text| {
        let output = run_with_conf("serve", &text, "log\nmembership\n");
        assert!(!output.status.success());
        said(output)
    });
    assert_snapshot!(lines.concat(), @r"
    FILE:2: membership: the settings bar messages between schedulers (`settings.limits.peerMessages`)
    FILE:2: membership: the configuration has no `peer_listen`
    FILE:2: membership: the configuration has no `peers`
    FILE:2: membership: `peers` doesn't name each scheduler, this one included, in the order of their numbers
    FILE:2: membership: `peers` doesn't name each scheduler, this one included, in the order of their numbers
    ");
    let good = String::from_utf8(run_with_conf("check", &two, "membership\n").stdout).expect("text");
    assert_snapshot!(good.lines().last().unwrap_or(""), @"members    2 schedulers, this is 0; one is dead after 3s 600ms");
    // While their set is changed: the other set is the smaller one.
    let joint = |n: u32| run_with_conf("check", &two, &format!("membership\nleases\n  joint-with {n}\n"));
    let shown = String::from_utf8(joint(1).stdout).expect("text");
    assert_snapshot!(shown.lines().last().unwrap_or(""), @"duties     by majorities of 2 and of the first 1: the set is being changed");
    assert_snapshot!(said(joint(2)), @"FILE:3: joint-with: is not less than the 2 `peers`; the larger set has its `peers` here");
}
