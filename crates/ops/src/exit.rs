//! Exit codes.

use std::process::ExitCode;

use store::StoreError;

/// Result of a command. For an invalid command line, clap exits with code 2.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed for a reason other than those below.
    Failed,
    /// A text has problems; nothing was written.
    Invalid,
    /// Another edit was written first; nothing was written.
    Conflict,
    /// The platform's service or the daemons are unreachable; nothing is put in force.
    Unreachable,
    /// The change is accepted, but was not in force everywhere in time.
    Unfinished,
    /// No response arrived; the change may or may not be written.
    Unknown,
}

impl Exit {
    /// Returns the exit of a command that failed with `error`.
    #[must_use]
    pub fn of(error: &eyre::Report) -> Self {
        match error.downcast_ref::<StoreError>() {
            Some(StoreError::Unanswered(_) | StoreError::Refused(_)) => Self::Unreachable,
            Some(StoreError::Malformed(_) | StoreError::OverBudget) | None => Self::Failed,
        }
    }

    /// Returns the exit code of the process.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Invalid => 3,
            Self::Conflict => 4,
            Self::Unreachable => 5,
            Self::Unfinished => 6,
            Self::Unknown => 7,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        exit.code().into()
    }
}
