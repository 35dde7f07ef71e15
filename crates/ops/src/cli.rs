//! The command line.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum, ValueHint};
use clap_complete::Shell;

/// Exit codes, as the help shows them.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed
  2  the command line is wrong
  3  the text has problems, nothing was written
  4  somebody else's edit came first, nothing was written
  5  the platform or the daemons cannot be reached, nothing is put in force
  6  accepted, but not in force everywhere in time
  7  no answer told whether the change was written";

/// Edits the text that steers traffic, gives and withdraws workspace keys, and shows the state
/// of the fleet.
#[derive(Debug, Parser)]
#[command(name = "teaseldoor", version, after_long_help = EXIT_CODES)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,

    /// How to reach the fleet and how to print.
    #[command(flatten)]
    pub common: Common,
}

/// Options of every command.
#[derive(Debug, Args)]
pub struct Common {
    /// Settings file
    ///
    /// TOML file that may set the platform, the secret file, the daemons and the author. Options
    /// on the command line go before what it says.
    #[arg(long, short = 's', global = true, value_name = "FILE", value_hint = ValueHint::FilePath)]
    pub settings: Option<PathBuf>,

    /// Base URL of the platform's service
    ///
    /// Edits and keys are written there.
    #[arg(long, global = true, value_name = "http://IP:PORT", value_hint = ValueHint::Url)]
    pub platform: Option<String>,

    /// File with the fleet's secret
    ///
    /// It holds 64 hexadecimal digits. Without it no daemon answers, and no key can be given.
    #[arg(long, global = true, value_name = "FILE", value_hint = ValueHint::FilePath)]
    pub secret_file: Option<PathBuf>,

    /// Address of a control daemon, may be repeated
    ///
    /// The daemons are found in the platform's list of VMs and ask each other; an address is
    /// needed only while the platform cannot be reached.
    #[arg(long = "daemon", global = true, value_name = "IP:PORT")]
    pub daemons: Vec<SocketAddr>,

    /// Name that goes into the history
    ///
    /// Defaults to the name of the user who runs the command.
    #[arg(long, global = true, value_name = "NAME")]
    pub author: Option<String>,

    /// Print reports as JSON
    ///
    /// One JSON document on standard output; progress and errors stay on standard error.
    #[arg(long, global = true)]
    pub json: bool,

    /// When to use colours
    ///
    /// With auto, colours are used only on a terminal, and none if the environment
    /// asks for none.
    #[arg(long, global = true, value_name = "WHEN", value_enum, default_value_t = Color::Auto)]
    pub color: Color,
}

/// When to use colours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Color {
    /// On a terminal.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a text
    ///
    /// Reports every problem of the text with its line, column and a hint. Needs no connection.
    Check {
        /// Text to check; - reads standard input
        #[arg(value_hint = ValueHint::FilePath)]
        file: PathBuf,
    },

    /// Show what a text would change for traffic
    Diff(DiffArgs),

    /// Put a text in force
    ///
    /// Checks the text, shows what it changes and writes it. If somebody else's edit came first,
    /// nothing is written and both sets of changes are shown.
    Apply(ApplyArgs),

    /// List the revisions of the text
    History {
        /// Most revisions to list, newest first
        #[arg(long, short = 'n', default_value_t = 20, value_name = "COUNT")]
        limit: u64,
    },

    /// Print the text in force or an earlier one
    ///
    /// The first line names the revision, so that a later apply of the edited text notices
    /// edits that came in between.
    Show {
        /// Revision to print; the one in force if absent
        revision: Option<u64>,
    },

    /// Give, withdraw and list workspace keys
    #[command(subcommand)]
    Key(KeyCommand),

    /// Stop new work at a zone or at a backend server, or let it in again
    ///
    /// Changes the text in force; comments and layout stay as they are.
    #[command(subcommand)]
    Drain(DrainCommand),

    /// Show which zones have the text in force and which are cut off
    Status,

    /// Show how fast services use up their error budgets
    ///
    /// Computes the burn rate of each objective over several windows from what all daemons that
    /// answer have recorded, the worst-served workspace first, and says how much of the fleet
    /// that is. A rate of 1 uses up the budget exactly.
    Burn(BurnArgs),

    /// Tell where a caller's requests would go and why
    Explain(ExplainArgs),

    /// Follow one request through the logs of entry VMs
    ///
    /// Reads the JSON lines that entry VMs log and prints those on the request, and on the backend
    /// servers that it was sent to, in order of time. Needs no connection.
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
    /// Number of the caller's attempt
    pub request: String,

    /// Logs, one for each VM; - reads standard input
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
    /// A file, or the word current for the text in force.
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
    /// Defaults to the revision in the text's first line, as show prints it, and else to the
    /// revision in force.
    #[arg(long, value_name = "REVISION")]
    pub from: Option<u64>,

    /// Whether to wait until the change is in force.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// Whether and how long to wait until a change is in force.
#[derive(Debug, Clone, Copy, Args)]
pub struct WaitArgs {
    /// Wait until the change is in force in every zone
    ///
    /// Shows on standard error which zones have it. Ends with code 6 if some zone does not have
    /// it in time.
    #[arg(long, short = 'w')]
    pub wait: bool,

    /// Longest time to wait, in seconds
    #[arg(long, default_value_t = 30, value_name = "SECONDS", requires = "wait")]
    pub wait_limit_s: u64,
}

/// Commands about keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Give a workspace a new key
    ///
    /// The key is shown this once and kept nowhere.
    Give {
        /// Workspace that the key is for
        workspace: String,
    },

    /// Withdraw a key for good
    ///
    /// Tells the daemons directly and writes the platform's record. It may be repeated, and has
    /// to be if the platform could not be reached.
    Withdraw {
        /// The key's id, or the key itself
        #[arg(value_name = "ID|KEY")]
        key: String,
    },

    /// List the keys
    List {
        /// Only the keys of this workspace
        #[arg(long, short = 'W', value_name = "NAME")]
        workspace: Option<String>,
    },
}

/// Commands about drains.
#[derive(Debug, Subcommand)]
pub enum DrainCommand {
    /// Empty a zone of traffic
    Zone {
        /// Name of the zone
        name: String,

        /// How to change the drain.
        #[command(flatten)]
        args: DrainArgs,
    },

    /// Give a backend server no new work
    Backend {
        /// Address of the backend server
        #[arg(value_name = "IP:PORT")]
        addr: SocketAddr,

        /// How to change the drain.
        #[command(flatten)]
        args: DrainArgs,
    },
}

/// How to change a drain.
#[derive(Debug, Clone, Copy, Args)]
pub struct DrainArgs {
    /// End the drain
    #[arg(long, short = 'e')]
    pub end: bool,

    /// Whether to wait until the change is in force.
    #[command(flatten)]
    pub wait: WaitArgs,
}

/// Arguments of `burn`.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// File to plot the burn rates to, as SVG
    ///
    /// Shows the worst rows over all windows.
    #[arg(long, short = 'p', value_name = "FILE", value_hint = ValueHint::FilePath)]
    pub plot: Option<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Address of the caller
    #[arg(long, short = 'c', value_name = "IP")]
    pub client: IpAddr,

    /// Service that the caller wants
    #[arg(long, short = 'S', value_name = "NAME")]
    pub service: String,

    /// Workspace of the caller
    #[arg(long, short = 'W', value_name = "NAME")]
    pub workspace: Option<String>,
}
