//! Owners of cold backend servers.

use std::time::{Duration, Instant};

use steer::owner::{Member, QUIET, View, Views};
use steer::placement::hash;

/// Time between two views.
const TICK: Duration = Duration::from_millis(300);

fn place(name: &str, zone: &str) -> Member {
    Member {
        name: hash(name.as_bytes()),
        zone: hash(zone.as_bytes()),
        region: hash(b"r"),
    }
}

fn sight(vms: &[Member]) -> View {
    View {
        vms: vms.to_vec(),
        alive: vms.len(),
        known: vms.len(),
    }
}

/// Notes `vms` from `begin` on until `end`, and returns the time of the last view.
fn see(views: &mut Views, vms: &[Member], begin: Instant, end: Instant) -> Instant {
    let mut now = begin;
    while now + TICK <= end {
        now += TICK;
        views.note(sight(vms), now);
    }
    now
}

#[test]
fn vms_that_know_the_same_vms_agree_on_an_owner_in_the_server_s_zone() {
    let vms = [place("a", "a"), place("b", "b"), place("c", "c")];
    let reversed = [vms[2], vms[1], vms[0]];
    let begin = Instant::now();
    let server = place("server", "b");
    for order in [&vms, &reversed] {
        let mut views = Views::default();
        let now = see(&mut views, order, begin, begin + QUIET * 2);
        assert_eq!(views.owner(server), Some(vms[1].name));
        let owners = vms.iter().filter(|vm| views.owns(vm.name, server, now));
        assert_eq!(owners.count(), 1);
    }
}

/// Load pattern: all entry VMs start at once, beside a server that has just come back cold.
#[test]
fn a_vm_that_has_just_started_and_knows_no_other_owns_nothing() {
    let begin = Instant::now();
    let own = place("a", "a");
    let mut views = Views::default();
    views.note(sight(&[own]), begin);
    assert!(!views.owns(own.name, place("server", "a"), begin));
    let now = see(
        &mut views,
        &[own],
        begin,
        begin + QUIET.saturating_sub(TICK),
    );
    assert!(!views.owns(own.name, place("server", "a"), now));
    let now = see(&mut views, &[own], now, now + QUIET);
    assert!(views.owns(own.name, place("server", "a"), now));
}

/// Load pattern: owners change one after the other, as entry VMs stop in turn.
#[test]
fn a_former_owner_s_last_second_is_over_before_the_next_one_begins() {
    let begin = Instant::now();
    let (own, other) = (place("a", "b"), place("b", "a"));
    let server = place("server", "a");
    let mut views = Views::default();
    let now = see(&mut views, &[own, other], begin, begin + QUIET * 2);
    assert!(!views.owns(own.name, server, now));
    let now = see(&mut views, &[own], now, now + QUIET);
    assert!(!views.owns(own.name, server, now), "the other was first");
    let now = see(&mut views, &[own], now, now + TICK);
    assert!(views.owns(own.name, server, now));
    let now = see(&mut views, &[own, other], now, now + TICK);
    assert!(
        !views.owns(own.name, server, now),
        "the other is first again"
    );
}

/// Load pattern: an owner stands still while others take over, and goes on.
#[test]
fn a_vm_that_stood_still_owns_nothing_at_first() {
    let begin = Instant::now();
    let own = place("a", "a");
    let server = place("server", "a");
    let mut views = Views::default();
    let before = see(&mut views, &[own], begin, begin + QUIET * 2);
    assert!(views.owns(own.name, server, before));
    let now = before + Duration::from_secs(3);
    assert!(!views.owns(own.name, server, now), "its view is old");
    views.note(sight(&[own]), now);
    assert!(!views.owns(own.name, server, now), "its view is new");
    let now = see(&mut views, &[own], now, now + QUIET + TICK);
    assert!(views.owns(own.name, server, now));
}
