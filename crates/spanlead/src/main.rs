//! The real scheduler: `oatdock`'s decisions on sockets.
mod config;
mod driver;

use clap::{Parser, Subcommand};
use config::Config;
use std::process::ExitCode;

/// The job scheduler of stockholm-members.
#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as one scheduler, as the environment and the configuration file say.
    Serve,
    /// Read and check the configuration, say what it means, and end.
    Check,
    /// Print the version.
    Version,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    let result = match Cli::parse().command {
        Command::Serve => serve(),
        Command::Check => check(),
        Command::Version => {
            println!("spanlead {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spanlead: {error}");
            ExitCode::FAILURE
        }
    }
}

type Failure = Box<dyn std::error::Error>;

fn serve() -> Result<(), Failure> {
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(driver::serve(config))
}

fn check() -> Result<(), Failure> {
    let config = Config::from_environment()?;
    let names = &config.deployment.names;
    println!("name       {}", config.name);
    println!("listen     {}", config.listen);
    println!("discovery  {}", config.discovery);
    println!("workers    {} known", config.known.len());
    println!("classes    {}", names.classes.join(", "));
    println!("tenants    {}", names.tenants.join(", "));
    println!("zones      {}", names.zones.join(", "));
    println!("kinds      {}", names.kinds.join(", "));
    let shares = config.shares;
    println!("clients    {} connections, {} requests at a time", shares.clients, shares.open);
    println!("to workers {} connections", shares.workers);
    Ok(())
}
