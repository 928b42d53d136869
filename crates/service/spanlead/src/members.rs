//! `spanlead members`: the schedulers as one of them sees them.
use crate::door::call;
use comfy_table::{Table, presets};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

type Failure = Box<dyn std::error::Error>;

#[derive(Deserialize)]
struct View {
    me: u16,
    view: u64,
    members: Vec<Member>,
}

#[derive(Deserialize)]
struct Member {
    number: u16,
    name: Option<String>,
    incarnation: String,
    version: Option<String>,
    state: String,
    since_ms: u64,
}

/// Prints what the scheduler at that door sees.
pub fn show(at: SocketAddr, json: bool) -> Result<(), Failure> {
    let text = call(at, "GET", "/ops/members")?;
    if json {
        println!("{text}");
        return Ok(());
    }
    let view: View = serde_json::from_str(&text)?;
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["number", "name", "state", "for", "incarnation", "version"]);
    for m in &view.members {
        let open = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".to_owned());
        let since = Duration::from_secs(m.since_ms / 1000);
        let me = if m.number == view.me { " (this one)" } else { "" };
        table.add_row([
            m.number.to_string(),
            open(&m.name) + me,
            m.state.clone(),
            humantime::format_duration(since).to_string(),
            m.incarnation.clone(),
            open(&m.version),
        ]);
    }
    println!("{table}");
    let living = view.members.iter().filter(|m| !matches!(&*m.state, "dead" | "left" | "unheard")).count();
    println!("{living} of {} live, by view {} of number {}", view.members.len(), view.view, view.me);
    Ok(())
}

#[derive(Deserialize)]
struct Duties {
    duties: Vec<Duty>,
}

#[derive(Deserialize)]
struct Duty {
    name: String,
    holder: Option<u16>,
    term: Option<u64>,
    state: String,
    left_ms: u64,
    calls: u64,
}

/// Prints who holds which duty, or has one given back.
pub fn duties(at: SocketAddr, release: Option<&str>) -> Result<(), Failure> {
    if let Some(name) = release {
        call(at, "POST", &format!("/ops/duties/{name}/release"))?;
    }
    let duties: Duties = serde_json::from_str(&call(at, "GET", "/ops/duties")?)?;
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["duty", "holder", "term", "state", "left ms", "calls here"]);
    for d in &duties.duties {
        let open = |number: Option<u64>| number.map_or_else(|| "-".to_owned(), |n| n.to_string());
        table.add_row([
            d.name.clone(),
            open(d.holder.map(Into::into)),
            open(d.term),
            d.state.clone(),
            d.left_ms.to_string(),
            d.calls.to_string(),
        ]);
    }
    println!("{table}");
    Ok(())
}
