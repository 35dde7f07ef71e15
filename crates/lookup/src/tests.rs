//! Tests that compare the table with a linear search.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::{Block, Change, InvalidBlock, Shared, Site, Table};

/// Generates addresses from a small range, so that blocks nest and adjoin.
fn v4() -> impl Strategy<Value = Ipv4Addr> {
    (0..3_u8, 0..3_u8, any::<u8>(), any::<u8>()).prop_map(|(a, b, c, d)| Ipv4Addr::new(a, b, c, d))
}

fn v6() -> impl Strategy<Value = Ipv6Addr> {
    (0..2_u16, 0..3_u16, any::<u16>(), any::<u16>())
        .prop_map(|(a, b, c, d)| Ipv6Addr::new(0x2001, a, b << 8, c, d, 0, 0, 1))
}

fn net() -> impl Strategy<Value = IpNet> {
    let v4 = (v4(), 6..=32_u8).prop_map(|(addr, bits)| {
        IpNet::from(Ipv4Net::new(addr, bits).expect("the length is valid")).trunc()
    });
    let v6 = (v6(), 20..=48_u8).prop_map(|(addr, bits)| {
        IpNet::from(Ipv6Net::new(addr, bits).expect("the length is valid")).trunc()
    });
    prop_oneof![v4, v6]
}

fn addr() -> impl Strategy<Value = IpAddr> {
    prop_oneof![v4().prop_map(IpAddr::from), v6().prop_map(IpAddr::from)]
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = (net(), proptest::option::weighted(0.8, 0..370_u16));
    let change = change.prop_map(|(net, site)| Change {
        net,
        site: site.map(Site),
    });
    proptest::collection::vec(change, 0..40)
}

/// Finds the block with the longest matching prefix by a linear search.
fn search(blocks: &HashMap<IpNet, Site>, addr: IpAddr) -> Option<Site> {
    let containing = blocks.iter().filter(|(net, _)| net.contains(&addr));
    containing
        .max_by_key(|(net, _)| net.prefix_len())
        .map(|(_, site)| *site)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn table_matches_linear_search(
        first in changes(),
        second in changes(),
        addrs in proptest::collection::vec(addr(), 30),
    ) {
        let mut blocks = HashMap::new();
        let mut table = Table::new([]).expect("all prefixes are short enough");
        for batch in [first, second] {
            // Each block occurs once per batch; the last change takes precedence.
            let batch: HashMap<IpNet, Option<Site>> =
                batch.iter().map(|change| (change.net, change.site)).collect();
            for (net, site) in &batch {
                match site {
                    Some(site) => { blocks.insert(*net, *site); }
                    None => { blocks.remove(net); }
                }
            }
            let batch: Vec<Change> =
                batch.into_iter().map(|(net, site)| Change { net, site }).collect();
            table = table.changed(&batch).expect("all prefixes are short enough");
            prop_assert_eq!(table.len(), blocks.len());
            for addr in &addrs {
                prop_assert_eq!(table.site(*addr), search(&blocks, *addr));
            }
        }
        let rebuilt = blocks.iter().map(|(net, site)| Block { net: *net, site: *site });
        let rebuilt = Table::new(rebuilt).expect("all prefixes are short enough");
        for addr in addrs {
            prop_assert_eq!(rebuilt.site(addr), table.site(addr));
        }
    }
}

#[test]
fn rejected_block_leaves_table_unchanged() {
    let shared = Shared::new(Table::new([]).unwrap());
    let too_long: IpNet = "2001:db8::/56".parse().unwrap();
    let valid_change = Change {
        net: "10.0.0.0/24".parse().unwrap(),
        site: Some(Site(1)),
    };
    let invalid_change = Change {
        net: too_long,
        site: Some(Site(2)),
    };
    assert_eq!(
        shared.change(&[valid_change, invalid_change]),
        Err(InvalidBlock(too_long))
    );
    assert_eq!(shared.site("10.0.0.1".parse().unwrap()), None);
}

#[test]
fn readers_never_see_older_version_after_newer_one() {
    let nets: Vec<IpNet> = (0..200_u8)
        .map(|index| format!("10.{index}.0.0/24").parse().unwrap())
        .collect();
    let changes_to = |site: u16| -> Vec<Change> {
        let set = |net: &IpNet| Change {
            net: *net,
            site: Some(Site(site)),
        };
        nets.iter().map(set).collect()
    };
    let shared = Shared::new(Table::new([]).unwrap());
    shared.change(&changes_to(0)).unwrap();
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                let mut newest = 0;
                while newest < 50 {
                    let first = shared.site(nets[0].network()).unwrap();
                    let last = shared.site(nets[199].network()).unwrap();
                    assert!(
                        first.0 >= newest,
                        "a reader must not see an older version than before"
                    );
                    assert!(
                        last >= first,
                        "a later lookup must not see an older version"
                    );
                    newest = first.0;
                }
            });
        }
        scope.spawn(|| {
            for version in 1..=50 {
                shared.change(&changes_to(version)).unwrap();
            }
        });
    });
}
