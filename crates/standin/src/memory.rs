//! Memory of processes.

use std::fs;

/// Returns the largest memory that the process `pid` has used, in kilobytes; `None` if it cannot be read.
#[must_use]
pub fn peak_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
