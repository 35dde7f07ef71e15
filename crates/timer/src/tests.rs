//! Tests for the timer service.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::Poll;

use crate::{Moment, Service};

#[tokio::test]
async fn manual_ticks_follow_the_clock() {
    let service = Service::with_manual_clock();
    let mut ticks = service.subscribe(100);
    assert_eq!(ticks.next().await, Moment(0));
    service.advance(250);
    assert_eq!(ticks.next().await, Moment(250));
    let mut next = pin!(ticks.next());
    assert!(is_pending(next.as_mut()).await);
    service.advance(100);
    assert_eq!(next.await, Moment(350));
}

async fn is_pending<F: Future>(mut future: Pin<&mut F>) -> bool {
    poll_fn(|context| Poll::Ready(future.as_mut().poll(context).is_pending())).await
}
