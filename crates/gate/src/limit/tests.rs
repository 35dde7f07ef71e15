//! Tests of the limiter without a control daemon.

use std::sync::Arc;

use assert_matches::assert_matches;
use timer::{Moment, Service};
use wire::lend::{FULL_SHARE, Grant, Ordinal, ResourceGrant};
use wire::view::View;
use wire::{Denylist, Pool, Secret};

use super::Limiter;
use crate::refusal::{Outcome, Refusal, Refused};

fn limiter() -> Limiter {
    let source = "name = \"t\"\n[[region]]\nname = \"north\"\n\
                  [[zone]]\nname = \"north-a\"\nregion = \"north\"\nentry_vms = 1\n\
                  [[workspace]]\nname = \"alder\"\nrate = 100.0\nburst = 50.0\n\
                  [[service]]\nname = \"reader\"\nslots = 1\n\
                  [[backend]]\nservice = \"reader\"\nzone = \"north-a\"\naddrs = [\"127.0.0.1:9\"]\n\
                  [[route]]\npath = \"/reader\"\nmethods = [\"GET\"]\nservice = \"reader\"\n\
                  access = \"keyed\"\nrepeat = \"safe\"\n";
    let text = text::parse(source).expect("a valid text");
    let limiter = Limiter::new(Arc::new(Pool::new(Secret::new([1; 32]), Denylist::new())));
    limiter.configure(&text, "north-a", Moment(0));
    limiter
}

async fn admitted(limiter: &Limiter, timer: &Service) -> usize {
    let mut count = 0;
    while limiter.admit(Some("alder"), timer).await.is_ok() {
        count += 1;
    }
    count
}

#[tokio::test]
async fn nothing_is_admitted_without_a_share() {
    let (limiter, timer) = (limiter(), Service::with_manual_clock());
    timer.advance(10_000);
    assert_matches!(
        limiter.admit(Some("alder"), &timer).await,
        Err(Refused {
            refusal: Refusal::RateExceeded,
            outcome: Outcome::NotRun,
            retry_after_ms: Some(1_000),
        })
    );
    assert_matches!(limiter.admit(None, &timer).await, Ok(()));
    assert_matches!(limiter.admit(Some("other"), &timer).await, Err(_));
}

#[tokio::test]
async fn seat_gives_the_standing_share_and_outlives_silence() {
    let (limiter, timer) = (limiter(), Service::with_manual_clock());
    let view = |seat| View {
        ordinal: seat,
        ..View::default()
    };
    limiter.take(&view(Ordinal::Held), timer.now());
    assert_eq!(admitted(&limiter, &timer).await, 0);
    timer.advance(60_000);
    assert_eq!(admitted(&limiter, &timer).await, 4);
    limiter.take(&view(Ordinal::Unknown), timer.now());
    timer.advance(60_000);
    assert_eq!(admitted(&limiter, &timer).await, 4);
    limiter.take(&view(Ordinal::Missing), timer.now());
    timer.advance(60_000);
    assert_eq!(admitted(&limiter, &timer).await, 0);
}

#[tokio::test]
async fn lent_share_ends_with_its_term_from_the_moment_of_asking() {
    let (limiter, timer) = (limiter(), Service::with_manual_clock());
    let asks = limiter.asks(false, timer.now());
    let grants = asks.into_iter().map(|ask| ResourceGrant {
        resource: ask.resource,
        grant: Grant {
            seq: ask.request.seq,
            amount: FULL_SHARE,
            term_ms: 5_000,
        },
    });
    let view = View {
        grants: grants.collect(),
        ..View::default()
    };
    timer.advance(1_000);
    limiter.take(&view, timer.now());
    timer.advance(3_999);
    assert_eq!(admitted(&limiter, &timer).await, 49);
    timer.advance(1);
    assert_eq!(admitted(&limiter, &timer).await, 0);
}

#[tokio::test]
async fn leaving_gate_gives_back_only_once_no_requests_come() {
    let (limiter, timer) = (limiter(), Service::with_manual_clock());
    timer.advance(1_000);
    let _ = limiter.admit(Some("alder"), &timer).await;
    assert!(!limiter.asks(true, timer.now())[0].request.leaving);
    timer.advance(10_000);
    assert!(limiter.asks(true, timer.now())[0].request.leaving);
}

#[tokio::test]
async fn requests_wait_for_tokens_that_are_due_soon_and_for_no_others() {
    let (limiter, timer) = (limiter(), Service::new());
    let view = View {
        ordinal: Ordinal::Held,
        ..View::default()
    };
    limiter.take(&view, timer.now());
    // The standing share gives a token each 100 ms.
    let admit = || limiter.admit(Some("alder"), &timer);
    let (first, second, third) = tokio::join!(admit(), admit(), admit());
    assert_matches!((first, second), (Ok(()), Ok(())));
    assert_matches!(third, Err(refused) if refused.refusal == Refusal::RateExceeded);
}
