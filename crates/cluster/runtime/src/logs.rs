//! Logging to standard error, one record per line: level, node, module, message.
use log::LevelFilter;

/// Crates whose records are logged at the requested level. Other crates log only warnings and
/// errors.
const PROJECT_CRATES: [&str; 5] = [
    "spanlead_cluster_runtime",
    "spanlead_control_plane",
    "spanlead_data_plane",
    "spanlead_job_scheduler",
    "spanlead_replication",
];
/// Exit status after a panic in any thread, the same as Rust's after a panic of the main thread.
const PANIC_EXIT_STATUS: i32 = 101;

/// Starts logging; each record carries the name `node`.
pub fn start(node: &str, level: LevelFilter) {
    let node = node.to_owned();
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {} {} {message}", record.level(), node, record.target()));
        })
        .level(LevelFilter::Warn);
    for name in PROJECT_CRATES {
        dispatch = dispatch.level_for(name, level);
    }
    if let Err(error) = dispatch.chain(std::io::stderr()).apply() {
        eprintln!("failed to start logging: {error}");
    }
}

/// Installs a panic hook that ends the process on a panic in any thread, because a process that has
/// lost one of its tasks must not keep running.
pub fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(PANIC_EXIT_STATUS);
    }));
}
