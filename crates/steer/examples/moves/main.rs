//! Measures how many objects change their server when servers come and go, and how far the servers' shares
//! are from their sizes; prints the tables of `docs/design/placement.md`.
//!
//! The deployment is the tolls' largest service: 88 servers of 9 slots in 6 zones and 3 regions, with the
//! callers even over the regions. The objects have equal demand. Takes half a minute with `--release`.

mod alternatives;
mod earlier;
mod fleet;
mod waves;

use std::time::Instant;

use steer::placement::Reach;
use steer::to_f64;

use crate::alternatives::ALTERNATIVES;
use crate::fleet::{Fleet, Sizes, percent};

/// Objects of each region.
const OBJECTS: u64 = 100_000;

/// Objects of each region where servers are replaced one by one.
const REPLACED_OBJECTS: u64 = 3_000;

/// Changes of the fleet.
const EVENTS: [Event; 6] = [
    Event::Add(0),
    Event::Add(4),
    Event::Remove(0),
    Event::Remove(4),
    Event::LoseZone(1),
    Event::LoseZone(5),
];

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A server of 9 slots comes to a zone.
    Add(usize),
    /// A server of a zone leaves.
    Remove(usize),
    /// All servers of a zone leave.
    LoseZone(usize),
}

impl Event {
    fn name(self) -> String {
        let region = |zone: usize| ["small", "middle", "large"][zone / 2];
        match self {
            Self::Add(zone) => format!("add one in the {} region", region(zone)),
            Self::Remove(zone) => format!("remove one in the {} region", region(zone)),
            Self::LoseZone(zone) => format!("lose a zone of the {} region", region(zone)),
        }
    }

    fn apply(self, fleet: &Fleet) -> Fleet {
        match self {
            Self::Add(zone) => fleet.with_server("added", zone, 9.0),
            Self::Remove(zone) => fleet.without_first_of(zone),
            Self::LoseZone(zone) => fleet.without_zone(zone),
        }
    }
}

/// How the objects are placed.
#[derive(Debug, Clone, Copy)]
enum Version {
    Earlier,
    Now,
}

/// Returns the homes of the objects of all regions: for each the name's hash of the server.
fn homes(fleet: &Fleet, version: Version, spills: Option<[f64; 3]>, objects: u64) -> Vec<u64> {
    let mut homes = Vec::new();
    for region in 0..3 {
        let candidates = fleet.seen_from(2 * region);
        let reach = spills.map_or(Reach::Fleet, |spills| Reach::Region(spills[region]));
        for number in 0..objects {
            let object = fleet::object(region, number);
            let home = match version {
                Version::Earlier => earlier::choose_by_affinity(&candidates, object, reach),
                Version::Now => steer::placement::choose(
                    &candidates,
                    steer::placement::Strategy::Affinity { object, reach },
                ),
            };
            homes.push(candidates[home.expect("a server has capacity")].server);
        }
    }
    homes
}

fn main() {
    print_changes();
    print_replacements();
    print_alternatives();
    waves::print();
    print_times();
}

/// Prints the moves at the changes. A VM that serves requests keeps its spill; one that has had no request
/// computed it anew before, and takes the others' now.
fn print_changes() {
    println!(
        "| sizes | reach | change | needed by sizes | moved before, after | between servers that stay before, after | busiest per slot before, after |"
    );
    println!("|---|---|---|---|---|---|---|");
    for sizes in [Sizes::Equal, Sizes::Mixed] {
        let old = Fleet::tolls(sizes);
        for reach in ["fleet", "region, with requests", "region, without requests"] {
            let is_regional = reach != "fleet";
            let spills = is_regional.then(|| old.initial_spills());
            let placed = [Version::Earlier, Version::Now]
                .map(|version| homes(&old, version, spills, OBJECTS));
            for event in EVENTS {
                let new = event.apply(&old);
                let recomputed = spills.map(|_| new.initial_spills());
                let before = if reach == "region, without requests" {
                    recomputed
                } else {
                    spills
                };
                let results = [
                    (homes(&new, Version::Earlier, before, OBJECTS), &placed[0]),
                    (homes(&new, Version::Now, spills, OBJECTS), &placed[1]),
                ];
                let moved = results
                    .each_ref()
                    .map(|(now, then)| fleet::moved(then, now));
                let needless = results
                    .each_ref()
                    .map(|(now, then)| fleet::moved_between(&old, &new, then, now));
                let busiest = results.each_ref().map(|(now, _)| new.busiest(now));
                println!(
                    "| {} | {reach} | {} | {} | {}, {} | {}, {} | {:.2}, {:.2} |",
                    sizes.name(),
                    event.name(),
                    percent(fleet::needed(&old, &new)),
                    percent(moved[0]),
                    percent(moved[1]),
                    percent(needless[0]),
                    percent(needless[1]),
                    busiest[0],
                    busiest[1],
                );
            }
        }
    }
}

/// Prints the moves while all servers are replaced one by one: the successor comes, then the server leaves.
fn print_replacements() {
    println!("\n| sizes | reach | moves of an object, mean, before, after | needed by sizes |");
    println!("|---|---|---|---|");
    for sizes in [Sizes::Equal, Sizes::Mixed] {
        for is_regional in [false, true] {
            let first = Fleet::tolls(sizes);
            let spills = is_regional.then(|| first.initial_spills());
            let mut means = Vec::new();
            for version in [Version::Earlier, Version::Now] {
                let mut fleet = first.clone();
                let mut placed = homes(&fleet, version, spills, REPLACED_OBJECTS);
                let mut sum = 0.0;
                for server in first.servers() {
                    let successor = format!("{}-successor", server.name);
                    let with_both = fleet.with_server(&successor, server.zone, server.slots);
                    for next in [with_both.clone(), with_both.without(&server.name)] {
                        let now = homes(&next, version, spills, REPLACED_OBJECTS);
                        sum += fleet::moved(&placed, &now);
                        placed = now;
                        fleet = next;
                    }
                }
                means.push(sum);
            }
            let total = first.slots();
            let step = |server: &fleet::Server| 2.0 * server.slots / (total + server.slots);
            let needed: f64 = first.servers().iter().map(step).sum();
            let reach = if is_regional { "region" } else { "fleet" };
            println!(
                "| {} | {reach} | {:.2}, {:.2} | {needed:.2} |",
                sizes.name(),
                means[0],
                means[1]
            );
        }
    }
}

/// Prints the time of one choice among all servers, which includes the hash of the object's name.
fn print_times() {
    println!("\n| sizes | choice before, now |");
    println!("|---|---|");
    for sizes in [Sizes::Equal, Sizes::Mixed] {
        let fleet = Fleet::tolls(sizes);
        let times = [Version::Earlier, Version::Now].map(|version| {
            let start = Instant::now();
            let choices = homes(&fleet, version, None, OBJECTS).len();
            start.elapsed().as_secs_f64() * 1e6 / to_f64(choices)
        });
        println!(
            "| {} | {:.2} us, {:.2} us |",
            sizes.name(),
            times[0],
            times[1]
        );
    }
}

fn print_alternatives() {
    println!(
        "\n| method | sizes | moved on add, needed | moved on removal, needed | moved on loss of a zone, needed | busiest, idlest per slot |"
    );
    println!("|---|---|---|---|---|---|");
    for sizes in [Sizes::Equal, Sizes::Mixed] {
        let old = Fleet::tolls(sizes);
        for (name, place) in ALTERNATIVES {
            let placed = place(&old);
            let cells = [Event::Add(4), Event::Remove(0), Event::LoseZone(5)].map(|event| {
                let new = event.apply(&old);
                let moved = fleet::moved(&placed, &place(&new));
                let needed = fleet::needed(&old, &new);
                format!("{}, {}", percent(moved), percent(needed))
            });
            println!(
                "| {name} | {} | {} | {:.2}, {:.2} |",
                sizes.name(),
                cells.join(" | "),
                old.busiest(&placed),
                old.idlest(&placed)
            );
        }
    }
}
