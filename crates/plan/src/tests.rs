//! Tests of the steering plan.

use std::collections::BTreeMap;

use chart::shift::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use text::Text;
use timer::Moment;

use crate::{Demand, Grant, Input, Observation, Partition, Plan, decide, load};

const SERVICE_TIME_MS: f64 = 50.0;

const RESPONSE_BYTES: f64 = 100_000.0;

/// Tolerance of comparisons of shares and rates.
const TOLERANCE: f64 = 1e-6;

/// Upper limit of the traffic that plans assume where there is none, over all zones and services, in
/// requests per second.
const ASSUMED_PER_S: f64 = 0.1;

fn text() -> Text {
    text::parse(include_str!("../../../examples/nightjar.toml")).expect("a valid example")
}

/// Simulated fleet: the input of the plans in a test.
#[derive(Debug, Clone)]
struct Simulation {
    text: Text,
    demand: Vec<Demand>,
    observations: Vec<Observation>,
    grants: Vec<Grant>,
    partitions: Vec<Partition>,
    now: Moment,
}

impl Simulation {
    /// Creates a fleet whose zones each get `per_s` requests per second for each service.
    fn new(per_s: f64) -> Self {
        let text = text();
        let mut simulation = Self {
            demand: Vec::new(),
            observations: Vec::new(),
            grants: Vec::new(),
            partitions: Vec::new(),
            now: Moment(100_000),
            text,
        };
        for service in &simulation.text.services {
            for zone in &simulation.text.zones {
                let (name, zone) = (service.name.clone(), zone.name.clone());
                let is_placed = |b: &&text::model::Backend| b.service == name && b.zone == zone;
                let servers = simulation.text.backends.iter().filter(is_placed);
                let servers: usize = servers.map(|backend| backend.addrs.len()).sum();
                let slots =
                    service.slots * u32::try_from(servers).expect("the number of servers fits u32");
                simulation.demand.push(Demand {
                    service: name.clone(),
                    zone: zone.clone(),
                    per_s,
                    request_bytes: 2_000.0,
                    response_bytes: RESPONSE_BYTES,
                    at: simulation.now,
                });
                simulation.observations.push(Observation {
                    service: name.clone(),
                    zone: zone.clone(),
                    slots,
                    reachable_slots: slots,
                    service_time_ms: SERVICE_TIME_MS,
                    answered: 100,
                    failed: 0,
                    at: simulation.now,
                });
                let slots = f64::from(slots);
                simulation.grants.push(Grant {
                    service: name,
                    zone,
                    slots,
                });
            }
        }
        simulation
    }

    fn input<'a>(&'a self, previous: Option<&'a Plan>) -> Input<'a> {
        Input {
            text: &self.text,
            demand: &self.demand,
            observations: &self.observations,
            grants: &self.grants,
            partitions: &self.partitions,
            pending: &[],
            shift_share: 1.0,
            previous,
            now: self.now,
        }
    }

    /// Advances the time and renews all measurements.
    fn advance(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        self.demand.iter_mut().for_each(|entry| entry.at = self.now);
        self.observations
            .iter_mut()
            .for_each(|entry| entry.at = self.now);
    }

    fn revoke_grants(&mut self, zone: &str) {
        for grant in self.grants.iter_mut().filter(|grant| grant.zone == zone) {
            grant.slots = 0.0;
        }
    }

    /// Returns the requests per second of a service that a zone has capacity for.
    fn capacity(&self, service: &str, zone: &str) -> f64 {
        let matches = |grant: &&Grant| grant.service == service && grant.zone == zone;
        let granted: f64 = self.grants.iter().filter(matches).map(|c| c.slots).sum();
        let is_placed = |b: &&text::model::Backend| b.service == service && b.zone == zone;
        let servers = self.text.backends.iter().filter(is_placed);
        let servers: usize = servers.map(|b| b.addrs.len() - b.drain.len()).sum();
        let slots = self
            .text
            .service(service)
            .map_or(0, |service| service.slots);
        let declared = f64::from(slots)
            * f64::from(u32::try_from(servers).expect("the number of servers fits u32"));
        granted.min(declared) * 1_000.0 / SERVICE_TIME_MS
    }
}

fn share(plan: &Plan, service: &str, from: &str, to: &str) -> f64 {
    let route = &plan.services[service].sources[from];
    route.shares.get(to).copied().unwrap_or(0.0)
}

/// Returns the share of a service's traffic that goes to a different zone under `new` than under
/// `old`.
fn moved(old: &Plan, new: &Plan, service: &str) -> f64 {
    let mut arriving = 0.0;
    let mut total = 0.0;
    for (from, route) in &new.services[service].sources {
        total += route.per_s;
        for (to, share) in &route.shares {
            let before = old.services[service].sources[from].shares.get(to);
            arriving += (share - before.unwrap_or(&0.0)).max(0.0) * route.per_s;
        }
    }
    if total > 0.0 { arriving / total } else { 0.0 }
}

#[test]
fn traffic_stays_in_its_zone_within_capacity() {
    let simulation = Simulation::new(20.0);
    let plan = decide(simulation.input(None));
    for zone in &simulation.text.zones {
        assert!((share(&plan, "calendar", &zone.name, &zone.name) - 1.0).abs() < TOLERANCE);
    }
}

#[test]
fn spills_traffic_over_capacity_and_refuses_the_rest() {
    let mut simulation = Simulation::new(20.0);
    let capacity_per_s = simulation.capacity("images", "perth-a");
    let per_s = capacity_per_s + 50.0;
    let is_images = |entry: &&mut Demand| entry.service == "images" && entry.zone == "perth-a";
    simulation
        .demand
        .iter_mut()
        .find(is_images)
        .expect("the service and zone exist")
        .per_s = per_s;
    let plan = decide(simulation.input(None));
    let near = share(&plan, "images", "perth-a", "perth-a");
    let next = share(&plan, "images", "perth-a", "perth-b");
    let slots = capacity_per_s * SERVICE_TIME_MS / 1_000.0;
    let kept_free = (0.5 * slots.sqrt()).max(slots * 0.1) * 1_000.0 / SERVICE_TIME_MS;
    let usable = capacity_per_s - kept_free;
    assert!((near * per_s - usable * 0.75).abs() < 0.01, "{near}");
    assert!((next * per_s + 20.0 - usable * 0.75).abs() < 0.01, "{next}");
    assert!(plan.services["images"].sources["perth-a"].refused() < TOLERANCE);
    simulation
        .demand
        .iter_mut()
        .find(is_images)
        .expect("the service and zone exist")
        .per_s = 100_000.0;
    let plan = decide(simulation.input(None));
    let near = share(&plan, "images", "perth-a", "perth-a");
    let refused = plan.services["images"].sources["perth-a"].refused();
    assert!((near * 100_000.0 - usable).abs() < 0.01, "{near}");
    assert!(refused > 0.9 && refused < 1.0, "{refused}");
}

#[test]
fn zone_without_grants_gets_no_traffic_and_shift_stays_under_cap() {
    let mut simulation = Simulation::new(10.0);
    let first = decide(simulation.input(None));
    simulation.revoke_grants("perth-a");
    simulation.advance(1_000);
    let second = decide(simulation.input(Some(&first)));
    assert_eq!(
        share(&second, "calendar", "perth-a", "perth-a").to_bits(),
        0.0_f64.to_bits()
    );
    let cap = simulation.text.steering.shift_cap_percent / 100.0;
    let part = moved(&first, &second, "images");
    assert!(part > 0.0 && part <= cap + TOLERANCE, "{part}");
    assert_eq!(second.shifts["images"].state, State::Moving);
    simulation.advance(1_000);
    let third = decide(simulation.input(Some(&second)));
    assert_eq!(third.shifts["images"].state, State::Waiting);
    let mut plan = third;
    for _ in 0..90 {
        simulation.advance(1_000);
        plan = decide(simulation.input(Some(&plan)));
    }
    assert!(plan.services["images"].sources["perth-a"].refused() < 0.01);
    assert!(plan.shifts.is_empty());
}

#[test]
fn drained_zone_empties_without_refusals_and_estimates_remaining_time() {
    let mut simulation = Simulation::new(10.0);
    let mut plan = decide(simulation.input(None));
    simulation.text.zones[0].drain = true;
    let drained = simulation.text.zones[0].name.clone();
    let mut estimates = Vec::new();
    for _ in 0..120 {
        simulation.advance(1_000);
        plan = decide(simulation.input(Some(&plan)));
        for route in plan.services["images"].sources.values() {
            assert!(route.refused() < TOLERANCE);
        }
        estimates.push(
            plan.shifts
                .get("images")
                .map_or(0.0, |shift| shift.remaining_s),
        );
    }
    assert!(estimates[0] >= 11.0, "{estimates:?}");
    assert_eq!(
        estimates.last().map(|estimate| estimate.to_bits()),
        Some(0.0_f64.to_bits())
    );
    for placement in plan.services.values() {
        let remaining = placement
            .sources
            .values()
            .filter_map(|r| r.shares.get(&drained));
        assert!(remaining.sum::<f64>() < TOLERANCE);
    }
}

#[test]
fn service_avoids_zone_whose_dependency_is_down() {
    let mut simulation = Simulation::new(10.0);
    for grant in simulation
        .grants
        .iter_mut()
        .filter(|c| c.service == "deposits")
    {
        if grant.zone.starts_with("perth") {
            grant.slots = 0.0;
        }
    }
    let others = ["geraldton-a", "geraldton-b", "kalgoorlie-a", "kalgoorlie-b"];
    for zone in others {
        for near in ["perth-a", "perth-b"] {
            simulation.partitions.push(Partition {
                from: near.to_owned(),
                to: zone.to_owned(),
            });
        }
    }
    let plan = decide(simulation.input(None));
    assert!(plan.services["pads"].sources["perth-a"].shares.is_empty());
    assert!(plan.services["calendar"].sources["perth-a"].refused() < TOLERANCE);
}

#[test]
fn load_includes_requests_to_dependencies() {
    let mut simulation = Simulation::new(0.0);
    let is_pads = |entry: &&mut Demand| entry.service == "pads" && entry.zone == "perth-a";
    simulation
        .demand
        .iter_mut()
        .find(is_pads)
        .expect("the service and zone exist")
        .per_s = 30.0;
    let plan = decide(simulation.input(None));
    let load = load(&plan, simulation.input(None));
    let sum = |service: &str| -> f64 {
        let of_service = load.iter().filter(|((name, _), _)| name == service);
        of_service.map(|(_, per_s)| per_s).sum()
    };
    assert!((sum("pads") - 30.0).abs() < ASSUMED_PER_S);
    assert!((sum("deposits") - 30.0).abs() < ASSUMED_PER_S);
    assert!((sum("calendar") - 60.0).abs() < ASSUMED_PER_S);
}

#[test]
fn moves_nothing_without_measurements() {
    let mut simulation = Simulation::new(10.0);
    let first = decide(simulation.input(None));
    simulation.observations.clear();
    simulation.demand.clear();
    simulation.text.zones[0].drain = true;
    simulation.now = simulation.now.plus_ms(60_000);
    let second = decide(simulation.input(Some(&first)));
    for service in first.services.keys() {
        assert!(moved(&first, &second, service) < TOLERANCE, "{service}");
    }
}

#[test]
fn failed_requests_limit_reported_capacity() {
    let mut simulation = Simulation::new(2_000.0);
    for observation in simulation
        .observations
        .iter_mut()
        .filter(|observation| observation.zone == "perth-b")
    {
        observation.slots = 1_000_000;
        observation.failed = 10_000;
    }
    let plan = decide(simulation.input(None));
    assert!(share(&plan, "images", "perth-a", "perth-b") < TOLERANCE);
}

#[test]
fn slots_of_unreachable_servers_are_not_used() {
    let mut simulation = Simulation::new(40.0);
    let matches =
        |entry: &&mut Observation| entry.service == "calendar" && entry.zone == "geraldton-a";
    let observation = simulation
        .observations
        .iter_mut()
        .find(matches)
        .expect("the service and zone exist");
    observation.reachable_slots = 7;
    observation.slots = 1_000;
    let input = simulation.input(None);
    let load = load(&decide(input), input);
    let key = ("calendar".to_owned(), "geraldton-a".to_owned());
    assert!(load[&key] > 0.0 && load[&key] <= 7.0 * 1_000.0 / SERVICE_TIME_MS);
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Demand(usize, f64),
    Grant(usize, f64),
    FalseReport(usize, u32, u32),
    StaleReports(usize),
    Drain(usize),
    Partition(usize, usize),
    Reconnect,
    Link(usize, u64),
}

fn step_strategy() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (100..12_000_u64).prop_map(Step::Advance),
        2 => (0..24_usize, 0.0..2_000.0).prop_map(|(index, per_s)| Step::Demand(index, per_s)),
        2 => (0..24_usize, 0.0..40.0).prop_map(|(index, slots)| Step::Grant(index, slots)),
        2 => (0..24_usize, 0..1_000_u32, 0..100_u32).prop_map(|(index, slots, failed)| Step::FalseReport(index, slots, failed)),
        1 => (0..24_usize).prop_map(Step::StaleReports),
        1 => (0..6_usize).prop_map(Step::Drain),
        1 => (0..6_usize, 0..6_usize).prop_map(|(from, to)| Step::Partition(from, to)),
        1 => Just(Step::Reconnect),
        1 => (0..3_usize, 1..280_u64).prop_map(|(link, mbit)| Step::Link(link, mbit)),
    ]
}

fn apply(simulation: &mut Simulation, step: &Step) {
    match step {
        Step::Advance(ms) => simulation.advance(*ms),
        Step::Demand(index, per_s) => simulation.demand[*index].per_s = *per_s,
        Step::Grant(index, slots) => simulation.grants[*index].slots = *slots,
        Step::FalseReport(index, slots, failed) => {
            simulation.observations[*index].slots = *slots;
            simulation.observations[*index].failed = *failed;
        }
        Step::StaleReports(index) => {
            simulation.observations[*index].at = Moment(0);
            simulation.demand[*index].at = Moment(0);
        }
        Step::Drain(zone) => simulation.text.zones[*zone].drain ^= true,
        Step::Partition(from, to) if from != to => simulation.partitions.push(Partition {
            from: simulation.text.zones[*from].name.clone(),
            to: simulation.text.zones[*to].name.clone(),
        }),
        Step::Partition(..) => {}
        Step::Reconnect => simulation.partitions.clear(),
        Step::Link(link, mbit) => simulation.text.links[*link].mbit_per_s = *mbit,
    }
}

fn check_limits(
    simulation: &Simulation,
    plan: &Plan,
    previous: Option<&Plan>,
) -> Result<(), TestCaseError> {
    let load = load(plan, simulation.input(previous));
    for ((service, zone), per_s) in &load {
        let max_per_s = simulation.capacity(service, zone);
        prop_assert!(
            *per_s <= max_per_s + TOLERANCE,
            "{service} in {zone}: {per_s} of {max_per_s}"
        );
    }
    let mut links: BTreeMap<(String, String), f64> = BTreeMap::new();
    let region = |zone: &str| {
        simulation
            .text
            .zone(zone)
            .expect("the zone exists")
            .region
            .clone()
    };
    for (service, placement) in &plan.services {
        let dependencies = &simulation
            .text
            .service(service)
            .expect("the service exists")
            .depends_on;
        for (from, route) in &placement.sources {
            prop_assert!(route.shares.values().sum::<f64>() <= 1.0 + TOLERANCE);
            for (to, share) in &route.shares {
                let separates = |partition: &Partition| {
                    (&partition.from, &partition.to) == (from, to)
                        || (&partition.to, &partition.from) == (from, to)
                };
                prop_assert!(
                    !simulation.partitions.iter().any(separates),
                    "{from} is partitioned from {to}"
                );
                for dependency in dependencies {
                    let served = 1.0 - plan.services[dependency].sources[to].refused();
                    prop_assert!(
                        served >= 0.5 - TOLERANCE,
                        "{service} in {to} lacks {dependency}: {:?}",
                        plan.services[dependency].sources[to]
                    );
                }
                let response_bytes = links.entry((region(to), region(from))).or_default();
                *response_bytes += share * route.per_s * RESPONSE_BYTES;
            }
        }
    }
    for ((from, to), bytes) in links.iter().filter(|((from, to), _)| from != to) {
        let connects =
            |link: &&text::model::Link| link.between.contains(from) && link.between.contains(to);
        let link = simulation
            .text
            .links
            .iter()
            .find(connects)
            .expect("the link exists");
        let mbit = f64::from(u32::try_from(link.mbit_per_s).expect("the bandwidth fits u32"));
        let max_bytes = mbit * 125_000.0 * 0.9;
        prop_assert!(
            *bytes <= max_bytes + TOLERANCE,
            "{from} to {to}: {bytes} of {max_bytes}"
        );
    }
    Ok(())
}

/// Checks that the moves of a service within a window never exceed the cap, whether a gate applies
/// a plan immediately or late.
fn check_cap(simulation: &Simulation, history: &[(Moment, Plan)]) -> Result<(), TestCaseError> {
    let steering = &simulation.text.steering;
    let window_ms = steering.shift_window_s * 1_000 + 1_000;
    for service in history
        .first()
        .into_iter()
        .flat_map(|(_, plan)| plan.services.keys())
    {
        for (index, (start, _)) in history.iter().enumerate().skip(1) {
            let within = history[index - 1..].windows(2);
            let within = within.take_while(|pair| pair[1].0.ms_since(*start) < window_ms);
            let sum: f64 = within
                .map(|pair| recorded_percent(&pair[0].1, &pair[1].1, service))
                .sum();
            prop_assert!(
                sum <= steering.shift_cap_percent + 0.01,
                "{service} moved {sum} percent"
            );
        }
    }
    Ok(())
}

/// Returns the percentage that a plan newly records as moved, which must cover the actual moves.
fn recorded_percent(old: &Plan, new: &Plan, service: &str) -> f64 {
    let recorded = |plan: &Plan| -> f64 {
        let latest = plan.moves.iter().filter(|entry| entry.service == service);
        latest
            .filter(|entry| entry.expiry > plan.at)
            .map(|entry| entry.percent)
            .sum()
    };
    let carried_over: f64 = old
        .moves
        .iter()
        .filter(|entry| entry.service == service && entry.expiry > new.at)
        .map(|entry| entry.percent)
        .sum();
    recorded(new) - carried_over
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn plans_respect_capacity_links_dependencies_and_cap(steps in prop::collection::vec(step_strategy(), 1..14)) {
        let mut simulation = Simulation::new(30.0);
        let mut history = vec![(simulation.now, decide(simulation.input(None)))];
        for step in &steps {
            apply(&mut simulation, step);
            let (_, latest) = history.last().expect("the history is not empty");
            // A restarted planner gets the plan in force from its gates.
            let previous = latest.clone();
            let plan = decide(simulation.input(Some(&previous)));
            prop_assert_eq!(&plan, &decide(simulation.input(Some(&previous))));
            check_limits(&simulation, &plan, Some(&previous))?;
            for service in plan.services.keys() {
                let planned = recorded_percent(&previous, &plan, service);
                prop_assert!(planned >= -TOLERANCE);
            }
            // No service depends on these, so only callers' traffic moves.
            for service in ["images", "pads"] {
                let planned = recorded_percent(&previous, &plan, service);
                let moved_percent = moved(&previous, &plan, service) * 100.0;
                prop_assert!(moved_percent <= planned + 0.001, "{service}: {moved_percent} of {planned} percent");
            }
            history.push((simulation.now, plan));
        }
        check_cap(&simulation, &history)?;
    }
}
