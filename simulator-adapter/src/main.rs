//! Adapter between the simulator and the routing policy: reads the simulator's messages from standard input, reports
//! them to one routing policy per instance, and writes the actions that the policies request to standard output. The
//! adapter makes no routing decisions.

mod error;
mod host;
mod instance;
mod messages;

use std::fmt::Display;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

const OUTPUT_BUFFER_BYTES: usize = 1 << 16;
const INITIAL_LINE_BYTES: usize = 4096;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    let mut host = host::Host::default();
    let mut line = Vec::with_capacity(INITIAL_LINE_BYTES);
    for number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => return fail(number, &error),
        }
        let text = line.trim_ascii();
        if text.is_empty() {
            continue;
        }
        match host.handle_line(text, &mut output) {
            Ok(false) => {}
            Ok(true) if output.flush().is_ok() => {}
            // The replies cannot be written, since the simulator has closed its end of the pipe.
            Ok(true) => return ExitCode::SUCCESS,
            Err(error) => return fail(number, &error),
        }
    }
    ExitCode::SUCCESS
}

fn fail(line: u64, error: &dyn Display) -> ExitCode {
    eprintln!("simulator-adapter: line {line}: {error}");
    ExitCode::FAILURE
}
