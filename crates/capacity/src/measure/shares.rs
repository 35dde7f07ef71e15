//! Lent shares at their lender.

use grant::Lender;
use timer::Moment;
use wire::lend::{Request, Seq};

use super::{float, shortest_us};
use crate::slope::{Slope, Slopes};

/// Holders that are measured.
const HOLDERS: [usize; 4] = [10, 40, 160, 640];

/// Rounds of requests that are timed together.
const ROUNDS: u64 = 20;

/// Runs of which the shortest counts.
const RUNS: usize = 3;

/// Term of the granted shares, in milliseconds.
const TERM_MS: u64 = 60_000;

/// Measures the time of one request among several holders.
pub fn measure(slopes: &mut Slopes) {
    let mut time = Slope::new("holders", "one request for a share, us of one core");
    for holders in HOLDERS {
        let took_us = shortest_us(RUNS, || ask_all(holders));
        let asks = float(holders) * 20.0;
        time.push(float(holders), took_us / asks);
    }
    slopes.insert("share-ask-us".to_owned(), time);
}

fn ask_all(holders: usize) {
    let mut lender: Lender<usize> = Lender::new(1_000_000, TERM_MS);
    for round in 0..ROUNDS {
        let now = Moment(1_000 * round);
        for holder in 0..holders {
            let ask = Request {
                seq: Seq {
                    epoch: 1,
                    number: round + 1,
                },
                in_use: Some(0),
                wanted: 100 + (holder as u64 * 7 + round) % 50,
                predecessors_expired: true,
                leaving: false,
            };
            std::hint::black_box(lender.grant(&holder, &ask, now.plus_ms(TERM_MS), now));
        }
    }
}
