//! What a control daemon asks others, answers and learns from answers.

use timer::Moment;
use wire::sync::{Digests, Leader, Leaders, Request, Response, Timestamp, VmVote, ZoneVote};
use wire::update::Update;

use crate::lead::{Holder, Lead};
use crate::quorum;
use crate::state::{Change, State};

/// What an answer brought.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// What changed.
    pub change: Change,
    /// Whether the answerer has parts that this daemon lacks, or the other way round.
    pub differs: bool,
}

impl State {
    /// Returns the question to put to the VM `to`.
    pub fn ask(&mut self, to: &str, detailed: bool, now: Moment) -> Request {
        let detail = detailed.then(|| Digests {
            keys: self.ring.shards().to_vec(),
            roster: self.roster.digests().to_vec(),
        });
        Request {
            from: self.vm.clone(),
            zone: self.zone.clone(),
            versions: self.have(),
            full_text: self.revisions.wants_whole(),
            rejected: self.rejected(),
            roster: self.roster.edition(),
            digests: detail,
            echo: self.stamps.get(to).copied(),
            votes: self.vm_votes(to, now),
            rumors: self.member.take_rumors(),
            crashes: self.crashes.news(now),
        }
    }

    /// Answers another control daemon.
    pub fn answer(&mut self, ask: &Request, now: Moment) -> Response {
        for rumor in &ask.rumors {
            self.member.handle_rumor(rumor);
        }
        self.count_votes(ask, now);
        self.hurry |= self.crashes.learn(&ask.crashes, now, now);
        let detail = ask.digests.as_ref();
        let newer = self.roster.edition().index > ask.roster.index;
        let shards = detail.filter(|_| newer);
        Response {
            from: self.vm.clone(),
            versions: self.have(),
            roster: self.roster.edition(),
            config: self.update_for(ask),
            keys: detail.map(|detail| self.ring.differing(&detail.keys)),
            key_shards: detail.map_or_else(Vec::new, |_| self.ring.shards().to_vec()),
            shards: shards.map_or_else(Vec::new, |detail| self.roster.differing(&detail.roster)),
            keys_age_ms: self.fresh_age_ms(now),
            timestamp: self.is_store_down(now).then_some(Timestamp {
                incarnation: self.vm.incarnation,
                ms: now.0,
            }),
            store_down: self.is_store_down(now),
            leaders: Leaders {
                zone: beat(&self.zone_lead, now),
                fleet: beat(&self.fleet_lead, now),
            },
            votes: self.zone_votes(now),
            rumors: self.member.take_rumors(),
            crashes: self.crashes.news(now),
        }
    }

    /// Takes the answer of a VM in `zone` to a question that was put at `asked`.
    pub fn learn_answer(
        &mut self,
        answer: &Response,
        zone: Option<&str>,
        asked: Moment,
        now: Moment,
    ) -> Outcome {
        self.synced_at = self.synced_at.max(Some(asked));
        self.hurry |= self.crashes.learn(&answer.crashes, asked, now);
        for rumor in &answer.rumors {
            self.member.handle_rumor(rumor);
        }
        self.learn_leads(&answer.leaders, zone, asked);
        let from = &answer.from.name;
        match answer.timestamp {
            Some(stamp) => self.stamps.insert(from.clone(), stamp),
            None => self.stamps.remove(from),
        };
        self.failed.remove(from);
        let update = answer.config.as_ref();
        let mut change = update.map_or_else(Change::default, |update| self.learn_update(update));
        let included = answer.keys.is_some() || answer.versions.keys == self.ring.digest();
        change.keys = answer
            .keys
            .as_ref()
            .is_some_and(|keys| self.learn_keys(keys));
        self.learn_roster(answer, now);
        if included {
            self.learn_proofs(answer, zone, asked, now);
        }
        Outcome {
            change,
            differs: answer.versions.keys != self.ring.digest()
                || self.roster.is_behind(answer.roster),
        }
    }

    /// Returns the text for an asker that lacks it and has not found that it cannot read it.
    fn update_for(&mut self, ask: &Request) -> Option<Update> {
        if self.revision() == ask.rejected {
            return None;
        }
        self.revisions
            .update_for(ask.versions.revision, ask.full_text)
    }

    fn learn_update(&mut self, update: &Update) -> Change {
        let restored = self.revisions.restore(update);
        restored.map_or_else(Change::default, |config| self.learn_config(&config))
    }

    /// Returns whether this daemon's zone holds the platform to be down: a watcher by its own
    /// calls, another VM by what it was told.
    #[must_use]
    pub fn is_store_down(&self, now: Moment) -> bool {
        if self.is_watching(now) {
            self.store_is_silent(now)
        } else {
            self.told_down
        }
    }

    fn learn_roster(&mut self, answer: &Response, now: Moment) {
        let before = self.roster.clone();
        let same = answer.roster.digest == before.edition().digest;
        let patched =
            (same || !answer.shards.is_empty()) && self.roster.patch(answer.roster, &answer.shards);
        if patched {
            self.note_roster(&before, now);
        }
    }

    /// Takes proofs of freshness, which hold for this daemon as its records include the
    /// answerer's.
    fn learn_proofs(&mut self, answer: &Response, zone: Option<&str>, asked: Moment, now: Moment) {
        if let Some(age_ms) = answer.keys_age_ms {
            self.prove_fresh(asked.minus_ms(age_ms));
        }
        if zone == Some(self.zone.as_str()) {
            self.told_down = answer.store_down;
        }
        self.quorum.refresh(self.roster.edition(), now);
        if answer.store_down && answer.roster == self.roster.edition() {
            for vote in &answer.votes {
                self.quorum
                    .see_zone(&vote.zone, asked.minus_ms(vote.age_ms));
            }
        }
        self.conclude(now);
    }

    /// Counts the VMs whose records are part of this daemon's, as the asker's are.
    fn count_votes(&mut self, ask: &Request, now: Moment) {
        self.quorum.refresh(self.roster.edition(), now);
        let included =
            ask.versions.keys == self.ring.digest() && ask.roster == self.roster.edition();
        let own = |echo: &Timestamp| echo.incarnation == self.vm.incarnation;
        let echo = ask.echo.filter(own);
        if let Some(echo) = echo.filter(|_| included && ask.zone == self.zone) {
            for vote in &ask.votes {
                let at = Moment(echo.ms).minus_ms(vote.age_ms);
                self.quorum.see_vm(&vote.vm, at);
            }
        }
        self.conclude(now);
    }

    /// Draws the conclusions of [`quorum`] while the platform is down.
    pub(crate) fn conclude(&mut self, now: Moment) {
        if !self.is_store_down(now) {
            return;
        }
        self.quorum.refresh(self.roster.edition(), now);
        if quorum::may_vote(self.started, self.fresh_at()) {
            let own = self.vm.name.clone();
            self.quorum.see_vm(&own, now);
        }
        if let Some(at) = self.quorum.majority_of_vms(&self.zone, self.listed()) {
            let zone = self.zone.clone();
            self.quorum.see_zone(&zone, at);
        }
        if let Some(at) = self.quorum.proof(self.listed()) {
            self.prove_fresh(at);
        }
    }

    fn vm_votes(&mut self, to: &str, now: Moment) -> Vec<VmVote> {
        let inside = self
            .roster
            .entry(to)
            .is_some_and(|entry| entry.zone == self.zone);
        if !inside || !self.is_store_down(now) {
            return Vec::new();
        }
        self.conclude(now);
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

    fn learn_leads(&mut self, leads: &Leaders, zone: Option<&str>, asked: Moment) {
        if let Some(beat) = &leads.fleet {
            self.fleet_lead.hear(holder(beat, asked));
        }
        let (Some(beat), Some(zone)) = (&leads.zone, zone) else {
            return;
        };
        if zone == self.zone {
            self.zone_lead.hear(holder(beat, asked));
        } else {
            self.other_leads.insert(zone.to_owned(), beat.name.clone());
        }
    }
}

fn beat(lead: &Lead, now: Moment) -> Option<Leader> {
    let holder = lead.holder(now)?;
    Some(Leader {
        name: holder.name.clone(),
        epoch: holder.epoch,
        age_ms: now.ms_since(holder.seen_at),
    })
}

fn holder(beat: &Leader, asked: Moment) -> Holder {
    Holder {
        name: beat.name.clone(),
        epoch: beat.epoch,
        seen_at: asked.minus_ms(beat.age_ms),
    }
}
