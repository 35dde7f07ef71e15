//! Proof by quorum that no withdrawal was missed while the platform is unreachable from all zones.
//!
//! # Statement
//!
//! An operator's client that sends a withdrawal directly to the VMs considers it *confirmed by
//! quorum* when, within [`CONFIRM_MS`], it was received by a majority of the listed VMs in each
//! of a majority of the zones, all with the same version of the list
//! ([`key::confirm::is_confirmed`]). The root of a zone may find, on the same version, a majority of
//! zones in each of which a majority of VMs had records as of moment `m` or later that are included
//! in the root's own records. The VMs of its zone may then take `m` as the moment at which every
//! confirmed withdrawal was known ([`Quorum::proof`]).
//!
//! # Proof
//!
//! 1. Two majorities of the zones of one version share a zone, and two majorities of that zone's
//!    VMs share a VM. So some VM both received the withdrawal and is counted in the proof.
//! 2. If that VM has run without a restart since it received the withdrawal, and the withdrawal was
//!    confirmed before `m`, its records included the withdrawal at `m`, since records are never
//!    removed. The records counted at `m` are included in the root's records, so the root knows it.
//! 3. A VM that was restarted since has lost its records. It is counted only once it has a proof of
//!    freshness from a moment [`CONFIRM_MS`] plus a margin after its start. A receipt of its
//!    earlier run was sent before its start; the withdrawal was confirmed within [`CONFIRM_MS`]
//!    of that or never. So its proof of freshness is later than the confirmation and covers the
//!    withdrawal, by induction over proofs; the VM itself was not counted in that proof.
//! 4. Moments of different clocks are never compared. An observation counts from the moment at which
//!    the counting VM *sent the request* (to another zone's root), or sent the timestamp that the
//!    other VM echoed (a VM of its zone), less the age reported by the other VM. A delayed message
//!    or a paused receiver makes an observation older, never newer.
//! 5. Observations and receipts count only between VMs with the same version of the list. A VM
//!    with a newer version never returns to an older one, so no VM is counted on an older version
//!    after it sent a receipt on a newer one; a majority of the older list that still uses it would
//!    have to fit into the newer list beside a majority of the newer list.
//!
//! The last point needs two assumptions about the platform's list: a VM that is no longer listed has
//! stopped, and between two versions in use at the same time no zone gains more than one VM over
//! those that it loses, nor does the fleet gain more than one zone over those that it loses.
//! Otherwise partitioned VMs with an old, shorter list could be a majority of that list. The list
//! comes from the platform, so it does not change while the platform is unreachable from all zones;
//! daemons that reach one another agree on its newest version within a few rounds.
//!
//! Withdrawals that were written to the platform and not sent to the VMs are not covered by this
//! proof. A zone is therefore counted only if it reports that the platform has not responded to it
//! for [`DOWN_MS`], and the operators' client sends each withdrawal to the VMs as well. A VM that can
//! reach the platform while the operator cannot is covered once a daemon has written the
//! withdrawal there; until then the client reports its zone as not confirmed.

use std::collections::BTreeMap;

use key::confirm::{CONFIRM_MS, Listed, majority};
use timer::Moment;
use wire::roster::Version;

/// Margin for clocks that run at different rates, in milliseconds.
const MARGIN_MS: u64 = 500;

/// Time without a response after which a zone reports the platform as down, in milliseconds.
pub const DOWN_MS: u64 = 1_200;

/// Age above which an observation is dropped, in milliseconds.
const MAX_AGE_MS: u64 = 10_000;

/// VMs and zones whose records are included in this VM's records, each with the moment as of which
/// they are. Belongs to one version of the list.
#[derive(Debug, Clone, Default)]
pub struct Quorum {
    version: Version,
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
    /// Creates a state without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops all observations if they belong to another version than `version`, and those that are
    /// too old at `now`.
    pub fn refresh(&mut self, version: Version, now: Moment) {
        if self.version != version {
            *self = Self {
                version,
                ..Self::default()
            };
        }
        let recent = |at: &Moment| now.ms_since(*at) <= MAX_AGE_MS;
        self.vms.retain(|_, at| recent(at));
        self.zones.retain(|_, at| recent(at));
    }

    /// Notes that the records of `vm` as of `at` are included in this VM's records.
    pub fn note_vm(&mut self, vm: &str, at: Moment) {
        note_latest(&mut self.vms, vm, at);
    }

    /// Notes that the records of a majority of the VMs of `zone` as of `at` are included in this
    /// VM's records.
    pub fn note_zone(&mut self, zone: &str, at: Moment) {
        note_latest(&mut self.zones, zone, at);
    }

    /// Returns the noted VMs.
    pub fn vms(&self) -> impl Iterator<Item = (&str, Moment)> {
        self.vms.iter().map(|(name, at)| (name.as_str(), *at))
    }

    /// Returns the noted zones.
    pub fn zones(&self) -> impl Iterator<Item = (&str, Moment)> {
        self.zones.iter().map(|(name, at)| (name.as_str(), *at))
    }

    /// Returns the latest moment as of which the records of a majority of the listed VMs of `zone` are
    /// included.
    #[must_use]
    pub fn majority_of_vms<'a>(
        &self,
        zone: &str,
        listed: impl IntoIterator<Item = Listed<'a>>,
    ) -> Option<Moment> {
        let in_zone = listed.into_iter().filter(|vm| vm.zone == zone);
        majority(in_zone.map(|vm| self.vms.get(vm.name).copied()))
    }

    /// Returns the latest moment as of which the records of a majority of the zones are included.
    /// Every withdrawal that was confirmed before it is known.
    #[must_use]
    pub fn proof<'a>(&self, listed: impl IntoIterator<Item = Listed<'a>>) -> Option<Moment> {
        let mut zones: Vec<&str> = listed.into_iter().map(|vm| vm.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        majority(zones.into_iter().map(|zone| self.zones.get(zone).copied()))
    }
}

fn note_latest(moments: &mut BTreeMap<String, Moment>, name: &str, at: Moment) {
    let known = moments.entry(name.to_owned()).or_insert(at);
    *known = at.max(*known);
}
