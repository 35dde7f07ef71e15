//! Tests of the reserve.

use limit::Allowance;
use timer::Moment;
use wire::lend::FULL_SHARE;

use super::Reserve;

fn taken(reserve: &mut Reserve, epoch: u64, now: Moment) -> usize {
    let allowance = Allowance::new(100.0, 50.5);
    let take = || reserve.take(epoch, "alder", allowance, FULL_SHARE / 2, now);
    std::iter::repeat_with(take)
        .take_while(|taken| *taken)
        .count()
}

#[test]
fn reserve_starts_empty_in_each_term() {
    let mut reserve = Reserve::default();
    assert_eq!(taken(&mut reserve, 1, Moment(0)), 0);
    assert_eq!(taken(&mut reserve, 1, Moment(60_000)), 25);
    assert_eq!(taken(&mut reserve, 2, Moment(120_000)), 0);
    assert_eq!(taken(&mut reserve, 1, Moment(180_000)), 0);
    assert_eq!(taken(&mut reserve, 2, Moment(180_000)), 25);
}
