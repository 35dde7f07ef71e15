//! Reserve of the fleet's leader, from which it serves single requests of gates whose share is used
//! up.

use std::collections::BTreeMap;

use limit::{Allowance, Bucket, Share};
use timer::Moment;

#[cfg(test)]
mod tests;

/// Buckets of one leader in one term. A new leader starts with empty buckets, so that the requests
/// given by the old and the new leader together stay within the same share.
#[derive(Debug, Default)]
pub struct Reserve {
    epoch: u64,
    buckets: BTreeMap<String, Bucket>,
}

impl Reserve {
    /// Takes one request of `workspace`, whose reserve is `parts` of `allowance`, at `now`, a moment
    /// at which this daemon was the leader in term `epoch`. Returns whether the reserve had one.
    pub fn take(
        &mut self,
        epoch: u64,
        workspace: &str,
        allowance: Allowance,
        parts: u64,
        now: Moment,
    ) -> bool {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.buckets.clear();
        }
        let share = Share::new(parts);
        let new = || Bucket::new(allowance, share, now);
        let bucket = self.buckets.entry(workspace.to_owned()).or_insert_with(new);
        bucket.set(allowance, share, now);
        epoch == self.epoch && bucket.take(now).is_ok()
    }

    /// Drops the buckets of workspaces that are not in `allowances`.
    pub fn retain(&mut self, allowances: &BTreeMap<String, Allowance>) {
        self.buckets.retain(|name, _| allowances.contains_key(name));
    }
}
