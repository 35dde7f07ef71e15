//! How many objects are away from their region after a zone is lost, over time.
//!
//! Loads are rates: the objects of a region load its servers, and the spilled ones those of the other
//! regions, in proportion to their slots.

use steer::spill::{NO_SLOTS_UTILIZATION, Part, Spill, Utilization, utilization};

use crate::fleet::{Fleet, Sizes, percent};

/// Time between two updates of the spills, in seconds.
const TICK_S: f64 = 0.3;

/// Updates after which the registrations of lost servers lapse: about 10 s.
const LAPSE: usize = 33;

/// Updates before a zone is lost, by when the spills have settled: 60 s.
const SETTLING: usize = 200;

/// Requests of the whole fleet for each slot.
const DEMAND: f64 = 0.75;

/// Largest number of requests at a server, for each slot.
const MAX_UTILIZATION: f64 = 2.0;

/// What is lost with a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Loss {
    /// Its servers.
    Servers,
    /// Its servers and its entry VMs.
    All,
}

/// Whether lost servers count as idle until their registrations lapse, and a zone without servers as a sign
/// that its region is full, as in the earlier version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Version {
    Earlier,
    Now,
}

struct Run {
    version: Version,
    fleet: Fleet,
    lost: usize,
    loss: Loss,
    spills: [Spill; 6],
    demand: f64,
}

/// Prints the ratios of the objects that are away.
pub fn print() {
    println!(
        "\n| lost | region | before | needed | 5 s later, earlier and now | 10 s | 30 s | 60 s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let regions = ["small", "middle", "large"];
    for loss in [Loss::Servers, Loss::All] {
        for lost in [1, 3, 5] {
            let fleet = Fleet::tolls(Sizes::Equal);
            let needed = fleet.without_zone(lost).initial_spills();
            let traces = [Version::Earlier, Version::Now]
                .map(|version| Run::new(version, &fleet, lost, loss).trace());
            for region in 0..3 {
                let at = |tick: usize| {
                    let [earlier, now] = traces.each_ref().map(|trace| trace[tick][region]);
                    format!("{}, {}", percent(earlier), percent(now))
                };
                let kind = match loss {
                    Loss::Servers => "servers",
                    Loss::All => "servers and VMs",
                };
                println!(
                    "| {kind} of a zone of the {} region | {} | {} | {} | {} | {} | {} | {} |",
                    regions[lost / 2],
                    regions[region],
                    percent(traces[1][SETTLING - 1][region]),
                    percent(needed[region]),
                    at(SETTLING + 17),
                    at(SETTLING + 33),
                    at(SETTLING + 100),
                    at(SETTLING + 200),
                );
            }
        }
    }
}

impl Run {
    fn new(version: Version, fleet: &Fleet, zone: usize, loss: Loss) -> Self {
        let initial = fleet.initial_spills();
        let spill = |at: usize| Spill {
            zone: 0.0,
            region: initial[at / 2],
        };
        Self {
            version,
            fleet: fleet.clone(),
            lost: zone,
            loss,
            spills: [0, 1, 2, 3, 4, 5].map(spill),
            demand: DEMAND * fleet.slots(),
        }
    }

    /// Returns the ratio of each region's objects that are away, after each update.
    fn trace(mut self) -> Vec<[f64; 3]> {
        let mut trace = Vec::new();
        for tick in 0..=SETTLING + 200 {
            self.step(tick);
            trace.push([0, 1, 2].map(|region| self.away(region, tick)));
        }
        trace
    }

    fn has_vms(&self, zone: usize, tick: usize) -> bool {
        !(zone == self.lost && self.loss == Loss::All && tick >= SETTLING)
    }

    /// Returns the mean spill of a region's VMs.
    fn away(&self, region: usize, tick: usize) -> f64 {
        let zones = [2 * region, 2 * region + 1];
        let spills: Vec<Spill> = zones
            .into_iter()
            .filter(|zone| self.has_vms(*zone, tick))
            .map(|zone| self.spills[zone])
            .collect();
        Spill::mean(&spills).unwrap_or_default().region
    }

    fn slots(&self, zone: usize) -> f64 {
        let servers = self.fleet.servers().iter();
        let of_zone = servers.filter(|server| server.zone == zone);
        of_zone.map(|server| server.slots).sum()
    }

    /// Returns the utilization of the live servers of each region.
    fn regions(&self, tick: usize) -> [f64; 3] {
        let live = [0, 1, 2].map(|region| {
            let zones = [2 * region, 2 * region + 1].into_iter();
            let zones = zones.filter(|zone| tick < SETTLING || *zone != self.lost);
            zones.map(|zone| self.slots(zone)).sum::<f64>()
        });
        let all: f64 = live.iter().sum();
        let mut loads = [0.0; 3];
        for region in 0..3 {
            let away = self.away(region, tick);
            let demand = self.demand / 3.0;
            loads[region] += demand * (1.0 - away);
            for other in (0..3).filter(|other| *other != region) {
                loads[other] += demand * away * live[other] / (all - live[region]);
            }
        }
        [0, 1, 2].map(|region| (loads[region] / live[region]).min(MAX_UTILIZATION))
    }

    fn step(&mut self, tick: usize) {
        let is_lost = tick >= SETTLING;
        let is_registered = tick < SETTLING + LAPSE;
        let regions = self.regions(tick);
        // What the VMs of a zone measure at its servers and report.
        let measured = |zone: usize| match zone == self.lost && is_lost {
            true if is_registered => 0.0,
            true => NO_SLOTS_UTILIZATION,
            false => regions[zone / 2],
        };
        let part = |zone: usize| {
            let is_dead = zone == self.lost && is_lost;
            let reported = if self.has_vms(zone, tick) {
                measured(zone)
            } else {
                0.0
            };
            let slots = if is_dead && !is_registered {
                0.0
            } else {
                self.slots(zone)
            };
            Part {
                load: reported * slots,
                slots,
                is_reachable: self.version == Version::Earlier || !is_dead,
            }
        };
        let around = |zone: usize| {
            let others = (0..6).filter(|other| *other != zone);
            let (near, far): (Vec<usize>, Vec<usize>) =
                others.partition(|other| other / 2 == zone / 2);
            let of = |zones: &[usize]| {
                let parts: Vec<Part> = zones.iter().map(|zone| part(*zone)).collect();
                utilization(&parts, self.version == Version::Earlier)
            };
            let has_own = part(zone).slots > 0.0 || self.version == Version::Earlier;
            Utilization {
                zone: has_own.then(|| measured(zone)),
                region: of(&near),
                far: of(&far),
            }
        };
        let next = |zone: usize| {
            let region = [zone / 2 * 2, zone / 2 * 2 + 1].into_iter();
            let reporting = region.filter(|zone| self.has_vms(*zone, tick));
            let reported: Vec<Spill> = reporting.map(|zone| self.spills[zone]).collect();
            self.spills[zone]
                .after(around(zone), TICK_S)
                .towards(&reported)
        };
        self.spills = [0, 1, 2, 3, 4, 5].map(next);
    }
}
