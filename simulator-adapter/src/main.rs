//! Reads the simulator's wire on standard input, asks one [`Router`] a front, and writes what they decide.
//! No decision stands here: wire names, units and ids go one way, plain types the other.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = host::Host::default();
    let mut line = Vec::with_capacity(4096);
    for number in 1u64.. {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(why) => return broken(number, &why.to_string()),
        }
        let text = line.trim_ascii();
        if text.is_empty() {
            continue;
        }
        match host.take(text, &mut output) {
            Ok(false) => {}
            Ok(true) if output.flush().is_ok() => {}
            Ok(true) => return ExitCode::SUCCESS, // Nobody reads any more.
            Err(why) => return broken(number, &why),
        }
    }
    ExitCode::SUCCESS
}

fn broken(line: u64, why: &str) -> ExitCode {
    eprintln!("simulator-adapter: line {line}: {why}");
    ExitCode::FAILURE
}
