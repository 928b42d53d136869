//! What operators are told of files that can't be used as they are: the file, the line, the column,
//! the key, why, and what was
//! done instead. One hand-made file for each thing that goes wrong.
use insta::assert_snapshot;
use spanlead_inventory::{
    ColumnTarget, Delimiter, Form, InventoryFiles, MappedColumn, ReadOptions, SourceFile, read,
};
use spanlead_worker_attributes::{Attribute, Schema, ValidatedInventory, Vocabulary, validate};
use std::fmt::Write;

fn vocabulary() -> Vocabulary {
    let words = |all: &[&str]| Some(all.iter().map(|w| (*w).to_owned()).collect());
    Vocabulary { zones: words(&["solna", "kista", "haninge"]), kinds: words(&["std-2c", "slow-2c"]) }
}

fn text(name: &str, bytes: impl Into<Vec<u8>>) -> SourceFile {
    SourceFile { name: name.into(), bytes: bytes.into() }
}

fn validated(files: &InventoryFiles, options: &ReadOptions) -> ValidatedInventory {
    validate(read(files, options), &Schema::new(&vocabulary()).expect("a schema"))
}

fn file(name: &str, bytes: impl Into<Vec<u8>>) -> InventoryFiles {
    InventoryFiles { main: Some(text(name, bytes)), ..InventoryFiles::default() }
}

/// The messages, and what is known all the same.
fn told(files: &InventoryFiles, options: &ReadOptions) -> String {
    let validated = validated(files, options);
    let mut out = String::new();
    for diagnostic in &validated.diagnostics {
        writeln!(out, "{}", diagnostic.describe(&validated.files)).expect("a string");
    }
    let mut hosts: Vec<_> = validated.hosts.iter().collect();
    hosts.sort_by_key(|(name, _)| (*name).clone());
    for (name, row) in hosts {
        let facts = Attribute::ALL.into_iter();
        let facts: Vec<String> = facts.filter_map(|f| Some(format!("{f} {}", row.describe(f)?))).collect();
        writeln!(out, "  {name}: {}", facts.join(", ")).expect("a string");
    }
    out
}

fn mapped(target: ColumnTarget, column: &str) -> MappedColumn {
    MappedColumn { target, column: column.into() }
}

fn csv(bytes: impl Into<Vec<u8>>) -> String {
    told(&file("hosts.csv", bytes), &ReadOptions::default())
}

fn yaml(bytes: impl Into<Vec<u8>>) -> String {
    told(&file("hosts.yml", bytes), &ReadOptions::default())
}

#[test]
fn a_table_is_read_in_any_order_with_other_columns_comments_and_quotes() {
    let table = "\u{feff}# the club's own\r\n\r\nrack,Weight,HOST,pod,zone,note\r\nr1,0.5,w01.Kista.example.org.,3,kista,\"a, \"\"b\"\"\nc\"\r\n\
                 # between\r\n\"r2\", 1 ,w02.kista.example.org,07,solna,\r\n,,w03.kista.example.org,,,\r\n";
    assert_snapshot!(csv(table), @r"
      w01.kista.example.org: zone kista, pod 3, weight 0.5
      w02.kista.example.org: zone solna, pod 7, weight 1
      w03.kista.example.org: 
    ");
    let mut options = ReadOptions { delimiter: Delimiter::Semicolon, ..ReadOptions::default() };
    options.mapping.host = Some("Server".into());
    options.mapping.columns = vec![
        mapped(ColumnTarget::Attribute(Attribute::Zone), "datacentre"),
        mapped(ColumnTarget::Label("rack".into()), "rack"),
    ];
    let table = "server;datacentre;zone;rack;labels\nw1;kista;other;r 1;a=b;\nw2;solna;;r2;c=d\n";
    assert_snapshot!(told(&file("hosts.csv", table), &options), @r"
    hosts.csv:2:1: has 6 fields, the header 5; the line is left out
      w2: zone solna, labels c=d;rack=r2
    ");
    assert_snapshot!(csv("host\tzone\nw1\tkista\n"), @"  w1: zone kista");
}

#[test]
fn each_bad_line_of_a_table_is_named_and_the_others_hold() {
    let table = b"host,zone,pod,kind,weight,slots\n\
        ok.example.org,kista,1,std-2c,1,2\n\
        zone.example.org,malm\xc3\xb6,1,std-2c,1,2\n\
        kind.example.org,kista,1,huge,1,2\n\
        low.example.org,kista,1,std-2c,-1,2\n\
        comma.example.org,kista,1,std-2c,\"0,5\",2\n\
        much.example.org,kista,1,std-2c,1e9,2\n\
        nan.example.org,kista,1,std-2c,NaN,2\n\
        half.example.org,kista,1,std-2c,1,1.5\n\
        none.example.org,kista,1,std-2c,1,0\n\
        pod.example.org,kista,a b,std-2c,1,2\n\
        two words,kista,1,std-2c,1,2\n\
        ,kista,1,std-2c,1,2\n\
        -..example.org,kista,1,std-2c,1,2\n\
        short.example.org,kista\n\
        lat\xe9in.example.org,kista,1,std-2c,1,2\n\
        cell.example.org,kista,\xff,std-2c,1,2\n\
        t.example.org,kista,{{ pod }},std-2c,1,2\n";
    assert_snapshot!(csv(&table[..]));
}

// Guards the rule that nothing is guessed: two lines that differ leave the fact unknown, and name
// each other.
#[test]
fn a_host_that_stands_twice_is_told_with_both_lines() {
    let table = "host,zone,pod,weight\nw07.kista.example.org,kista,3,1\nw08.kista.example.org,kista,3,1\n\
                 W07.KISTA.example.org.,kista,4,1\nw08.kista.example.org,kista,3,1\nw07.kista.example.org,kista,5,1\n\
                 w08.kista.example.org,kista,3,\n";
    assert_snapshot!(csv(table), @r"
    hosts.csv:4:30: pod: w07.kista.example.org stands at hosts.csv:2:29 already with another pod: unknown (3 or 4); the fact counts as unknown
    hosts.csv:5:1: host: w08.kista.example.org stands at hosts.csv:3:1 already, without contradiction; the line holds
    hosts.csv:6:29: pod: w07.kista.example.org stands at hosts.csv:2:29 already with another pod: unknown (3 or 4 or 5); the fact counts as unknown
    hosts.csv:7:1: host: w08.kista.example.org stands at hosts.csv:3:1 already, without contradiction; the line holds
      w07.kista.example.org: zone kista, pod unknown (3 or 4 or 5), weight 1
      w08.kista.example.org: zone kista, pod 3, weight 1
    ");
}

#[test]
fn a_table_that_can_not_be_used_at_all_says_why() {
    let mut out = String::new();
    let mut case = |what: &str, bytes: &[u8], options: &ReadOptions| {
        write!(out, "{what}: {}", told(&file("hosts.csv", bytes), options)).expect("a string");
    };
    let plain = ReadOptions::default();
    case("empty", b"", &plain);
    case("only comments", b"# nothing\n\n#\n", &plain);
    case("no host", b"zone,pod\nkista,3\n", &plain);
    case("twice", b"host,pod,zone,POD\nw1,1,kista,2\n", &plain);
    case("quote", b"host,zone\nw1,kista\nw2,\"kista\nw3,kista\n", &plain);
    case("utf-16", b"\xff\xfeh\0o\0s\0t\0\n\0", &plain);
    case("too many", b"host\na\nb\nc\n", &ReadOptions { max_hosts: 2, ..ReadOptions::default() });
    let mut options = ReadOptions::default();
    options.mapping.columns = vec![mapped(ColumnTarget::Attribute(Attribute::Pod), "group")];
    case("no such column", b"host,pod\nw1,3\n", &options);
    let none = told(&InventoryFiles::default(), &plain);
    write!(out, "none: {none}").expect("a string");
    assert_snapshot!(out);
}

#[test]
fn a_plain_list_in_yaml_is_read_with_its_faults() {
    let list = "# a list\nhosts:\n  - host: w01.kista.example.org\n    zone: kista\n    pod: 03\n    labels: {rack: r1, note: \"x; y\"}\n  - {host: w02, \
                zone: malmo}\n  - w03\n  - host: w04\n    weight: [1]\n  - zone: kista\n  - host: w05\n    host: w06\n  - [w07]\n  - ~\n  - host: \
                w08\n    weight: \"0.5\"\n    slots: 4\n  - host: w09\n    pod: !vault secret\n  - host: w10\n    pod: 1\n    pod: 2\n  - host: ~\n";
    assert_snapshot!(yaml(list));
    assert_snapshot!(yaml("- host: a\n  zone: kista\n- b\n"), @r"
      a: zone kista
      b: 
    ");
}

#[test]
fn yaml_that_can_not_be_used_at_all_says_why() {
    let mut out = String::new();
    let mut case = |what: &str, bytes: &[u8]| {
        write!(out, "{what}: {}", yaml(bytes)).expect("a string");
    };
    case("empty", b"");
    case("word", b"just a word\n");
    case("syntax", b"all:\n  hosts:\n    w1: {zone: kista\n    w2:\n");
    case("tab", b"all:\n\thosts:\n");
    case("not utf-8", b"all:\n  hosts:\n    w\xff1:\n");
    case("vault", b"$ANSIBLE_VAULT;1.1;AES256\n6162\n");
    case("deep", format!("{}x{}", "[".repeat(100), "]".repeat(100)).as_bytes());
    case("unknown alias", b"- *nobody\n");
    case("laughs", LAUGHS.as_bytes());
    case("circle", b"all:\n  children:\n    a:\n      children:\n        b:\n          children:\n            c:\n              children:\n                a:\n");
    case("own child", b"a:\n  children:\n    a:\n");
    case("hosts in a list", b"all:\n  hosts: [w1, w2]\n");
    case("vars in a list", b"all:\n  vars: [a, b]\n");
    case("group", b"all: [w1]\n");
    case("long range", b"all:\n  hosts:\n    w[1:200000]:\n");
    case("many hosts", b"all:\n  hosts:\n    a[1:60000]:\n    b[1:60000]:\n");
    assert_snapshot!(out);
}

const LAUGHS: &str = "a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b]\n\
    d: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c]\ne: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d]\nf: &f [*e,*e,*e,*e,*e,*e,*e,*e,*e]\n\
    g: &g [*f,*f,*f,*f,*f,*f,*f,*f,*f]\nh: &h [*g,*g,*g,*g,*g,*g,*g,*g,*g]\n";

#[test]
fn groups_are_read_with_ranges_children_and_faults() {
    let inventory = "all:\n  vars:\n    kind: std-2c\n  children:\n    stockholm:\n      vars: {zone: kista}\n      children:\n        north:\n          \
        hosts:\n            w[01:03].kista.example.org:\n            w04.kista.example.org:22:\n              weight: 0.5\n          vars: {pod: 4}\n        \
        south:\n          hosts:\n            w03.kista.example.org: {pod: 9}\n            w05.kista.example.org: {weight: heavy}\n            db-[a:c].x: ~\n\
        \x20           bad[3:1].x:\n            bad[1:2.x:\n            bad[01:100].x:\n            s[0:6:3].x:\n          vars: {pod: 5, slots: 0}\n          \
        colour: red\n    east:\n      children:\n        north:\n";
    assert_snapshot!(yaml(inventory));
}

// Guards the order in which variables count, as Ansible documents it, and the one case that is not
// left to the alphabet.
#[test]
fn variables_count_in_the_documented_order() {
    let main = "all:\n  vars: {weight: 1}\n  hosts:\n    own: {weight: 6}\n    folder: {weight: 6}\n  children:\n    parent:\n      vars: {weight: 2}\n      \
        hosts:\n        parent1:\n      children:\n        child:\n          vars: {weight: 3}\n          hosts: {child1: , own: , folder: , twice: , prio: }\n    \
        b_sibling:\n      vars: {weight: 7, zone: solna}\n      hosts: {sib: , prio: }\n    a_sibling:\n      vars: {weight: 8, zone: solna}\n      hosts: {sib: }\n    \
        strong:\n      vars: {weight: 9, ansible_group_priority: 10}\n      hosts: {sib2: }\n    weak:\n      vars: {weight: 9.5}\n      hosts: {sib2: }\n    \
        filed:\n      vars: {weight: 4}\n      hosts: {filed1: }\n";
    let mut files = file("hosts.yml", main);
    files.group_vars.insert(
        "filed".into(),
        vec![
            text("group_vars/filed/a.yml", "weight: 5\nslots: 2\n"),
            text("group_vars/filed/b.yml", "weight: 5.5\n"),
        ],
    );
    files.group_vars.insert("all".into(), vec![text("group_vars/all.yml", "pod: 1\n")]);
    files.host_vars.insert("folder".into(), vec![text("host_vars/folder.yml", "weight: 7.5\npod: 2\n")]);
    assert_snapshot!(told(&files, &ReadOptions::default()));
}

#[test]
fn broken_variables_beside_an_inventory_refuse_it_whole() {
    let mut files = file("hosts.yml", "all:\n  hosts: {w1: }\n");
    files.group_vars.insert("all".into(), vec![text("group_vars/all.yml", "pod: [1\nzone: kista\n")]);
    files.group_vars.insert("others".into(), vec![text("group_vars/others.yml", "{{{{")]);
    assert_snapshot!("broken_group_vars", told(&files, &ReadOptions::default()));
    files.group_vars.insert("all".into(), vec![text("group_vars/all.yml", "- a\n")]);
    assert_snapshot!("group_vars_that_are_no_variables", told(&files, &ReadOptions::default()));
    // Of a group that the inventory does not know nothing is read.
    files.group_vars.insert("all".into(), vec![text("group_vars/all.yml", "pod: 4\n")]);
    assert_snapshot!(told(&files, &ReadOptions::default()), @"  w1: pod 4");
}

#[test]
fn anchors_aliases_and_merge_keys_are_followed() {
    let inventory = "x-north: &north {zone: kista, pod: 3}\nall:\n  hosts:\n    w1:\n      <<: *north\n      pod: 4\n    w2: *north\n    w3: {<<: [*north, {slots: 2}]}\n";
    assert_snapshot!(yaml(inventory));
}

#[test]
fn a_form_that_is_named_goes_before_the_ending() {
    let options = |form| ReadOptions { form: Some(form), ..ReadOptions::default() };
    assert_snapshot!(told(&file("hosts.txt", "- w1\n"), &options(Form::Hosts)), @"  w1:");
    assert_snapshot!(told(&file("hosts.txt", "a:\n  hosts: {w1: }\n"), &options(Form::Ansible)), @"  w1:");
    assert_snapshot!(told(&file("hosts.yml", "host\nw1\n"), &options(Form::Csv)), @"  w1:");
    assert_snapshot!(told(&file("hosts.yml", "- w1\n"), &options(Form::Ansible)), @"hosts.yml:1:1: is a list, neither a list of hosts nor a mapping of groups; nothing of the file is taken");
}
