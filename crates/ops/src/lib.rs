//! The operators' command-line client.

mod cli;
mod command;
mod config;
mod edit;
mod exit;
mod explain;
mod fleet;
mod keys;
mod output;
mod platform;
mod run;
mod source;
mod wait;
mod zones;

pub use cli::Cli;
pub use config::Config;
pub use exit::Exit;
pub use run::run;
