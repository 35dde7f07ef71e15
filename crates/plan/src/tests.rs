//! Tests of the steering plan.

use std::collections::BTreeMap;

use chart::shift::State;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use text::Text;
use timer::Moment;

use crate::{Demand, Grant, Input, Observation, Partition, Plan, decide, load};

const BUSY_MS: f64 = 50.0;

const ANSWER_BYTES: f64 = 100_000.0;

/// Tolerance of sums of shares.
const SLACK: f64 = 1e-6;

/// Traffic that a plan reckons with where there is none, in requests per second, over all zones and
/// services.
const LEAST: f64 = 0.1;

fn text() -> Text {
    text::parse(include_str!("../../../examples/nightjar.toml")).expect("a valid example")
}

/// What a test lets happen to a fleet.
#[derive(Debug, Clone)]
struct World {
    text: Text,
    demand: Vec<Demand>,
    seen: Vec<Observation>,
    credits: Vec<Grant>,
    cuts: Vec<Partition>,
    now: Moment,
}

impl World {
    /// Creates a fleet whose zones each get `per_s` requests per second for each service.
    fn new(per_s: f64) -> Self {
        let text = text();
        let mut world = Self {
            demand: Vec::new(),
            seen: Vec::new(),
            credits: Vec::new(),
            cuts: Vec::new(),
            now: Moment(100_000),
            text,
        };
        for service in &world.text.services {
            for zone in &world.text.zones {
                let (name, zone) = (service.name.clone(), zone.name.clone());
                let placed = |b: &&text::model::Backend| b.service == name && b.zone == zone;
                let servers = world.text.backends.iter().filter(placed);
                let servers: usize = servers.map(|backend| backend.addrs.len()).sum();
                let slots = service.slots * u32::try_from(servers).expect("few servers");
                world.demand.push(Demand {
                    service: name.clone(),
                    zone: zone.clone(),
                    per_s,
                    request_bytes: 2_000.0,
                    response_bytes: ANSWER_BYTES,
                    at: world.now,
                });
                world.seen.push(Observation {
                    service: name.clone(),
                    zone: zone.clone(),
                    slots,
                    reachable_slots: slots,
                    service_time_ms: BUSY_MS,
                    answered: 100,
                    failed: 0,
                    at: world.now,
                });
                let slots = f64::from(slots);
                world.credits.push(Grant {
                    service: name,
                    zone,
                    slots,
                });
            }
        }
        world
    }

    fn input<'a>(&'a self, previous: Option<&'a Plan>) -> Input<'a> {
        Input {
            text: &self.text,
            demand: &self.demand,
            observations: &self.seen,
            grants: &self.credits,
            partitions: &self.cuts,
            pending: &[],
            shift_share: 1.0,
            previous,
            now: self.now,
        }
    }

    /// Lets time pass and measurements be renewed.
    fn pass(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        self.demand.iter_mut().for_each(|one| one.at = self.now);
        self.seen.iter_mut().for_each(|one| one.at = self.now);
    }

    fn lose(&mut self, zone: &str) {
        for credit in self.credits.iter_mut().filter(|credit| credit.zone == zone) {
            credit.slots = 0.0;
        }
    }

    /// Requests per second that a zone bears for a service.
    fn capacity(&self, service: &str, zone: &str) -> f64 {
        let here = |credit: &&Grant| credit.service == service && credit.zone == zone;
        let granted: f64 = self.credits.iter().filter(here).map(|c| c.slots).sum();
        let placed = |b: &&text::model::Backend| b.service == service && b.zone == zone;
        let servers = self.text.backends.iter().filter(placed);
        let servers: usize = servers.map(|b| b.addrs.len() - b.drain.len()).sum();
        let slots = self.text.service(service).map_or(0, |s| s.slots);
        let declared = f64::from(slots) * f64::from(u32::try_from(servers).expect("few"));
        granted.min(declared) * 1_000.0 / BUSY_MS
    }
}

fn share(plan: &Plan, service: &str, from: &str, to: &str) -> f64 {
    let route = &plan.services[service].sources[from];
    route.shares.get(to).copied().unwrap_or(0.0)
}

/// Share of a service's traffic that reaches another zone under `new` than under `old`.
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
fn traffic_stays_near_while_there_is_room() {
    let world = World::new(20.0);
    let plan = decide(world.input(None));
    for zone in &world.text.zones {
        assert!((share(&plan, "calendar", &zone.name, &zone.name) - 1.0).abs() < SLACK);
    }
}

#[test]
fn traffic_beyond_the_capacity_spills_and_the_rest_is_refused() {
    let mut world = World::new(20.0);
    let most = world.capacity("images", "perth-a");
    let per_s = most + 50.0;
    let images = |one: &&mut Demand| one.service == "images" && one.zone == "perth-a";
    world.demand.iter_mut().find(images).expect("listed").per_s = per_s;
    let plan = decide(world.input(None));
    let near = share(&plan, "images", "perth-a", "perth-a");
    let next = share(&plan, "images", "perth-a", "perth-b");
    let slots = most * BUSY_MS / 1_000.0;
    let kept_free = (0.5 * slots.sqrt()).max(slots * 0.1) * 1_000.0 / BUSY_MS;
    let usable = most - kept_free;
    assert!((near * per_s - usable * 0.75).abs() < 0.01, "{near}");
    assert!((next * per_s + 20.0 - usable * 0.75).abs() < 0.01, "{next}");
    assert!(plan.services["images"].sources["perth-a"].refused() < SLACK);
    world.demand.iter_mut().find(images).expect("listed").per_s = 100_000.0;
    let plan = decide(world.input(None));
    let near = share(&plan, "images", "perth-a", "perth-a");
    let refused = plan.services["images"].sources["perth-a"].refused();
    assert!((near * 100_000.0 - usable).abs() < 0.01, "{near}");
    assert!(refused > 0.9 && refused < 1.0, "{refused}");
}

#[test]
fn a_lost_zone_gets_nothing_and_its_traffic_moves_under_the_cap() {
    let mut world = World::new(10.0);
    let first = decide(world.input(None));
    world.lose("perth-a");
    world.pass(1_000);
    let second = decide(world.input(Some(&first)));
    assert_eq!(
        share(&second, "calendar", "perth-a", "perth-a").to_bits(),
        0.0_f64.to_bits()
    );
    let cap = world.text.steering.shift_cap_percent / 100.0;
    let part = moved(&first, &second, "images");
    assert!(part > 0.0 && part <= cap + SLACK, "{part}");
    assert_eq!(second.shifts["images"].state, State::Moving);
    world.pass(1_000);
    let third = decide(world.input(Some(&second)));
    assert_eq!(third.shifts["images"].state, State::Waiting);
    let mut plan = third;
    for _ in 0..90 {
        world.pass(1_000);
        plan = decide(world.input(Some(&plan)));
    }
    assert!(plan.services["images"].sources["perth-a"].refused() < 0.01);
    assert!(plan.shifts.is_empty());
}

#[test]
fn a_drained_zone_empties_without_a_refusal_and_says_when() {
    let mut world = World::new(10.0);
    let mut plan = decide(world.input(None));
    world.text.zones[0].drain = true;
    let drained = world.text.zones[0].name.clone();
    let mut estimates = Vec::new();
    for _ in 0..120 {
        world.pass(1_000);
        plan = decide(world.input(Some(&plan)));
        for route in plan.services["images"].sources.values() {
            assert!(route.refused() < SLACK);
        }
        estimates.push(
            plan.shifts
                .get("images")
                .map_or(0.0, |shift| shift.remaining_s),
        );
    }
    assert!(estimates[0] >= 11.0, "{estimates:?}");
    assert_eq!(
        estimates.last().map(|s| s.to_bits()),
        Some(0.0_f64.to_bits())
    );
    for placement in plan.services.values() {
        let left = placement
            .sources
            .values()
            .filter_map(|r| r.shares.get(&drained));
        assert!(left.sum::<f64>() < SLACK);
    }
}

#[test]
fn a_service_avoids_a_zone_whose_dependency_is_out() {
    let mut world = World::new(10.0);
    for credit in world.credits.iter_mut().filter(|c| c.service == "deposits") {
        if credit.zone.starts_with("perth") {
            credit.slots = 0.0;
        }
    }
    let others = ["geraldton-a", "geraldton-b", "kalgoorlie-a", "kalgoorlie-b"];
    for zone in others {
        for near in ["perth-a", "perth-b"] {
            world.cuts.push(Partition {
                from: near.to_owned(),
                to: zone.to_owned(),
            });
        }
    }
    let plan = decide(world.input(None));
    assert!(plan.services["pads"].sources["perth-a"].shares.is_empty());
    assert!(plan.services["calendar"].sources["perth-a"].refused() < SLACK);
}

#[test]
fn load_on_a_dependency_counts() {
    let mut world = World::new(0.0);
    let pads = |one: &&mut Demand| one.service == "pads" && one.zone == "perth-a";
    world.demand.iter_mut().find(pads).expect("listed").per_s = 30.0;
    let plan = decide(world.input(None));
    let load = load(&plan, world.input(None));
    let sum = |service: &str| -> f64 {
        let own = load.iter().filter(|((name, _), _)| name == service);
        own.map(|(_, per_s)| per_s).sum()
    };
    assert!((sum("pads") - 30.0).abs() < LEAST);
    assert!((sum("deposits") - 30.0).abs() < LEAST);
    assert!((sum("calendar") - 60.0).abs() < LEAST);
}

#[test]
fn without_measurements_nothing_moves() {
    let mut world = World::new(10.0);
    let first = decide(world.input(None));
    world.seen.clear();
    world.demand.clear();
    world.text.zones[0].drain = true;
    world.now = world.now.plus_ms(60_000);
    let second = decide(world.input(Some(&first)));
    for service in first.services.keys() {
        assert!(moved(&first, &second, service) < SLACK, "{service}");
    }
}

#[test]
fn claims_of_capacity_are_bounded_by_own_evidence() {
    let mut world = World::new(2_000.0);
    for seen in world.seen.iter_mut().filter(|seen| seen.zone == "perth-b") {
        seen.slots = 1_000_000;
        seen.failed = 10_000;
    }
    let plan = decide(world.input(None));
    assert!(share(&plan, "images", "perth-a", "perth-b") < SLACK);
}

#[test]
fn a_server_that_gates_gave_up_is_no_capacity_whatever_it_reports() {
    let mut world = World::new(40.0);
    let near = |one: &&mut Observation| one.service == "calendar" && one.zone == "geraldton-a";
    let seen = world.seen.iter_mut().find(near).expect("listed");
    seen.reachable_slots = 7;
    seen.slots = 1_000;
    let input = world.input(None);
    let load = load(&decide(input), input);
    let place = ("calendar".to_owned(), "geraldton-a".to_owned());
    assert!(load[&place] > 0.0 && load[&place] <= 7.0 * 1_000.0 / BUSY_MS);
}

#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Demand(usize, f64),
    Credit(usize, f64),
    Lie(usize, u32, u32),
    Silence(usize),
    Drain(usize),
    Cut(usize, usize),
    Heal,
    Link(usize, u64),
}

fn a_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (100..12_000_u64).prop_map(Step::Pass),
        2 => (0..24_usize, 0.0..2_000.0).prop_map(|(place, per_s)| Step::Demand(place, per_s)),
        2 => (0..24_usize, 0.0..40.0).prop_map(|(place, slots)| Step::Credit(place, slots)),
        2 => (0..24_usize, 0..1_000_u32, 0..100_u32).prop_map(|(p, s, f)| Step::Lie(p, s, f)),
        1 => (0..24_usize).prop_map(Step::Silence),
        1 => (0..6_usize).prop_map(Step::Drain),
        1 => (0..6_usize, 0..6_usize).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => Just(Step::Heal),
        1 => (0..3_usize, 1..280_u64).prop_map(|(link, mbit)| Step::Link(link, mbit)),
    ]
}

fn apply(world: &mut World, step: &Step) {
    match step {
        Step::Pass(ms) => world.pass(*ms),
        Step::Demand(place, per_s) => world.demand[*place].per_s = *per_s,
        Step::Credit(place, slots) => world.credits[*place].slots = *slots,
        Step::Lie(place, slots, failed) => {
            world.seen[*place].slots = *slots;
            world.seen[*place].failed = *failed;
        }
        Step::Silence(place) => {
            world.seen[*place].at = Moment(0);
            world.demand[*place].at = Moment(0);
        }
        Step::Drain(zone) => world.text.zones[*zone].drain ^= true,
        Step::Cut(from, to) if from != to => world.cuts.push(Partition {
            from: world.text.zones[*from].name.clone(),
            to: world.text.zones[*to].name.clone(),
        }),
        Step::Cut(..) => {}
        Step::Heal => world.cuts.clear(),
        Step::Link(link, mbit) => world.text.links[*link].mbit_per_s = *mbit,
    }
}

fn check(world: &World, plan: &Plan, previous: Option<&Plan>) -> Result<(), TestCaseError> {
    let load = load(plan, world.input(previous));
    for ((service, zone), per_s) in &load {
        let most = world.capacity(service, zone);
        prop_assert!(
            *per_s <= most + SLACK,
            "{service} in {zone}: {per_s} of {most}"
        );
    }
    let mut links: BTreeMap<(String, String), f64> = BTreeMap::new();
    let region = |zone: &str| world.text.zone(zone).expect("a zone").region.clone();
    for (service, placement) in &plan.services {
        let needs = &world.text.service(service).expect("a service").depends_on;
        for (from, route) in &placement.sources {
            prop_assert!(route.shares.values().sum::<f64>() <= 1.0 + SLACK);
            for (to, share) in &route.shares {
                let cut = |cut: &Partition| {
                    (&cut.from, &cut.to) == (from, to) || (&cut.to, &cut.from) == (from, to)
                };
                prop_assert!(!world.cuts.iter().any(cut), "{from} is cut off from {to}");
                for need in needs {
                    let served = 1.0 - plan.services[need].sources[to].refused();
                    prop_assert!(
                        served >= 0.5 - SLACK,
                        "{service} in {to} lacks {need}: {:?}",
                        plan.services[need].sources[to]
                    );
                }
                let answers = links.entry((region(to), region(from))).or_default();
                *answers += share * route.per_s * ANSWER_BYTES;
            }
        }
    }
    for ((from, to), bytes) in links.iter().filter(|((from, to), _)| from != to) {
        let joins =
            |link: &&text::model::Link| link.between.contains(from) && link.between.contains(to);
        let link = world.text.links.iter().find(joins).expect("a link");
        let mbit = f64::from(u32::try_from(link.mbit_per_s).expect("a small number"));
        let most = mbit * 125_000.0 * 0.9;
        prop_assert!(*bytes <= most + SLACK, "{from} to {to}: {bytes} of {most}");
    }
    Ok(())
}

/// Checks that no window sees more of a service move than its cap, whether a gate follows a plan
/// at once or late.
fn check_cap(world: &World, history: &[(Moment, Plan)]) -> Result<(), TestCaseError> {
    let steering = &world.text.steering;
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
                .map(|pair| moved_as_planned(&pair[0].1, &pair[1].1, service))
                .sum();
            prop_assert!(
                sum <= steering.shift_cap_percent + 0.01,
                "{service} moved {sum} percent"
            );
        }
    }
    Ok(())
}

/// Returns the percentage that a plan itself accounts for, which must cover what moved.
fn moved_as_planned(old: &Plan, new: &Plan, service: &str) -> f64 {
    let own = |plan: &Plan| -> f64 {
        let latest = plan.moves.iter().filter(|one| one.service == service);
        latest
            .filter(|one| one.expiry > plan.at)
            .map(|one| one.percent)
            .sum()
    };
    let kept: f64 = old
        .moves
        .iter()
        .filter(|one| one.service == service && one.expiry > new.at)
        .map(|one| one.percent)
        .sum();
    own(new) - kept
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn plans_keep_their_promises(steps in prop::collection::vec(a_step(), 1..14)) {
        let mut world = World::new(30.0);
        let mut history = vec![(world.now, decide(world.input(None)))];
        for step in &steps {
            apply(&mut world, step);
            let (_, latest) = history.last().expect("a plan");
            // A restarted decider gets the plan in force from its gates.
            let previous = latest.clone();
            let plan = decide(world.input(Some(&previous)));
            prop_assert_eq!(&plan, &decide(world.input(Some(&previous))));
            check(&world, &plan, Some(&previous))?;
            for service in plan.services.keys() {
                let planned = moved_as_planned(&previous, &plan, service);
                prop_assert!(planned >= -SLACK);
            }
            // Nothing needs these, so callers' traffic is all that moves.
            for service in ["images", "pads"] {
                let planned = moved_as_planned(&previous, &plan, service);
                let seen = moved(&previous, &plan, service) * 100.0;
                prop_assert!(seen <= planned + 0.001, "{service}: {seen} of {planned} percent");
            }
            history.push((world.now, plan));
        }
        check_cap(&world, &history)?;
    }
}
