//! The arguments of the command line.

use crate::admin::socket::PAGES;
use clap::builder::{PossibleValue, PossibleValuesParser};
use clap::{Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;

/// A query router for sharded, replicated databases.
#[derive(Parser)]
#[command(name = "query-router", version, about)]
pub struct Arguments {
    /// The operators' file; without one everything that it sets is off
    #[arg(long, value_name = "FILE", env = "GINGERWICK_CONF", global = true)]
    pub conf: Option<PathBuf>,
    /// What is done
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Serves until a signal ends it; so does `query-router` without a command
    Serve,
    /// Reads the bootstrap file and the operators' file and reports all that is wrong with them; starts nothing
    Check,
    /// Looks at an endpoint list that is cached on disk
    List {
        /// What is done with it
        #[command(subcommand)]
        command: ListCommand,
    },
    /// Looks at an endpoint list that is cached on disk, in standard terms
    Cache {
        /// What is done with it
        #[command(subcommand)]
        command: ListCommand,
    },
    /// Asks a running server for a page, by its operators-socket
    Show {
        /// The page
        #[arg(value_name = "WHAT", value_parser = page_names())]
        page: String,
        /// Instead of the one that the operators' file names
        #[arg(long, value_name = "PATH")]
        socket: Option<PathBuf>,
    },
    /// Prints completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// What can be done with a cached list.
#[derive(Subcommand)]
pub enum ListCommand {
    /// Prints its age, version and endpoints, and how far a start would trust it now
    Show {
        /// The state directory, or one file in it
        path: PathBuf,
        /// The whole list as JSON
        #[arg(long)]
        json: bool,
    },
    /// Checks whether each file is complete; ends with 65 if one is not, or there is none
    Verify {
        /// The state directory, or one file in it
        path: PathBuf,
    },
}

fn page_names() -> PossibleValuesParser {
    let metrics = PossibleValue::new("metrics").help("counters in the text format of Prometheus");
    let standard = PAGES.iter().map(|page| PossibleValue::new(page.name.standard).help(page.description));
    let earlier = PAGES.iter().map(|page| {
        let help = format!("`{}` in earlier terms", page.name.standard);
        PossibleValue::new(page.name.earlier).help(help)
    });
    standard.chain([metrics]).chain(earlier).collect::<Vec<_>>().into()
}
