//! `completions` and `man`: files generated from the definition of the command line.

use std::fs;
use std::path::Path;

use clap::CommandFactory;
use clap_complete::Shell;
use eyre::WrapErr;

use crate::cli::Cli;
use crate::exit::Exit;
use crate::output;

/// Prints a completion script.
pub fn completions(shell: Shell) -> eyre::Result<Exit> {
    let mut command = Cli::command();
    let name = command.get_name().to_owned();
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, name, &mut script);
    output::write(&String::from_utf8(script)?)?;
    Ok(Exit::Done)
}

/// Writes the manual pages of the program and of each command.
pub fn man(dir: &Path) -> eyre::Result<Exit> {
    fs::create_dir_all(dir)
        .and_then(|()| clap_mangen::generate_to(Cli::command(), dir))
        .wrap_err_with(|| format!("cannot write manual pages to {}", dir.display()))?;
    Ok(Exit::Done)
}
