//! Purposes of calls to the platform, and the call rate allowed for each purpose.

/// Purpose of a call to the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Purpose {
    /// Calls of the operators' command-line client and of tools.
    #[default]
    Operator,
    /// Watching the operators' configuration.
    Config,
    /// Watching the workspace key records.
    Keys,
    /// Watching the list of VMs.
    Vms,
    /// Acquiring and renewing the leases of the zone and fleet leaders.
    Leader,
    /// Reading and writing the records of lent shares.
    Share,
    /// Claiming operations that must run at most once.
    Claim,
    /// Writing key withdrawals that arrived while the platform was unreachable.
    Withdrawal,
}

/// Call rates of one purpose on one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Reads per second, including blocking queries.
    pub reads_per_s: f64,
    /// Writes per second, including session calls.
    pub writes_per_s: f64,
    /// Number of calls of either kind that may be made without a delay.
    pub burst: f64,
}

impl Purpose {
    /// Every purpose, in the order of [`Purpose::index`].
    pub const ALL: [Self; 8] = [
        Self::Operator,
        Self::Config,
        Self::Keys,
        Self::Vms,
        Self::Leader,
        Self::Share,
        Self::Claim,
        Self::Withdrawal,
    ];

    /// Returns the position in [`Purpose::ALL`].
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name used in logs and reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Config => "config",
            Self::Keys => "keys",
            Self::Vms => "vms",
            Self::Leader => "lead",
            Self::Share => "share",
            Self::Claim => "claim",
            Self::Withdrawal => "withdrawal",
        }
    }

    /// Returns the allowed rates; `None` if the purpose is not limited.
    #[must_use]
    pub fn allowance(self) -> Option<Allowance> {
        let (reads_per_s, writes_per_s, burst) = match self {
            Self::Operator => return None,
            Self::Config | Self::Vms => (1.0, 0.0, 10.0),
            Self::Keys => (5.0, 0.0, 10.0),
            Self::Leader => (1.0, 2.0, 6.0),
            Self::Share => (2.0, 2.0, 4.0),
            Self::Claim => (140.0, 140.0, 64.0),
            Self::Withdrawal => (1.0, 1.0, 4.0),
        };
        Some(Allowance {
            reads_per_s,
            writes_per_s,
            burst,
        })
    }
}
