//! `spanlead inventory report`: where files and the endpoint list differ.
use super::args::{LiveArgs, SelectionArgs};
use super::error::InventoryCommandError;
use super::sources::unix_ms;
use super::{table, text_of};
use crate::operator_client::call;
use serde_json::Value;
use spanlead_worker_attributes::{ReconciliationReport, reconcile};
use std::net::SocketAddr;
use std::time::Duration;

/// Milliseconds of a second.
const MS_PER_SECOND: u64 = 1000;

/// Prints where a scheduler's inventories, or files, differ from the endpoint list.
pub(super) fn report(
    selection: &SelectionArgs,
    live: &LiveArgs,
    json: bool,
    most: usize,
) -> Result<(), InventoryCommandError> {
    if let Some(address) = live.at {
        return report_of_scheduler(address, json);
    }
    let (merged_inventory, live) = (selection.merged_inventory()?, live.hosts()?);
    let report: ReconciliationReport = reconcile(&live, &merged_inventory, unix_ms(), most);
    let report = serde_json::to_value(&report)?;
    if json {
        println!("{report}");
    } else {
        print_findings(&report);
    }
    Ok(())
}

fn report_of_scheduler(address: SocketAddr, json: bool) -> Result<(), InventoryCommandError> {
    let text = call(address, "GET", "/ops/inventory")?;
    if json {
        println!("{text}");
        return Ok(());
    }
    let view: Value = serde_json::from_str(&text)?;
    for inventory in view["inventories"].as_array().into_iter().flatten() {
        print_inventory(inventory);
    }
    print_findings(&view["report"]);
    Ok(())
}

/// Prints how one inventory of a scheduler stands.
fn print_inventory(inventory: &Value) {
    let name = inventory["name"].as_str().unwrap_or("?");
    let version = &inventory["version"];
    match version["number"].as_u64() {
        Some(number) => println!(
            "{name}: version {number}, {} hosts, {} refusals, read {} s ago",
            version["hosts"],
            version["refusals"],
            version["age_ms"].as_u64().unwrap_or(0) / MS_PER_SECOND
        ),
        None => println!("{name}: no version is in use"),
    }
    for (key, word) in [("held", "HELD BACK"), ("refused", "REFUSED")] {
        let unused = &inventory[key];
        if let Some(why) = unused["why"].as_str() {
            let digest = unused["digest"].as_str().unwrap_or("?");
            let stood = unused["stood_ms"].as_u64().unwrap_or(0) / MS_PER_SECOND;
            println!("{name}: {word} for {stood} s, {digest}: {why}");
        }
    }
}

fn print_findings(report: &Value) {
    let counts = &report["counts"];
    println!(
        "{} hosts in both; {} in a file and not live; {} live and in no file; {} facts differ, {} are disputed",
        counts["matched"], counts["not_live"], counts["not_in_file"], counts["differing"], counts["disputed"]
    );
    let mut shown = table(["what", "host", "fact", "list", "file", "where", "used", "stood"]);
    for finding in report["findings"].as_array().into_iter().flatten() {
        let stood = Duration::from_secs(finding["stood_ms"].as_u64().unwrap_or(0) / MS_PER_SECOND);
        let stood = humantime::format_duration(stood).to_string();
        let keys = ["what", "host", "fact", "live", "file", "at", "used"];
        let cells = keys.map(|key| text_of(&finding[key]));
        shown.add_row(cells.into_iter().chain([stood]));
    }
    println!("{shown}");
    if let Some(more) = report["left_out"].as_u64().filter(|count| *count > 0) {
        println!("and {more} more");
    }
}
