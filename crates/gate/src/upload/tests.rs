//! Tests of the limit on buffered bodies.

use assert_matches::assert_matches;

use super::{BufferBudget, MAX_BUFFERED_BYTES};
use crate::refusal::Refusal;

#[test]
fn limits_buffered_bytes_across_callers() {
    let budget = BufferBudget::default();
    let mut first = budget.reserve();
    let mut second = budget.clone().reserve();
    assert_matches!(first.grow(MAX_BUFFERED_BYTES - 10), Ok(()));
    assert_matches!(second.grow(10), Ok(()));
    assert_matches!(second.grow(1), Err(Refusal::NoCapacity));
    drop(second);
    assert_matches!(first.grow(10), Ok(()));
    drop(first);
    assert_matches!(budget.reserve().grow(MAX_BUFFERED_BYTES), Ok(()));
}
