//! Tests of lending from the fleet's lead to a gate.

use text::Text;
use timer::Moment;
use wire::Vm;
use wire::lend::{Grants, Requests, ReserveRequest, Resource, ResourceRequest};

use super::Lend;

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

/// A daemon that is the lead of its zone and of the fleet in `epoch`.
fn lead(epoch: u64, now: Moment) -> Lend {
    let mut lend = Lend::new(Vm::new(GATE, 7), "north-a", now);
    lend.learn(&text(), 1);
    lend.note_zone_lead(Some(epoch), now);
    lend.note_fleet_lead(Some(epoch), now);
    lend
}

fn amount(grants: &Grants) -> u64 {
    grants.grants.iter().map(|grant| grant.grant.amount).sum()
}

/// Lets a gate's want go up and a share come down.
fn follow(lend: &mut Lend, holder: &mut grant::Holder, epoch: u64, now: Moment) -> u64 {
    let gate = Vm::new(GATE, 1);
    let mut last = 0;
    for round in 0..4 {
        let now = now.plus_ms(round);
        let ask = holder.request(5_000, 0, now);
        let resource = Resource::Workspace("alder".to_owned());
        let grants = lend.serve_gate(
            &gate,
            &[ResourceRequest {
                resource,
                request: ask,
            }],
            now,
        );
        for grant in &grants.grants {
            holder.accept(&grant.grant);
        }
        last = amount(&grants);
        let up = lend.zone_asks(epoch, epoch, now);
        let down = lend.serve(&up, now);
        lend.take_for_zone(&down, epoch);
        let up = lend.vm_asks(epoch, now);
        let down = lend.serve(&up, now);
        lend.take_for_vm(&down);
    }
    last
}

#[test]
fn what_the_fleet_lends_reaches_the_gate() {
    let mut lend = lead(1, Moment(1_000));
    let mut holder = grant::Holder::new(1);
    let got = follow(&mut lend, &mut holder, 1, Moment(1_000));
    assert_eq!(got, 300_000_000);
}

#[test]
fn new_lead_of_a_zone_lends_at_once_while_the_fleet_counts_what_the_old_one_lent() {
    let mut lend = lead(1, Moment(1_000));
    let mut holder = grant::Holder::new(1);
    follow(&mut lend, &mut holder, 1, Moment(1_000));
    lend.note_zone_lead(Some(2), Moment(2_000));
    let up = lend.zone_asks(2, 1, Moment(2_000));
    assert!(!up.requests.is_empty());
    assert!(
        up.requests
            .iter()
            .all(|ask| !ask.request.predecessors_expired)
    );
    assert_eq!(amount(&lend.serve(&up, Moment(2_000))), 0);
    let up = lend.zone_asks(2, 1, Moment(80_000));
    assert!(
        up.requests
            .iter()
            .all(|ask| ask.request.predecessors_expired)
    );
    assert_eq!(amount(&lend.serve(&up, Moment(80_000))), 300_000_000);
}

#[test]
fn requests_for_another_term_or_of_an_earlier_one_get_nothing() {
    let mut lend = lead(3, Moment(1_000));
    assert!(lend.zone_asks(2, 3, Moment(1_000)).requests.is_empty());
    let asks = lend.zone_asks(3, 3, Moment(1_000));
    assert!(!asks.requests.is_empty());
    let stale = Requests { epoch: 2, ..asks };
    assert!(lend.serve(&stale, Moment(1_000)).grants.is_empty());
    assert!(lend.vm_asks(2, Moment(1_000)).requests.is_empty());
}

#[test]
fn reserve_gives_to_known_workspaces_only() {
    let mut lend = lead(1, Moment(1_000));
    let draw = |workspace: &str| ReserveRequest {
        epoch: 1,
        workspace: workspace.to_owned(),
    };
    assert!(!lend.draw(&draw("alder"), Moment(1_000)));
    assert!(lend.draw(&draw("alder"), Moment(2_000)));
    assert!(!lend.draw(&draw("other"), Moment(2_000)));
}
