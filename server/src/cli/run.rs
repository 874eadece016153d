//! The entry point: parses the arguments, runs the command, and converts its result to an exit status.

use crate::cli::arguments::{Arguments, CachedListCommand, Command};
use crate::cli::cached_list;
use crate::cli::check;
use crate::cli::output::print_error;
use crate::cli::show;
use crate::exit_status::{ExitStatus, Failure};
use crate::runtime::terms::Vocabulary;
use crate::startup;
use clap::{CommandFactory, Parser};
use clap_complete::Shell;

/// Runs the command in the process's arguments. Errors are printed to standard error.
pub fn run() -> ExitStatus {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => {
            // The texts of `--help` and `--version` are returned as errors too, which are written to standard
            // output. If the text cannot be written, the exit status still shows the failure.
            let _ = error.print();
            return if error.use_stderr() { ExitStatus::Usage } else { ExitStatus::Success };
        }
    };
    match run_command(arguments) {
        Ok(()) => ExitStatus::Success,
        Err(failure) => {
            failure.messages.iter().for_each(|message| print_error(message));
            failure.status
        }
    }
}

fn run_command(arguments: Arguments) -> Result<(), Failure> {
    let Arguments { conf, command } = arguments;
    match command.unwrap_or(Command::Serve) {
        Command::Serve => startup::run(conf).map(|never| match never {}),
        Command::Check => check::run(conf.as_deref()),
        Command::List { command } => run_list_command(command, Vocabulary::Earlier),
        Command::Cache { command } => run_list_command(command, Vocabulary::Standard),
        Command::Show { page, socket } => show::run(conf.as_deref(), socket, &page),
        Command::Completions { shell } => {
            print_completions(shell);
            Ok(())
        }
    }
}

fn run_list_command(command: CachedListCommand, vocabulary: Vocabulary) -> Result<(), Failure> {
    match command {
        CachedListCommand::Show { path, json } => cached_list::show(&path, json, vocabulary),
        CachedListCommand::Verify { path } => cached_list::verify(&path, vocabulary),
    }
}

fn print_completions(shell: Shell) {
    clap_complete::generate(shell, &mut Arguments::command(), "query-router", &mut std::io::stdout());
}
