//! Requests and responses of the state exchange between control daemons.

use timer::Moment;
use wire::sync::{Digests, Leader, Leaders, Request, Response, Timestamp, VmVote, ZoneVote};
use wire::update::Update;

use crate::leader::{Holder, LeaderLease};
use crate::quorum;
use crate::state::{Change, State};

/// Outcome of applying a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Change of the state.
    pub change: Change,
    /// Whether the key records differ from the responder's, or the responder has a newer list of VMs.
    pub differs: bool,
}

impl State {
    /// Returns the request to send to the VM `to`.
    pub fn request(&mut self, to: &str, detailed: bool, now: Moment) -> Request {
        let digests = detailed.then(|| Digests {
            keys: self.ring.shards().to_vec(),
            roster: self.roster.digests().to_vec(),
        });
        Request {
            from: self.vm.clone(),
            zone: self.zone.clone(),
            versions: self.versions(),
            full_text: self.revisions.needs_full_text(),
            rejected: self.rejected(),
            roster: self.roster.version(),
            digests,
            echo: self.timestamps.get(to).copied(),
            votes: self.vm_votes(to, now),
            rumors: self.member.rumors(),
            crashes: self.crashes.recent(now),
        }
    }

    /// Responds to another control daemon.
    pub fn respond(&mut self, request: &Request, now: Moment) -> Response {
        for rumor in &request.rumors {
            self.member.hear(rumor);
        }
        self.count_votes(request, now);
        self.round_due |= self.crashes.merge(&request.crashes, now, now);
        let digests = request.digests.as_ref();
        let newer = self.roster.version().index > request.roster.index;
        let shards = digests.filter(|_| newer);
        Response {
            from: self.vm.clone(),
            versions: self.versions(),
            roster: self.roster.version(),
            config: self.update_for(request),
            keys: digests.map(|digests| self.ring.differing(&digests.keys)),
            key_shards: digests.map_or_else(Vec::new, |_| self.ring.shards().to_vec()),
            shards: shards.map_or_else(Vec::new, |digests| self.roster.differing(&digests.roster)),
            keys_age_ms: self.fresh_age_ms(now),
            timestamp: self.is_store_down(now).then_some(Timestamp {
                incarnation: self.vm.incarnation,
                ms: now.0,
            }),
            store_down: self.is_store_down(now),
            leaders: Leaders {
                zone: leader(&self.zone_leader, now),
                fleet: leader(&self.fleet_leader, now),
            },
            votes: self.zone_votes(now),
            rumors: self.member.rumors(),
            crashes: self.crashes.recent(now),
        }
    }

    /// Applies the response of a VM in `zone` to a request that was sent at `requested_at`.
    pub fn apply_response(
        &mut self,
        response: &Response,
        zone: Option<&str>,
        requested_at: Moment,
        now: Moment,
    ) -> Outcome {
        self.synced_at = self.synced_at.max(Some(requested_at));
        self.round_due |= self.crashes.merge(&response.crashes, requested_at, now);
        for rumor in &response.rumors {
            self.member.hear(rumor);
        }
        self.apply_leaders(&response.leaders, zone, requested_at);
        let from = &response.from.name;
        match response.timestamp {
            Some(timestamp) => self.timestamps.insert(from.clone(), timestamp),
            None => self.timestamps.remove(from),
        };
        self.failed_at.remove(from);
        let update = response.config.as_ref();
        let mut change = update.map_or_else(Change::default, |update| self.apply_update(update));
        let included = response.keys.is_some() || response.versions.keys == self.ring.digest();
        change.keys = response
            .keys
            .as_ref()
            .is_some_and(|keys| self.merge_keys(keys));
        self.apply_roster(response, now);
        if included {
            self.apply_proofs(response, zone, requested_at, now);
        }
        Outcome {
            change,
            differs: response.versions.keys != self.ring.digest()
                || self.roster.is_behind(response.roster),
        }
    }

    /// Returns the configuration for a requester that has an older one and has not rejected this one.
    fn update_for(&mut self, request: &Request) -> Option<Update> {
        if self.revision() == request.rejected {
            return None;
        }
        self.revisions
            .update_for(request.versions.revision, request.full_text)
    }

    fn apply_update(&mut self, update: &Update) -> Change {
        let restored = self.revisions.restore(update);
        restored.map_or_else(Change::default, |config| self.apply_config(&config))
    }

    /// Returns whether this daemon considers the platform down: a watcher by its own calls, another VM
    /// by the reports of its zone.
    #[must_use]
    pub fn is_store_down(&self, now: Moment) -> bool {
        if self.is_watching(now) {
            self.is_store_silent(now)
        } else {
            self.reported_store_down
        }
    }

    fn apply_roster(&mut self, response: &Response, now: Moment) {
        let before = self.roster.clone();
        let same = response.roster.digest == before.version().digest;
        let patched = (same || !response.shards.is_empty())
            && self.roster.patch(response.roster, &response.shards);
        if patched {
            self.note_roster(&before, now);
        }
    }

    /// Applies the responder's proofs of freshness, which are valid for this daemon because its
    /// records include the responder's.
    fn apply_proofs(
        &mut self,
        response: &Response,
        zone: Option<&str>,
        requested_at: Moment,
        now: Moment,
    ) {
        if let Some(age_ms) = response.keys_age_ms {
            self.note_fresh(requested_at.minus_ms(age_ms));
        }
        if zone == Some(self.zone.as_str()) {
            self.reported_store_down = response.store_down;
        }
        self.quorum.refresh(self.roster.version(), now);
        if response.store_down && response.roster == self.roster.version() {
            for vote in &response.votes {
                self.quorum
                    .note_zone(&vote.zone, requested_at.minus_ms(vote.age_ms));
            }
        }
        self.evaluate_quorum(now);
    }

    /// Counts the VMs whose records are included in this daemon's records, as the requester's are.
    fn count_votes(&mut self, request: &Request, now: Moment) {
        self.quorum.refresh(self.roster.version(), now);
        let included =
            request.versions.keys == self.ring.digest() && request.roster == self.roster.version();
        let own = |echo: &Timestamp| echo.incarnation == self.vm.incarnation;
        let echo = request.echo.filter(own);
        if let Some(echo) = echo.filter(|_| included && request.zone == self.zone) {
            for vote in &request.votes {
                let at = Moment(echo.ms).minus_ms(vote.age_ms);
                self.quorum.note_vm(&vote.vm, at);
            }
        }
        self.evaluate_quorum(now);
    }

    /// Derives a proof of freshness by [`quorum`] while the platform is down.
    pub(crate) fn evaluate_quorum(&mut self, now: Moment) {
        if !self.is_store_down(now) {
            return;
        }
        self.quorum.refresh(self.roster.version(), now);
        if quorum::may_vote(self.started, self.fresh_at()) {
            let own = self.vm.name.clone();
            self.quorum.note_vm(&own, now);
        }
        if let Some(at) = self.quorum.majority_of_vms(&self.zone, self.listed()) {
            let zone = self.zone.clone();
            self.quorum.note_zone(&zone, at);
        }
        if let Some(at) = self.quorum.proof(self.listed()) {
            self.note_fresh(at);
        }
    }

    fn vm_votes(&mut self, to: &str, now: Moment) -> Vec<VmVote> {
        let is_in_zone = self
            .roster
            .entry(to)
            .is_some_and(|entry| entry.zone == self.zone);
        if !is_in_zone || !self.is_store_down(now) {
            return Vec::new();
        }
        self.evaluate_quorum(now);
        let vote = |(vm, at): (&str, Moment)| VmVote {
            vm: vm.to_owned(),
            age_ms: now.ms_since(at),
        };
        self.quorum.vms().map(vote).collect()
    }

    fn zone_votes(&mut self, now: Moment) -> Vec<ZoneVote> {
        if !self.is_store_down(now) {
            return Vec::new();
        }
        let vote = |(zone, at): (&str, Moment)| ZoneVote {
            zone: zone.to_owned(),
            age_ms: now.ms_since(at),
        };
        self.quorum.zones().map(vote).collect()
    }

    fn apply_leaders(&mut self, leaders: &Leaders, zone: Option<&str>, requested_at: Moment) {
        if let Some(leader) = &leaders.fleet {
            self.fleet_leader.note_holder(holder(leader, requested_at));
        }
        let (Some(leader), Some(zone)) = (&leaders.zone, zone) else {
            return;
        };
        if zone == self.zone {
            self.zone_leader.note_holder(holder(leader, requested_at));
        } else {
            self.other_leaders
                .insert(zone.to_owned(), leader.name.clone());
        }
    }
}

fn leader(leader: &LeaderLease, now: Moment) -> Option<Leader> {
    let holder = leader.holder(now)?;
    Some(Leader {
        name: holder.name.clone(),
        epoch: holder.epoch,
        age_ms: now.ms_since(holder.seen_at),
    })
}

fn holder(leader: &Leader, requested_at: Moment) -> Holder {
    Holder {
        name: leader.name.clone(),
        epoch: leader.epoch,
        seen_at: requested_at.minus_ms(leader.age_ms),
    }
}
