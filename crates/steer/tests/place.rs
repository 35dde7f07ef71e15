//! Placement of objects: stable, alike at every entry VM, and bounded under overload.

#![allow(clippy::cast_precision_loss)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use steer::place::{Candidate, Distance, choose, hash};
use steer::spill::Spill;

fn fixed(cases: u32) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(7),
        ..Config::with_cases(cases)
    }
}

fn server(index: u64, distance: Distance, load: f64) -> Candidate {
    Candidate {
        server: hash(format!("server-{index}").as_bytes()),
        distance,
        load,
        slots: 6.0,
    }
}

fn zone_of(count: u64) -> Vec<Candidate> {
    (0..count)
        .map(|index| server(index, Distance::Zone, 0.0))
        .collect()
}

fn chosen(servers: &[Candidate], object: u64) -> u64 {
    let index = choose(servers, object, Spill::default()).expect("there is room");
    servers[index].server
}

#[test]
fn an_object_stays_where_it_is_warm_when_another_server_leaves() {
    let all = zone_of(6);
    for object in 0..500 {
        let home = chosen(&all, object);
        let left: Vec<Candidate> = all[1..].to_vec();
        if home != all[0].server {
            assert_eq!(chosen(&left, object), home);
        }
    }
}

#[test]
fn a_full_home_passes_an_object_to_the_same_second_home() {
    let mut servers = zone_of(6);
    for object in 0..200 {
        let home = choose(&servers, object, Spill::default()).expect("there is room");
        servers[home].load = 6.0;
        let second = chosen(&servers, object);
        assert_ne!(second, servers[home].server);
        assert_eq!(second, chosen(&servers, object));
        servers[home].load = 0.0;
    }
}

/// Load pattern: more work than slots everywhere. Work must not wander to servers where it is
/// cold; it is rejected once the object's own servers are full.
#[test]
fn under_overload_an_object_is_rejected_and_does_not_wander() {
    let mut servers = zone_of(8);
    let object = hash(b"an object");
    let mut homes = Vec::new();
    while let Some(index) = choose(&servers, object, Spill::default()) {
        homes.push(servers[index].server);
        servers[index].load += 1.0;
        assert!(homes.len() < 100, "the object has room without end");
    }
    homes.sort_unstable();
    homes.dedup();
    assert!(
        homes.len() <= 3,
        "the object ran on {} servers",
        homes.len()
    );
}

#[test]
fn a_zone_goes_before_its_region_and_that_before_others() {
    let servers = [
        server(1, Distance::Far, 0.0),
        server(2, Distance::Region, 0.0),
        server(3, Distance::Zone, 0.0),
    ];
    for object in 0..50 {
        assert_eq!(choose(&servers, object, Spill::default()), Some(2));
    }
}

#[test]
fn spilled_objects_begin_elsewhere_and_the_others_stay() {
    let mut servers = zone_of(3);
    servers.extend((10..16).map(|index| server(index, Distance::Far, 0.0)));
    let spill = Spill {
        zone: 0.0,
        region: 0.3,
    };
    let objects = 0..2_000;
    let far = objects.filter(|object| {
        let index = choose(&servers, *object, spill).expect("there is room");
        servers[index].distance == Distance::Far
    });
    let far = far.count();
    assert!((500..700).contains(&far), "{far} of 2000 objects are far");
}

proptest! {
    #![proptest_config(fixed(2_000))]

    #[test]
    fn no_server_is_chosen_beyond_its_slots_and_queue(
        loads in prop::collection::vec(0.0..20.0_f64, 1..12),
        object: u64,
    ) {
        let servers: Vec<Candidate> = loads
            .iter()
            .enumerate()
            .map(|(index, load)| server(index as u64, Distance::Zone, *load))
            .collect();
        if let Some(index) = choose(&servers, object, Spill::default()) {
            prop_assert!(servers[index].load + 1.0 <= 12.0);
        }
    }
}
