//! Memory use of this process.

use std::fs;

const PAGE_BYTES: u64 = 4_096;

/// Resident set size of this process in bytes, from `/proc/self/statm`; 0 when it cannot be read.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
