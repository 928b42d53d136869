//! Hosts the balancing policy's dispatchers behind the simulator's wire: one line of events in, one
//! line of actions out.
//!
//! The simulator starts the adapter as a child process and talks to it over its standard input and
//! output. The adapter translates and decides nothing; a line that it cannot read ends it, with one
//! line on standard error.
#![warn(missing_docs, unreachable_pub, clippy::wildcard_imports, clippy::match_bool, clippy::too_many_lines)]

mod decode;
mod encode;
mod error;
mod host;
mod wire;

use host::Host;
use std::fmt::Display;
use std::io::{BufRead, BufReader, Write};
use std::process::ExitCode;

/// The size of the input's buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, std::io::stdin().lock());
    let mut output = std::io::stdout().lock();
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => return fail(line_number, &format_args!("cannot read: {error}")),
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        reply.clear();
        if let Err(error) = host.handle_batch(&line, &mut reply) {
            return fail(line_number, &error);
        }
        if output.write_all(&reply).and_then(|()| output.flush()).is_err() {
            return ExitCode::FAILURE;
        }
    }
}

/// Reports an error on one line of standard error.
fn fail(line_number: u64, error: &dyn Display) -> ExitCode {
    let text = error.to_string().replace('\n', " ");
    eprintln!("spanlead-simulator-adapter: line {line_number}: {text}");
    ExitCode::FAILURE
}
