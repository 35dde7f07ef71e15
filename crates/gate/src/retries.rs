//! Retry budgets by service and workspace.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use retry::{Attempt, Budget, Decision};
use timer::Moment;

use crate::admit::Admitted;

/// Budgets of one service by workspace; open routes use an empty name.
type ByWorkspace = HashMap<String, Budget>;

/// Retry budgets, one for each service and workspace.
#[derive(Debug, Default)]
pub struct Retries {
    budgets: Mutex<HashMap<String, ByWorkspace>>,
}

impl Retries {
    /// Records that a backend server responded to a request.
    pub fn note_success(&self, admitted: &Admitted, now: Moment) {
        budget(&mut self.lock(), admitted).note_success(now);
    }

    /// Decides whether a failed attempt is retried.
    #[must_use]
    pub fn decide(&self, admitted: &Admitted, attempt: &Attempt, now: Moment) -> Decision {
        let mut budgets = self.lock();
        let budget = budget(&mut budgets, admitted);
        retry::decide(attempt, budget, now, &mut rand::rng())
    }

    /// Removes the budgets of services for which `is_served` returns false.
    pub fn retain(&self, is_served: impl Fn(&str) -> bool) {
        self.lock().retain(|service, _| is_served(service));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, ByWorkspace>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn budget<'b>(
    budgets: &'b mut HashMap<String, ByWorkspace>,
    admitted: &Admitted,
) -> &'b mut Budget {
    let service = admitted.route.service.name.as_str();
    let workspace = admitted.workspace().unwrap_or_default();
    let of_service = entry(budgets, service);
    entry(of_service, workspace)
}

/// Returns the value for `key`, inserting a default if absent. The key is copied only then.
fn entry<'m, V: Default>(map: &'m mut HashMap<String, V>, key: &str) -> &'m mut V {
    if !map.contains_key(key) {
        map.insert(key.to_owned(), V::default());
    }
    map.get_mut(key)
        .expect("the key was inserted if it was absent")
}
