//! Limits that the operating system sets for the process.

use nix::sys::resource::{Resource, getrlimit};

/// Number of descriptors that the process may open; no limit if it cannot be read.
pub fn process_descriptor_limit() -> usize {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _hard)) => usize::try_from(soft).unwrap_or(usize::MAX),
        Err(e) => {
            log::warn!(error:% = e; "cannot read the descriptor limit of the process");
            usize::MAX
        }
    }
}
