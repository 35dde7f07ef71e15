//! Compares lent shares with an equal split and with a single owner per workspace, in simulated
//! time: counts the requests that are refused although the fleet-wide rate and burst allow them.

mod layout;
mod lent;
mod policy;
mod run;
mod traffic;

use crate::layout::Partition;
use crate::policy::{EqualSplit, Policy, SingleOwner};
use crate::run::{Outcome, run};
use crate::traffic::{Pace, Workload};

/// Compared paces and bursts; a burst is in seconds of the rate.
const WORKLOADS: [(Pace, f64); 3] = [
    (Pace::Capped, 1.0),
    (Pace::Abrupt, 1.0),
    (Pace::Capped, 0.2),
];

/// Division of the whole allowance for lent shares.
struct Split {
    name: &'static str,
    /// Base shares, in percent.
    base: u64,
    /// The leader's reserve, in percent.
    reserve: u64,
}

const SPLITS: [Split; 4] = [
    Split {
        name: "lent, 20% base, 0% reserve",
        base: 20,
        reserve: 0,
    },
    Split {
        name: "lent, 10% base, 40% reserve",
        base: 10,
        reserve: 40,
    },
    Split {
        name: "lent, 10% base, 60% reserve",
        base: 10,
        reserve: 60,
    },
    Split {
        name: "lent, 10% base, 75% reserve",
        base: 10,
        reserve: 75,
    },
];

fn main() {
    println!(
        "| callers move | burst | partitioned | policy | wrongly refused, within rate | \
         worst workspace within rate | at 5x: admitted of ideal | network time, median / 99th |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (pace, burst_s) in WORKLOADS {
        let workload = Workload::new(pace, burst_s);
        for partition in [Partition::None, Partition::Zone, Partition::LeaderZone] {
            for split in SPLITS {
                let mut fleet = lent::Fleet::new(&workload, split.base, split.reserve);
                row(partition, &workload, split.name, &mut fleet);
            }
            row(
                partition,
                &workload,
                "equal split",
                &mut EqualSplit::new(&workload),
            );
            row(
                partition,
                &workload,
                "single owner",
                &mut SingleOwner::new(&workload),
            );
        }
    }
    let median = run::check_ns(0.5);
    println!(
        "\ncheck at the gate: {median} ns median, {} ns 99th",
        run::check_ns(0.99)
    );
}

fn row(partition: Partition, workload: &Workload, name: &str, policy: &mut dyn Policy) {
    let outcome: Outcome = run(workload, partition, policy);
    println!(
        "| {} | {:.1} s | {} | {name} | {:.3}% | {:.3}% | {:.1}% | {:.1} / {:.1} ms |",
        workload.pace.name(),
        workload.burst_s,
        partition.name(),
        outcome.wrongly_refused_percent(),
        outcome.max_wrongly_refused_percent(),
        outcome.heavy_admitted_percent(),
        outcome.network_ms(0.5),
        outcome.network_ms(0.99),
    );
}
