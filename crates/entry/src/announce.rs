//! Announces the entry VMs of the zone in the platform's store.
//!
//! Only the leader of a zone writes, one key for all VMs of the zone, and only when it hears of a VM
//! that is not announced. The calls to the store grow with the number of zones, not of VMs. VMs that
//! are no longer heard of are left out with the next write; messages tell which VMs are alive.

use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use fleet::report::Announced;
use tokio::time::sleep;

use crate::state::State;
use crate::store::{Store, StoreError};

/// Interval at which the leader compares the announced VMs with those that it hears of. VMs that start
/// together are announced together.
const INTERVAL: Duration = Duration::from_secs(1);

/// Largest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Keeps the VMs of the zone announced while this VM leads it.
pub async fn run<S: Store>(state: Rc<State>, mut store: S) {
    let mut pause = INTERVAL;
    loop {
        // A restore of the store ends the pause: it may have lost the announcement.
        tokio::select! {
            () = sleep(pause) => {}
            () = state.announcement_due.notified() => {}
        }
        let Some(vms) = due(&state) else {
            pause = INTERVAL;
            continue;
        };
        let written = write(&state, &mut store, &vms).await;
        state
            .metrics
            .note_store_call("announcement", written.is_ok());
        match written {
            Ok(era) => {
                // What was written in an earlier era than the one read since may be lost.
                if era.is_none_or(|era| era >= state.position().era) {
                    state.announced.replace(vms);
                }
                pause = INTERVAL;
            }
            Err(error) => {
                event::emit(&Event::StoreUnreachable {
                    purpose: "announcement".to_owned(),
                    error: error.to_string(),
                });
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Returns the VMs to announce, if this VM leads its zone and hears of one that is not announced.
fn due(state: &State) -> Option<Vec<Announced>> {
    let membership = state.membership.borrow();
    let is_reader = membership.is_leader(Instant::now()) && state.read_at().is_some();
    if !is_reader || state.is_leaving() {
        return None;
    }
    let mut heard = membership.zone_vms();
    let announced = state.announced.borrow();
    if heard.iter().all(|vm| announced.contains(vm)) {
        return None;
    }
    // Another leader of the zone may hear of VMs that this one does not.
    let is_kept =
        |vm: &&Announced| membership.knows(&vm.vm) && heard.iter().all(|heard| heard.vm != vm.vm);
    let kept: Vec<Announced> = announced.iter().filter(is_kept).cloned().collect();
    heard.extend(kept);
    Some(heard)
}

async fn write<S: Store>(
    state: &State,
    store: &mut S,
    vms: &[Announced],
) -> Result<Option<u64>, StoreError> {
    let bytes = postcard::to_stdvec(vms);
    let bytes = bytes.map_err(|error| StoreError::Malformed(error.to_string()))?;
    store.announce(&state.settings.zone, &bytes).await
}
