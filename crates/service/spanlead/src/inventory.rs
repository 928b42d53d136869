//! `spanlead inventory`: inventories looked at without a scheduler, and a scheduler's inventories from outside.
use crate::config::Config;
use clap::{Args, Subcommand, ValueEnum};
use comfy_table::{Table, presets};
use spanlead_conf_file::{self as conf, Inventory};
use spanlead_inventory::archive::Archive;
use spanlead_inventory::convert::{self, To};
use spanlead_inventory::desk::{defaults, examine};
use spanlead_net::wire::EndpointList;
use spanlead_worker_attributes::{
    Defaults, Done, Fact, Judged, LiveHost, Report, Schema, Sheet, Source, Version, Vocabulary, diff,
    document, normal, provenance, reconcile,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

type Failure = Box<dyn std::error::Error>;

/// What is done with inventories.
#[derive(Subcommand)]
pub enum InventoryCommand {
    /// Read files and say what is wrong with them, line by line. Fails if a line, a fact or a file is refused.
    Check {
        #[command(flatten)]
        which: Which,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show what is known of hosts, and by whose word.
    Show {
        /// Only this host.
        host: Option<String>,
        #[command(flatten)]
        which: Which,
        #[command(flatten)]
        live: Live,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Compare files with the live list: hosts that only one of them names, and facts on which they differ.
    Report {
        #[command(flatten)]
        which: Which,
        #[command(flatten)]
        live: Live,
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// The most findings that are shown.
        #[arg(long, default_value_t = 1000)]
        most: usize,
    },
    /// Show what differs between two files, or between two kept versions (`--kept 3 4`).
    Diff {
        /// The old file.
        old: Option<PathBuf>,
        /// The new one.
        new: Option<PathBuf>,
        /// Two kept versions instead, by their numbers; the inventory is named by `--conf` and `--name`.
        #[arg(long, num_args = 2, value_names = ["OLD", "NEW"])]
        kept: Option<Vec<u64>>,
        #[command(flatten)]
        how: How,
        #[command(flatten)]
        set: Set,
    },
    /// Write a file anew in another form. Facts in dispute and lines that are refused are left out.
    Convert {
        file: PathBuf,
        /// The form.
        #[arg(long, value_enum)]
        to: Form,
        #[command(flatten)]
        how: How,
    },
    /// Print the JSON Schema of a host's facts.
    Schema {
        #[command(flatten)]
        how: How,
    },
    /// List the versions that are kept.
    History {
        #[command(flatten)]
        set: Set,
    },
    /// Let a serving scheduler use the version that it holds back.
    Accept {
        /// The inventory.
        name: String,
        /// How the version's digest begins, as the scheduler shows it.
        digest: String,
        /// The scheduler's door for operators.
        #[arg(long)]
        at: SocketAddr,
    },
}

/// The form to write.
#[derive(Clone, Copy, ValueEnum)]
pub enum Form {
    /// A table.
    Csv,
    /// A list of hosts in YAML.
    Yaml,
    /// A JSON array.
    Json,
}

/// How a file is read that no settings name.
#[derive(Args, Clone)]
pub struct How {
    /// Its form; by its name's ending and its shape if not given.
    #[arg(long, value_parser = ["csv", "hosts", "ansible"])]
    format: Option<String>,
    /// A column or key with another name: FACT=NAME, for `host`, a fact, or `label.NAME`.
    #[arg(long = "field", value_name = "FACT=NAME")]
    fields: Vec<String>,
    /// The zones that there are; any, if not given.
    #[arg(long, value_delimiter = ',')]
    zones: Vec<String>,
    /// The kinds of machine that there are; any, if not given.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<String>,
}

/// Inventories that settings name.
#[derive(Args, Clone)]
pub struct Set {
    /// The operators' settings.
    #[arg(long, value_name = "FILE")]
    conf: Option<PathBuf>,
    /// Only this inventory of them.
    #[arg(long)]
    name: Option<String>,
}

/// A file, or those that settings name.
#[derive(Args, Clone)]
pub struct Which {
    /// A file that no settings name.
    #[arg(long)]
    file: Option<PathBuf>,
    #[command(flatten)]
    how: How,
    #[command(flatten)]
    set: Set,
}

/// Where the live list comes from.
#[derive(Args, Clone)]
pub struct Live {
    /// A scheduler's door for operators: its list, files and differences as they are there now.
    #[arg(long, conflicts_with = "list")]
    at: Option<SocketAddr>,
    /// The list in a file, as discovery writes it. Without, the one in `$ROUTER_CONFIG`, if that is set.
    #[arg(long, value_name = "FILE")]
    list: Option<PathBuf>,
}

impl InventoryCommand {
    /// Does it.
    pub fn run(self) -> Result<(), Failure> {
        match self {
            InventoryCommand::Check { which, json } => check(&which, json),
            InventoryCommand::Show { host, which, live, json } => show(host, &which, &live, json),
            InventoryCommand::Report { which, live, json, most } => report(&which, &live, json, most),
            InventoryCommand::Diff { old, new, kept, how, set } => differences(old, new, kept, &how, &set),
            InventoryCommand::Convert { file, to, how } => convert_file(file, to, &how),
            InventoryCommand::Schema { how } => {
                println!("{}", serde_json::to_string_pretty(&document(&how.vocabulary()?))?);
                Ok(())
            }
            InventoryCommand::History { set } => history(&set),
            InventoryCommand::Accept { name, digest, at } => {
                println!(
                    "{}",
                    crate::operator_client::call(
                        at,
                        "POST",
                        &format!("/ops/inventory/{name}/accept/{digest}")
                    )?
                );
                Ok(())
            }
        }
    }
}

impl How {
    /// The zones and kinds that were given, or else those of the platform's configuration, or else any.
    fn vocabulary(&self) -> Result<Vocabulary, Failure> {
        let some = |words: &[String]| (!words.is_empty()).then(|| words.to_vec());
        let mut vocabulary = Vocabulary { zones: some(&self.zones), kinds: some(&self.kinds) };
        if std::env::var_os("ROUTER_CONFIG").is_some_and(|v| !v.is_empty()) {
            let names = Config::from_environment()?.deployment.names;
            vocabulary.zones = vocabulary.zones.or(Some(names.zones));
            vocabulary.kinds = vocabulary.kinds.or(Some(names.kinds));
        }
        Ok(vocabulary)
    }

    /// The settings that this would have as a section.
    fn inventory(&self, file: &Path) -> Result<Inventory, Failure> {
        let quoted = |text: &str| format!("'{}'", text.replace('\'', r"'\''"));
        let mut text = format!("inventory file\n  file {}\n", quoted(&file.to_string_lossy()));
        if let Some(format) = &self.format {
            text.push_str(&format!("  format {format}\n"));
        }
        for field in &self.fields {
            let (fact, name) =
                field.split_once('=').ok_or_else(|| format!("--field {field}: not FACT=NAME"))?;
            text.push_str(&format!("  field {} {}\n", quoted(fact), quoted(name)));
        }
        let conf = conf::parse("command line", text.as_bytes()).map_err(|e| e.to_string())?;
        conf.inventories.into_iter().next().ok_or_else(|| "no file".into())
    }
}

impl Set {
    fn inventories(&self) -> Result<Vec<Inventory>, Failure> {
        let Some(path) = &self.conf else { return Err("give --file FILE, or --conf FILE".into()) };
        let conf = conf::read(path).map_err(|errors| format!("the settings can't be used:\n{errors}"))?;
        let all = conf.inventories.into_iter().filter(|i| self.name.as_ref().is_none_or(|n| *n == i.name));
        let all: Vec<Inventory> = all.collect();
        match (all.is_empty(), &self.name) {
            (false, _) => Ok(all),
            (true, Some(name)) => Err(format!("{}: no section `inventory {name}`", path.display()).into()),
            (true, None) => Err(format!("{}: no section `inventory NAME`", path.display()).into()),
        }
    }

    fn only(&self) -> Result<Inventory, Failure> {
        let mut all = self.inventories()?;
        match all.len() {
            1 => Ok(all.remove(0)),
            _ => Err("there are several inventories: give --name".into()),
        }
    }
}

impl Which {
    fn inventories(&self) -> Result<Vec<Inventory>, Failure> {
        match &self.file {
            Some(file) => Ok(vec![self.how.inventory(file)?]),
            None => self.set.inventories(),
        }
    }

    /// All of them, read and judged.
    fn examined(&self) -> Result<Vec<(Inventory, Judged, String)>, Failure> {
        let schema = Schema::new(&self.how.vocabulary()?)?;
        let one = |inventory: Inventory| {
            let (judged, digest) = examine(&inventory, &schema)
                .map_err(|_| format!("{}: changes while it is read", inventory.file.display()))?;
            Ok((inventory, judged, digest))
        };
        self.inventories()?.into_iter().map(one).collect()
    }

    /// What they say together. A file that can't be used adds nothing, and says so.
    fn sheet(&self) -> Result<Sheet, Failure> {
        let mut sheet = Sheet { sources: Vec::new(), defaults: Defaults::default() };
        let mut settings = Vec::new();
        for (inventory, judged, digest) in self.examined()? {
            if let Some(refusal) = judged.refused() {
                eprintln!("spanlead: {}", refusal.show(&judged.files));
            }
            let version = Arc::new(version(judged, digest));
            let (name, weight_first) = (Arc::from(inventory.name.as_str()), inventory.weight_first);
            sheet.sources.push(Source { name, weight_first, version });
            settings.push(inventory);
        }
        sheet.defaults = defaults(&settings);
        Ok(sheet)
    }
}

fn version(judged: Judged, digest: String) -> Version {
    let Judged { files, rows, refusals, .. } = judged;
    Version { number: 0, digest, read_ms: unix_ms(), files, rows, refusals }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Live {
    fn hosts(&self) -> Result<Vec<LiveHost>, Failure> {
        if let Some(path) = &self.list {
            let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
            let list = EndpointList::decode(&text)
                .ok_or_else(|| format!("{}: is no list of workers", path.display()))?;
            return Ok(list.live_hosts());
        }
        if std::env::var_os("ROUTER_CONFIG").is_some_and(|v| !v.is_empty()) {
            return Ok(Config::known_endpoints()?.live_hosts());
        }
        Ok(Vec::new())
    }
}

fn check(which: &Which, json: bool) -> Result<(), Failure> {
    let mut refused = 0;
    for (inventory, judged, digest) in which.examined()? {
        let bad = judged.refusals.iter().filter(|r| r.done != Done::Nothing).count();
        refused += bad;
        if json {
            let shown = judged.refusals.iter().map(|r| {
                serde_json::json!({
                    "file": judged.files.get(usize::from(r.at.file)), "line": r.at.line, "column": r.at.column,
                    "key": r.key, "reason": r.reason, "done": r.done,
                })
            });
            let shown: Vec<_> = shown.collect();
            let (hosts, lines) = (judged.rows.len(), judged.entries);
            println!(
                "{}",
                serde_json::json!({"inventory": inventory.name, "digest": digest, "lines": lines, "hosts": hosts,
                    "refusals": shown})
            );
            continue;
        }
        for refusal in &judged.refusals {
            println!("{}", refusal.show(&judged.files));
        }
        let warnings = judged.refusals.len() - bad;
        println!(
            "{}: {} lines, {} hosts, {bad} refusals, {warnings} warnings",
            inventory.file.display(),
            judged.entries,
            judged.rows.len()
        );
    }
    match refused {
        0 => Ok(()),
        1 => Err("one refusal".into()),
        n => Err(format!("{n} refusals").into()),
    }
}

fn table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header);
    table
}

fn show(host: Option<String>, which: &Which, live: &Live, json: bool) -> Result<(), Failure> {
    if let Some(at) = live.at {
        let host = host.ok_or("with --at, name a host")?;
        let text = crate::operator_client::call(at, "GET", &format!("/ops/inventory/hosts/{host}"))?;
        if json {
            println!("{text}");
            return Ok(());
        }
        let view: serde_json::Value = serde_json::from_str(&text)?;
        let word = |v: &serde_json::Value| v.as_str().unwrap_or("-").to_owned();
        println!("{} is {}", word(&view["host"]), word(&view["state"]));
        let mut shown = table(["fact", "value", "from", "list", "file"]);
        for known in view["facts"].as_array().into_iter().flatten() {
            let file = known["file"]
                .as_array()
                .map_or("-".to_owned(), |f| format!("{} at {}", word(&f[0]), word(&f[1])));
            shown.add_row([
                word(&known["fact"]),
                word(&known["value"]),
                word(&known["from"]),
                word(&known["list"]),
                file,
            ]);
        }
        println!("{shown}");
        return Ok(());
    }
    let (sheet, live) = (which.sheet()?, live.hosts()?);
    let mut hosts = live;
    for source in &sheet.sources {
        for name in source.version.rows.keys() {
            if !hosts.iter().any(|h| h.normal == *name) {
                hosts.push(LiveHost {
                    name: name.clone(),
                    normal: name.clone(),
                    gone_ms: Some(0),
                    ..LiveHost::default()
                });
            }
        }
    }
    hosts.sort_by(|a, b| a.normal.cmp(&b.normal));
    if let Some(host) = &host {
        let wanted = normal(host).map_err(|why| format!("{host:?} {why}"))?;
        hosts.retain(|h| *h.normal == *wanted);
        if hosts.is_empty() {
            return Err(format!("neither the list nor a file names {host:?}").into());
        }
    }
    let mut shown = table(["host", "fact", "value", "from", "list", "file"]);
    for host in &hosts {
        let facts = provenance(host, &sheet);
        if json {
            println!(
                "{}",
                serde_json::json!({"host": host.name, "live": host.gone_ms.is_none(), "facts": facts})
            );
            continue;
        }
        let name =
            if host.gone_ms.is_none() { host.name.to_string() } else { format!("{} (not live)", host.name) };
        for known in facts.into_iter().filter(|k| k.value.is_some() || k.file.is_some()) {
            let or = |text: Option<String>| text.unwrap_or_else(|| "-".into());
            let file = known.file.map(|(value, at)| format!("{value} at {at}"));
            let fact = known.fact.to_string();
            shown.add_row([name.clone(), fact, or(known.value), known.from, or(known.list), or(file)]);
        }
    }
    if !json {
        println!("{shown}");
    }
    Ok(())
}

fn report(which: &Which, live: &Live, json: bool, most: usize) -> Result<(), Failure> {
    if let Some(at) = live.at {
        let text = crate::operator_client::call(at, "GET", "/ops/inventory")?;
        if json {
            println!("{text}");
            return Ok(());
        }
        let view: serde_json::Value = serde_json::from_str(&text)?;
        for inventory in view["inventories"].as_array().into_iter().flatten() {
            let name = inventory["name"].as_str().unwrap_or("?");
            let version = &inventory["version"];
            match version["number"].as_u64() {
                Some(number) => println!(
                    "{name}: version {number}, {} hosts, {} refusals, read {} s ago",
                    version["hosts"],
                    version["refusals"],
                    version["age_ms"].as_u64().unwrap_or(0) / 1000
                ),
                None => println!("{name}: no version is in use"),
            }
            for (key, word) in [("held", "HELD BACK"), ("refused", "REFUSED")] {
                if let Some(why) = inventory[key]["why"].as_str() {
                    let digest = inventory[key]["digest"].as_str().unwrap_or("?");
                    let stood = inventory[key]["stood_ms"].as_u64().unwrap_or(0) / 1000;
                    println!("{name}: {word} for {stood} s, {digest}: {why}");
                }
            }
        }
        print_findings(&view["report"]);
        return Ok(());
    }
    let (sheet, live) = (which.sheet()?, live.hosts()?);
    let found: Report = reconcile(&live, &sheet, unix_ms(), most);
    let found = serde_json::to_value(&found)?;
    if json {
        println!("{found}")
    } else {
        print_findings(&found)
    }
    Ok(())
}

fn print_findings(report: &serde_json::Value) {
    let counts = &report["counts"];
    println!(
        "{} hosts in both; {} in a file and not live; {} live and in no file; {} facts differ, {} are disputed",
        counts["matched"], counts["not_live"], counts["not_in_file"], counts["differing"], counts["disputed"]
    );
    let mut shown = table(["what", "host", "fact", "list", "file", "where", "used", "stood"]);
    let word = |v: &serde_json::Value| v.as_str().unwrap_or("-").to_owned();
    for f in report["findings"].as_array().into_iter().flatten() {
        let stood = Duration::from_secs(f["stood_ms"].as_u64().unwrap_or(0) / 1000);
        let stood = humantime::format_duration(stood).to_string();
        let cells = ["what", "host", "fact", "live", "file", "at", "used"].map(|key| word(&f[key]));
        shown.add_row(cells.into_iter().chain([stood]));
    }
    println!("{shown}");
    if let Some(more) = report["left_out"].as_u64().filter(|n| *n > 0) {
        println!("and {more} more");
    }
}

fn differences(
    old: Option<PathBuf>,
    new: Option<PathBuf>,
    kept: Option<Vec<u64>>,
    how: &How,
    set: &Set,
) -> Result<(), Failure> {
    let (old, new) = match (old, new, kept) {
        (Some(old), Some(new), None) => {
            let schema = Schema::new(&how.vocabulary()?)?;
            let read = |path: &Path| -> Result<Version, Failure> {
                let (judged, digest) = examine(&how.inventory(path)?, &schema)
                    .map_err(|_| format!("{}: changes while it is read", path.display()))?;
                match judged.refused() {
                    Some(refusal) => Err(refusal.show(&judged.files).into()),
                    None => Ok(version(judged, digest)),
                }
            };
            (read(&old)?, read(&new)?)
        }
        (None, None, Some(kept)) => {
            let archive = archive(&set.only()?)?;
            (archive.read(kept[0])?, archive.read(kept[1])?)
        }
        _ => return Err("give two files, or --kept OLD NEW with --conf".into()),
    };
    let changes = diff(&old, &new);
    let mut shown = table(["host", "fact", "from", "to"]);
    let mut hosts: Vec<&str> = Vec::new();
    for change in &changes {
        hosts.push(&change.host);
        let or = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".into());
        let fact = change.fact.map_or("-".to_owned(), |f: Fact| f.to_string());
        shown.add_row([change.host.to_string(), fact, or(&change.from), or(&change.to)]);
    }
    hosts.dedup();
    if !changes.is_empty() {
        println!("{shown}");
    }
    println!("{} hosts differ ({} before, {} now)", hosts.len(), old.rows.len(), new.rows.len());
    Ok(())
}

fn convert_file(file: PathBuf, to: Form, how: &How) -> Result<(), Failure> {
    let schema = Schema::new(&how.vocabulary()?)?;
    let (judged, digest) = examine(&how.inventory(&file)?, &schema)
        .map_err(|_| format!("{}: changes while it is read", file.display()))?;
    for refusal in &judged.refusals {
        eprintln!("{}", refusal.show(&judged.files));
    }
    if judged.refused().is_some() {
        return Err("nothing is written".into());
    }
    let to = match to {
        Form::Csv => To::Csv,
        Form::Yaml => To::Yaml,
        Form::Json => To::Json,
    };
    convert::write(&version(judged, digest), to, std::io::stdout().lock())?;
    Ok(())
}

fn archive(inventory: &Inventory) -> Result<Archive, Failure> {
    let folder = inventory.keep.as_ref();
    let folder =
        folder.ok_or_else(|| format!("inventory {} keeps no versions: no `keep`", inventory.name))?;
    Ok(Archive::new(folder, &inventory.name, inventory.history))
}

fn history(set: &Set) -> Result<(), Failure> {
    let archive = archive(&set.only()?)?;
    let mut shown = table(["version", "digest", "hosts", "refusals", "read"]);
    for number in archive.numbers() {
        match archive.read(number) {
            Ok(version) => {
                let read = UNIX_EPOCH + Duration::from_millis(version.read_ms);
                let read = humantime::format_rfc3339_seconds(read).to_string();
                let digest = version.digest.chars().take(12).collect();
                let (hosts, refusals) = (version.rows.len().to_string(), version.refusals.len().to_string());
                shown.add_row([number.to_string(), digest, hosts, refusals, read]);
            }
            Err(error) => drop(shown.add_row([number.to_string(), error.to_string()])),
        }
    }
    println!("{shown}");
    Ok(())
}
