//! The settings object that a deployment is described by, as both the simulator's adapter and the real scheduler
//! read it: translated into [`spanlead_balancing_policy::Settings`], with the names that stand behind the module's numbers.
#![allow(missing_docs, reason = "the fields are documented on the operators' page, under the same names")]
use serde::Deserialize;
use spanlead_balancing_policy as od;
use std::fmt;

/// A deployment's settings, checked and translated.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub settings: od::Settings,
    pub names: Names,
    pub reports: Reports,
}

/// The names behind the module's positions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Those of earlier settings, which requests may still be open under, come first.
    pub classes: Vec<String>,
    /// The number of the first class that clients may name.
    pub first: usize,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

/// The place of `name` among `names`: how the module numbers classes, tenants, zones and kinds.
pub fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|n| n == name).map(|i| i as u32)
}

impl Names {
    /// The number of the class that clients mean by `name`.
    pub fn class(&self, name: &str) -> Option<u32> {
        position(&self.classes[self.first..], name).map(|i| i + self.first as u32)
    }
}

/// What the unnamed values of a load report mean here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reports {
    free_slots: bool,
    free_memory: bool,
}

impl Reports {
    /// A report as the module takes it.
    pub fn report(self, f: Figures) -> od::Report {
        od::Report {
            free_slots: f.x0.filter(|_| self.free_slots),
            free_memory: f.x1.filter(|_| self.free_memory),
            utilization: f.utilization,
            outstanding: f.outstanding,
            backlog: f.backlog,
            latency_ms: f.recent_ms,
            errors_per_s: f.errors_per_s,
        }
    }
}

/// A load report's figures. On sockets most have a shorter name than in the simulator.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Figures {
    #[serde(alias = "util")]
    pub utilization: Option<f64>,
    #[serde(alias = "eps")]
    pub errors_per_s: Option<f64>,
    #[serde(alias = "inflight")]
    pub outstanding: Option<f64>,
    #[serde(alias = "queue")]
    pub backlog: Option<f64>,
    #[serde(alias = "latency_ms")]
    pub recent_ms: Option<f64>,
    #[serde(alias = "qps")]
    pub throughput: Option<f64>,
    pub x0: Option<f64>,
    pub x1: Option<f64>,
}

/// A field that holds what no deployment can mean.
#[derive(Debug)]
pub struct BadField {
    pub field: String,
    pub why: String,
}

impl BadField {
    fn new(field: impl Into<String>, why: impl Into<String>) -> Self {
        BadField { field: field.into(), why: why.into() }
    }
}

impl fmt::Display for BadField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.why)
    }
}

impl std::error::Error for BadField {}

impl From<od::SettingsError> for BadField {
    /// The settings object's name for what the module turned down.
    fn from(error: od::SettingsError) -> Self {
        let field = match error.setting {
            "classes" => "grades",
            "classes.kind" => "familyInfo.classKind",
            "instances" => "nInstances",
            same => same,
        };
        BadField::new(field, error.reason)
    }
}

impl Deployment {
    /// Translates the settings object.
    ///
    /// # Errors
    /// If a field holds what no deployment can mean; the text names the field.
    pub fn read(options: Options) -> Result<Self, BadField> {
        let settings = translate(&options)?;
        let reports = Reports {
            free_slots: options.family_info.report_x0.as_deref() == Some("free slots"),
            free_memory: options.family_info.report_x1.as_deref() == Some("free memory"),
        };
        let names = Names {
            classes: options.grades.into_iter().map(|g| g.name).collect(),
            first: 0,
            tenants: options.tenants.into_iter().map(|t| t.name).collect(),
            zones: options.azs,
            kinds: options.kinds,
        };
        Ok(Deployment { settings, names, reports })
    }

    /// These settings in place of those that `old` belongs to: every number that is in use keeps its meaning. Also for
    /// each class the one that it continues, the one of that name.
    #[must_use]
    pub fn after(mut self, old: &Names) -> (Self, Vec<Option<u32>>) {
        let like = self.names.classes.iter().map(|name| old.class(name)).collect();
        let kinds = after(&old.kinds, &mut self.names.kinds);
        let zones = after(&old.zones, &mut self.names.zones);
        let renumbered = |numbers: &[u32], i: u32| numbers.get(i as usize).copied().unwrap_or(i);
        for class in &mut self.settings.classes {
            class.kind = class.kind.map(|kind| renumbered(&kinds, kind));
        }
        self.settings.kinds = self.names.kinds.len() as u32;
        self.settings.zone = renumbered(&zones, self.settings.zone);
        self.names.first = old.classes.len();
        self.names.classes.splice(0..0, old.classes.iter().cloned());
        (self, like)
    }
}

/// Puts the old names before the new ones among them; the new ones' numbers then.
fn after(old: &[String], new: &mut Vec<String>) -> Vec<u32> {
    let mut all = old.to_vec();
    let number = |name: String| {
        position(&all, &name).unwrap_or_else(|| {
            all.push(name);
            all.len() as u32 - 1
        })
    };
    let numbers = std::mem::take(new).into_iter().map(number).collect();
    *new = all;
    numbers
}

fn translate(o: &Options) -> Result<od::Settings, BadField> {
    let info = &o.family_info;
    let by_priority = info.queue_order.as_deref() == Some("priority");
    let mut classes = Vec::with_capacity(o.grades.len());
    for (i, g) in o.grades.iter().enumerate() {
        if g.deadline == 0 {
            return Err(BadField::new(format!("grades[{i}].deadline"), "must be positive"));
        }
        if o.grades[..i].iter().any(|other| other.name == g.name) {
            return Err(BadField::new(format!("grades[{i}].name"), "is another class's name too"));
        }
        let effect = match g.effect.as_str() {
            "idempotent" => od::Effect::Safe,
            "at_most_once" => od::Effect::Unsafe,
            "deduplicated" => od::Effect::Keyed {
                scope: match g.dedup_scope.as_deref() {
                    Some("all") | None => od::Scope::All,
                    Some("zone") => od::Scope::Zone,
                    Some("cell") => od::Scope::Cell,
                    Some(other) => {
                        return Err(BadField::new(
                            format!("grades[{i}].dedupScope"),
                            format!("unknown scope `{other}`"),
                        ));
                    }
                },
                ttl: g.key_ttl.unwrap_or(0),
            },
            other => {
                return Err(BadField::new(
                    format!("grades[{i}].effect"),
                    format!("unknown effect `{other}`"),
                ));
            }
        };
        classes.push(od::Class {
            aim: g.aim,
            stretch: g.aim_stretch.or(info.class_stretch.get(i).copied()).unwrap_or(0.0),
            deadline: g.deadline,
            worth: g.value.unwrap_or(1.0),
            late_share: g.late_share.unwrap_or(0.0),
            effect,
            streaming: g.streaming,
            kind: info.class_kind.get(i).and_then(|k| u32::try_from(*k).ok()),
            priority: info.class_priority.get(i).copied().filter(|_| by_priority).unwrap_or(0),
        });
    }
    let must_ask = match o.discovery.as_deref() {
        Some("automatic") | None => false,
        Some("subscribe") => true,
        Some(other) => return Err(BadField::new("discovery", format!("unknown mode `{other}`"))),
    };
    let reports = match o.report.via.as_deref() {
        Some("answers") => od::ReportVia::Answers,
        Some("probe") => od::ReportVia::Probe,
        Some("none") | None => od::ReportVia::None,
        Some(other) => return Err(BadField::new("report.via", format!("unknown value `{other}`"))),
    };
    let worth_by_work = match o.worth_by.as_deref() {
        Some("request") | None => false,
        Some("work") => true,
        Some(other) => return Err(BadField::new("worthBy", format!("unknown value `{other}`"))),
    };
    let (l, p, r) = (&o.limits, &o.prices, &o.rules);
    if l.max_attempts == Some(0) {
        return Err(BadField::new("limits.maxAttempts", "must be positive"));
    }
    Ok(od::Settings {
        me: o.me,
        instances: o.n_instances.unwrap_or(1),
        zone: o.az,
        kinds: o.kinds.len() as u32,
        tick: o.round.unwrap_or(1_000_000),
        classes,
        tenants: o.tenants.iter().map(|t| od::Tenant { quota_per_s: t.quota_per_s.unwrap_or(0.0) }).collect(),
        over_share_worth: o.over_share_worth.unwrap_or(1.0),
        worth_by_work,
        must_ask,
        limits: od::Limits {
            attempts: l.max_attempts.unwrap_or(1),
            cancel: l.cancel,
            probes: l.probes,
            peers: l.peer_messages,
            second_copies: l.second_copies,
            retry_after: l.retry_after,
            max_retry_after: l.max_retry_after,
            connect_timeout: l.connect_timeout,
            conn_idle: l.conn_idle,
            streams_per_conn: l.streams_per_conn.unwrap_or(1),
        },
        prices: od::Prices {
            cross_zone: p.cross_zone,
            waste: p.waste,
            connection: p.connection,
            handshake: p.handshake,
            origin: p.origin,
            probe: p.probe,
            peer: p.peer,
            late_fail: p.late_fail,
        },
        reports,
        rules: od::Rules {
            ask_every: r.ask_every,
            cold: r.cold,
            cold_from: r.cold_from.unwrap_or(1.0),
            drain_grace: r.drain_grace,
            tip_after: r.tip_after,
            tip_multiple: r.tip_multiple.unwrap_or(1.0),
        },
        progress: info.progress,
        tells_start: info.tells_start,
    })
}

/// The settings object, in the simulator's names and units. Unknown fields are skipped, absent ones get their
/// documented meaning.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Options {
    #[serde(default)]
    pub az: u32,
    #[serde(default)]
    pub azs: Vec<String>,
    #[serde(default)]
    pub discovery: Option<String>,
    #[serde(default)]
    pub family_info: FamilyInfo,
    pub grades: Vec<Grade>,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub me: u32,
    #[serde(default)]
    pub n_instances: Option<u32>,
    #[serde(default)]
    pub over_share_worth: Option<f64>,
    pub worth_by: Option<String>,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub report: ReportForm,
    #[serde(default)]
    pub round: Option<u64>,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct FamilyInfo {
    pub class_kind: Vec<i64>,
    pub class_priority: Vec<i32>,
    pub class_stretch: Vec<f64>,
    pub progress: u64,
    pub queue_order: Option<String>,
    pub report_x0: Option<String>,
    pub report_x1: Option<String>,
    pub tells_start: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Grade {
    pub name: String,
    pub aim: u64,
    pub deadline: u64,
    pub aim_stretch: Option<f64>,
    pub effect: String,
    pub dedup_scope: Option<String>,
    pub key_ttl: Option<u64>,
    pub late_share: Option<f64>,
    #[serde(default)]
    pub streaming: bool,
    pub value: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub cancel: bool,
    pub conn_idle: u64,
    pub connect_timeout: u64,
    pub max_attempts: Option<u32>,
    pub max_retry_after: u64,
    pub peer_messages: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub second_copies: bool,
    pub streams_per_conn: Option<u32>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    pub connection: f64,
    pub cross_zone: f64,
    pub handshake: f64,
    pub late_fail: f64,
    pub origin: f64,
    pub peer: f64,
    pub probe: f64,
    pub waste: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct ReportForm {
    pub via: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Rules {
    pub ask_every: u64,
    pub cold: u64,
    pub cold_from: Option<f64>,
    pub drain_grace: u64,
    pub tip_after: u64,
    pub tip_multiple: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    #[serde(default)]
    pub name: String,
    pub quota_per_s: Option<f64>,
}
