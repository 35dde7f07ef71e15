//! Rumors about the state of VMs, and the order in which they replace each other.

use wire::sync::Rumor;
use wire::view::MemberState;

/// Returns whether `new` replaces `old`; both must be about the same VM.
///
/// A rumor about a later incarnation replaces one about an earlier incarnation. Within an
/// incarnation, the state `Leaving` is final; otherwise the higher refutation number takes
/// precedence, and at equal refutation numbers `Suspect` replaces `Live`.
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

/// A rumor that is still to be sent.
#[derive(Debug, Clone)]
pub struct Pending {
    /// The rumor.
    pub rumor: Rumor,
    /// Number of times that the rumor has been sent.
    pub sent: u32,
}

/// Rumors that are still to be sent, at most one per VM.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    pending: Vec<Pending>,
}

impl Queue {
    /// Adds a rumor and removes an older rumor about the same VM.
    pub fn push(&mut self, rumor: Rumor) {
        self.pending
            .retain(|known| known.rumor.vm.name != rumor.vm.name);
        self.pending.push(Pending { rumor, sent: 0 });
    }

    /// Returns up to `max` rumors to send, those sent least often first, and removes rumors that have
    /// been sent `limit` times.
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

    /// Returns whether there is a rumor that has not been sent yet.
    #[must_use]
    pub fn has_unsent_rumors(&self) -> bool {
        self.pending.iter().any(|pending| pending.sent == 0)
    }
}
