//! Definition of the command line.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum, ValueHint};
use clap_complete::Shell;

/// Exit codes, shown at the end of the help.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed
  2  the command line is invalid
  3  the text has problems, nothing was written
  4  another edit was written first, nothing was written
  5  the platform or the daemons are unreachable, nothing is put in force
  6  accepted, but not in force everywhere in time
  7  no response arrived, the change may or may not be written";

/// Edits the text that controls traffic, issues and withdraws workspace keys, and shows the state
/// of the fleet.
#[derive(Debug, Parser)]
#[command(name = "teaseldoor", version, after_long_help = EXIT_CODES)]
pub struct Cli {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,

    /// Connection and output options.
    #[command(flatten)]
    pub common: Common,
}

/// Options common to all commands.
#[derive(Debug, Args)]
pub struct Common {
    /// Settings file
    ///
    /// TOML file that may set the platform, the secret file, the daemons and the author. Options
    /// on the command line override it.
    #[arg(long, short = 's', global = true, value_name = "FILE", value_hint = ValueHint::FilePath)]
    pub settings: Option<PathBuf>,

    /// Base URL of the platform's service
    ///
    /// Edits and keys are stored there.
    #[arg(long, global = true, value_name = "http://IP:PORT", value_hint = ValueHint::Url)]
    pub platform: Option<String>,

    /// File with the fleet's secret
    ///
    /// It contains 64 hexadecimal digits. Without it, no daemon responds and no key can be issued.
    #[arg(long, global = true, value_name = "FILE", value_hint = ValueHint::FilePath)]
    pub secret_file: Option<PathBuf>,

    /// Address of a control daemon; may be given several times
    ///
    /// The daemons are found in the platform's list of VMs and in each other's lists. An address is
    /// needed only while the platform is unreachable.
    #[arg(long = "daemon", global = true, value_name = "IP:PORT")]
    pub daemons: Vec<SocketAddr>,

    /// Author name recorded in the history
    ///
    /// Defaults to the name of the user who runs the command.
    #[arg(long, global = true, value_name = "NAME")]
    pub author: Option<String>,

    /// Print reports as JSON
    ///
    /// Prints one JSON document to standard output. Progress and errors go to standard error.
    #[arg(long, global = true)]
    pub json: bool,

    /// When to use colours
    ///
    /// With auto, colours are used only on a terminal, and not if the environment variable
    /// `NO_COLOR` is set and not empty.
    #[arg(long, global = true, value_name = "WHEN", value_enum, default_value_t = Color::Auto)]
    pub color: Color,
}

/// When to use colours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Color {
    /// Only on a terminal.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Commands of the client.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a text
    ///
    /// Reports every problem of the text with its line, its column and a hint. Needs no connection.
    Check {
        /// Text to check; - reads standard input
        #[arg(value_hint = ValueHint::FilePath)]
        file: PathBuf,
    },

    /// Show how a text would change traffic
    Diff(DiffArgs),

    /// Put a text in force
    ///
    /// Checks the text, shows its changes and writes it. If another edit was written first, nothing
    /// is written and both sets of changes are shown.
    Apply(ApplyArgs),

    /// List the revisions of the text
    History {
        /// Maximum number of revisions to list, newest first
        #[arg(long, short = 'n', default_value_t = 20, value_name = "COUNT")]
        limit: u64,
    },

    /// Print the text in force or an earlier revision
    ///
    /// The first line contains the revision, so that a later apply of the edited text detects
    /// edits written in the meantime.
    Show {
        /// Revision to print; defaults to the revision in force
        revision: Option<u64>,
    },

    /// Issue, withdraw and list workspace keys
    #[command(subcommand)]
    Key(KeyCommand),

    /// Drain a zone or a backend server, or end its drain
    ///
    /// Changes the text in force and keeps its comments and layout.
    #[command(subcommand)]
    Drain(DrainCommand),

    /// Show which zones have the text in force and which are cut off
    Status,

    /// Show how fast services use up their error budgets
    ///
    /// Computes the burn rate of each objective over several windows from the recordings of all
    /// daemons that respond, and shows the most urgent rows first and the part of the fleet that
    /// is covered. A rate of 1 uses up the budget exactly.
    Burn(BurnArgs),

    /// Explain where a caller's requests would go and why
    Explain(ExplainArgs),

    /// Follow one request through the logs of entry VMs
    ///
    /// Reads the JSON log lines of entry VMs and prints the lines about the request, and about the
    /// backend servers that it was sent to, in order of time. Needs no connection.
    Trace(TraceArgs),

    /// Print a completion script for a shell
    Completions {
        /// Shell
        #[arg(value_enum)]
        shell: Shell,
    },

    /// Write the manual pages
    Man {
        /// Directory to write them to
        #[arg(value_hint = ValueHint::DirPath)]
        dir: PathBuf,
    },
}

/// Arguments of `trace`.
#[derive(Debug, Args)]
pub struct TraceArgs {
    /// Id of the caller's attempt, as logged in the field "request"
    pub request: String,

    /// Log files, one per VM; - reads standard input
    #[arg(value_hint = ValueHint::FilePath, default_value = "-")]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `diff`.
#[derive(Debug, Args)]
pub struct DiffArgs {
    /// Text to compare; - reads standard input
    #[arg(value_hint = ValueHint::FilePath)]
    pub file: PathBuf,

    /// Text to compare with, or "current"
    ///
    /// A file, or the word "current" for the text in force.
    #[arg(long, value_name = "FILE", default_value = "current", value_hint = ValueHint::FilePath)]
    pub against: PathBuf,

    /// Show changed lines as well
    #[arg(long, short = 'l')]
    pub lines: bool,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// Text to put in force; - reads standard input
    #[arg(value_hint = ValueHint::FilePath)]
    pub file: PathBuf,

    /// Revision that the text was edited from
    ///
    /// Defaults to the revision in the first line of the text, as printed by show, or else to the
    /// revision in force.
    #[arg(long, value_name = "REVISION")]
    pub from: Option<u64>,

    /// Options for waiting until the change is in force.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// Options for waiting until a change is in force.
#[derive(Debug, Clone, Copy, Args)]
pub struct WaitArgs {
    /// Wait until the change is in force in every zone
    ///
    /// Shows on standard error in which zones the change is in force. Exits with code 6 if it is
    /// not in force in every zone in time.
    #[arg(long, short = 'w')]
    pub wait: bool,

    /// Maximum time to wait, in seconds
    #[arg(long, default_value_t = 30, value_name = "SECONDS", requires = "wait")]
    pub wait_limit_s: u64,
}

/// Commands for workspace keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Issue a new key for a workspace
    ///
    /// The key is shown only once and is not stored.
    Give {
        /// Workspace of the key
        workspace: String,
    },

    /// Withdraw a key permanently
    ///
    /// Sends the withdrawal to the daemons directly and writes the platform's record. The command
    /// may be run again, and must be if the platform was unreachable.
    Withdraw {
        /// Id of the key, or the key itself
        #[arg(value_name = "ID|KEY")]
        key: String,
    },

    /// List the keys
    List {
        /// List only the keys of this workspace
        #[arg(long, short = 'W', value_name = "NAME")]
        workspace: Option<String>,
    },
}

/// Commands for drains.
#[derive(Debug, Subcommand)]
pub enum DrainCommand {
    /// Drain a zone, so that it gets no new requests
    Zone {
        /// Name of the zone
        name: String,

        /// Options of the drain.
        #[command(flatten)]
        args: DrainArgs,
    },

    /// Drain a backend server, so that it gets no new requests
    Backend {
        /// Address of the backend server
        #[arg(value_name = "IP:PORT")]
        addr: SocketAddr,

        /// Options of the drain.
        #[command(flatten)]
        args: DrainArgs,
    },
}

/// Options of a drain.
#[derive(Debug, Clone, Copy, Args)]
pub struct DrainArgs {
    /// End the drain
    #[arg(long, short = 'e')]
    pub end: bool,

    /// Options for waiting until the change is in force.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// Arguments of `burn`.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// File to plot the burn rates to, as SVG
    ///
    /// Shows the most urgent rows over all windows.
    #[arg(long, short = 'p', value_name = "FILE", value_hint = ValueHint::FilePath)]
    pub plot: Option<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Address of the caller
    #[arg(long, short = 'c', value_name = "IP")]
    pub client: IpAddr,

    /// Service that the caller requests
    #[arg(long, short = 'S', value_name = "NAME")]
    pub service: String,

    /// Workspace of the caller
    #[arg(long, short = 'W', value_name = "NAME")]
    pub workspace: Option<String>,
}
