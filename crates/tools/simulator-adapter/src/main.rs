//! Hosts the balancing policy's dispatchers behind the simulator's wire: one line of events in, one line of actions out.
mod host;
mod wire;

use std::io::{BufRead, BufReader, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 20, std::io::stdin().lock());
    let mut output = std::io::stdout().lock();
    let mut host = host::Host::default();
    let (mut line, mut reply, mut number) = (Vec::new(), Vec::new(), 0u64);
    loop {
        line.clear();
        number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => return complain(number, &format!("cannot read: {error}")),
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        reply.clear();
        if let Err(error) = host.turn(&line, &mut reply) {
            return complain(number, &error);
        }
        if output.write_all(&reply).and_then(|()| output.flush()).is_err() {
            return ExitCode::FAILURE;
        }
    }
}

fn complain(line: u64, error: &str) -> ExitCode {
    eprintln!("spanlead-simulator-adapter: line {line}: {}", error.replace('\n', " "));
    ExitCode::FAILURE
}
