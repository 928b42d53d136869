//! Logs on standard error, one record a line: level, node, module, message.
use log::LevelFilter;

/// The crates whose records are logged at the level that was asked for; others log warnings and
/// errors.
const OWN_CRATES: [&str; 5] = [
    "spanlead_cluster_runtime",
    "spanlead_control_plane",
    "spanlead_data_plane",
    "spanlead_job_scheduler",
    "spanlead_replication",
];
/// The exit status after a panic, as after one of the main thread.
const PANIC_EXIT_STATUS: i32 = 101;

/// Starts logging for the process of a node.
pub fn start(node: &str, level: LevelFilter) {
    let node = node.to_owned();
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {} {} {message}", record.level(), node, record.target()));
        })
        .level(LevelFilter::Warn);
    for name in OWN_CRATES {
        dispatch = dispatch.level_for(name, level);
    }
    if let Err(error) = dispatch.chain(std::io::stderr()).apply() {
        eprintln!("logging can't be started: {error}");
    }
}

/// Ends the process at a panic in any thread: a process that has lost one of its tasks must not go
/// on half alive.
pub fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        std::process::exit(PANIC_EXIT_STATUS);
    }));
}
