//! Which versions of large values a VM names to those that follow it.

use std::time::Instant;

use bytes::Bytes;
use fleet::parts::{Deferred, LARGE_BYTES, Manifest};
use fleet::{Config, Item, Version};

use super::{defer, snapshot};
use crate::bulk::apply_item;
use crate::fixture::{run_local, state};
use crate::state::{Reading, State};
use crate::store::Record;

const KEY: &str = "config";

fn value(version: u8) -> Bytes {
    Bytes::from(vec![version; LARGE_BYTES])
}

/// Returns the revisions of the large values that `state` names to a VM which knows the changes up to `after`.
fn named(state: &State, after: u64) -> Vec<u64> {
    let mut snapshot = snapshot(state, None, after, Instant::now());
    let deferred = defer(state, &mut snapshot, None, after);
    assert!(snapshot.items.is_empty());
    deferred.iter().map(|deferred| deferred.revision).collect()
}

/// Guards against followers that never hear of a later version, as an earlier one was on its way again.
#[test]
fn earlier_version_is_named_in_place_of_the_later_one() {
    run_local(async {
        let state = state();
        let record = Record {
            key: KEY.to_owned(),
            value: Some(value(2)),
            revision: 20,
        };
        let config = Config {
            version: Version(2),
            ..Config::default()
        };
        apply_item(&state, record, Item::Config(Box::new(config)), 0);
        let reading = Reading {
            sent_at: None,
            answered_at: Instant::now(),
        };
        state.set_revision(20, reading);
        state.offer_whole(KEY.to_owned(), &value(1), 10);
        assert_eq!(named(&state, 0), [20]);
        assert_eq!(named(&state, 15), [20]);
        assert!(named(&state, 20).is_empty());
        let later = Deferred {
            key: KEY.to_owned(),
            revision: 30,
            manifest: Manifest::of(&value(3)),
        };
        state.bulk.values.borrow_mut().forget(KEY);
        state.bulk.values.borrow_mut().offer(later);
        assert_eq!(named(&state, 15), [30]);
    });
}
