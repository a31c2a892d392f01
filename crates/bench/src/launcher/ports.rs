//! Allocation of free loopback ports.

use super::LaunchError;
use std::net::{Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port to hand out. The range ends below the kernel's ephemeral ports, which outgoing connections use.
const FIRST_PORT: u16 = 12_000;
const LAST_PORT: u16 = 32_000;
const MAX_ATTEMPTS: u32 = 4_000;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Finds `count` consecutive ports without a listener, and returns the first one. The search starts at an offset derived
/// from the process id, so that concurrent processes seldom get the same ports; the ports are not reserved.
///
/// # Errors
/// [`LaunchError::NoPorts`] when no such range is found within the attempts.
pub fn free_ports(count: u16) -> Result<u16, LaunchError> {
    let port_range = LAST_PORT - FIRST_PORT - count;
    let start = (std::process::id().wrapping_mul(97) % u32::from(port_range)) as u16;
    for _ in 0..MAX_ATTEMPTS {
        let offset = NEXT_OFFSET.fetch_add(count, Ordering::Relaxed);
        let base = FIRST_PORT + start.wrapping_add(offset) % port_range;
        if (base..base + count).all(is_port_free) {
            return Ok(base);
        }
    }
    Err(LaunchError::NoPorts { count })
}

fn is_port_free(port: u16) -> bool {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok()
}
