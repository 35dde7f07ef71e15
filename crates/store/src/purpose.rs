//! What calls to the platform are for, and how often each purpose may call.

/// What a call is for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Purpose {
    /// Calls of the operators' client and of tools.
    #[default]
    Operator,
    /// Watching the operators' text.
    Config,
    /// Watching the key records.
    Keys,
    /// Watching the list of VMs.
    Vms,
    /// Acquiring and renewing the leases of leads.
    Leader,
    /// Records of lent shares.
    Share,
    /// Claims of operations that must not repeat.
    Claim,
    /// Writing withdrawals that arrived while the platform was down.
    Withdrawal,
}

/// Rates of one purpose at one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Reads per second, blocking reads included.
    pub reads_per_s: f64,
    /// Writes per second, calls about sessions included.
    pub writes_per_s: f64,
    /// Calls of either kind that may follow one another without a pause.
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

    /// Returns the name as it stands in logs and reports.
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

    /// Returns the rates; absent if the purpose is not limited.
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
