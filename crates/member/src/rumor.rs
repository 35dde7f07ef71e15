//! Changes of standing, and which of two is newer.

use wire::sync::Rumor;
use wire::view::MemberState;

/// Returns whether `new` replaces `old`; both speak of the same VM.
///
/// A later run replaces an earlier one. Within a run, leaving is final; otherwise the higher
/// refutation counts, and at equal refutations a suspicion replaces a sign of life.
#[must_use]
pub fn replaces(new: &Rumor, old: &Rumor) -> bool {
    if new.vm.incarnation != old.vm.incarnation {
        return new.vm.incarnation > old.vm.incarnation;
    }
    rank(new) > rank(old)
}

fn rank(rumor: &Rumor) -> (bool, u64, bool) {
    let leaving = rumor.state == MemberState::Leaving;
    let suspect = rumor.state == MemberState::Suspect;
    (leaving, rumor.refutation, suspect)
}

/// A rumor that is still being spread.
#[derive(Debug, Clone)]
pub struct Pending {
    /// What is spread.
    pub rumor: Rumor,
    /// How often it has been sent.
    pub sent: u32,
}

/// Rumors that are still being spread, at most one for each VM.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    pending: Vec<Pending>,
}

impl Queue {
    /// Adds a rumor in place of an older one on the same VM.
    pub fn push(&mut self, rumor: Rumor) {
        self.pending
            .retain(|known| known.rumor.vm.name != rumor.vm.name);
        self.pending.push(Pending { rumor, sent: 0 });
    }

    /// Takes up to `max` rumors to send, least sent first, and drops those sent `limit` times.
    pub fn take(&mut self, max: usize, limit: u32) -> Vec<Rumor> {
        self.pending.sort_by_key(|pending| pending.sent);
        let batch = self.pending.iter_mut().take(max).map(|pending| {
            pending.sent += 1;
            pending.rumor.clone()
        });
        let batch = batch.collect();
        self.pending.retain(|pending| pending.sent < limit);
        batch
    }

    /// Returns whether a rumor waits that was not sent yet.
    #[must_use]
    pub fn has_unsent_rumors(&self) -> bool {
        self.pending.iter().any(|pending| pending.sent == 0)
    }
}
