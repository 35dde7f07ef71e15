//! Max-min fair division.

/// Returns the share of `total` for a holder that wants `wanted` if other holders want `others`.
///
/// Small demands are met in full; the other holders share the remaining amount equally. If the
/// total exceeds the demand, the surplus is divided equally, so that every holder has capacity
/// when its demand rises.
pub fn share(total: u64, wanted: u64, others: &[u64]) -> u64 {
    let sum = others
        .iter()
        .fold(wanted, |sum, want| sum.saturating_add(*want));
    let holders = others.len() as u64 + 1;
    match total.checked_sub(sum) {
        Some(surplus) => wanted + surplus / holders,
        None => max_min_share(total, wanted, others),
    }
}

/// Returns the share of a holder that wants `wanted` if the demand is at least `total`.
fn max_min_share(total: u64, wanted: u64, others: &[u64]) -> u64 {
    let mut wants = others.to_vec();
    wants.push(wanted);
    wants.sort_unstable();
    let mut remaining = total;
    let mut remaining_holders = wants.len() as u64;
    for want in wants {
        let equal_share = remaining / remaining_holders;
        if want >= equal_share || want >= wanted {
            return wanted.min(equal_share);
        }
        remaining -= want;
        remaining_holders -= 1;
    }
    0
}
