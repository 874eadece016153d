//! The command-line arguments. The doc comments of the parsed types are the texts of `--help`.

use crate::admin::socket::PAGES;
use clap::builder::{PossibleValue, PossibleValuesParser};
use clap::{Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;

/// A query router for sharded, replicated databases
///
/// Clients connect to it as to a PostgreSQL server. It forwards each query to one of the database instances
/// (endpoints) that store the queried data. Without a command, it runs the server. The server reads the path of its
/// bootstrap file (JSON) from the environment variable ROUTER_CONFIG.
#[derive(Parser)]
#[command(name = "query-router", version)]
pub struct Arguments {
    /// The operators' file, with the settings of the log and of optional features
    ///
    /// The optional features are the endpoint cache, the write journal, session tokens, admission control and the
    /// admin socket. Without this file, they are off.
    #[arg(long, value_name = "FILE", env = "GINGERWICK_CONF", global = true)]
    pub conf: Option<PathBuf>,
    /// `None` runs the server, as [`Command::Serve`] does.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Run the server; this is the default command
    ///
    /// SIGTERM and SIGINT shut the server down gracefully. SIGHUP reloads the configuration files.
    Serve,
    /// Report all errors in the configuration files, without starting the server
    ///
    /// The files are the bootstrap file, the operators' file, and the file of session keys if the latter names one. The
    /// exit status is 78 if there are errors.
    Check,
    /// Same as `cache`, with the output in the terms of earlier releases
    List {
        /// The operation on the list.
        #[command(subcommand)]
        command: CachedListCommand,
    },
    /// Inspect the endpoint list that a server has cached on disk
    Cache {
        /// The operation on the list.
        #[command(subcommand)]
        command: CachedListCommand,
    },
    /// Print a page about the state of a running server, requested on its admin socket
    Show {
        /// The page to print
        #[arg(value_name = "WHAT", value_parser = page_names())]
        page: String,
        /// The path of the server's admin socket [default: operators-socket in the operators' file]
        #[arg(long, value_name = "PATH")]
        socket: Option<PathBuf>,
    },
    /// Print a completion script for a shell
    Completions {
        /// The shell that will load the script
        shell: Shell,
    },
}

/// An operation on a cached endpoint list.
#[derive(Subcommand)]
pub enum CachedListCommand {
    /// Print the list: its version, its age and its endpoints
    ///
    /// Also prints how a server that starts from the list now would verify the endpoints before it uses them.
    Show {
        /// The state directory of the server (state-dir in the operators' file), or one list file in it
        path: PathBuf,
        /// Print the whole list as JSON
        #[arg(long)]
        json: bool,
    },
    /// Check that each list file is complete
    ///
    /// The exit status is 65 if a file is damaged or there is no list.
    Verify {
        /// The state directory of the server (state-dir in the operators' file), or one list file in it
        path: PathBuf,
    },
}

fn page_names() -> PossibleValuesParser {
    let metrics = PossibleValue::new("metrics").help("all metrics, in the text format of Prometheus");
    let standard = PAGES.iter().map(|page| PossibleValue::new(page.name.standard).help(page.description));
    let earlier = PAGES.iter().map(|page| {
        let help = format!("same as `{}`, in the terms of earlier releases", page.name.standard);
        PossibleValue::new(page.name.earlier).help(help)
    });
    standard.chain([metrics]).chain(earlier).collect::<Vec<_>>().into()
}
