//! Ownership of cold backend servers.

use std::time::{Duration, Instant};

use steer::owner::{Member, STABILIZATION_DELAY, View, Views};
use steer::placement::hash;

/// Time between two views.
const TICK: Duration = Duration::from_millis(300);

fn member(name: &str, zone: &str) -> Member {
    Member {
        name: hash(name.as_bytes()),
        zone: hash(zone.as_bytes()),
        region: hash(b"r"),
    }
}

fn view(vms: &[Member]) -> View {
    View {
        vms: vms.to_vec(),
        alive: vms.len(),
        known: vms.len(),
    }
}

/// Records views of `vms` from `begin` until `end`, and returns the time of the last view.
fn note_views(views: &mut Views, vms: &[Member], begin: Instant, end: Instant) -> Instant {
    let mut now = begin;
    while now + TICK <= end {
        now += TICK;
        views.note(view(vms), now);
    }
    now
}

#[test]
fn vms_with_same_view_agree_on_owner_in_servers_zone() {
    let vms = [member("a", "a"), member("b", "b"), member("c", "c")];
    let reversed = [vms[2], vms[1], vms[0]];
    let begin = Instant::now();
    let server = member("server", "b");
    for order in [&vms, &reversed] {
        let mut views = Views::default();
        let now = note_views(&mut views, order, begin, begin + STABILIZATION_DELAY * 2);
        assert_eq!(views.owner(server), Some(vms[1].name));
        let owners = vms.iter().filter(|vm| views.owns(vm.name, server, now));
        assert_eq!(owners.count(), 1);
    }
}

/// Load pattern: all entry VMs start at once while a server has just restarted cold.
#[test]
fn just_started_vm_owns_nothing() {
    let begin = Instant::now();
    let own = member("a", "a");
    let mut views = Views::default();
    views.note(view(&[own]), begin);
    assert!(!views.owns(own.name, member("server", "a"), begin));
    let now = note_views(
        &mut views,
        &[own],
        begin,
        begin + STABILIZATION_DELAY.saturating_sub(TICK),
    );
    assert!(!views.owns(own.name, member("server", "a"), now));
    let now = note_views(&mut views, &[own], now, now + STABILIZATION_DELAY);
    assert!(views.owns(own.name, member("server", "a"), now));
}

/// Load pattern: the owner changes repeatedly because entry VMs stop one after the other.
#[test]
fn new_owner_waits_for_end_of_previous_owners_last_second() {
    let begin = Instant::now();
    let (own, other) = (member("a", "b"), member("b", "a"));
    let server = member("server", "a");
    let mut views = Views::default();
    let now = note_views(
        &mut views,
        &[own, other],
        begin,
        begin + STABILIZATION_DELAY * 2,
    );
    assert!(!views.owns(own.name, server, now));
    let now = note_views(&mut views, &[own], now, now + STABILIZATION_DELAY);
    assert!(
        !views.owns(own.name, server, now),
        "the other VM ranked highest until now"
    );
    let now = note_views(&mut views, &[own], now, now + TICK);
    assert!(views.owns(own.name, server, now));
    let now = note_views(&mut views, &[own, other], now, now + TICK);
    assert!(
        !views.owns(own.name, server, now),
        "the other VM ranks highest again"
    );
}

/// Load pattern: an owner's process stalls, other VMs take over, and the process resumes.
#[test]
fn stalled_vm_owns_nothing_after_resuming() {
    let begin = Instant::now();
    let own = member("a", "a");
    let server = member("server", "a");
    let mut views = Views::default();
    let before = note_views(&mut views, &[own], begin, begin + STABILIZATION_DELAY * 2);
    assert!(views.owns(own.name, server, before));
    let now = before + Duration::from_secs(3);
    assert!(!views.owns(own.name, server, now), "its view is stale");
    views.note(view(&[own]), now);
    assert!(!views.owns(own.name, server, now), "its view is too recent");
    let now = note_views(&mut views, &[own], now, now + STABILIZATION_DELAY + TICK);
    assert!(views.owns(own.name, server, now));
}
