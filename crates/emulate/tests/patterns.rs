//! Simulates load patterns with the placement code of `steer` and compares policies.

use std::sync::LazyLock;

use emulate::scenario::{Effect, Fault};
use emulate::{Policy, Scenario, Tally, simulate};

const FORUM: &str = include_str!("../../../examples/emulate/forum.toml");
const PLAIN: &str = include_str!("../../../examples/emulate/plain.toml");

const SEED: u64 = 1;

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).expect("the example scenario is valid")
}

static AFFINITY: LazyLock<Tally> =
    LazyLock::new(|| simulate(&scenario(FORUM), Policy::Product, SEED));

/// Many objects on servers that keep few of them warm, with a burst, callers that move between
/// zones, servers of a zone that return cold, and slow servers.
#[test]
fn affinity_beats_baselines_on_every_metric() {
    for baseline in [Policy::LeastLoad, Policy::NearestInTurn] {
        let baseline_tally = simulate(&scenario(FORUM), baseline, SEED);
        let affinity = &AFFINITY;
        assert!(
            affinity.all.ratio() > baseline_tally.all.ratio(),
            "{baseline:?}"
        );
        assert!(
            affinity.worst_zone() > baseline_tally.worst_zone(),
            "{baseline:?}"
        );
        assert!(
            affinity.worst_windows() > baseline_tally.worst_windows(),
            "{baseline:?}"
        );
        assert!(
            affinity.worst_kind() > baseline_tally.worst_kind(),
            "{baseline:?}"
        );
        assert!(affinity.served() > baseline_tally.served(), "{baseline:?}");
    }
}

#[test]
fn most_runs_are_warm() {
    let warm = f64::from(AFFINITY.warm) / f64::from(AFFINITY.runs);
    assert!(warm > 0.95, "{warm}");
}

/// The same load pattern, on servers that do not report their load.
#[test]
fn unreported_load_costs_little_credit() {
    let mut unreported = scenario(FORUM);
    for service in &mut unreported.services {
        service.tells_load = false;
    }
    let unreported = simulate(&unreported, Policy::Product, SEED);
    let reported = AFFINITY.all.ratio();
    assert!(unreported.all.ratio() > reported - 0.03, "{unreported:?}");
}

/// Requests without affinity, in a region with too few slots for its callers. Only the excess
/// work should leave that region.
#[test]
fn proximity_matches_least_load_with_less_traffic_between_regions() {
    let proximity = simulate(&scenario(PLAIN), Policy::Product, SEED);
    let least_load = simulate(&scenario(PLAIN), Policy::LeastLoad, SEED);
    let in_turn = simulate(&scenario(PLAIN), Policy::NearestInTurn, SEED);
    assert!(
        proximity.all.ratio() > least_load.all.ratio() - 0.02,
        "{proximity:?}"
    );
    assert!(
        proximity.worst_zone() > least_load.worst_zone() - 0.03,
        "{proximity:?}"
    );
    assert!(proximity.all.ratio() > in_turn.all.ratio(), "{proximity:?}");
    assert!(
        proximity.far * 2 < least_load.far,
        "{} {}",
        proximity.far,
        least_load.far
    );
}

/// Twice the work that there are slots for: the excess is refused, and the requests that are
/// served must be served in time.
#[test]
fn refuses_excess_requests_under_overload_and_serves_the_rest() {
    let mut overloaded = scenario(FORUM);
    for kind in &mut overloaded.kinds {
        kind.per_s *= 4.0;
    }
    let tally = simulate(&overloaded, Policy::Product, SEED);
    assert!(tally.refusals > 0);
    assert!(tally.all.ratio() > 0.25, "{tally:?}");
}

#[test]
fn same_seed_gives_same_tally() {
    assert_eq!(*AFFINITY, simulate(&scenario(FORUM), Policy::Product, SEED));
}

#[test]
fn rejects_inconsistent_scenarios() {
    for (valid, invalid, message) in [
        (
            "service = \"ledger\"",
            "service = \"none\"",
            "unknown service none",
        ),
        ("zone = \"north-b\"", "zone = \"east\"", "unknown zone east"),
        (
            "servers = [3, 3, 4]",
            "servers = [3, 3]",
            "for each of 3 zones",
        ),
        ("retries = 1", "retrys = 1", "unknown field"),
    ] {
        let error = Scenario::parse(&FORUM.replacen(valid, invalid, 1))
            .expect_err("an inconsistent scenario must be rejected");
        let error = format!("{error:#}");
        assert!(error.contains(message), "{error}");
    }
}

/// Returns the scenario of few fast requests in which the VMs of the given zones are cut off all the time.
fn with_cuts(zones: &[&str]) -> Scenario {
    let mut scenario = scenario(PLAIN);
    scenario.troubles.clear();
    for zone in zones {
        scenario.troubles.push(Fault {
            at_s: 0.0,
            // Retries come after the last request.
            for_s: scenario.length_s * 2.0,
            what: Effect::Cut {
                zone: (*zone).to_owned(),
            },
        });
    }
    scenario
}

/// VMs of zones that are cut off asked each other, and callers there were served far worse.
#[test]
fn callers_of_vms_that_are_cut_off_are_served_like_others() {
    let without = simulate(&with_cuts(&[]), Policy::Product, SEED);
    for cut in [&["south-a"][..], &["north-a", "north-b"]] {
        let with = simulate(&with_cuts(cut), Policy::Product, SEED);
        assert!(with.served() > without.served() - 0.02, "{cut:?}: {with:?}");
        assert!(
            with.worst_zone() > without.worst_zone() - 0.1,
            "{cut:?}: {with:?}"
        );
    }
}

#[test]
fn requests_that_no_vm_can_pass_on_are_refused() {
    let all = ["north-a", "north-b", "south-a"];
    let tally = simulate(&with_cuts(&all), Policy::Product, SEED);
    assert_eq!(tally.runs, 0);
    assert!(tally.refusals > 0);
}
