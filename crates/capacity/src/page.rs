//! The page that sets the slopes against the sizes and limits.

use std::fmt::Write as _;

use crate::costs::{Costs, DAY_S};
use crate::roles;
use crate::sizes::Sizes;
use crate::slope::{Slope, Slopes};

/// Renders the page.
///
/// # Errors
///
/// Fails if a slope is missing.
pub fn render(sizes: &Sizes, slopes: &Slopes) -> eyre::Result<String> {
    let costs = Costs::new(sizes, slopes)?;
    let mut page = String::new();
    page.push_str(HEAD);
    write_sizes(&mut page, sizes)?;
    roles::write(&mut page, sizes, &costs)?;
    write_peaks(&mut page, sizes, &costs)?;
    write_misfits(&mut page, sizes, &costs)?;
    write_slopes(&mut page, slopes)?;
    Ok(page)
}

const HEAD: &str = "\
# Capacity

What the system costs at the size to design for. `teaseldoor-capacity` works this page out; it
is not edited by hand:

```console
$ cargo run --release --locked -p capacity -- measure > docs/capacity/slopes.toml
$ cargo run --release --locked -p capacity -- page > docs/CAPACITY.md
```

`docs/capacity/sizes.toml` holds the sizes and limits; other sizes can be asked for with
`page --sizes FILE`. Every figure follows from a slope at the end of this page. Fleets of up to
32 VMs, with two workspaces where nothing else is said, were measured in one process on one
machine, so the processor and memory figures contain
the stand-in for the platform and the runtime's own cost, and the lines are extended a long way
beyond their points.
";

fn write_sizes(page: &mut String, sizes: &Sizes) -> eyre::Result<()> {
    let limits = &sizes.limits;
    writeln!(page, "\n## Sizes\n")?;
    writeln!(page, "| size | value |\n|---|---|")?;
    let rows = [
        (
            "daemons (entry VMs, each with gate and control)",
            sizes.daemons,
        ),
        ("regions", sizes.regions),
        ("availability zones", sizes.zones),
        ("VMs in a zone", sizes.vms_per_zone()),
        ("client blocks", sizes.client_blocks),
        ("sites", sizes.sites),
        ("look-ups per second", sizes.look_ups_per_s),
        ("changes of the text per day", sizes.changes_per_day),
        ("bytes of the text (assumed)", sizes.text_bytes),
        ("workspaces (assumed)", sizes.workspaces),
        ("services (assumed)", sizes.services),
        ("workspace keys (assumed)", sizes.keys),
        (
            "operations that must not repeat, per second (assumed)",
            sizes.operations_per_s,
        ),
        ("VMs replaced per day", sizes.replaced_per_day),
        ("limit: control, % of a core", limits.core_percent),
        ("limit: control, MB", limits.megabytes),
        ("limit: control, bytes/s", limits.bytes_per_s),
        ("limit: platform, reads/s", limits.platform_reads_per_s),
        ("limit: platform, writes/s", limits.platform_writes_per_s),
        ("limit: a change in force everywhere, s", limits.change_s),
    ];
    for (name, value) in rows {
        writeln!(page, "| {name} | {value} |")?;
    }
    Ok(())
}

/// Rounds to three digits.
#[must_use]
pub fn rounded(value: f64) -> String {
    let decimals = match value.abs() {
        large if large >= 100.0 => 0,
        medium if medium >= 10.0 => 1,
        small if small >= 1.0 => 2,
        _ => 3,
    };
    format!("{value:.decimals$}")
}

fn write_peaks(page: &mut String, sizes: &Sizes, costs: &Costs) -> eyre::Result<()> {
    let vms = sizes.vms_per_zone();
    let whole = sizes.text_bytes + costs.key_bytes;
    writeln!(page, "\n## Peaks\n")?;
    writeln!(
        page,
        "- **A zone returns whole.** {vms:.0} VMs start at once. Two of them watch the platform; \
         the others get the text and the keys ({} kB a VM) from VMs of their zone, {} MB in all, \
         or {} s of a zone's control traffic if it kept its limit. The platform sees {} reads/s \
         more from the zone's two watchers and one claim of a seat from each VM, spread by \
         jitter.",
        rounded(whole / 1e3),
        rounded(whole * vms / 1e6),
        rounded(whole / sizes.limits.bytes_per_s),
        rounded(costs.reads / sizes.zones),
    )?;
    writeln!(
        page,
        "- **{:.0} replacements a day** are one each {} s: {} writes/s at the platform, {} bytes/s \
         over the whole fleet.",
        sizes.replaced_per_day,
        rounded(DAY_S / sizes.replaced_per_day),
        rounded(2.0 * sizes.replaced_per_day / DAY_S),
        rounded(whole * sizes.replaced_per_day / DAY_S),
    )?;
    writeln!(
        page,
        "- **Regions parted for minutes.** Nothing is sent instead; each side goes on with its \
         standing shares and, while their terms last, with lent ones. Changes made meanwhile \
         arrive as one difference when the regions meet again."
    )?;
    Ok(())
}

fn write_misfits(page: &mut String, sizes: &Sizes, costs: &Costs) -> eyre::Result<()> {
    let limits = &sizes.limits;
    let checks = [
        (
            costs.core + costs.change_core,
            limits.core_percent,
            "processor time of a control daemon, % of a core",
            "the figure contains the gate's link each 200 ms and the stand-ins; a longer period of the link and a process of its own for each daemon have to be measured",
        ),
        (
            costs.memory_mb + costs.table_mb,
            limits.megabytes,
            "memory of a VM's daemons, MB",
            "client blocks would be kept only by the gates of the regions that they concern",
        ),
        (
            costs.mean_bytes + costs.change_bytes + costs.share_bytes,
            limits.bytes_per_s,
            "traffic of the mean daemon, bytes/s",
            "requests for shares would have to name only the workspaces whose demand changed",
        ),
        (
            costs.most_bytes + costs.change_bytes + costs.most_share_bytes,
            limits.bytes_per_s,
            "traffic of the busiest daemon, bytes/s",
            "as above, and requests for shares would have to go up a tree like all else, not straight to the lead",
        ),
        (
            costs.change_s,
            limits.change_s,
            "a change in force everywhere, s",
            "the tree has to be flatter",
        ),
        (
            costs.reads,
            limits.platform_reads_per_s,
            "reads at the platform, /s",
            "watches have to wait longer, or one watcher a zone to do",
        ),
        (
            costs.writes + costs.claim_writes,
            limits.platform_writes_per_s,
            "writes at the platform, /s",
            "leases need longer terms, or claims larger batches",
        ),
        (
            costs.claim_record_mb,
            1.0,
            "record of a shard of claims, MB",
            "more shards or shorter claims",
        ),
    ];
    writeln!(page, "\n## What does not fit\n")?;
    let mut fits = true;
    for (value, limit, what, change) in checks {
        if value > limit {
            fits = false;
            writeln!(
                page,
                "- {what}: {} of {limit}. To change: {change}.",
                rounded(value)
            )?;
        }
    }
    if fits {
        writeln!(page, "Every figure is within its limit.")?;
    }
    Ok(())
}

fn write_slopes(page: &mut String, slopes: &Slopes) -> eyre::Result<()> {
    writeln!(page, "\n## Slopes\n")?;
    writeln!(
        page,
        "The last column is the largest distance of a point from its line, in percent of the \
         largest cost; a new run can differ by as much.\n"
    )?;
    writeln!(
        page,
        "| slope | of | over | points | line | off |\n|---|---|---|---|---|---|"
    )?;
    for (name, slope) in slopes {
        let line = slope.line();
        writeln!(
            page,
            "| {name} | {} | {} | {} | {} + {} x | {:.0}% |",
            slope.cost,
            slope.size,
            points(slope),
            compact(line.base),
            compact(line.per_unit),
            line.off_percent,
        )?;
    }
    Ok(())
}

fn points(slope: &Slope) -> String {
    let point = |point: &crate::slope::Point| format!("{}: {}", point.x, compact(point.y));
    slope
        .points
        .iter()
        .map(point)
        .collect::<Vec<_>>()
        .join("; ")
}

/// Writes a number with three digits, as a power of ten where it is very small.
fn compact(value: f64) -> String {
    if value != 0.0 && value.abs() < 0.001 {
        format!("{value:.2e}")
    } else {
        rounded(value)
    }
}
