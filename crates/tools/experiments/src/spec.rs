//! Experiments: TOML files, read and checked. Every time is in the unit that its name ends with.
use serde::{Deserialize, Serialize};
use spanlead_testbed::Scope;
use std::fmt;
use std::path::Path;
use toml::Value;

/// An experiment as its file has it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, a word.
    pub name: String,
    /// What it is about, for the report.
    #[serde(default)]
    pub about: String,
    /// The first seed; each repeat takes the next.
    #[serde(default = "one")]
    pub seed: u64,
    /// The most repeats of each point.
    #[serde(default = "five")]
    pub repeats: u32,
    /// Repeats end early when the 95% interval of `served` is narrower than this, on each side, and
    /// three were made; 0 never.
    #[serde(default)]
    pub until: f64,
    /// The policies to play: `walkers` is the program's own.
    pub policies: Vec<PolicyName>,
    /// Values to play in turn, by their path in this file: `"load.utilisation" = [0.5, 0.9]`.
    #[serde(default)]
    pub sweep: std::collections::BTreeMap<String, Vec<Value>>,
    /// The world.
    pub fleet: FleetSpec,
    /// The schedulers.
    pub schedulers: SchedulerSpec,
    /// The network.
    #[serde(default)]
    pub network: NetworkSpec,
    /// The list of workers.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// What comes.
    pub load: LoadSpec,
    /// Who brings it.
    #[serde(default)]
    pub clients: ClientSpec,
    /// The classes of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSpec>,
    /// What goes wrong, and when.
    #[serde(default, rename = "trouble")]
    pub troubles: Vec<TroubleSpec>,
}

fn one() -> u64 {
    1
}

fn five() -> u32 {
    5
}

/// Who decides where a job goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyName {
    /// The program's own reducer and module.
    Walkers,
    /// Any worker, by chance.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest own jobs of all.
    LeastOwn,
    /// The better of two drawn by chance, by own jobs (Mitzenmacher, IEEE TPDS 12(10), 2001).
    TwoChoices,
    /// The best of two drawn and one remembered (Mitzenmacher, Prabhakar, Shah, FOCS 2002).
    Memory,
    /// One that has told that it is idle, else any (Lu et al., Performance Evaluation 68(11),
    /// 2011).
    IdleQueue,
    /// The fewest own jobs among a subset that is this scheduler's (deterministic aperture).
    Aperture,
    /// The fewest own jobs for its weight, of all.
    WeightedLeast,
    /// The least loaded in truth, as nobody can know it.
    Ideal,
}

/// The workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSpec {
    /// How many.
    pub workers: u32,
    /// Zones, in which they stand in turn.
    pub zones: u32,
    /// Workers of a pod; pods lie within a zone.
    pub pod: u32,
    /// Cores of each.
    pub cores: u32,
    /// Jobs that run at a time.
    pub slots: u32,
    /// Jobs that wait beside.
    pub queue: u32,
    /// Speeds that there are, each as often as the others; the list is told of them as weights.
    pub speeds: Vec<f64>,
    /// How long a worker takes to warm up.
    pub cold_s: f64,
    /// The part of its capacity that it starts with.
    pub cold_from: f64,
    /// A cold worker that is sent more than so many times what it can do ...
    pub tip_multiple: f64,
    /// ... for so long falls over and stays down.
    pub tip_s: f64,
    /// They tell of their load, in answers and to probes.
    pub reports: bool,
    /// How often its report is made anew.
    pub report_ms: f64,
    /// Work that a new connection costs it.
    pub handshake_ms: f64,
    /// Work that a probe costs it.
    pub probe_ms: f64,
    /// Running jobs stop when they are called off.
    pub stops: bool,
}

impl Default for FleetSpec {
    fn default() -> Self {
        FleetSpec {
            workers: 20,
            zones: 3,
            pod: 2,
            cores: 2,
            slots: 2,
            queue: 8,
            speeds: vec![1.0, 0.75],
            cold_s: 20.0,
            cold_from: 0.15,
            tip_multiple: 3.0,
            tip_s: 3.0,
            reports: true,
            report_ms: 800.0,
            handshake_ms: 1.0,
            probe_ms: 0.3,
            stops: true,
        }
    }
}

/// The schedulers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulerSpec {
    /// How many.
    pub count: u32,
    /// How uneven their traffic is: the n-th gets a share of 1/n to this power.
    #[serde(default)]
    pub skew: f64,
    /// The least span between two rounds.
    #[serde(default = "two")]
    pub tick_ms: f64,
}

fn two() -> f64 {
    2.0
}

/// The network.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkSpec {
    /// The least and the most delay of a message.
    pub delay_ms: [f64; 2],
    /// The share of datagrams between schedulers that are lost.
    pub loss: f64,
    /// How long a connection may take to come up.
    pub connect_ms: f64,
}

impl Default for NetworkSpec {
    fn default() -> Self {
        NetworkSpec { delay_ms: [0.2, 0.8], loss: 0.02, connect_ms: 250.0 }
    }
}

/// The list of workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// How late a change is told.
    pub late_ms: f64,
    /// How long each call takes; they are served one after the other.
    pub call_ms: f64,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { late_ms: 1000.0, call_ms: 0.2 }
    }
}

/// What comes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// The work that comes, as a share of what the warm fleet can do.
    pub utilisation: f64,
    /// How long it comes.
    pub duration_s: f64,
    /// What comes before is not counted.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Up and down by this part, once in `period_s`.
    #[serde(default)]
    pub swing: f64,
    /// See `swing`.
    #[serde(default = "minute")]
    pub period_s: f64,
}

fn minute() -> f64 {
    60.0
}

/// Clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSpec {
    /// How often one comes again after a refusal, a failure or no answer.
    pub retries: u32,
    /// How long it waits before, doubled each time, half to all of it by chance.
    pub back_off_ms: f64,
    /// Whether it waits as long as it is told to.
    pub heeds_retry_after: bool,
    /// Retries may be this part of the first tries of the last seconds, over all clients; 0 is no
    /// bound.
    pub budget: f64,
}

impl Default for ClientSpec {
    fn default() -> Self {
        ClientSpec { retries: 2, back_off_ms: 200.0, heeds_retry_after: true, budget: 0.0 }
    }
}

/// A class of jobs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the jobs.
    pub share: f64,
    /// How long it runs on average, on one core of speed 1.
    pub run_ms: f64,
    /// How that varies: `exponential`, `lognormal` or `constant`.
    #[serde(default)]
    pub law: Law,
    /// The coefficient of variation, for `lognormal`.
    #[serde(default = "six_tenths")]
    pub cv: f64,
    /// Wanted within this, and `stretch` times its own running time.
    pub aim_ms: f64,
    /// See `aim_ms`.
    #[serde(default)]
    pub stretch: f64,
    /// Given up after this.
    pub deadline_s: f64,
    /// What it is worth.
    #[serde(default = "unit")]
    pub worth: f64,
    /// What part of that it is worth when late.
    #[serde(default)]
    pub late: f64,
    /// Who drops its repeats.
    #[serde(default)]
    pub repeats: Repeats,
    /// For how long.
    #[serde(default = "window")]
    pub window_s: f64,
}

fn unit() -> f64 {
    1.0
}

fn six_tenths() -> f64 {
    0.6
}

fn window() -> f64 {
    25.0
}

/// How running times vary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Law {
    /// By a lognormal law with the class's coefficient of variation.
    #[default]
    Lognormal,
    /// By the exponential law.
    Exponential,
    /// Not at all.
    Constant,
}

/// Who drops a class's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Repeats are harmless.
    #[default]
    Harmless,
    /// The workers of the first one's pod.
    Pod,
    /// The workers of its zone.
    Zone,
    /// Nobody: it must never run twice.
    Never,
}

/// Something that goes wrong.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TroubleSpec {
    /// What.
    pub kind: TroubleKind,
    /// When it begins.
    pub at_s: f64,
    /// How long it lasts.
    #[serde(default)]
    pub for_s: f64,
    /// The part of workers, or schedulers, that it concerns.
    #[serde(default = "unit")]
    pub share: f64,
    /// How much more comes, or how many times slower they are.
    #[serde(default = "unit")]
    pub factor: f64,
    /// The zone that it concerns, for `zone`.
    #[serde(default)]
    pub zone: u32,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// `factor` times as much comes.
    Overload,
    /// Workers die at once and come back cold.
    Kill,
    /// Workers fall silent: nothing comes from them, and nothing comes up. They come back cold.
    Vanish,
    /// Workers run `factor` times slower.
    Slow,
    /// A zone dies and comes back cold.
    Zone,
    /// Workers are replaced in ten steps, each drained for a tenth of the time first.
    Deploy,
    /// Schedulers are killed one after the other and start anew half a second later, with an old
    /// list.
    Restart,
    /// Discovery is down.
    Blind,
}

/// What is wrong with an experiment's file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecError {
    /// The file.
    pub file: String,
    /// Line and column, where they are known.
    pub at: Option<(usize, usize)>,
    /// The key, where it is known.
    pub key: String,
    /// Why.
    pub why: String,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some((line, column)) = self.at {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.why)
    }
}

impl std::error::Error for SpecError {}

/// One point of an experiment: what is played, again and again with other seeds.
#[derive(Clone, Debug)]
pub struct Point {
    /// The experiment with the swept values in it.
    pub experiment: Experiment,
    /// Who decides.
    pub policy: PolicyName,
    /// The swept values, as `path=value`.
    pub swept: Vec<(String, String)>,
}

/// Reads a file.
///
/// # Errors
/// With the place and the reason, if it can't be used.
pub fn read(path: &Path) -> Result<Experiment, SpecError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SpecError {
        file: file.clone(),
        at: None,
        key: String::new(),
        why: e.to_string(),
    })?;
    let of = path.parent().unwrap_or(Path::new("."));
    match in_deployment(&text, of).map_err(|why| SpecError {
        file: file.clone(),
        at: None,
        key: "deployment".into(),
        why,
    })? {
        // What it says is of the file with the deployment's values put in, whose lines nobody has
        // seen.
        Some(filled) => parse(&file, &filled).map_err(|e| SpecError { at: None, ..e }),
        None => parse(&file, &text),
    }
}

/// An experiment that names a deployment's file, `deployment = "FILE"` beside its own, with that
/// one's classes and workers put in
/// where it says nothing itself; `None` if it names none.
fn in_deployment(text: &str, folder: &Path) -> Result<Option<String>, String> {
    // What is no TOML is told of with its place later.
    let Ok(mut table) = toml::from_str::<toml::Table>(text) else { return Ok(None) };
    let Some(name) = table.remove("deployment") else { return Ok(None) };
    let name = name.as_str().ok_or("is no text")?;
    // Running times here are those of service.
    let d = spanlead_testbed::Deployment::read(&folder.join(name), Some(1.0)).map_err(|e| e.to_string())?;
    let ms = |span: std::time::Duration| Value::Float(span.as_secs_f64() * 1000.0);
    let classes = d.classes.iter().map(|c| {
        let repeats = match c.scope {
            Scope::Safe => "harmless",
            Scope::Cell => "pod",
            Scope::Zone => "zone",
            Scope::All => return Err(format!("class {}: repeats that all drop are not modelled", c.name)),
            Scope::Never => "never",
        };
        let mut class = toml::Table::new();
        class.insert("name".into(), Value::String(c.name.clone()));
        class.insert("repeats".into(), Value::String(repeats.into()));
        for (key, value) in [
            ("share", Value::Float(c.share)),
            ("run_ms", ms(c.run)),
            ("cv", Value::Float(c.cv)),
            ("aim_ms", ms(c.aim)),
            ("stretch", Value::Float(c.stretch)),
            ("deadline_s", Value::Float(c.deadline.as_secs_f64())),
            ("worth", Value::Float(c.worth)),
            ("late", Value::Float(c.late)),
            ("window_s", Value::Float(c.window.as_secs_f64().max(0.001))),
        ] {
            class.insert(key.into(), value);
        }
        Ok(Value::Table(class))
    });
    let classes = classes.collect::<Result<Vec<_>, String>>()?;
    table.entry("class").or_insert(Value::Array(classes));
    let fleet = table.entry("fleet").or_insert(Value::Table(toml::Table::new()));
    let fleet = fleet.as_table_mut().ok_or("`fleet` is no table")?;
    let whole = |n: usize| Value::Integer(n as i64);
    // The model knows one number of slots, and speeds in turn.
    let first = &d.kinds[0];
    let speeds = (0..20).map(|i| Value::Float(d.kind(i).speed));
    for (key, value) in [
        ("zones", whole(d.zones.len())),
        ("pod", whole(d.pod)),
        ("cores", whole(first.cores)),
        ("slots", whole(first.slots)),
        ("queue", whole(d.queue)),
        ("speeds", Value::Array(speeds.collect())),
        ("cold_s", Value::Float(d.cold.as_secs_f64())),
        ("cold_from", Value::Float(d.cold_from)),
        ("tip_multiple", Value::Float(d.tip_multiple)),
        ("tip_s", Value::Float(d.tip.as_secs_f64())),
        ("probe_ms", ms(d.probe_work)),
        ("report_ms", Value::Float((d.every.as_secs_f64() * 1000.0).max(1.0))),
    ] {
        fleet.entry(key).or_insert(value);
    }
    toml::to_string(&table).map(Some).map_err(|e| e.to_string())
}

/// Reads a text; `file` is its name in messages.
///
/// # Errors
/// With the place and the reason, if it can't be used.
pub fn parse(file: &str, text: &str) -> Result<Experiment, SpecError> {
    let error = |at, key: &str, why: String| SpecError { file: file.into(), at, key: key.into(), why };
    let place = |e: &toml::de::Error| {
        let before = &text[..e.span()?.start.min(text.len())];
        let line = before.matches('\n').count() + 1;
        Some((line, before.rsplit('\n').next().map_or(0, |l| l.chars().count()) + 1))
    };
    let one_line = |text: &str| text.trim().replace('\n', "; ");
    let experiment: Experiment =
        toml::from_str(text).map_err(|e| error(place(&e), "", one_line(e.message())))?;
    let value: Value = toml::from_str(text).map_err(|e| error(place(&e), "", one_line(e.message())))?;
    for (path, values) in &experiment.sweep {
        if values.is_empty() {
            return Err(error(None, &format!("sweep.\"{path}\""), "has no values".into()));
        }
    }
    // Each point must make sense, not only the file as it stands.
    for swept in combinations(&experiment) {
        let changed = with(&value, &swept).map_err(|(key, why)| error(None, &key, why))?;
        check(&changed).map_err(|(key, why)| error(None, &key, why))?;
    }
    Ok(experiment)
}

fn combinations(experiment: &Experiment) -> Vec<Vec<(String, Value)>> {
    let mut all: Vec<Vec<(String, Value)>> = vec![Vec::new()];
    for (path, values) in &experiment.sweep {
        let longer = |c: &Vec<(String, Value)>| {
            let with = |v: &Value| c.iter().cloned().chain([(path.clone(), v.clone())]).collect();
            values.iter().map(with).collect::<Vec<_>>()
        };
        all = all.iter().flat_map(longer).collect();
    }
    all
}

/// The experiment with values put in by their paths.
fn with(value: &Value, swept: &[(String, Value)]) -> Result<Experiment, (String, String)> {
    let mut value = value.clone();
    for (path, new) in swept {
        let mut at = &mut value;
        for part in path.split('.') {
            let next = match part.parse::<usize>() {
                Ok(index) => at.as_array_mut().and_then(|a| a.get_mut(index)),
                Err(_) => at.as_table_mut().map(|t| t.entry(part).or_insert(Value::Boolean(false))),
            };
            at = next.ok_or_else(|| (path.clone(), "is no path in this file".to_owned()))?;
        }
        *at = new.clone();
    }
    serde_path_to_error::deserialize(value)
        .map_err(|e| (e.path().to_string(), e.inner().message().to_owned()))
}

/// All points of an experiment.
///
/// # Errors
/// If a swept value makes no sense.
pub fn points(experiment: &Experiment) -> Result<Vec<Point>, SpecError> {
    let fail = |(key, why): (String, String)| SpecError { file: experiment.name.clone(), at: None, key, why };
    let value = Value::try_from(experiment).map_err(|e| fail((String::new(), e.to_string())))?;
    let mut points = Vec::new();
    for swept in combinations(experiment) {
        let changed = with(&value, &swept).map_err(fail)?;
        let shown: Vec<_> = swept.iter().map(|(path, value)| (path.clone(), value.to_string())).collect();
        for policy in &experiment.policies {
            points.push(Point { experiment: changed.clone(), policy: *policy, swept: shown.clone() });
        }
    }
    Ok(points)
}

/// Whether an experiment makes sense; the key and the reason if not.
fn check(e: &Experiment) -> Result<(), (String, String)> {
    let fail = |key: &str, why: &str| Err((key.to_owned(), why.to_owned()));
    let finite = |x: f64| x.is_finite() && x >= 0.0;
    let positive = |x: f64| x.is_finite() && x > 0.0;
    let word = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if e.name.is_empty() || !e.name.chars().all(word) {
        return fail("name", "must be a word of letters, digits, - and _");
    }
    if e.policies.is_empty() {
        return fail("policies", "names none");
    }
    if e.repeats == 0 || e.repeats > 1000 {
        return fail("repeats", "must be 1 to 1000");
    }
    let f = &e.fleet;
    for (key, n, most) in [
        ("fleet.workers", f.workers, 50_000),
        ("fleet.zones", f.zones, 64),
        ("fleet.pod", f.pod, 50_000),
        ("fleet.cores", f.cores, 256),
        ("fleet.slots", f.slots, 1024),
        ("schedulers.count", e.schedulers.count, 5_000),
    ] {
        if n == 0 || n > most {
            return fail(key, &format!("must be 1 to {most}"));
        }
    }
    if f.speeds.is_empty() || !f.speeds.iter().all(|s| positive(*s)) {
        return fail("fleet.speeds", "must be positive numbers, one at least");
    }
    if !(f.cold_from > 0.0 && f.cold_from <= 1.0) {
        return fail("fleet.cold_from", "must be over 0, and 1 at the most");
    }
    let spans = [
        ("fleet.cold_s", f.cold_s),
        ("fleet.tip_s", f.tip_s),
        ("fleet.tip_multiple", f.tip_multiple),
        ("fleet.report_ms", f.report_ms),
        ("fleet.handshake_ms", f.handshake_ms),
        ("fleet.probe_ms", f.probe_ms),
        ("network.connect_ms", e.network.connect_ms),
        ("discovery.late_ms", e.discovery.late_ms),
        ("discovery.call_ms", e.discovery.call_ms),
        ("load.warm_up_s", e.load.warm_up_s),
        ("load.swing", e.load.swing),
        ("clients.back_off_ms", e.clients.back_off_ms),
        ("clients.budget", e.clients.budget),
        ("schedulers.skew", e.schedulers.skew),
    ];
    if let Some((key, _)) = spans.into_iter().find(|(_, x)| !finite(*x)) {
        return fail(key, "must be a number, 0 at least");
    }
    let [least, most] = e.network.delay_ms;
    if !finite(least) || !finite(most) || least > most {
        return fail("network.delay_ms", "must be the least and the most delay");
    }
    if !(0.0..=1.0).contains(&e.network.loss) {
        return fail("network.loss", "must be between 0 and 1");
    }
    if !positive(e.load.utilisation) || e.load.utilisation > 100.0 {
        return fail("load.utilisation", "must be over 0, and 100 at the most");
    }
    if !positive(e.load.duration_s) || e.load.duration_s > 86_400.0 || e.load.warm_up_s >= e.load.duration_s {
        return fail("load.duration_s", "must be a day at the most, and longer than the warm-up");
    }
    if e.load.swing > 1.0 || !positive(e.load.period_s) {
        return fail("load.swing", "must be 1 at the most, in a period over 0");
    }
    if !positive(e.schedulers.tick_ms) {
        return fail("schedulers.tick_ms", "must be over 0");
    }
    if e.classes.is_empty() || e.classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
        return fail("class", "there is none that comes");
    }
    for (i, c) in e.classes.iter().enumerate() {
        let key = |name: &str| format!("class.{i}.{name}");
        if !positive(c.run_ms) || !positive(c.deadline_s) || c.deadline_s > 3600.0 {
            return fail(
                &key("run_ms"),
                "run_ms and deadline_s must be over 0, the deadline an hour at the most",
            );
        }
        if [c.share, c.aim_ms, c.stretch, c.worth, c.late, c.window_s].iter().any(|x| !finite(*x)) {
            return fail(&key("share"), "its figures must be numbers, 0 at least");
        }
    }
    for (i, t) in e.troubles.iter().enumerate() {
        if !finite(t.at_s) || !finite(t.for_s) || !(0.0..=1.0).contains(&t.share) || !positive(t.factor) {
            return fail(
                &format!("trouble.{i}"),
                "has times under 0, a share outside 0 to 1 or a factor of 0",
            );
        }
    }
    Ok(())
}
