//! Tests of the dissemination tree.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::tree::{FANOUT, Tree};

/// Maximum depth of the tree of a full zone.
const MAX_DEPTH: usize = 2;

/// Number of VMs of a zone at the design size.
const FULL_ZONE: usize = 34;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(61),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_vm_reaches_leader_within_max_depth(
        count in 1usize..=FULL_ZONE,
        leader in 0usize..FULL_ZONE,
    ) {
        let names: Vec<String> = (0..count).map(|vm| format!("vm{vm}")).collect();
        let leader = names.get(leader).map(String::as_str);
        let tree = |own: usize| {
            Tree::new("z", names.iter().map(String::as_str), leader, &names[own])
        };
        let trees: Vec<Tree> = (0..count).map(tree).collect();
        let mut watchers = 0;
        for (own, tree) in trees.iter().enumerate() {
            watchers += usize::from(tree.is_watcher());
            prop_assert!(tree.children().len() <= FANOUT);
            let mut depth = 0;
            let mut at = own;
            while let Some(parent) = trees[at].parent() {
                let parent_index = names.iter().position(|name| name == parent).expect("parent is a VM of the zone");
                prop_assert!(trees[parent_index].children().contains(&names[at].as_str()));
                at = parent_index;
                depth += 1;
            }
            prop_assert!(depth <= MAX_DEPTH);
            prop_assert!(trees[at].is_root());
            prop_assert!(leader.is_none_or(|leader| leader == names[at]));
        }
        prop_assert_eq!(watchers, count.min(2));
    }
}
