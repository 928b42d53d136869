//! Every keyword of `spanlead.conf`: what it is read as, its default, and what is said where it
//! can't be used. Operators'
//! files go on through every version.
#[allow(dead_code, reason = "each crate uses a part of it")]
#[path = "../../wal/tests/golden/data.rs"]
mod golden;

use spanlead_conf_file::{
    ChangeDetection, ConfFile, Delimiter, DurableLogSettings, InventoryForm, InventorySettings, LogFormat,
    LogLevel, LogSettings, MembershipSettings, RecordedJobs, RoleLeaseSettings, RoleSettings, parse,
};
use std::fmt::Display;

/// All keywords, none with its default.
const FULL: &str = "\
log
  format json
  level debug
ledger
  folder /srv/ledger
  sync no
  gather 3ms
  durable all
  lease 11s
  clock-bound 251ms
  keep 121s
  jobs 200001
  disk 2GiB
  segment 17MiB
inventory clubs
  file /etc/hosts.csv
  format ansible
  delimiter semicolon
  field host hostname
  field zone z
  field pod p
  field kind k
  field weight w
  field slots s
  field labels l
  field label.rack rack
  default kind std-2c
  default weight 0.5
  default slots 3
  weight file-first
  size 65MiB
  hosts 20001
  refuse-over 11%
  hold-over 26%
  keep /srv/inventory
  history 11
  watch poll
  poll 6s
  settle 501ms
membership
  every 101ms
  fanout 5
  loss 31%
  tier other
leases
  lease 4s
  clock-bound 301ms
  patience 201ms
  joint-with 3
duty nightly-export
  call http://127.0.0.1:9000/export?x=1
  every 2s
";

/// All sections, with what they can't be without.
const LEAST: &str = "\
log
ledger
  folder /srv/ledger
inventory clubs
  file /etc/hosts.csv
membership
leases
duty nightly-export
  call http://127.0.0.1:9000
";

fn read(text: &str) -> ConfFile {
    parse("spanlead.conf", text.as_bytes()).unwrap_or_else(|errors| panic!("{errors}"))
}

struct Lines(String);

impl Lines {
    fn put(&mut self, keyword: &str, value: impl Display) {
        self.0.push_str(&format!("{keyword}\t{value}\n"));
    }

    fn put_option(&mut self, keyword: &str, value: Option<impl Display>) {
        match value {
            Some(value) => self.put(keyword, value),
            None => self.put(keyword, "not set"),
        }
    }

    fn pairs<'a>(&mut self, keyword: &str, values: impl Iterator<Item = (&'a String, &'a String)>) {
        let values: Vec<String> = values.map(|(name, value)| format!("{name} {value}")).collect();
        self.put(keyword, values.join(", "));
    }

    fn log(&mut self, log: &LogSettings) {
        let format = match log.format {
            LogFormat::Text => "text",
            LogFormat::Json => "json",
        };
        self.put("log format", format);
        let level = match log.level {
            LogLevel::Error => "error",
            LogLevel::Warn => "warn",
            LogLevel::Info => "info",
            LogLevel::Debug => "debug",
        };
        self.put("log level", level);
    }

    fn ledger(&mut self, ledger: &DurableLogSettings) {
        self.put("ledger folder", ledger.directory.display());
        self.put("ledger sync", ledger.sync_on_commit);
        self.put("ledger gather", format!("{:?}", ledger.group_delay));
        let durable = match ledger.recorded_jobs {
            RecordedJobs::Keyed => "keyed",
            RecordedJobs::All => "all",
        };
        self.put("ledger durable", durable);
        self.put("ledger lease", format!("{:?}", ledger.lease_duration));
        self.put("ledger clock-bound", format!("{:?}", ledger.clock_drift_bound));
        self.put("ledger keep", format!("{:?}", ledger.retention));
        self.put("ledger jobs", ledger.max_jobs);
        self.put("ledger disk", ledger.max_disk_bytes);
        self.put("ledger segment", ledger.max_segment_bytes);
    }

    fn inventory(&mut self, inventory: &InventorySettings) {
        self.put("inventory", &inventory.name);
        self.put("inventory file", inventory.file.display());
        let form = inventory.form.map(|form| match form {
            InventoryForm::Csv => "csv",
            InventoryForm::Hosts => "hosts",
            InventoryForm::Ansible => "ansible",
        });
        self.put_option("inventory format", form);
        let delimiter = match inventory.delimiter {
            Delimiter::Auto => "auto",
            Delimiter::Comma => "comma",
            Delimiter::Semicolon => "semicolon",
            Delimiter::Tab => "tab",
        };
        self.put("inventory delimiter", delimiter);
        self.pairs(
            "inventory field",
            inventory.columns.iter().map(|column| (&column.attribute, &column.column)),
        );
        self.pairs(
            "inventory default",
            inventory.defaults.iter().map(|default| (&default.attribute, &default.value)),
        );
        self.put("inventory weight file-first", inventory.weight_first);
        self.put("inventory size", inventory.max_bytes);
        self.put("inventory hosts", inventory.max_hosts);
        self.put("inventory refuse-over", inventory.max_skipped_fraction);
        self.put("inventory hold-over", inventory.max_changed_fraction);
        self.put_option("inventory keep", inventory.archive_directory.as_ref().map(|path| path.display()));
        self.put("inventory history", inventory.max_archived_versions);
        let watch = match inventory.change_detection {
            ChangeDetection::Notify => "notify",
            ChangeDetection::Poll => "poll",
            ChangeDetection::Manual => "no",
        };
        self.put("inventory watch", watch);
        self.put("inventory poll", format!("{:?}", inventory.poll_interval));
        self.put("inventory settle", format!("{:?}", inventory.settle_time));
    }

    fn membership(&mut self, membership: &MembershipSettings) {
        self.put("membership", &membership.location);
        self.put("membership every", format!("{:?}", membership.heartbeat_interval));
        self.put("membership fanout", membership.fanout);
        self.put("membership loss", membership.tolerated_loss);
        self.put("membership tier", &membership.tier);
    }

    fn leases(&mut self, leases: &RoleLeaseSettings) {
        self.put("leases lease", format!("{:?}", leases.lease_duration));
        self.put("leases clock-bound", format!("{:?}", leases.clock_drift_bound));
        self.put("leases patience", format!("{:?}", leases.reply_timeout));
        let joint =
            leases.joint_quorum.as_ref().map(|joint| format!("{} ({})", joint.schedulers, joint.location));
        self.put_option("leases joint-with", joint);
    }

    fn duty(&mut self, duty: &RoleSettings) {
        self.put("duty", format!("{} ({})", duty.name, duty.location));
        self.put("duty call", format!("{} {}", duty.call.address, duty.call.path));
        self.put("duty every", format!("{:?}", duty.call_interval));
    }
}

fn shown(conf: &ConfFile) -> String {
    let mut lines = Lines(String::new());
    lines.log(&conf.log);
    conf.durable_log.iter().for_each(|ledger| lines.ledger(ledger));
    conf.inventories.iter().for_each(|inventory| lines.inventory(inventory));
    conf.membership.iter().for_each(|membership| lines.membership(membership));
    lines.leases(&conf.role_leases);
    conf.roles.iter().for_each(|duty| lines.duty(duty));
    lines.0
}

#[test]
fn every_keyword_is_read_as_ever() {
    golden::assert_text("full.txt", &shown(&read(FULL)));
}

#[test]
fn every_default_is_as_ever() {
    golden::assert_text("defaults.txt", &shown(&read(LEAST)));
    golden::assert_text("empty.txt", &shown(&read("")));
}

// Guards the example that operators begin with: it is good, and says of the defaults what they are.
#[test]
fn the_example_is_read_as_ever() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../../deploy/spanlead.conf.example");
    let text = std::fs::read_to_string(path).expect("the example");
    golden::assert_text("example.txt", &shown(&read(&text)));
}

/// Each word that a keyword takes, where it takes one of some.
#[test]
fn every_word_is_taken() {
    let choices = [
        ("log", "format", "text json"),
        ("log", "level", "error warn info debug"),
        ("ledger\n folder /x", "sync", "yes no"),
        ("ledger\n folder /x", "durable", "keyed all"),
        ("inventory a\n file /x", "format", "csv hosts ansible"),
        ("inventory a\n file /x", "delimiter", "auto comma semicolon tab"),
        ("inventory a\n file /x", "weight", "list-first file-first"),
        ("inventory a\n file /x", "watch", "notify poll no"),
    ];
    let mut said = String::new();
    for (section, keyword, words) in choices {
        for word in words.split(' ') {
            read(&format!("{section}\n {keyword} {word}\n"));
        }
        let errors = parse("f", format!("{section}\n {keyword} ?\n").as_bytes()).expect_err("no such word");
        said.push_str(&format!("{errors}\n"));
    }
    golden::assert_text("choices.txt", &said);
}

/// Faulty files, a line of each section or more at a time.
const FAULTY: [&str; 14] = [
    " stray",
    "ledgre",
    "ledger",
    "ledger\n folder /x\n leese 1s\n lease 1ms\n clock-bound 61s\n gather 101ms\n keep 25h\n jobs 1\n disk 1KiB\n segment 2GiB",
    "ledger\n folder /x\n lease 1s\n clock-bound 1s\n disk 64MiB\n segment 17MiB",
    "ledger\n folder",
    "inventory\n file /x",
    "inventory a\n file /x\n field colour c\n field zone z\n field pod Z\n default zone x\n default weight 0\n default slots 0",
    "inventory a\n file /x\n size 1B\n hosts 0\n refuse-over 101%\n hold-over 1\n history 0\n poll 1ms\n settle 61s",
    "inventory a\n file /x\ninventory a\n file /y",
    "membership here\n every 1ms\n fanout 65\n loss x%\n tier",
    "leases\n lease 200ms\n clock-bound 200ms\n patience 100ms\n joint-with 0",
    "membership\nduty a\n call 127.0.0.1:1\nduty b\n call http://nowhere/\nduty c\n every 1ms\nduty",
    "duty a\n call http://127.0.0.1:1",
];

#[test]
fn what_is_wrong_is_said_in_these_words() {
    let said = FAULTY.map(|text| {
        let errors = parse("spanlead.conf", text.as_bytes()).expect_err("it is faulty");
        format!("{text}\n----\n{errors}\n====\n")
    });
    golden::assert_text("errors.txt", &said.concat());
}
