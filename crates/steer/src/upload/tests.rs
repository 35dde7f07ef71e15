use std::time::{Duration, Instant};

use super::Allowance;

/// Sixteen VMs that ask for parts all the time take half of the link, whatever its rate.
#[test]
fn parts_use_half_of_the_link() {
    for link in [1_250_000_u32, 25_000_000] {
        let start = Instant::now();
        let mut allowance = Allowance::new(f64::from(link), start);
        let mut taken = 0_u32;
        for step in 0..20_000 {
            let now = start + Duration::from_micros(100) * step;
            if allowance.is_left(now) {
                allowance.take(32 << 10);
                taken += 32 << 10;
            }
        }
        let per_s = taken / 2;
        assert!((link * 9 / 20..link * 3 / 5).contains(&per_s), "{per_s}");
    }
}
