//! Messages between entry VMs: what a whole fleet comes to know, while VMs die and zones are cut.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::Membership;
use fleet::report::{Announcement, Member, Report, Usage};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Time between two rounds of messages.
const TICK: Duration = Duration::from_millis(300);

fn rank(name: &str) -> u64 {
    let mut hash = 14_695_981_039_346_656_037_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211);
    }
    hash ^ (hash >> 29)
}

/// Registration VMs in zones, with a network that can be cut between zones.
struct Fleet {
    boards: Vec<(String, Membership)>,
    places: HashMap<SocketAddr, usize>,
    dead: Vec<bool>,
    /// Zone that is cut off from the others.
    cut: Option<String>,
    now: Instant,
    messages: usize,
    rounds: usize,
    /// VMs that the messages of the latest round list.
    listed: usize,
    /// One of this many messages is lost.
    lose_one_of: Option<usize>,
}

impl Fleet {
    fn new(zones: usize, vms: usize) -> Self {
        let now = Instant::now();
        let mut boards = Vec::new();
        let mut places = HashMap::new();
        let mut all = Vec::new();
        for index in 0..zones * vms {
            let name = format!("vm-{index}");
            let peer: SocketAddr = format!("10.0.{}.{}:7740", index / 250, index % 250 + 1)
                .parse()
                .expect("an address");
            let announcement = Announcement {
                zone: format!("zone-{}", index / vms),
                peer,
                state: Some(peer),
                callers: Some(peer),
            };
            places.insert(peer, index);
            all.push((name.clone(), announcement.clone()));
            boards.push((name.clone(), Membership::new(&name, announcement, rank)));
        }
        for (_, board) in &mut boards {
            for (name, announcement) in &all {
                board.announce(name, announcement.clone(), now);
            }
        }
        let dead = vec![false; boards.len()];
        Self {
            boards,
            places,
            dead,
            cut: None,
            now,
            messages: 0,
            rounds: 0,
            listed: 0,
            lose_one_of: None,
        }
    }

    fn round(&mut self) {
        self.now += TICK;
        self.rounds += 1;
        let mut sent = Vec::new();
        for index in 0..self.boards.len() {
            if self.dead[index] {
                continue;
            }
            let (name, board) = &mut self.boards[index];
            board.expire(self.now);
            let own = Report {
                vms: vec![Member {
                    vm: rank(name),
                    is_ready: true,
                    revision: 1,
                }],
                usages: vec![Usage {
                    workspace: 1,
                    demand: 1.0,
                    admitted: 0.5,
                }],
                ..Report::default()
            };
            let zone = board.own_announcement().zone.clone();
            let messages = board.messages(own, self.now);
            sent.extend(
                messages
                    .into_iter()
                    .map(|(target, message)| (zone.clone(), target, message)),
            );
        }
        self.messages = sent.len();
        self.listed = sent.iter().map(|(_, _, one)| one.report.vms.len()).sum();
        for (turn, (zone, target, message)) in sent.into_iter().enumerate() {
            let is_lost = |one_of: usize| (turn + self.rounds).is_multiple_of(one_of);
            if self.lose_one_of.is_some_and(is_lost) {
                continue;
            }
            let index = self.places[&target];
            let target_zone = self.boards[index].1.own_announcement().zone.clone();
            let is_cut = self
                .cut
                .as_ref()
                .is_some_and(|cut| (zone == *cut) != (target_zone == *cut));
            if !is_cut && !self.dead[index] {
                self.boards[index].1.receive(message, self.now);
            }
        }
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    fn living(&self) -> usize {
        self.dead.iter().filter(|dead| !**dead).count()
    }

    /// Returns what each living VM knows of the fleet.
    fn pictures(&self) -> Vec<Report> {
        let living = self
            .boards
            .iter()
            .zip(&self.dead)
            .filter(|(_, dead)| !**dead);
        living
            .map(|((_, board), _)| board.fleet_report(self.now))
            .collect()
    }

    fn leads(&self, zone: usize) -> Vec<usize> {
        let zone = format!("zone-{zone}");
        let in_zone = |index: &usize| {
            !self.dead[*index] && self.boards[*index].1.own_announcement().zone == zone
        };
        let all = 0..self.boards.len();
        all.filter(in_zone)
            .filter(|index| self.boards[*index].1.is_leader(self.now))
            .collect()
    }
}

#[test]
fn everyone_knows_everyone_after_a_few_rounds() {
    let mut fleet = Fleet::new(6, 13);
    fleet.rounds(6);
    for picture in fleet.pictures() {
        assert_eq!(picture.vms.len(), 78);
        let asked = picture.usage(1).expect("the workspace is told of");
        assert!(
            (asked.demand - 78.0).abs() < 0.01,
            "demand {}",
            asked.demand
        );
    }
    for zone in 0..6 {
        assert_eq!(fleet.leads(zone).len(), 1);
    }
}

#[test]
fn messages_grow_with_the_vms_and_not_with_their_square() {
    let mut small = Fleet::new(6, 5);
    let mut large = Fleet::new(6, 20);
    small.rounds(8);
    large.rounds(8);
    assert!(
        large.messages <= small.messages * 5,
        "{} and {}",
        small.messages,
        large.messages
    );
}

#[test]
fn a_list_of_vms_that_stays_is_told_now_and_then_only() {
    let mut fleet = Fleet::new(6, 13);
    fleet.rounds(12);
    let mut listed = Vec::new();
    for _ in 0..8 {
        fleet.round();
        listed.push(fleet.listed);
    }
    let least = listed.iter().min().expect("rounds");
    let most = listed.iter().max().expect("rounds");
    assert!(least * 10 < *most, "{listed:?}");
    assert!(listed.iter().sum::<usize>() < most * 3, "{listed:?}");
}

#[test]
fn lost_messages_are_made_good() {
    let mut fleet = Fleet::new(4, 6);
    fleet.lose_one_of = Some(5);
    fleet.rounds(16);
    for _ in 0..20 {
        fleet.round();
        for picture in fleet.pictures() {
            assert_eq!(picture.vms.len(), 24);
        }
    }
}

#[test]
fn a_lead_that_dies_is_replaced_and_forgotten() {
    let mut fleet = Fleet::new(3, 5);
    fleet.rounds(6);
    let lead = fleet.leads(1)[0];
    fleet.dead[lead] = true;
    fleet.rounds(20);
    assert_eq!(fleet.leads(1).len(), 1);
    let dead = rank(&fleet.boards[lead].0);
    for picture in fleet.pictures() {
        assert!(
            picture.vms.iter().all(|seen| seen.vm != dead),
            "a dead VM is still named"
        );
        assert_eq!(picture.vms.len(), 14);
    }
}

#[test]
fn a_zone_that_is_cut_off_knows_itself_and_comes_back() {
    let mut fleet = Fleet::new(3, 4);
    fleet.rounds(6);
    fleet.cut = Some("zone-0".to_owned());
    fleet.rounds(12);
    let sizes: Vec<usize> = fleet
        .pictures()
        .iter()
        .map(|picture| picture.vms.len())
        .collect();
    assert_eq!(sizes, [4, 4, 4, 4, 8, 8, 8, 8, 8, 8, 8, 8]);
    fleet.cut = None;
    fleet.rounds(12);
    assert!(
        fleet
            .pictures()
            .iter()
            .all(|picture| picture.vms.len() == 12)
    );
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(23), ..Config::with_cases(200) })]

    /// Whichever VMs die, after some seconds the living know exactly the living.
    #[test]
    fn the_living_know_the_living(deaths in prop::collection::vec(any::<bool>(), 15)) {
        let mut fleet = Fleet::new(3, 5);
        fleet.rounds(6);
        fleet.dead.clone_from(&deaths);
        fleet.rounds(20);
        let living = fleet.living();
        for picture in fleet.pictures() {
            prop_assert_eq!(picture.vms.len(), living);
        }
    }
}
