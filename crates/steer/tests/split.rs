//! Shares of a split route's services after its weights change.

use fleet::Target;
use steer::placement::hash;
use steer::split::Split;

/// Number of VMs that split the route's requests, each by its own counts.
const VMS: usize = 8;

/// Largest distance of a service's share from its weight, and the number of requests for which it holds.
const MAX_DISTANCE: f64 = 0.2;
const REQUESTS: u32 = 200;

fn targets(weights: &[(&str, f64)]) -> Vec<Target> {
    let target = |(service, weight): &(&str, f64)| Target {
        service: (*service).to_owned(),
        weight: *weight,
    };
    weights.iter().map(target).collect()
}

/// Splits `requests` for different objects, numbered from `first`, among the VMs; returns the share of `service`.
fn share(
    splits: &mut [Split],
    targets: &[Target],
    first: u32,
    requests: u32,
    service: &str,
) -> f64 {
    let objects = first..first + requests;
    let chosen = objects.filter(|number| {
        let split = &mut splits[*number as usize % VMS];
        let index = split.choose(targets, hash(&number.to_be_bytes()));
        targets[index].service == service
    });
    f64::from(u32::try_from(chosen.count()).expect("few requests")) / f64::from(requests)
}

/// Returns the share of the service `b` in the first requests after the weights change from `before` to `after`.
fn share_after_change(before: &[(&str, f64)], after: &[(&str, f64)]) -> f64 {
    let mut splits: Vec<Split> = (0..VMS).map(|_| Split::default()).collect();
    share(&mut splits, &targets(before), 0, 4_000, "b");
    share(&mut splits, &targets(after), 4_000, REQUESTS, "b")
}

/// Guards against a service that gets all requests after its weight was raised, to make up for the time before.
#[test]
fn raised_service_gets_all_requests_for_a_while() {
    for (low, high) in [(0.2, 0.8), (0.1, 0.5), (0.3, 0.6), (0.5, 0.9)] {
        let before = [("a", 1.0 - low), ("b", low)];
        let after = [("a", 1.0 - high), ("b", high)];
        let raised = share_after_change(&before, &after);
        assert!(
            (raised - high).abs() < MAX_DISTANCE,
            "{low} to {high}: {raised}"
        );
        let lowered = share_after_change(&after, &before);
        assert!(
            (lowered - low).abs() < MAX_DISTANCE,
            "{high} to {low}: {lowered}"
        );
    }
}

/// Guards against counts that go to another service, as a version lists the services in another order.
#[test]
fn services_in_another_order_take_over_the_counts_of_each_other() {
    let share = share_after_change(&[("a", 0.8), ("b", 0.2)], &[("b", 0.2), ("a", 0.8)]);
    assert!((share - 0.2).abs() < MAX_DISTANCE, "{share}");
}

/// Guards against counts of a service that another one has replaced.
#[test]
fn new_service_takes_over_the_counts_of_the_one_that_it_replaces() {
    let share = share_after_change(&[("a", 0.8), ("c", 0.2)], &[("a", 0.2), ("b", 0.8)]);
    assert!((share - 0.8).abs() < MAX_DISTANCE, "{share}");
}

/// A version that leaves the weights as they are changes no share.
#[test]
fn shares_stay_where_only_other_parts_change() {
    let weights = [("a", 0.7), ("b", 0.3)];
    let share = share_after_change(&weights, &weights);
    assert!((share - 0.3).abs() < 0.05, "{share}");
}
