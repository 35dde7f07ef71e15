//! Fair queueing of requests that wait for a slot, with one queue per workspace.

use std::collections::{BTreeMap, VecDeque};

use timer::Moment;

/// Limits of the queues.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of requests that wait in all queues together.
    pub max_waiting: usize,
    /// Maximum number of requests that wait in the queue of one workspace.
    pub max_per_workspace: usize,
    /// Cost units that a workspace may serve per turn.
    pub quantum: u32,
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter<T> {
    /// The request.
    pub item: T,
    /// Slot time that the request needs, in units chosen by the caller; zero counts as one.
    pub cost: u32,
    /// Latest moment at which the request may start.
    pub start_by: Moment,
}

/// Result of [`Queue::push`].
#[derive(Debug, PartialEq, Eq)]
pub enum Pushed<T> {
    /// The request was queued.
    Queued,
    /// The request was queued in the place of this request, the latest in the longest queue.
    Replaced(T),
    /// The request was refused, since a limit was reached.
    Full(T),
}

/// Waiting requests, served by deficit round robin over workspaces.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    bounds: Bounds,
    flows: BTreeMap<String, Flow<T>>,
    /// Workspaces with waiting requests, each once, in the order of their turns.
    turns: VecDeque<String>,
    len: usize,
}

#[derive(Debug, Clone)]
struct Flow<T> {
    waiting: VecDeque<Waiter<T>>,
    /// Cost units remaining in the current turn.
    deficit: u32,
}

impl<T> Queue<T> {
    /// Creates empty queues.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            flows: BTreeMap::new(),
            turns: VecDeque::new(),
            len: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request of `workspace`.
    pub fn push(&mut self, workspace: &str, waiter: Waiter<T>) -> Pushed<T> {
        let own_len = self.queue_len(workspace);
        if own_len >= self.bounds.max_per_workspace {
            return Pushed::Full(waiter.item);
        }
        let mut replaced = None;
        if self.len >= self.bounds.max_waiting {
            match self.longest() {
                Some(longest) if self.queue_len(&longest) > own_len + 1 => {
                    replaced = self.drop_latest(&longest);
                }
                _ => return Pushed::Full(waiter.item),
            }
        }
        self.append(workspace, waiter);
        replaced.map_or(Pushed::Queued, Pushed::Replaced)
    }

    /// Removes and returns the next request. Requests that are too late to start at `now` are moved
    /// to `expired`.
    pub fn pop(&mut self, now: Moment, expired: &mut Vec<T>) -> Option<T> {
        while let Some(workspace) = self.turns.front().cloned() {
            let Some(flow) = self.flows.get_mut(&workspace) else {
                self.turns.pop_front();
                continue;
            };
            let before = flow.waiting.len();
            flow.expire(now, expired);
            self.len -= before - flow.waiting.len();
            match flow.serve() {
                Served::Request(item) => {
                    self.len -= 1;
                    return Some(item);
                }
                Served::Exhausted => {
                    flow.deficit += self.bounds.quantum.max(1);
                    self.turns.rotate_left(1);
                }
                Served::Empty => {
                    self.flows.remove(&workspace);
                    self.turns.pop_front();
                }
            }
        }
        None
    }

    /// Moves all requests that are too late to start at `now` to `expired`.
    pub fn expire(&mut self, now: Moment, expired: &mut Vec<T>) {
        for flow in self.flows.values_mut() {
            let before = flow.waiting.len();
            flow.expire(now, expired);
            self.len -= before - flow.waiting.len();
        }
    }

    fn append(&mut self, workspace: &str, waiter: Waiter<T>) {
        self.len += 1;
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.waiting.push_back(waiter);
            return;
        }
        let flow = Flow {
            waiting: VecDeque::from([waiter]),
            deficit: self.bounds.quantum.max(1),
        };
        self.flows.insert(workspace.to_owned(), flow);
        self.turns.push_back(workspace.to_owned());
    }

    fn queue_len(&self, workspace: &str) -> usize {
        let flow = self.flows.get(workspace);
        flow.map_or(0, |flow| flow.waiting.len())
    }

    fn longest(&self) -> Option<String> {
        let flows = self.flows.iter();
        let longest = flows.max_by_key(|(_, flow)| flow.waiting.len());
        longest.map(|(workspace, _)| workspace.clone())
    }

    fn drop_latest(&mut self, workspace: &str) -> Option<T> {
        let dropped = self.flows.get_mut(workspace)?.waiting.pop_back()?;
        self.len -= 1;
        Some(dropped.item)
    }
}

/// Result of serving the next request of a flow.
enum Served<T> {
    Request(T),
    Exhausted,
    Empty,
}

impl<T> Flow<T> {
    fn serve(&mut self) -> Served<T> {
        let Some(next) = self.waiting.front() else {
            return Served::Empty;
        };
        let cost = next.cost.max(1);
        if cost > self.deficit {
            return Served::Exhausted;
        }
        self.deficit -= cost;
        let next = self.waiting.pop_front();
        next.map_or(Served::Empty, |next| Served::Request(next.item))
    }

    fn expire(&mut self, now: Moment, expired: &mut Vec<T>) {
        let waiting = std::mem::take(&mut self.waiting);
        let (kept, late): (VecDeque<_>, VecDeque<_>) = waiting
            .into_iter()
            .partition(|waiter| now <= waiter.start_by);
        self.waiting = kept;
        expired.extend(late.into_iter().map(|waiter| waiter.item));
    }
}
