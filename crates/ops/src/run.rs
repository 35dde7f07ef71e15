//! Execution of the parsed command line.

use std::io::{self, Write};

use crate::cli::{Cli, Command};
use crate::command::{
    apply, burn, check, diff, drain, explain, generate, history, key, show, status, trace,
};
use crate::config::Config;
use crate::exit::Exit;
use crate::output::Output;

/// Runs a command and prints its error, if any, as one line on standard error.
#[must_use]
pub fn run(cli: &Cli) -> Exit {
    match execute(cli) {
        Ok(exit) => exit,
        Err(error) if is_closed_pipe(&error) => Exit::Done,
        Err(error) => {
            let line = format!("{error:#}").replace('\n', " ");
            let _ = writeln!(io::stderr().lock(), "teaseldoor: {}", line.trim_end());
            Exit::of(&error)
        }
    }
}

fn execute(cli: &Cli) -> eyre::Result<Exit> {
    let config = Config::new(&cli.common)?;
    let output = Output::new(&config);
    match &cli.command {
        Command::Check { file } => check::run(file, output),
        Command::Diff(args) => diff::run(args, &config, output),
        Command::Apply(args) => apply::run(args, &config, output),
        Command::History { limit } => history::run(*limit, &config, output),
        Command::Show { revision } => show::run(*revision, &config),
        Command::Key(command) => key::run(command, &config, output),
        Command::Drain(command) => drain::run(command, &config, output),
        Command::Status => status::run(&config, output),
        Command::Burn(args) => burn::run(args, &config, output),
        Command::Trace(args) => trace::run(args, output),
        Command::Explain(args) => explain::run(args, &config, output),
        Command::Completions { shell } => generate::completions(*shell),
        Command::Man { dir } => generate::man(dir),
    }
}

/// Returns whether the reader closed standard output early, as `head` does.
fn is_closed_pipe(error: &eyre::Report) -> bool {
    let error = error.downcast_ref::<io::Error>();
    error.is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe)
}
