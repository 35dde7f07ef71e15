//! Bytes of the datagrams between entry VMs. VMs of an older version run beside newer ones.

use fleet::ask::{Answer, Ask, Outcome, Subject};
use fleet::pressure::{ENTRY_BYTES, Entry, HEADER_BYTES, LoadReport};
use fleet::reach;
use fleet::report::{
    Announced, Announcement, Datagram, Introduction, Member, Message, Report, Scope,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde::{Deserialize, Serialize};

/// The datagrams of fc0d0b2, which has no load reports.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Earlier {
    Report(Message),
    Ask(Ask),
    Answer(Answer),
    Hello(Announced),
    Introduction(Introduction),
}

fn announced() -> Announced {
    Announced {
        vm: "v".to_owned(),
        announcement: Announcement {
            zone: "a".to_owned(),
            peer: "10.0.0.1:7740".parse().expect("valid address"),
            state: None,
            callers: None,
            capacity: 3,
        },
    }
}

fn message() -> Message {
    Message {
        vm: "v".to_owned(),
        announcement: announced().announcement,
        scope: Scope::Zone,
        report: Report {
            vms: vec![Member {
                vm: 5,
                is_ready: true,
                revision: 9,
            }],
            ..Report::default()
        },
        lists: Vec::new(),
    }
}

fn ask() -> Ask {
    Ask {
        id: 1,
        subject: Subject::Workspace(300),
        wanted: 2,
        is_standby: false,
    }
}

fn answer() -> Answer {
    Answer {
        id: 1,
        outcome: Outcome::Tokens(2),
    }
}

fn introduction() -> Introduction {
    Introduction {
        is_settled: true,
        vms: vec![announced()],
    }
}

fn load_report(entries: Vec<Entry>) -> Datagram {
    Datagram::Load(LoadReport {
        scope: Scope::Fleet,
        entries,
    })
}

fn bytes(datagram: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(datagram).expect("datagram can be encoded")
}

/// Guards against a new kind that changes the bytes of earlier ones.
#[test]
fn earlier_datagrams_keep_their_bytes() {
    let earlier = [
        Earlier::Report(message()),
        Earlier::Ask(ask()),
        Earlier::Answer(answer()),
        Earlier::Hello(announced()),
        Earlier::Introduction(introduction()),
    ];
    let now = [
        Datagram::Report(message()),
        Datagram::Ask(ask()),
        Datagram::Answer(answer()),
        Datagram::Hello(announced()),
        Datagram::Introduction(introduction()),
    ];
    for (earlier, now) in earlier.iter().zip(&now) {
        assert_eq!(bytes(earlier), bytes(now));
    }
    assert_eq!(bytes(&now[1]), [1, 1, 0, 0xac, 2, 2, 0]);
    assert_eq!(bytes(&now[2]), [2, 1, 0, 2]);
}

/// Guards against a change of the format, and against an older VM that takes a load report for something else.
#[test]
fn load_reports_have_a_fixed_format_that_older_vms_reject() {
    let entry = Entry {
        server: 0x8899_aabb,
        per_slot: 33,
        slowdown: 25,
        age: 7,
    };
    let report = load_report(vec![entry]);
    let encoded = bytes(&report);
    assert_eq!(encoded, [5, 2, 1, 0xbb, 0xaa, 0x99, 0x88, 33, 25, 7]);
    assert_eq!(postcard::from_bytes::<Datagram>(&encoded), Ok(report));
    assert!(postcard::from_bytes::<Earlier>(&encoded).is_err());
}

/// Guards against messages that are larger than the sender counts.
#[test]
fn size_of_load_reports_is_bounded() {
    let entry = Entry {
        server: u32::MAX,
        per_slot: 255,
        slowdown: 255,
        age: 255,
    };
    for count in [0, 1, 51, 127, 128, 285, 4_000] {
        let length = bytes(&load_report(vec![entry; count])).len();
        let max = HEADER_BYTES + ENTRY_BYTES * count;
        assert!((max - 1..=max).contains(&length), "{length} of {max}");
    }
}

/// A VM without links asks eight VMs twice a second.
#[test]
fn questions_about_reach_are_small() {
    let services = [u32::MAX; 4];
    let query = Datagram::ReachQuery(reach::Query {
        services: services.to_vec(),
    });
    let answer = Datagram::ReachAnswer(reach::Answer {
        vm: u64::MAX,
        services: services.map(|service| (service, true)).to_vec(),
    });
    assert_eq!(bytes(&query).len(), 22);
    assert_eq!(bytes(&answer).len(), 36);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(17),
        ..Config::with_cases(2_000)
    })]

    /// Guards against a malformed load report that stops a process, or makes it reserve much memory.
    #[test]
    fn malformed_load_reports_are_errors(rest in prop::collection::vec(any::<u8>(), 0..40)) {
        let mut datagram = vec![5];
        datagram.extend(&rest);
        if let Ok(Datagram::Load(report)) = postcard::from_bytes(&datagram) {
            prop_assert!(report.entries.len() * ENTRY_BYTES < datagram.len());
        }
    }
}
