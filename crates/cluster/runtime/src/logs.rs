//! Logs on standard error.
use log::LevelFilter;

/// Starts logging for a process of that name.
pub fn start(node: &str, level: LevelFilter) {
    let node = node.to_owned();
    let started = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {} {} {message}", record.level(), node, record.target()));
        })
        .level(LevelFilter::Warn)
        .level_for("spanlead_cluster_runtime", level)
        .level_for("spanlead_control_plane", level)
        .level_for("spanlead_data_plane", level)
        .level_for("spanlead_job_scheduler", level)
        .level_for("spanlead_replication", level)
        .chain(std::io::stderr())
        .apply();
    if let Err(error) = started {
        eprintln!("no logs: {error}");
    }
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        usual(panic);
        std::process::exit(101);
    }));
}
