//! Tests of operations and claims.

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use timer::Moment;
use wire::{Secret, Vm};

use crate::{
    CLAIM_TTL_S, Claims, Decision, Ending, Fingerprint, Hasher, Id, Outcome, StoredResponse, Table,
    Ticket,
};

/// Number of operations in the schedules.
const OPERATIONS: u8 = 4;

fn id(number: u8) -> Id {
    Id([number; 16])
}

const SAME: Fingerprint = Fingerprint([1; 16]);

fn response() -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: None,
        body: Some("done".into()),
    }
}

/// A step of a schedule.
#[derive(Debug, Clone)]
enum Step {
    /// A first request or a retry for an operation.
    Request {
        operation: u8,
        other_fingerprint: bool,
    },
    /// Bytes of the oldest open attempt that has sent none are sent.
    Send,
    /// An open attempt ends.
    End { newest: bool, ending_kind: u8 },
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..OPERATIONS, proptest::bool::weighted(0.1))
            .prop_map(|(operation, other_fingerprint)| Step::Request { operation, other_fingerprint }),
        2 => Just(Step::Send),
        3 => (any::<bool>(), 0..3_u8).prop_map(|(newest, ending_kind)| Step::End { newest, ending_kind }),
        1 => (0..3_600_000_u64).prop_map(Step::Wait),
    ]
}

/// An open attempt in a schedule.
#[derive(Debug)]
struct Attempt {
    ticket: Ticket,
    operation: u8,
    sent: bool,
    begun_at: Moment,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn operation_is_sent_at_most_once(steps in proptest::collection::vec(step(), 1..80)) {
        let mut table = Table::new(3).unwrap();
        let mut now = Moment(0);
        let mut open: Vec<Attempt> = Vec::new();
        // Operations of attempts that sent bytes and were not reported as not run, with the time at
        // which the attempt began.
        let mut possibly_run: Vec<(u8, Moment)> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(ms) => now = now.plus_ms(ms),
                Step::Request { operation, other_fingerprint } => {
                    let fingerprint = if other_fingerprint { Fingerprint([2; 16]) } else { SAME };
                    if let Decision::Run(ticket) = table.begin(id(operation), fingerprint, now) {
                        let claimed = open.iter().any(|open| open.operation == operation);
                        prop_assert!(!claimed, "two attempts at once");
                        let recent = possibly_run.iter().any(|(possibly_run, at)| {
                            *possibly_run == operation && now.ms_since(*at) <= CLAIM_TTL_S * 1_000
                        });
                        prop_assert!(!recent, "operation {operation} may run twice");
                        open.push(Attempt { ticket, operation, sent: false, begun_at: now });
                    }
                }
                Step::Send => {
                    if let Some(first) = open.iter_mut().find(|open| !open.sent) {
                        table.note_sent(first.ticket);
                        first.sent = true;
                    }
                }
                Step::End { newest, ending_kind } => {
                    if open.is_empty() {
                        continue;
                    }
                    let index = if newest { open.len() - 1 } else { 0 };
                    let ended = open.remove(index);
                    let ending = match ending_kind {
                        0 => Ending::NotRun,
                        1 if ended.sent => Ending::Answered(response()),
                        _ => Ending::Unknown,
                    };
                    if ended.sent && ending != Ending::NotRun {
                        possibly_run.push((ended.operation, ended.begun_at));
                    }
                    table.note_ended(ended.ticket, ending);
                }
            }
            prop_assert!(table.len() <= 3);
        }
    }

    #[test]
    fn claims_survive_serialization(
        requests in proptest::collection::vec((0..OPERATIONS, 0..3_u64, 0..9_000_u64), 1..60)
    ) {
        let mut claims = Claims::new();
        let mut owners: Vec<Option<(Vm, u64)>> = vec![None; usize::from(OPERATIONS)];
        let mut now = 0;
        for (operation, vm, elapsed_s) in requests {
            now += elapsed_s;
            let vm = Vm::new("vm", vm);
            claims.prune(now);
            let bytes = postcard::to_stdvec(&claims).unwrap();
            claims = postcard::from_bytes(&bytes).unwrap();
            let Outcome::Owner(owner) = claims.claim(id(operation), &vm, now) else {
                return Err(TestCaseError::fail("the shard has capacity"));
            };
            let expected_owner = &mut owners[usize::from(operation)];
            match expected_owner {
                Some((first, at)) if now - *at < CLAIM_TTL_S + 600 => {
                    prop_assert_eq!(&owner, &*first);
                    if owner == vm {
                        *at = now;
                    }
                }
                _ => {
                    prop_assert_eq!(&owner, &vm);
                    *expected_owner = Some((owner, now));
                }
            }
        }
    }
}

#[test]
fn retry_gets_the_first_response() {
    let mut table = Table::new(8).unwrap();
    let ticket = assert_matches!(table.begin(id(1), SAME, Moment(0)), Decision::Run(t) => t);
    assert_eq!(table.begin(id(1), SAME, Moment(1)), Decision::Running);
    table.note_sent(ticket);
    table.note_ended(ticket, Ending::Answered(response()));
    assert_eq!(
        table.begin(id(1), SAME, Moment(2)),
        Decision::Replay(response())
    );
    let other_fingerprint = Fingerprint([9; 16]);
    assert_eq!(
        table.begin(id(1), other_fingerprint, Moment(3)),
        Decision::Mismatch
    );
}

#[test]
fn operation_that_did_not_run_may_run_again() {
    let mut table = Table::new(8).unwrap();
    let first = assert_matches!(table.begin(id(1), SAME, Moment(0)), Decision::Run(t) => t);
    table.note_ended(first, Ending::NotRun);
    let second = assert_matches!(table.begin(id(1), SAME, Moment(1)), Decision::Run(t) => t);
    // A late report of the first attempt has no effect.
    table.note_ended(first, Ending::NotRun);
    assert_eq!(table.begin(id(1), SAME, Moment(2)), Decision::Running);
    table.note_sent(second);
    table.note_ended(second, Ending::Unknown);
    assert_eq!(table.begin(id(1), SAME, Moment(3)), Decision::Unknown);
}

#[test]
fn full_table_rejects_new_operations_and_keeps_old_ones() {
    let mut table = Table::new(1).unwrap();
    let ticket = assert_matches!(table.begin(id(1), SAME, Moment(0)), Decision::Run(t) => t);
    table.note_sent(ticket);
    table.note_ended(ticket, Ending::Answered(response()));
    assert_eq!(table.begin(id(2), SAME, Moment(1)), Decision::Full);
    assert_eq!(
        table.begin(id(1), SAME, Moment(2)),
        Decision::Replay(response())
    );
}

#[test]
fn ids_depend_on_workspace_and_secret() {
    let hasher = Hasher::new(&Secret::new([1; 32]));
    let other_hasher = Hasher::new(&Secret::new([2; 32]));
    assert_ne!(hasher.id("a", b"k"), hasher.id("b", b"k"));
    assert_ne!(hasher.id("a", b"k"), other_hasher.id("a", b"k"));
    assert_ne!(hasher.id("ab", b"k"), hasher.id("a", b"bk"));
    assert_eq!(hasher.id("a", b"k"), hasher.id("a", b"k"));
}

#[test]
fn imported_operations_are_replayed_and_never_run() {
    let mut first = Table::new(8).unwrap();
    let done = assert_matches!(first.begin(id(1), SAME, Moment(0)), Decision::Run(t) => t);
    first.note_sent(done);
    first.note_ended(done, Ending::Answered(response()));
    let open = assert_matches!(first.begin(id(2), SAME, Moment(0)), Decision::Run(t) => t);
    first.note_sent(open);
    let refused = assert_matches!(first.begin(id(3), SAME, Moment(0)), Decision::Run(t) => t);
    first.note_ended(refused, Ending::NotRun);
    let mut second = Table::new(8).unwrap();
    second.import(&first.export(), Moment(5));
    assert_eq!(
        second.begin(id(1), SAME, Moment(6)),
        Decision::Replay(response())
    );
    assert_eq!(second.begin(id(2), SAME, Moment(6)), Decision::Unknown);
    assert!(
        second.needs_claim(&id(3)),
        "an operation that did not run may still run after a claim"
    );
}
