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
async fn rejects_requests_without_share() {
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
async fn base_share_lasts_until_ordinal_is_lost() {
    let (limiter, timer) = (limiter(), Service::with_manual_clock());
    let view = |ordinal| View {
        ordinal,
        ..View::default()
    };
    limiter.apply_view(&view(Ordinal::Held), timer.now());
    assert_eq!(admitted(&limiter, &timer).await, 0);
    timer.advance(60_000);
    assert_eq!(admitted(&limiter, &timer).await, 4);
    limiter.apply_view(&view(Ordinal::Unknown), timer.now());
    timer.advance(60_000);
    assert_eq!(admitted(&limiter, &timer).await, 4);
    limiter.apply_view(&view(Ordinal::Missing), timer.now());
    timer.advance(60_000);
    assert_eq!(admitted(&limiter, &timer).await, 0);
}

#[tokio::test]
async fn lent_share_term_starts_at_request() {
    let (limiter, timer) = (limiter(), Service::with_manual_clock());
    let share_requests = limiter.share_requests(false, timer.now());
    let grants = share_requests.into_iter().map(|request| ResourceGrant {
        resource: request.resource,
        grant: Grant {
            seq: request.request.seq,
            amount: FULL_SHARE,
            term_ms: 5_000,
        },
    });
    let view = View {
        grants: grants.collect(),
        ..View::default()
    };
    timer.advance(1_000);
    limiter.apply_view(&view, timer.now());
    timer.advance(3_999);
    assert_eq!(admitted(&limiter, &timer).await, 49);
    timer.advance(1);
    assert_eq!(admitted(&limiter, &timer).await, 0);
}

#[tokio::test]
async fn leaving_gate_returns_share_when_idle() {
    let (limiter, timer) = (limiter(), Service::with_manual_clock());
    timer.advance(1_000);
    let _ = limiter.admit(Some("alder"), &timer).await;
    assert!(!limiter.share_requests(true, timer.now())[0].request.leaving);
    timer.advance(10_000);
    assert!(limiter.share_requests(true, timer.now())[0].request.leaving);
}

#[tokio::test]
async fn request_waits_only_for_token_due_soon() {
    let (limiter, timer) = (limiter(), Service::new());
    let view = View {
        ordinal: Ordinal::Held,
        ..View::default()
    };
    limiter.apply_view(&view, timer.now());
    // The base share gives a token every 100 ms.
    let admit = || limiter.admit(Some("alder"), &timer);
    let (first, second, third) = tokio::join!(admit(), admit(), admit());
    assert_matches!((first, second), (Ok(()), Ok(())));
    assert_matches!(third, Err(refused) if refused.refusal == Refusal::RateExceeded);
}
