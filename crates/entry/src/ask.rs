//! Questions to the owners of limits, and the answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::ask::{Answer, Ask, Subject};
use fleet::report::Datagram;
use steer::owner::Member;
use steer::quota::{Grant, Ownership};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::peers;
use crate::state::State;

/// Time within which an owner in another region answers.
const ASK_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which a VM that did not answer is not asked again.
const SILENCE: Duration = Duration::from_secs(1);

/// Questions to the owners of limits.
#[derive(Debug, Default)]
pub struct Asks {
    next_id: Cell<u32>,
    pending: RefCell<HashMap<u32, oneshot::Sender<Grant>>>,
    /// VMs that did not answer, and until when they are not asked.
    silent: RefCell<HashMap<u64, Instant>>,
    /// Owners and standbys of the limits; cleared by each tick.
    owners: RefCell<HashMap<Member, [Option<u64>; 2]>>,
}

/// Forgets a question when its request ends.
struct Pending<'a> {
    asks: &'a Asks,
    id: u32,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.asks.pending.borrow_mut().remove(&self.id);
    }
}

impl Asks {
    /// Passes an answer to the request that waits for it.
    pub fn note_answer(&self, answer: Answer) {
        let waiting = self.pending.borrow_mut().remove(&answer.id);
        if let Some(waiting) = waiting {
            // A request that ended meanwhile leaves its tokens unused.
            let _ = waiting.send(Grant::from(answer.outcome));
        }
    }

    /// Forgets the owners, which are computed again from the latest view.
    pub fn clear_owners(&self) {
        self.owners.borrow_mut().clear();
    }

    fn is_silent(&self, vm: u64, now: Instant) -> bool {
        let until = self.silent.borrow().get(&vm).copied();
        until.is_some_and(|until| now < until)
    }

    fn begin(&self) -> (Pending<'_>, oneshot::Receiver<Grant>) {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(id, sender);
        (Pending { asks: self, id }, receiver)
    }
}

impl State {
    /// Asks the owner of the limit on `subject` for tokens, then the VM that replaces the owner while it
    /// is silent; returns `None` if neither answers.
    pub async fn ask_owners(&self, subject: Subject, member: Member, wanted: u32) -> Option<Grant> {
        for (rank, vm) in self.owners(member).into_iter().enumerate() {
            let Some(vm) = vm.filter(|vm| !self.asks.is_silent(*vm, Instant::now())) else {
                continue;
            };
            let ask = Ask {
                id: 0,
                subject,
                wanted,
                is_standby: rank > 0,
            };
            if let Some(grant) = self.ask(vm, ask).await {
                return Some(grant);
            }
        }
        None
    }

    /// Asks `vm`; returns `None` if it does not answer.
    async fn ask(&self, vm: u64, mut ask: Ask) -> Option<Grant> {
        if vm == peers::rank(&self.settings.vm) {
            return self.grant(ask);
        }
        let addr = self.membership.borrow().peer_addr(vm)?;
        let (pending, receiver) = self.asks.begin();
        ask.id = pending.id;
        peers::send(self, addr, &Datagram::Ask(ask)).await;
        if let Ok(Ok(grant)) = timeout(ASK_TIMEOUT, receiver).await {
            return Some(grant);
        }
        let until = Instant::now() + SILENCE;
        self.asks.silent.borrow_mut().insert(vm, until);
        None
    }

    /// Answers another VM's question for tokens, as the owner of the limit.
    pub async fn answer_ask(&self, ask: Ask, from: SocketAddr) {
        let Some(grant) = self.grant(ask) else { return };
        let answer = Answer {
            id: ask.id,
            outcome: grant.into(),
        };
        peers::send(self, from, &Datagram::Answer(answer)).await;
    }

    /// Grants tokens of a limit; returns `None` for a subject that this VM does not know.
    fn grant(&self, ask: Ask) -> Option<Grant> {
        match ask.subject {
            Subject::Workspace(id) => self.grant_rate(id, ask.wanted, ask.is_standby),
            Subject::Server(limit) => Some(self.grant_server(&limit, ask.is_standby)),
        }
    }

    /// Returns whether this VM is the only one that acts as the owner of the limit on `member`.
    #[must_use]
    pub fn ownership(&self, member: Member, is_standby: bool) -> Ownership {
        let own = peers::rank(&self.settings.vm);
        let is_sole = self.views.borrow().owns(own, member, Instant::now());
        if is_sole && !is_standby {
            Ownership::Settled
        } else {
            Ownership::Contested
        }
    }

    /// Returns the owner of the limit on `member`, and the VM that replaces it while it is silent.
    fn owners(&self, member: Member) -> [Option<u64>; 2] {
        let mut owners = self.asks.owners.borrow_mut();
        let views = self.views.borrow();
        *owners
            .entry(member)
            .or_insert_with(|| views.owner_and_standby(member))
    }
}
