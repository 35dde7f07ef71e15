//! Messages between VMs in the format of fc0d0b2, whose VMs run beside newer ones during an upgrade.
//!
//! `data/fc0d0b2.hex` holds what the code at that commit wrote: on each line a name and the bytes.

use std::fmt::Debug;
use std::net::SocketAddr;

use entry::{Record, Snapshot};
use fleet::ask::{Answer, Ask, Outcome, Subject};
use fleet::report::{
    Announced, Announcement, Crash, Datagram, Introduction, List, Load, Member, Message, Report,
    Scope, ServerLimit, Usage,
};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use serde::Serialize;
use serde::de::DeserializeOwned;

const WRITTEN: &str = include_str!("data/fc0d0b2.hex");

/// Kinds of datagram that fc0d0b2 knows. It counts others as bad messages and drops them.
const KNOWN_KINDS: u8 = 5;

fn addr(text: &str) -> SocketAddr {
    text.parse().expect("valid address")
}

fn announcement() -> Announcement {
    Announcement {
        zone: "zone-a".to_owned(),
        peer: addr("10.1.2.3:7740"),
        state: Some(addr("10.1.2.3:8688")),
        callers: None,
        capacity: 70_000,
    }
}

fn announced(vm: &str) -> Announced {
    Announced {
        vm: vm.to_owned(),
        announcement: Announcement {
            state: None,
            callers: Some(addr("[fd00::7]:8686")),
            ..announcement()
        },
    }
}

fn report() -> Report {
    Report {
        vms: vec![
            Member {
                vm: 0x0123_4567_89ab_cdef,
                is_ready: true,
                revision: 987_654_321,
            },
            Member {
                vm: 1,
                is_ready: false,
                revision: 0,
            },
        ],
        usages: vec![
            Usage {
                workspace: 0xdead_beef,
                demand: 12.5,
                admitted: 0.25,
                granted: 3.0,
                granted_by: Some(77),
            },
            Usage {
                workspace: 2,
                demand: 0.0,
                admitted: 1.0,
                granted: 0.0,
                granted_by: None,
            },
        ],
        loads: vec![Load {
            service: 300,
            zone: 0xffff_ffff,
            utilization: 1.5,
            spill_zone: 0.125,
            spill_region: 0.5,
        }],
        crashes: vec![Crash {
            fingerprint: [7; 16],
            server: addr("10.9.8.7:9000"),
            age_ms: 2_500,
        }],
        limits: vec![limit(), without_limit()],
    }
}

fn limit() -> ServerLimit {
    ServerLimit {
        server: 0xfeed_face_cafe_beef,
        per_s: Some(17.5),
        age_ms: 300,
    }
}

fn without_limit() -> ServerLimit {
    ServerLimit {
        server: 5,
        per_s: None,
        age_ms: 0,
    }
}

fn message(scope: Scope) -> Datagram {
    Datagram::Report(Message {
        vm: "vm-1".to_owned(),
        announcement: announcement(),
        scope,
        report: report(),
        lists: vec![
            List {
                zone: "zone-a".to_owned(),
                leader: 9,
                version: 400,
                revision: 987_654_000,
                vms: Some(vec![(9, true), (u64::MAX, false)]),
            },
            List {
                zone: "zone-b".to_owned(),
                leader: 10,
                version: 0,
                revision: 0,
                vms: None,
            },
        ],
    })
}

fn ask(subject: Subject) -> Datagram {
    Datagram::Ask(Ask {
        id: 123_456,
        subject,
        wanted: 4,
        is_standby: true,
    })
}

fn answer(outcome: Outcome) -> Datagram {
    Datagram::Answer(Answer {
        id: 123_456,
        outcome,
    })
}

/// Returns a datagram of every kind, with every form of its parts.
fn datagrams() -> Vec<(&'static str, Datagram)> {
    let introduction = Introduction {
        is_settled: true,
        vms: vec![announced("vm-1"), announced("vm-2")],
    };
    vec![
        ("vm-report", message(Scope::Vm)),
        ("zone-report", message(Scope::Zone)),
        ("fleet-report", message(Scope::Fleet)),
        ("ask-workspace", ask(Subject::Workspace(0xdead_beef))),
        ("ask-server", ask(Subject::Server(limit()))),
        ("ask-server-without", ask(Subject::Server(without_limit()))),
        ("answer-tokens", answer(Outcome::Tokens(3))),
        ("answer-wait", answer(Outcome::WaitMs(250))),
        ("hello", Datagram::Hello(announced("vm-3"))),
        ("introduction", Datagram::Introduction(introduction)),
    ]
}

fn snapshot() -> Snapshot {
    Snapshot {
        revision: 987_654_321,
        items: vec![
            Record {
                key: "servers/i-1".to_owned(),
                value: Some(br#"{"service":"s"}"#.as_slice().into()),
                revision: 400,
            },
            Record {
                key: "servers/i-2".to_owned(),
                value: None,
                revision: 401,
            },
        ],
        is_complete: true,
        age_ms: 1_200,
        query_age_ms: 1_500,
        rejoin_ms: 0,
    }
}

fn announced_vms() -> Vec<Announced> {
    vec![announced("vm-1"), announced("vm-2")]
}

fn to_hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    digits.collect::<Vec<_>>().concat()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |index: usize| u8::from_str_radix(&text[index..index + 2], 16);
    let bytes = (0..text.len()).step_by(2).map(digits);
    bytes.collect::<Result<_, _>>().expect("hexadecimal digits")
}

/// Returns the bytes that fc0d0b2 wrote for `name`.
fn written(name: &str) -> Vec<u8> {
    let mut lines = WRITTEN.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|(found, _)| *found == name);
    from_hex(found.expect("a line for each message").1)
}

/// Checks that the older version's bytes decode to `value`, and that `value` encodes to these bytes.
fn check<T: Serialize + DeserializeOwned + Debug>(name: &str, value: &T) {
    let old = written(name);
    let decoded: T = postcard::from_bytes(&old).expect(name);
    assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "{name}");
    let new = postcard::to_stdvec(value).expect(name);
    assert_eq!(to_hex(&new), to_hex(&old), "{name}");
}

/// A change of a datagram's format would make VMs of both versions drop each other's messages.
#[test]
fn datagrams_keep_format_of_older_version() {
    for (name, datagram) in datagrams() {
        check(name, &datagram);
    }
}

/// A VM that starts takes its state from a VM of the other version.
#[test]
fn snapshot_keeps_format_of_older_version() {
    check("snapshot", &snapshot());
}

/// The store's key of a zone is read and written by leaders of both versions.
#[test]
fn announcement_keeps_format_of_older_version() {
    check("announcement", &announced_vms());
}

/// Kinds that the older version doesn't know must come after those it knows, or it would take them for
/// others.
#[test]
fn kinds_keep_their_numbers() {
    for (name, datagram) in datagrams() {
        let bytes = postcard::to_stdvec(&datagram).expect(name);
        assert!(bytes[0] < KNOWN_KINDS, "{name}");
    }
    for kind in 128..=255 {
        let unknown = [kind, 1, 1, 1, 1, 1, 1, 1];
        assert!(postcard::from_bytes::<Datagram>(&unknown).is_err());
    }
}

/// Changes a few bytes of `bytes`, and at times its length.
fn mutate(bytes: &mut Vec<u8>, random: &mut StdRng) {
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..bytes.len().max(1));
        match random.random_range(0..5) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at.min(bytes.len()), random.random()),
            // A length or number that is as large as can be.
            2 => {
                let end = (at + 9).min(bytes.len());
                bytes.splice(at.min(end)..end, [0xff; 9].into_iter().chain([1]));
            }
            _ => {
                if let Some(byte) = bytes.get_mut(at) {
                    *byte = random.random();
                }
            }
        }
    }
}

/// Malformed messages must neither panic nor yield more than was sent.
#[test]
fn malformed_messages_are_rejected_or_bounded() {
    let mut random = StdRng::seed_from_u64(41);
    let mut rejected = 0;
    let valid: Vec<Vec<u8>> = datagrams()
        .iter()
        .map(|(name, datagram)| postcard::to_stdvec(datagram).expect(name))
        .collect();
    let snapshot = postcard::to_stdvec(&snapshot()).expect("snapshot");
    let announcement = postcard::to_stdvec(&announced_vms()).expect("announcement");
    for index in 0..20_000 {
        let mut bytes = valid[index % valid.len()].clone();
        mutate(&mut bytes, &mut random);
        match postcard::from_bytes::<Datagram>(&bytes) {
            Ok(datagram) => {
                let again = postcard::to_stdvec(&datagram).expect("encoded datagram");
                assert!(again.len() <= bytes.len(), "{}", to_hex(&bytes));
            }
            Err(_) => rejected += 1,
        }
        let mut bytes = snapshot.clone();
        mutate(&mut bytes, &mut random);
        if let Ok(snapshot) = postcard::from_bytes::<Snapshot>(&bytes) {
            let again = postcard::to_stdvec(&snapshot).expect("encoded snapshot");
            assert!(again.len() <= bytes.len(), "{}", to_hex(&bytes));
        }
        let mut bytes = announcement.clone();
        mutate(&mut bytes, &mut random);
        if let Ok(vms) = postcard::from_bytes::<Vec<Announced>>(&bytes) {
            let again = postcard::to_stdvec(&vms).expect("encoded announcement");
            assert!(again.len() <= bytes.len(), "{}", to_hex(&bytes));
        }
    }
    assert!(rejected > 5_000, "{rejected}");
}
