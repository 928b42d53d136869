//! Inventories as operators meet them: the command line, the door, and a scheduler that goes on
//! whatever stands in a file.
#[allow(dead_code, reason = "each test program uses a part of it")]
mod harness;

use harness::{PATIENCE, Scheduler, Server, folder, run_plain};
use insta::assert_snapshot;
use std::path::{Path, PathBuf};
use std::time::Instant;

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("a writable folder");
    path
}

/// Runs a sub-command in a folder: what it prints on both outputs, without the folder's name, and
/// whether it was content.
fn spanlead(folder: &Path, args: &[&str]) -> String {
    let folder = folder.to_str().expect("text");
    let args: Vec<String> = args.iter().map(|a| a.replace("DIR", folder)).collect();
    let args: Vec<&str> = std::iter::once("inventory").chain(args.iter().map(String::as_str)).collect();
    let output = run_plain(&args);
    let text = [output.stdout, output.stderr].map(|b| String::from_utf8(b).expect("text")).concat();
    let lines = text.replace(folder, "DIR");
    // The folder's name is longer or shorter, and so are the columns.
    let lines: Vec<String> =
        lines.lines().map(|l| l.split_whitespace().collect::<Vec<_>>().join(" ")).collect();
    format!("{}\n{}", lines.join("\n"), if output.status.success() { "ok" } else { "failed" })
}

const HOSTS: &str = "host;zone;pod;weight\nw07.kista.example.org;kista;3;1\nW07.kista.example.org.;kista;4;1\n\
                     w08.kista.example.org;kista;3;0,5\nw09.kista.example.org;solna;5;2\n";

#[test]
fn files_are_checked_and_shown_without_a_scheduler() {
    let dir = folder();
    write(&dir, "hosts.csv", HOSTS);
    write(
        &dir,
        "other.yml",
        "- {host: w09.kista.example.org, zone: solna, pod: 6}\n- w10.kista.example.org\n",
    );
    write(
        &dir,
        "list.json",
        r#"{"seq":1,"whole":true,"hosts":[
        {"host":"w07.kista.example.org","dial":"127.0.0.1:1","site":"kista","class":"std-2c","block":9,"health":"active","share":1.0,"born_ms":0},
        {"host":"w11.kista.example.org","dial":"127.0.0.1:1","health":"active"}]}"#,
    );
    write(
        &dir,
        "spanlead.conf",
        "inventory clubs\n  file 'DIR/hosts.csv'\n  default kind std-2c\n"
            .replace("DIR", dir.to_str().expect("text"))
            .as_str(),
    );
    assert_snapshot!("check", spanlead(&dir, &["check", "--file", "DIR/hosts.csv"]));
    assert_snapshot!(
        "check_by_conf",
        spanlead(&dir, &["check", "--conf", "DIR/spanlead.conf", "--zones", "kista"])
    );
    assert_snapshot!("check_clean", spanlead(&dir, &["check", "--file", "DIR/other.yml"]));
    let json = spanlead(&dir, &["check", "--file", "DIR/other.yml", "--json", "--zones", "a"]);
    assert_snapshot!("check_json", json.split_once("\"hosts\"").expect("hosts").1);
    assert_snapshot!(
        "show",
        spanlead(
            &dir,
            &["show", "W07.Kista.example.org", "--conf", "DIR/spanlead.conf", "--list", "DIR/list.json"]
        )
    );
    assert_snapshot!("show_nobody", spanlead(&dir, &["show", "w99", "--conf", "DIR/spanlead.conf"]));
    let report = spanlead(&dir, &["report", "--conf", "DIR/spanlead.conf", "--list", "DIR/list.json"]);
    assert_snapshot!("report", report);
    assert_snapshot!("diff", spanlead(&dir, &["diff", "DIR/hosts.csv", "DIR/other.yml"]));
    assert_snapshot!("convert", spanlead(&dir, &["convert", "DIR/hosts.csv", "--to", "yaml"]));
    assert_snapshot!(
        "faults",
        [
            spanlead(&dir, &["check"]),
            spanlead(&dir, &["check", "--file", "DIR/none.csv"]),
            spanlead(&dir, &["check", "--file", "DIR"]),
            spanlead(&dir, &["check", "--file", "DIR/hosts.csv", "--field", "colour=x"]),
            spanlead(&dir, &["check", "--conf", "DIR/spanlead.conf", "--name", "other"]),
            spanlead(&dir, &["history", "--conf", "DIR/spanlead.conf"]),
            spanlead(&dir, &["diff", "DIR/hosts.csv"]),
            spanlead(&dir, &["convert", "DIR/list.json", "--to", "csv"]),
        ]
        .join("\n")
    );
}

// Guards the way through all forms: what is written in one is read from it as the same.
#[test]
fn a_file_comes_back_from_every_form() {
    let dir = folder();
    let labels = r#""{""a"":""x; y"",""b"":""""}""#;
    write(
        &dir,
        "a.csv",
        &format!(
            "host,zone,pod,kind,weight,slots,labels\nw1,kista,north,std-2c,0.25,3,{labels}\nw2,,7,,,,k=v;l=w\nw3,,,,,,\n"
        ),
    );
    for (from, to, form) in
        [("a.csv", "b.yml", "yaml"), ("b.yml", "c.json", "json"), ("c.json", "d.csv", "csv")]
    {
        let args = ["inventory", "convert", &format!("{}/{from}", dir.display()), "--to", form];
        let output = run_plain(&args.map(|a| a));
        assert!(output.status.success(), "{output:?}");
        std::fs::write(dir.join(to), output.stdout).expect("a writable folder");
    }
    assert_snapshot!(spanlead(&dir, &["diff", "DIR/a.csv", "DIR/d.csv"]), @r"
    0 hosts differ (3 before, 3 now)
    ok
    ");
}

/// An entry of the list that says no more than that it runs.
fn bare(worker: &Server, name: &str) -> String {
    format!(r#"{{"host":"{name}","dial":"{}","health":"active"}}"#, worker.addr)
}

struct World {
    scheduler: Scheduler,
    worker: Server,
    _discovery: Server,
    dir: PathBuf,
}

impl World {
    fn new(text: &str, more: &str) -> Self {
        let dir = folder();
        let _ = std::fs::remove_dir_all(dir.join("kept"));
        write(&dir, "hosts.csv", text);
        let conf = format!(
            "inventory clubs\n  file '{0}/hosts.csv'\n  settle 20ms\n  poll 100ms\n{more}",
            dir.display()
        );
        let (worker, discovery) = (Server::start(), Server::start());
        let known = [bare(&worker, "s-a"), bare(&worker, "s-b")];
        let scheduler = Scheduler::start_with_conf(discovery.addr, &known, &dir, &conf);
        World { scheduler, worker, _discovery: discovery, dir }
    }

    fn replace(&self, text: &str) {
        let new = write(&self.dir, "hosts.new", text);
        std::fs::rename(new, self.dir.join("hosts.csv")).expect("renamed");
    }

    /// Waits until the door's answer holds this text.
    fn until(&self, call: &str, text: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            let answer = self.scheduler.operate(call);
            if answer.contains(text) {
                return answer;
            }
            assert!(Instant::now() < until, "{answer}");
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    }

    /// A job goes through.
    fn serves(&self, id: &str) {
        let (mut client, mut notices) = (self.scheduler.client(), self.scheduler.client());
        client.job("status-check", id, 15_000);
        self.worker.next().reply("202 Accepted", "", "");
        for name in ["s-a", "s-b"] {
            notices.notice(id, name, r#""state":"done","result":"R""#);
        }
        assert_eq!(client.answer().body, "R");
    }
}

const GOOD: &str =
    "host,zone,pod,kind,weight\nS-A.,solna,3,std-2c,2\ns-b,kista,3,std-2c,1\nghost,kista,3,std-2c,1\n";

#[test]
fn the_door_tells_where_each_fact_comes_from() {
    let world = World::new(GOOD, "  default slots 2\n");
    let host = world.until("GET /ops/inventory/hosts/s-a", "hosts.csv:2:6");
    let host: serde_json::Value =
        serde_json::from_str(host.split_once(' ').expect("a body").1).expect("JSON");
    let facts: Vec<String> = host["facts"]
        .as_array()
        .expect("facts")
        .iter()
        .map(|f| {
            let from =
                f["from"].as_str().expect("a source").replace(world.dir.to_str().expect("text"), "DIR");
            format!("{} {} {from}\n", f["fact"].as_str().expect("a name"), f["value"])
        })
        .collect();
    assert_snapshot!(facts.concat(), @r#"
    zone "solna" DIR/hosts.csv:2:6 (clubs)
    pod "3" DIR/hosts.csv:2:12 (clubs)
    kind "std-2c" DIR/hosts.csv:2:14 (clubs)
    weight "2" DIR/hosts.csv:2:21 (clubs)
    slots "2" default
    labels null unknown: nobody says it
    "#);
    assert_eq!(
        world.scheduler.operate("GET /ops/inventory/hosts/ghost"),
        "409 the live list has not named \"ghost\"\n"
    );
    let all = world.until("GET /ops/inventory", r#""not_live":1"#);
    assert!(all.contains(r#""matched":2"#) && all.contains(r#""number":1"#), "{all}");
    assert!(
        world
            .scheduler
            .operate("GET /ops/stats")
            .contains(r#""facts":{"inventories":1,"hosts":3,"matched":2"#)
    );
    world.serves("id-1");
}

#[test]
fn nothing_in_a_file_stops_a_scheduler() {
    let world = World::new("no,header\n", "");
    world.until("GET /ops/inventory", "the header has no such column");
    world.serves("id-1");
    world.replace(GOOD);
    world.until("GET /ops/stats", r#""matched":2"#);
    world.serves("id-2");
    world.replace("host,pod\n\"s-a,3\n");
    let answer = world.until("GET /ops/inventory", "never closed");
    assert!(answer.contains(r#""number":1"#) && answer.contains("hosts.csv:2:1"), "{answer}");
    world.serves("id-3");
    std::fs::remove_file(world.dir.join("hosts.csv")).expect("removed");
    world.until("GET /ops/inventory", "can't be read");
    world.serves("id-4");
}

#[test]
fn a_version_that_is_held_back_is_confirmed_at_the_door() {
    let world = World::new(GOOD, &format!("  keep '{}/kept'\n", folder().display()));
    world.until("GET /ops/stats", r#""matched":2"#);
    world.replace(&GOOD.replace("kista", "solna"));
    let answer = world.until("GET /ops/inventory", "it changes 2 of 3 hosts, more than 25%");
    let answer: serde_json::Value =
        serde_json::from_str(answer.split_once(' ').expect("a body").1).expect("JSON");
    let digest = answer["inventories"][0]["held"]["digest"].as_str().expect("a digest").to_owned();
    let wrong = world.scheduler.operate("POST /ops/inventory/clubs/accept/00000000");
    assert!(wrong.starts_with("409 clubs: the version that is held back is"), "{wrong}");
    assert!(world.scheduler.operate("GET /ops/inventory/clubs/accept/x").starts_with("405"));
    let at = world.scheduler.operator_address().to_string();
    let said = spanlead(&world.dir, &["accept", "clubs", &digest, "--at", &at]);
    assert_snapshot!(said, @r#"
    {"done":"clubs: version 2 is in use, 3 hosts"}
    ok
    "#);
    world.until("GET /ops/inventory/hosts/s-b", r#""value":"solna""#);
    let conf = world.dir.join("spanlead.conf");
    let history = spanlead(&world.dir, &["history", "--conf", conf.to_str().expect("text")]);
    assert_eq!(history.lines().count(), 4, "{history}");
    assert!(
        spanlead(&world.dir, &["diff", "--kept", "1", "2", "--conf", conf.to_str().expect("text")])
            .contains("2 hosts differ (3 before, 3 now)")
    );
    let shown = spanlead(&world.dir, &["report", "--at", &at]);
    assert!(shown.contains("clubs: version 2, 3 hosts, 0 refusals") && shown.contains("not_live"), "{shown}");
    assert!(spanlead(&world.dir, &["show", "s-b", "--at", &at]).contains("solna at"), "provenance");
}

#[test]
fn a_file_is_read_at_once_on_a_signal_and_without_one_the_door_says_so() {
    let world = World::new(GOOD, "  watch no\n  hold-over 50%\n");
    world.until("GET /ops/stats", r#""matched":2"#);
    world.replace(&GOOD.replace("s-b,kista,3", "s-b,kista,4"));
    world.scheduler.hang_up();
    world.until("GET /ops/inventory/hosts/s-b", r#""value":"4""#);
    let (worker, discovery) = (Server::start(), Server::start());
    let plain = Scheduler::start(discovery.addr, &[bare(&worker, "s-a")], &[]);
    assert_eq!(plain.operate("GET /ops/inventory"), "409 no inventory is set\n");
}
