//! `spanlead inventory show`: what is known of hosts, and the sources of it.
use super::args::{LiveArgs, SelectionArgs};
use super::error::InventoryCommandError;
use super::{UNKNOWN, table, text_of};
use crate::operator_client::call;
use spanlead_worker_attributes::{LiveHost, MergedInventory, normalize_host_name, provenance};
use std::net::SocketAddr;

/// Shows hosts of a scheduler or of files.
pub(super) fn show(
    host: Option<String>,
    selection: &SelectionArgs,
    live: &LiveArgs,
    json: bool,
) -> Result<(), InventoryCommandError> {
    if let Some(address) = live.at {
        let host = host.ok_or(InventoryCommandError::NoHost)?;
        return show_of_scheduler(address, &host, json);
    }
    let (merged_inventory, live) = (selection.merged_inventory()?, live.hosts()?);
    let mut hosts = with_unlisted(live, &merged_inventory);
    if let Some(host) = &host {
        keep_only(&mut hosts, host)?;
    }
    if json {
        print_json(&hosts, &merged_inventory);
    } else {
        print_table(&hosts, &merged_inventory);
    }
    Ok(())
}

fn show_of_scheduler(address: SocketAddr, host: &str, json: bool) -> Result<(), InventoryCommandError> {
    let text = call(address, "GET", &format!("/ops/inventory/hosts/{host}"))?;
    if json {
        println!("{text}");
        return Ok(());
    }
    let view: serde_json::Value = serde_json::from_str(&text)?;
    println!("{} is {}", text_of(&view["host"]), text_of(&view["state"]));
    let mut shown = table(["fact", "value", "from", "list", "file"]);
    for known in view["facts"].as_array().into_iter().flatten() {
        let file = known["file"]
            .as_array()
            .map_or(UNKNOWN.to_owned(), |file| format!("{} at {}", text_of(&file[0]), text_of(&file[1])));
        shown.add_row([
            text_of(&known["fact"]),
            text_of(&known["value"]),
            text_of(&known["from"]),
            text_of(&known["list"]),
            file,
        ]);
    }
    println!("{shown}");
    Ok(())
}

/// The hosts of the list, and those that only files name, by their names.
fn with_unlisted(live: Vec<LiveHost>, merged_inventory: &MergedInventory) -> Vec<LiveHost> {
    let mut hosts = live;
    for source in &merged_inventory.sources {
        for name in source.version.hosts.keys() {
            if !hosts.iter().any(|host| host.normalized_name == *name) {
                hosts.push(LiveHost {
                    name: name.clone(),
                    normalized_name: name.clone(),
                    gone_ms: Some(0),
                    ..LiveHost::default()
                });
            }
        }
    }
    hosts.sort_by(|first, second| first.normalized_name.cmp(&second.normalized_name));
    hosts
}

fn keep_only(hosts: &mut Vec<LiveHost>, host: &str) -> Result<(), InventoryCommandError> {
    let wanted = normalize_host_name(host).map_err(|reason| InventoryCommandError::HostName {
        host: host.to_owned(),
        reason: reason.to_string(),
    })?;
    hosts.retain(|host| *host.normalized_name == *wanted);
    if hosts.is_empty() {
        return Err(InventoryCommandError::UnknownHost(host.to_owned()));
    }
    Ok(())
}

fn print_json(hosts: &[LiveHost], merged_inventory: &MergedInventory) {
    for host in hosts {
        let facts = provenance(host, merged_inventory);
        let is_live = host.gone_ms.is_none();
        println!("{}", serde_json::json!({ "host": host.name, "live": is_live, "facts": facts }));
    }
}

fn print_table(hosts: &[LiveHost], merged_inventory: &MergedInventory) {
    let mut shown = table(["host", "fact", "value", "from", "list", "file"]);
    for host in hosts {
        let is_live = host.gone_ms.is_none();
        let name = if is_live { host.name.to_string() } else { format!("{} (not live)", host.name) };
        let facts = provenance(host, merged_inventory).into_iter();
        for known in facts.filter(|known| known.value.is_some() || known.file.is_some()) {
            let or_unknown = |text: Option<String>| text.unwrap_or_else(|| UNKNOWN.into());
            let file = known.file.map(|(value, place)| format!("{value} at {place}"));
            shown.add_row([
                name.clone(),
                known.attribute.to_string(),
                or_unknown(known.value),
                known.from,
                or_unknown(known.list),
                or_unknown(file),
            ]);
        }
    }
    println!("{shown}");
}
