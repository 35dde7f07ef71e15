//! Shares of the workspaces in the requests that this entry VM sends to a service.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Workspace;
use crate::to_f64;

/// Time over which requests are counted, and for which a service counts as short after a refusal.
const WINDOW: Duration = Duration::from_secs(1);

/// Multiple of its share that a workspace may get while the service is short.
const MAX_SHARE: f64 = 2.0;

/// Number of requests in the window from which a workspace may be over its share. Fewer may arrive together
/// by chance.
const MIN_OVER_SHARE: usize = 5;

/// Maximum number of requests that are counted. Beyond it the window is shorter, which leaves the ratios
/// of the workspaces as they are.
const MAX_REQUESTS: usize = 4_096;

/// A request that was decided on.
#[derive(Debug, Clone, Copy)]
struct Decided {
    at: Instant,
    workspace: u64,
    is_sent: bool,
}

/// Requests of one workspace within the window.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    decided: usize,
    sent: usize,
    weight: f64,
}

/// Requests of the latest second by workspace.
#[derive(Debug, Clone, Default)]
pub struct Shares {
    requests: VecDeque<Decided>,
    counts: HashMap<u64, Count>,
    sent: usize,
    short_at: Option<Instant>,
}

impl Shares {
    /// Records that a request of `workspace` is sent to a server.
    pub fn note_sent(&mut self, workspace: Workspace, now: Instant) {
        self.note(workspace, true, now);
    }

    /// Records that a request of `workspace` is refused.
    pub fn note_refused(&mut self, workspace: Workspace, now: Instant) {
        self.note(workspace, false, now);
    }

    /// Records that a request was refused for lack of room. A refusal because of the workspace's share does
    /// not count: it leaves room, and would otherwise prolong itself.
    pub fn note_short(&mut self, now: Instant) {
        self.short_at = Some(now);
    }

    /// Returns whether the service is short and `workspace` got more than twice its share of the requests that
    /// were sent. The shares of the workspaces that asked follow their weights.
    pub fn is_over(&mut self, workspace: Workspace, now: Instant) -> bool {
        let is_short = self
            .short_at
            .is_some_and(|at| now.duration_since(at) < WINDOW);
        if !is_short {
            return false;
        }
        self.expire(now);
        let Some(count) = self.counts.get(&workspace.name) else {
            return false;
        };
        let share = to_f64(self.sent) * self.share_of(workspace.weight);
        count.sent >= MIN_OVER_SHARE && to_f64(count.sent) > MAX_SHARE * share
    }

    /// Returns the part of the requests that a workspace of the given weight may send. Those without a weight
    /// count as the mean of the others.
    fn share_of(&self, weight: f64) -> f64 {
        let weights = self.counts.values().map(|count| count.weight);
        let weighted = weights.clone().filter(|weight| *weight > 0.0).count();
        let sum: f64 = weights.sum();
        let mean = if weighted > 0 {
            sum / to_f64(weighted)
        } else {
            1.0
        };
        let all = mean * to_f64(self.counts.len().max(1));
        let own = if weight > 0.0 { weight } else { mean };
        own / all
    }

    fn note(&mut self, workspace: Workspace, is_sent: bool, now: Instant) {
        self.expire(now);
        if self.requests.len() >= MAX_REQUESTS {
            self.remove_first();
        }
        self.requests.push_back(Decided {
            at: now,
            workspace: workspace.name,
            is_sent,
        });
        let count = self.counts.entry(workspace.name).or_default();
        count.weight = workspace.weight;
        count.decided += 1;
        count.sent += usize::from(is_sent);
        self.sent += usize::from(is_sent);
    }

    fn expire(&mut self, now: Instant) {
        while let Some(first) = self.requests.front()
            && now.duration_since(first.at) >= WINDOW
        {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        let Some(first) = self.requests.pop_front() else {
            return;
        };
        self.sent -= usize::from(first.is_sent);
        if let Some(count) = self.counts.get_mut(&first.workspace) {
            count.decided -= 1;
            count.sent -= usize::from(first.is_sent);
            if count.decided == 0 {
                self.counts.remove(&first.workspace);
            }
        }
    }
}
