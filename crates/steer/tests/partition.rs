//! Detection of a partition of the VM itself.

use steer::partition::Detector;

/// Records that the servers, given by name and zone, are unreachable.
fn detector(servers: &[(u64, u64)]) -> Detector {
    let mut detector = Detector::default();
    for (server, zone) in servers {
        detector.note_unreachable(*server, *zone);
    }
    detector
}

#[test]
fn unreachable_servers_of_several_zones_are_a_partition() {
    assert!(detector(&[(1, 1), (2, 1), (3, 2)]).is_partitioned(6));
    assert!(detector(&[(1, 1), (2, 1), (3, 1)]).is_partitioned(1));
}

#[test]
fn power_loss_of_one_zone_is_no_partition() {
    assert!(!detector(&[(1, 1), (2, 1), (3, 1), (4, 1)]).is_partitioned(6));
}

#[test]
fn one_server_found_unreachable_again_and_again_is_no_partition() {
    assert!(!detector(&[(1, 1), (1, 1), (2, 2), (2, 2)]).is_partitioned(6));
}

#[test]
fn response_ends_the_suspicion_of_a_partition() {
    let mut detector = detector(&[(1, 1), (2, 1), (3, 2)]);
    detector.note_reached();
    assert!(!detector.is_partitioned(6));
}
