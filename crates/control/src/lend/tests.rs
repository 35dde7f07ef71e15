//! Tests of lending from the fleet's leader to a gate.

use text::Text;
use timer::Moment;
use wire::Vm;
use wire::lend::{Grants, Requests, ReserveRequest, Resource, ResourceRequest};

use super::Ledger;

const GATE: &str = "north-a-vm0";

fn text() -> Text {
    let source = "name = \"t\"\n[[region]]\nname = \"north\"\n\
                  [[zone]]\nname = \"north-a\"\nregion = \"north\"\n\
                  [[workspace]]\nname = \"alder\"\nrate = 100.0\nburst = 50.0\n\
                  [[service]]\nname = \"reader\"\nslots = 1\n\
                  [[backend]]\nservice = \"reader\"\nzone = \"north-a\"\naddrs = [\"127.0.0.1:9\"]\n\
                  [[route]]\npath = \"/reader\"\nmethods = [\"GET\"]\nservice = \"reader\"\n\
                  access = \"keyed\"\nrepeat = \"safe\"\n";
    text::parse(source).expect("a valid text")
}

/// Returns the ledger of a daemon that is the leader of its zone and of the fleet in `epoch`.
fn leader(epoch: u64, now: Moment) -> Ledger {
    let mut ledger = Ledger::new(Vm::new(GATE, 7), "north-a", now);
    ledger.apply(&text(), 1);
    ledger.note_zone_leader(Some(epoch), now);
    ledger.note_fleet_leader(Some(epoch), now);
    ledger
}

fn amount(grants: &Grants) -> u64 {
    grants.grants.iter().map(|grant| grant.grant.amount).sum()
}

/// Passes a gate's request up to the fleet's leader and the granted share down to the gate.
fn propagate(ledger: &mut Ledger, holder: &mut grant::Holder, epoch: u64, now: Moment) -> u64 {
    let gate = Vm::new(GATE, 1);
    let mut last = 0;
    for round in 0..4 {
        let now = now.plus_ms(round);
        let request = holder.ask(5_000, 0, now);
        let resource = Resource::Workspace("alder".to_owned());
        let grants = ledger.serve_gate(&gate, &[ResourceRequest { resource, request }], now);
        for grant in &grants.grants {
            holder.take(&grant.grant);
        }
        last = amount(&grants);
        let up = ledger.zone_requests(epoch, epoch, now);
        let down = ledger.serve(&up, now);
        ledger.take_for_zone(&down, epoch);
        let up = ledger.vm_requests(epoch, now);
        let down = ledger.serve(&up, now);
        ledger.take_for_vm(&down);
    }
    last
}

#[test]
fn share_lent_by_fleet_reaches_gate() {
    let mut ledger = leader(1, Moment(1_000));
    let mut holder = grant::Holder::new(1);
    let granted = propagate(&mut ledger, &mut holder, 1, Moment(1_000));
    assert_eq!(granted, 300_000_000);
}

#[test]
fn new_zone_leader_gets_no_share_before_grants_of_predecessor_expire() {
    let mut ledger = leader(1, Moment(1_000));
    let mut holder = grant::Holder::new(1);
    propagate(&mut ledger, &mut holder, 1, Moment(1_000));
    ledger.note_zone_leader(Some(2), Moment(2_000));
    let up = ledger.zone_requests(2, 1, Moment(2_000));
    assert!(!up.requests.is_empty());
    assert!(
        up.requests
            .iter()
            .all(|request| !request.request.predecessors_expired)
    );
    assert_eq!(amount(&ledger.serve(&up, Moment(2_000))), 0);
    let up = ledger.zone_requests(2, 1, Moment(80_000));
    assert!(
        up.requests
            .iter()
            .all(|request| request.request.predecessors_expired)
    );
    assert_eq!(amount(&ledger.serve(&up, Moment(80_000))), 300_000_000);
}

#[test]
fn rejects_requests_of_earlier_terms() {
    let mut ledger = leader(3, Moment(1_000));
    assert!(
        ledger
            .zone_requests(2, 3, Moment(1_000))
            .requests
            .is_empty()
    );
    let requests = ledger.zone_requests(3, 3, Moment(1_000));
    assert!(!requests.requests.is_empty());
    let stale = Requests {
        epoch: 2,
        ..requests
    };
    assert!(ledger.serve(&stale, Moment(1_000)).grants.is_empty());
    assert!(ledger.vm_requests(2, Moment(1_000)).requests.is_empty());
}

#[test]
fn reserve_serves_only_configured_workspaces() {
    let mut ledger = leader(1, Moment(1_000));
    let request = |workspace: &str| ReserveRequest {
        epoch: 1,
        workspace: workspace.to_owned(),
    };
    assert!(!ledger.take_from_reserve(&request("alder"), Moment(1_000)));
    assert!(ledger.take_from_reserve(&request("alder"), Moment(2_000)));
    assert!(!ledger.take_from_reserve(&request("other"), Moment(2_000)));
}
