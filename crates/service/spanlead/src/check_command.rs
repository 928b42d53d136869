//! `spanlead check`: what the configuration and the operators' settings mean.
use crate::config::{Config, MembershipError};
use humantime::format_duration;
use spanlead_conf_file::{ConfFile, DurableLogSettings, MembershipSettings};
use spanlead_membership::SuspicionThresholds;

/// Prints what the configuration and the settings mean.
///
/// # Errors
/// If the settings do not fit the configuration.
pub(crate) fn print_config(config: &Config, conf: &ConfFile) -> Result<(), MembershipError> {
    let names = &config.deployment.names;
    println!("name       {}", config.name);
    println!("listen     {}", config.listen);
    println!("discovery  {}", config.discovery);
    println!("workers    {} known", config.known.len());
    println!("classes    {}", names.classes.join(", "));
    println!("tenants    {}", names.tenants.join(", "));
    println!("zones      {}", names.zones.join(", "));
    println!("kinds      {}", names.kinds.join(", "));
    let capacity = config.capacity;
    println!(
        "clients    {} connections, {} requests at a time",
        capacity.client_connections, capacity.open_requests
    );
    println!("to workers {} connections", capacity.worker_connections);
    for inventory in &conf.inventories {
        println!("inventory  {} from {}", inventory.name, inventory.file.display());
    }
    if let Some(membership) = &conf.membership {
        print_membership(config, conf, membership)?;
    }
    if let Some(durable_log) = &conf.durable_log {
        print_durable_log(durable_log);
    }
    Ok(())
}

fn print_membership(
    config: &Config,
    conf: &ConfFile,
    membership: &MembershipSettings,
) -> Result<(), MembershipError> {
    let members = config.membership(membership)?.settings;
    let thresholds =
        SuspicionThresholds::for_tier(members.member_count, members.fanout, members.tolerated_loss);
    let dead = format_duration(membership.heartbeat_interval * thresholds.dead_after_periods);
    println!(
        "members    {} schedulers, this is {}; one is dead after {dead}",
        members.member_count, members.own_number
    );
    let sets = Config::quorum_sets(&conf.role_leases, members.member_count)?;
    if sets.joint_schedulers > 0 {
        println!(
            "duties     by majorities of {} and of the first {}: the set is being changed",
            sets.schedulers, sets.joint_schedulers
        );
    }
    Ok(())
}

fn print_durable_log(settings: &DurableLogSettings) {
    println!(
        "ledger     {}, leases of {}",
        settings.directory.display(),
        format_duration(settings.lease_duration)
    );
}
