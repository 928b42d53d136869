//! The wire's messages as they are read. Unknown fields are skipped, absent ones get their documented meaning.
use serde::Deserialize;
use std::borrow::Cow;

#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "simTime")]
    pub now: u64,
    #[serde(rename = "batch")]
    pub number: u64,
    #[serde(borrow, rename = "input")]
    pub events: Vec<Event<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Event<'a> {
    Configure {
        who: u32,
        salt: u64,
        options: Box<Options>,
    },
    #[serde(borrow)]
    Announce(Announce<'a>),
    Call(Call),
    Streaming(Streaming),
    #[serde(borrow)]
    Ended(Ended<'a>),
    Gone(Gone),
    Ring(Ring),
    #[serde(borrow)]
    HealthResult(HealthResult<'a>),
    #[serde(borrow)]
    Mail(Mail<'a>),
    Shutdown(Shutdown),
    Notice(Notice),
}

#[derive(Deserialize)]
pub struct Shutdown {
    pub who: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Announce<'a> {
    pub who: u32,
    pub scope: ListScope,
    #[serde(borrow, default)]
    pub rows_in: Option<Vec<Row<'a>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListScope {
    Update,
    Replace,
    Restored,
    Unavailable,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row<'a> {
    pub ready_at: Option<u64>,
    pub family_type: Option<u32>,
    #[serde(borrow)]
    pub worker: Cow<'a, str>,
    pub scale: Option<f64>,
    pub readiness: Readiness,
    pub az: Option<u32>,
    pub cell: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Readiness {
    Healthy,
    Cordoned,
    Deregistered,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Call {
    pub who: u32,
    pub msg_id: u64,
    pub slots: Option<f64>,
    pub mem: Option<f64>,
    pub team: Option<u32>,
    #[serde(rename = "type")]
    pub class: u32,
    pub item: Option<u64>,
    pub estimate: Option<u64>,
    pub time_left: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Streaming {
    pub who: u32,
    pub msg_id: u64,
    pub round_no: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Ended<'a> {
    pub who: u32,
    pub msg_id: u64,
    #[serde(borrow)]
    pub how: Cow<'a, str>,
    pub round_no: u32,
    #[serde(default)]
    pub no_more: Option<bool>,
    #[serde(default)]
    pub lag: Option<u64>,
    #[serde(default)]
    pub telemetry: Option<Telemetry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Gone {
    pub who: u32,
    pub msg_id: u64,
}

#[derive(Deserialize)]
pub struct Ring {
    pub who: u32,
    #[serde(rename = "ref")]
    pub token: u64,
}

#[derive(Deserialize)]
pub struct HealthResult<'a> {
    pub who: u32,
    #[serde(borrow)]
    pub how: Cow<'a, str>,
    pub lag: Option<u64>,
    #[serde(borrow)]
    pub worker: Cow<'a, str>,
    #[serde(default)]
    pub telemetry: Option<Telemetry>,
}

#[derive(Deserialize)]
pub struct Mail<'a> {
    pub who: u32,
    pub neighbour: u32,
    #[serde(borrow)]
    pub data: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Notice {
    pub who: u32,
    pub msg_id: u64,
    pub round_no: u32,
    pub what: u32,
    pub level: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Telemetry {
    pub utilization: Option<f64>,
    pub errors_per_s: Option<f64>,
    pub outstanding: Option<f64>,
    pub backlog: Option<f64>,
    pub recent_ms: Option<f64>,
    pub x0: Option<f64>,
    pub x1: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Options {
    #[serde(default)]
    pub az: u32,
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
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub report: Report,
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
pub struct Report {
    pub fields: Vec<String>,
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
    pub quota_per_s: Option<f64>,
}
