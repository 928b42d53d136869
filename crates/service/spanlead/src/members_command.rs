//! `spanlead members` and `spanlead duties`: the schedulers and their singleton roles as one
//! scheduler sees them.
use crate::operator_client::{OperatorCallError, call};
use comfy_table::{Table, presets};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Shown where something is not known.
const UNKNOWN: &str = "-";
/// The states of members that do not serve.
const NOT_LIVE: [&str; 3] = ["dead", "left", "unheard"];

/// Why the answer of a scheduler cannot be shown.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MembersCommandError {
    /// There is none.
    #[error(transparent)]
    Call(#[from] OperatorCallError),
    /// It is not what was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct MembersAnswer {
    me: u16,
    view: u64,
    members: Vec<MemberEntry>,
}

#[derive(Deserialize)]
struct MemberEntry {
    number: u16,
    name: Option<String>,
    incarnation: String,
    version: Option<String>,
    state: String,
    since_ms: u64,
}

#[derive(Deserialize)]
struct RolesAnswer {
    duties: Vec<RoleEntry>,
}

#[derive(Deserialize)]
struct RoleEntry {
    name: String,
    holder: Option<u16>,
    term: Option<u64>,
    state: String,
    left_ms: u64,
    calls: u64,
}

/// Prints the members as the scheduler at that address sees them.
pub(crate) fn show_members(address: SocketAddr, json: bool) -> Result<(), MembersCommandError> {
    let text = call(address, "GET", "/ops/members")?;
    if json {
        println!("{text}");
        return Ok(());
    }
    let answer: MembersAnswer = serde_json::from_str(&text)?;
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["number", "name", "state", "for", "incarnation", "version"]);
    for member in &answer.members {
        let or_unknown = |text: &Option<String>| text.clone().unwrap_or_else(|| UNKNOWN.to_owned());
        let since = Duration::from_secs(member.since_ms / 1000);
        let me = if member.number == answer.me { " (this one)" } else { "" };
        table.add_row([
            member.number.to_string(),
            or_unknown(&member.name) + me,
            member.state.clone(),
            humantime::format_duration(since).to_string(),
            member.incarnation.clone(),
            or_unknown(&member.version),
        ]);
    }
    println!("{table}");
    let live = answer.members.iter().filter(|member| !NOT_LIVE.contains(&&*member.state)).count();
    println!("{live} of {} live, by view {} of number {}", answer.members.len(), answer.view, answer.me);
    Ok(())
}

/// Prints who holds which singleton role, or has one released first.
pub(crate) fn show_roles(address: SocketAddr, release: Option<&str>) -> Result<(), MembersCommandError> {
    if let Some(name) = release {
        call(address, "POST", &format!("/ops/duties/{name}/release"))?;
    }
    let answer: RolesAnswer = serde_json::from_str(&call(address, "GET", "/ops/duties")?)?;
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["duty", "holder", "term", "state", "left ms", "calls here"]);
    for role in &answer.duties {
        let or_unknown = |number: Option<u64>| number.map_or_else(|| UNKNOWN.to_owned(), |it| it.to_string());
        table.add_row([
            role.name.clone(),
            or_unknown(role.holder.map(Into::into)),
            or_unknown(role.term),
            role.state.clone(),
            role.left_ms.to_string(),
            role.calls.to_string(),
        ]);
    }
    println!("{table}");
    Ok(())
}
