//! Proof that no withdrawal was missed while the platform is down for all.
//!
//! # What is proved
//!
//! An operator's client that sends a withdrawal straight to the VMs calls it *confirmed by
//! quorum* when, within [`CONFIRM_MS`], it was received by a majority of the listed VMs in each
//! of a majority of the zones, all with the same edition of the list ([`key::confirm::is_confirmed`]). A VM
//! whose zone's root finds, on the same edition, a majority of zones of which each has a
//! majority of VMs whose records were part of the root's own records at moment `m` or later may
//! take `m` as the moment at which every confirmed withdrawal was known ([`Quorum::proof`]).
//!
//! # Why it holds
//!
//! 1. Two majorities of the zones of one edition share a zone, and two majorities of that zone's
//!    VMs share a VM. So some VM both received the withdrawal and is counted in the proof.
//! 2. If that VM has run without a break since it received the withdrawal, and the withdrawal was
//!    confirmed before `m`, its records held the withdrawal at `m`, since records only grow. What
//!    is counted at `m` is part of the root's records, so the root knows it.
//! 3. A VM that was restarted since has forgotten. It is counted only once it has proof of
//!    freshness from a moment [`CONFIRM_MS`] plus a margin after its start. A receipt of its
//!    earlier run was given before its start; the withdrawal was confirmed within [`CONFIRM_MS`]
//!    of that or never. So the proof that it rests on is later than the confirmation and holds
//!    the withdrawal, by induction over proofs; the VM itself was not counted in it.
//! 4. Moments never come from another clock. A sighting counts from the moment at which the
//!    counting side *asked* (another zone's root), or from the moment at which it sent the stamp
//!    that the other side echoed (a VM of its zone), less the age that the other side states. A
//!    message that was delayed, or a receiver that was paused, makes a sighting older, never
//!    newer.
//! 5. A sighting and a receipt count only between VMs with the same edition of the list. A VM
//!    with a newer edition never returns to an older one, so no VM is counted on an older edition
//!    after it gave a receipt on a newer one; a majority of the older that is still on it would
//!    have to fit into the newer list beside a majority of that.
//!
//! The last point needs two assumptions on the platform's list: a VM that it no longer names has
//! ended, and between two editions that are in use at the same time no zone gains more than one
//! VM over those that it loses, nor the fleet more than one zone. Otherwise VMs that are cut off
//! with an old, shorter list could be a majority of that list. The list comes from the platform,
//! so that it does not change while that is down for all; the daemons that reach one another
//! agree on its newest edition within a few rounds.
//!
//! Withdrawals that were written to the platform and not sent to the VMs are outside this proof.
//! A zone is therefore counted only if it says that the platform has not answered it for
//! [`DOWN_MS`], and the operators' client sends each withdrawal to the VMs as well. A VM that can
//! reach the platform while the operator cannot is covered once a daemon has written the
//! withdrawal there; until then the client reports its zone as not confirmed.

use std::collections::BTreeMap;

use key::confirm::{CONFIRM_MS, Listed, majority};
use timer::Moment;
use wire::roster::Version;

/// Margin for clocks that run at different rates, in milliseconds.
const MARGIN_MS: u64 = 500;

/// Time without an answer after which a zone says that the platform is down, in milliseconds.
pub const DOWN_MS: u64 = 1_200;

/// Age beyond which a sighting is dropped, in milliseconds.
const FORGET_MS: u64 = 10_000;

/// Whose records are part of this VM's records, as of when. Belongs to one edition of the list.
#[derive(Debug, Clone, Default)]
pub struct Quorum {
    edition: Version,
    vms: BTreeMap<String, Moment>,
    zones: BTreeMap<String, Moment>,
}

/// Returns whether a VM that started at `started` and whose latest proof of freshness is
/// `fresh_at` may be counted.
#[must_use]
pub fn may_vote(started: Moment, fresh_at: Option<Moment>) -> bool {
    fresh_at.is_some_and(|at| at >= started.plus_ms(CONFIRM_MS + MARGIN_MS))
}

impl Quorum {
    /// Creates a state without sightings.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops all sightings if they belong to another edition than `edition`, and those that are
    /// too old at `now`.
    pub fn refresh(&mut self, edition: Version, now: Moment) {
        if self.edition != edition {
            *self = Self {
                edition,
                ..Self::default()
            };
        }
        let recent = |at: &Moment| now.ms_since(*at) <= FORGET_MS;
        self.vms.retain(|_, at| recent(at));
        self.zones.retain(|_, at| recent(at));
    }

    /// Notes that the records of `vm` as of `at` are part of this VM's records.
    pub fn see_vm(&mut self, vm: &str, at: Moment) {
        raise(&mut self.vms, vm, at);
    }

    /// Notes that the records of a majority of the VMs of `zone` as of `at` are part of this
    /// VM's records.
    pub fn see_zone(&mut self, zone: &str, at: Moment) {
        raise(&mut self.zones, zone, at);
    }

    /// Returns the VMs seen.
    pub fn vms(&self) -> impl Iterator<Item = (&str, Moment)> {
        self.vms.iter().map(|(name, at)| (name.as_str(), *at))
    }

    /// Returns the zones seen.
    pub fn zones(&self) -> impl Iterator<Item = (&str, Moment)> {
        self.zones.iter().map(|(name, at)| (name.as_str(), *at))
    }

    /// Returns the latest moment as of which a majority of the listed VMs of `zone` is seen.
    #[must_use]
    pub fn majority_of_vms<'a>(
        &self,
        zone: &str,
        listed: impl IntoIterator<Item = Listed<'a>>,
    ) -> Option<Moment> {
        let inside = listed.into_iter().filter(|vm| vm.zone == zone);
        majority(inside.map(|vm| self.vms.get(vm.name).copied()))
    }

    /// Returns the latest moment as of which a majority of the zones is seen: every withdrawal
    /// confirmed before it is known.
    #[must_use]
    pub fn proof<'a>(&self, listed: impl IntoIterator<Item = Listed<'a>>) -> Option<Moment> {
        let mut zones: Vec<&str> = listed.into_iter().map(|vm| vm.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        majority(zones.into_iter().map(|zone| self.zones.get(zone).copied()))
    }
}

fn raise(seen: &mut BTreeMap<String, Moment>, name: &str, at: Moment) {
    let known = seen.entry(name.to_owned()).or_insert(at);
    *known = at.max(*known);
}
