//! The wire's messages as they are read. Unknown fields are skipped, absent ones get their documented meaning.
use serde::Deserialize;
use spanlead_deployment_settings::{Figures, Options};
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
    pub telemetry: Option<Figures>,
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
    pub telemetry: Option<Figures>,
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
