//! Random numbers (xorshift) of a recorded seed.

use std::sync::{Mutex, PoisonError};

#[derive(Debug)]
pub struct Random(Mutex<u64>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(seed | 1))
    }

    pub fn next(&self) -> u64 {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        state.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Returns a number from 0 to below 1.
    pub fn unit(&self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }
}
