//! The costs of each role against its limits.

use std::fmt::Write as _;

use crate::costs::Costs;
use crate::page::rounded;
use crate::sizes::Sizes;

/// Bytes of a holder and a bucket of one workspace.
const HOLDER_BYTES: f64 = 64.0;

/// Largest value at the platform, in megabytes.
const VALUE_MB: f64 = 1.0;

/// One figure of a role.
#[derive(Debug, Clone, PartialEq)]
struct Row {
    role: &'static str,
    what: &'static str,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
    /// Mechanism that carries it.
    mechanism: &'static str,
}

impl Row {
    fn new(role: &'static str, what: &'static str, value: f64, unit: &'static str) -> Self {
        Self {
            role,
            what,
            value,
            unit,
            limit: None,
            mechanism: "",
        }
    }

    fn with_limit(mut self, limit: f64) -> Self {
        self.limit = Some(limit);
        self
    }

    fn by(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    fn verdict(&self) -> String {
        match self.limit {
            None => String::new(),
            Some(limit) if self.value <= limit => format!("within {limit}"),
            Some(limit) => format!("**over {limit}**"),
        }
    }
}

/// Writes the table of roles.
///
/// # Errors
///
/// Fails only if `page` cannot be written.
pub fn write(page: &mut String, sizes: &Sizes, costs: &Costs) -> eyre::Result<()> {
    writeln!(page, "\n## Roles\n")?;
    writeln!(
        page,
        "| role | what | figure | limit | carried by |\n|---|---|---|---|---|"
    )?;
    let rows = [
        data_path(sizes, costs),
        control(sizes, costs),
        owners(sizes, costs),
        platform(sizes, costs),
    ];
    for row in rows.iter().flatten() {
        writeln!(
            page,
            "| {} | {} | {} {} | {} | {} |",
            row.role,
            row.what,
            rounded(row.value),
            row.unit,
            row.verdict(),
            row.mechanism,
        )?;
    }
    Ok(())
}

fn data_path(sizes: &Sizes, costs: &Costs) -> Vec<Row> {
    let limits = &sizes.limits;
    vec![
        Row::new(
            "look-up",
            "look-ups at one gate",
            costs.look_ups_per_s,
            "/s",
        )
        .by("every gate answers; callers keep answers for their time to live"),
        Row::new(
            "look-up",
            "processor, both ends (data path)",
            costs.look_up_core,
            "% of a core",
        )
        .by("one immutable table, read without locks"),
        Row::new("look-up", "table of client blocks", costs.table_mb, "MB")
            .with_limit(limits.megabytes)
            .by("flat arrays with a start for each sixteenth of a /16"),
        Row::new("gate", "key check (data path)", costs.key_check_us, "us")
            .by("keyed hash and one look-up in the snapshot"),
    ]
}

fn control(sizes: &Sizes, costs: &Costs) -> Vec<Row> {
    let limits = &sizes.limits;
    vec![
        Row::new(
            "control",
            "processor at rest, gate's link included",
            costs.core,
            "% of a core",
        )
        .with_limit(limits.core_percent)
        .by("one exchange a second along a tree"),
        Row::new(
            "control",
            "processor for changes of the text",
            costs.change_core,
            "% of a core",
        )
        .with_limit(limits.core_percent)
        .by("each change is read once by the gate and once by control"),
        Row::new("control", "memory", costs.memory_mb, "MB")
            .with_limit(limits.megabytes)
            .by("state by shard, digests"),
        Row::new(
            "control",
            "traffic of the mean daemon at rest",
            costs.mean_bytes,
            "bytes/s",
        )
        .with_limit(limits.bytes_per_s)
        .by("digests; only shards that differ are sent"),
        Row::new(
            "control",
            "traffic for changes of the text",
            costs.change_bytes,
            "bytes/s",
        )
        .with_limit(limits.bytes_per_s)
        .by("differences between revisions, passed on along the tree"),
        Row::new(
            "share holder",
            "traffic of the mean daemon for shares of the other workspaces",
            costs.share_bytes,
            "bytes/s",
        )
        .with_limit(limits.bytes_per_s)
        .by("one request a second for each workspace"),
        Row::new(
            "grant owner",
            "traffic of the busiest daemon for shares of the other workspaces",
            costs.most_share_bytes,
            "bytes/s",
        )
        .with_limit(limits.bytes_per_s)
        .by("requests of a zone's VMs end at its lead"),
        Row::new(
            "zone watcher",
            "traffic of the busiest daemon at rest",
            costs.most_bytes,
            "bytes/s",
        )
        .with_limit(limits.bytes_per_s)
        .by("fan-out bounded by the tree; leads talk to a few others a second"),
        Row::new(
            "zone watcher",
            "a change in force everywhere",
            costs.change_s,
            "s",
        )
        .with_limit(limits.change_s)
        .by("watch, then a tree whose levels hear of it at once"),
    ]
}

fn owners(sizes: &Sizes, costs: &Costs) -> Vec<Row> {
    let limits = &sizes.limits;
    vec![
        Row::new(
            "grant owner",
            "processor for requests for shares",
            costs.share_asks_core,
            "% of a core",
        )
        .with_limit(limits.core_percent)
        .by("one request a second from each VM for each workspace that it serves"),
        Row::new(
            "share holder",
            "state",
            sizes.workspaces * HOLDER_BYTES / 1e6,
            "MB",
        )
        .with_limit(limits.megabytes)
        .by("one holder and one bucket for each workspace"),
        Row::new(
            "operation owner",
            "record of a shard of claims",
            costs.claim_record_mb,
            "MB",
        )
        .with_limit(VALUE_MB)
        .by("64 shards, packed; claims stand two hours"),
        Row::new(
            "operators' client",
            "one VM's recording for `burn`",
            costs.recording_kb,
            "kB",
        )
        .by("asked for, never sent unasked"),
        Row::new(
            "all",
            "key records, once at the start",
            costs.key_bytes / 1e6,
            "MB",
        )
        .with_limit(limits.megabytes)
        .by("shards by hash; later only shards that changed"),
    ]
}

fn platform(sizes: &Sizes, costs: &Costs) -> Vec<Row> {
    let limits = &sizes.limits;
    vec![
        Row::new(
            "platform",
            "reads, waiting watches included",
            costs.reads,
            "/s",
        )
        .with_limit(limits.platform_reads_per_s)
        .by("two watchers in each zone"),
        Row::new("platform", "writes at rest", costs.writes, "/s")
            .with_limit(limits.platform_writes_per_s)
            .by("leases of leads"),
        Row::new("platform", "writes of claims", costs.claim_writes, "/s")
            .with_limit(limits.platform_writes_per_s)
            .by("one write a shard each half second, many claims in one"),
    ]
}
