//! Requests that wait for a slot, in one queue per workspace.

use std::collections::{BTreeMap, VecDeque};

use timer::Moment;

/// Bounds of the queues.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Most requests that wait in all queues together.
    pub max_waiting: usize,
    /// Most requests that wait for one workspace.
    pub max_per_workspace: usize,
    /// Cost units that a workspace may spend per turn.
    pub quantum: u32,
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter<T> {
    /// The request.
    pub item: T,
    /// Slot time that it needs, in units of its caller's choice; at least one.
    pub cost: u32,
    /// Latest moment at which starting it still helps.
    pub start_by: Moment,
}

/// What became of a request that was to wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Pushed<T> {
    /// It waits.
    Queued,
    /// It waits, and this request of the workspace with the longest queue was dropped for it.
    Replaced(T),
    /// It is refused.
    Full(T),
}

/// Waiting requests, served by deficit round robin over workspaces.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    bounds: Bounds,
    lanes: BTreeMap<String, Lane<T>>,
    /// Workspaces with waiting requests, each once, next turn first.
    turns: VecDeque<String>,
    len: usize,
}

#[derive(Debug, Clone)]
struct Lane<T> {
    waiting: VecDeque<Waiter<T>>,
    /// Cost units left of the present turn.
    deficit: u32,
}

impl<T> Queue<T> {
    /// Creates empty queues.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            lanes: BTreeMap::new(),
            turns: VecDeque::new(),
            len: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Lets a request of `workspace` wait.
    pub fn push(&mut self, workspace: &str, waiting: Waiter<T>) -> Pushed<T> {
        let own = self.waiting(workspace);
        if own >= self.bounds.max_per_workspace {
            return Pushed::Full(waiting.item);
        }
        let mut replaced = None;
        if self.len >= self.bounds.max_waiting {
            match self.longest() {
                Some(longest) if self.waiting(&longest) > own + 1 => {
                    replaced = self.drop_latest(&longest);
                }
                _ => return Pushed::Full(waiting.item),
            }
        }
        self.append(workspace, waiting);
        replaced.map_or(Pushed::Queued, Pushed::Replaced)
    }

    /// Takes the next request; those that are too late to start at `now` go into `expired`.
    pub fn pop(&mut self, now: Moment, expired: &mut Vec<T>) -> Option<T> {
        while let Some(workspace) = self.turns.front().cloned() {
            let Some(lane) = self.lanes.get_mut(&workspace) else {
                self.turns.pop_front();
                continue;
            };
            let before = lane.waiting.len();
            lane.expire(now, expired);
            self.len -= before - lane.waiting.len();
            match lane.spend() {
                Spent::Request(item) => {
                    self.len -= 1;
                    return Some(item);
                }
                Spent::Nothing => {
                    lane.deficit += self.bounds.quantum.max(1);
                    self.turns.rotate_left(1);
                }
                Spent::Empty => {
                    self.lanes.remove(&workspace);
                    self.turns.pop_front();
                }
            }
        }
        None
    }

    /// Takes out every request that is too late to start at `now`.
    pub fn expire(&mut self, now: Moment, expired: &mut Vec<T>) {
        for lane in self.lanes.values_mut() {
            let before = lane.waiting.len();
            lane.expire(now, expired);
            self.len -= before - lane.waiting.len();
        }
    }

    fn append(&mut self, workspace: &str, waiting: Waiter<T>) {
        self.len += 1;
        if let Some(lane) = self.lanes.get_mut(workspace) {
            lane.waiting.push_back(waiting);
            return;
        }
        let lane = Lane {
            waiting: VecDeque::from([waiting]),
            deficit: self.bounds.quantum.max(1),
        };
        self.lanes.insert(workspace.to_owned(), lane);
        self.turns.push_back(workspace.to_owned());
    }

    fn waiting(&self, workspace: &str) -> usize {
        let lane = self.lanes.get(workspace);
        lane.map_or(0, |lane| lane.waiting.len())
    }

    fn longest(&self) -> Option<String> {
        let lanes = self.lanes.iter();
        let longest = lanes.max_by_key(|(_, lane)| lane.waiting.len());
        longest.map(|(workspace, _)| workspace.clone())
    }

    fn drop_latest(&mut self, workspace: &str) -> Option<T> {
        let dropped = self.lanes.get_mut(workspace)?.waiting.pop_back()?;
        self.len -= 1;
        Some(dropped.item)
    }
}

enum Spent<T> {
    Request(T),
    Nothing,
    Empty,
}

impl<T> Lane<T> {
    fn spend(&mut self) -> Spent<T> {
        let Some(next) = self.waiting.front() else {
            return Spent::Empty;
        };
        let cost = next.cost.max(1);
        if cost > self.deficit {
            return Spent::Nothing;
        }
        self.deficit -= cost;
        let next = self.waiting.pop_front();
        next.map_or(Spent::Empty, |next| Spent::Request(next.item))
    }

    fn expire(&mut self, now: Moment, expired: &mut Vec<T>) {
        let waiting = std::mem::take(&mut self.waiting);
        let (kept, dropped): (VecDeque<_>, VecDeque<_>) =
            waiting.into_iter().partition(|next| now <= next.start_by);
        self.waiting = kept;
        expired.extend(dropped.into_iter().map(|waiting| waiting.item));
    }
}
