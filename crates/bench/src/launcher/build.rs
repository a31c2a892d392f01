//! Builds the binaries that the launcher starts.
//!
//! `cargo run -p wasabiyard-bench` builds only the bench binary. Without this step, the command in the README fails on a
//! fresh clone, and after a source change it starts outdated daemons.

use super::LaunchError;
use std::env;
use std::ffi::OsStr;
use std::process::Command;

const PACKAGES: [&str; 3] = ["wasabiyardd", "wasabiyardctl", "wasabiyard-standin"];

/// Rebuilds the binaries when this process runs under `cargo run`. Does nothing in tests, where they are already built,
/// and when the binary is started directly, which then uses the binaries in its own directory.
///
/// # Errors
///
/// When Cargo cannot be started, or the build fails.
pub fn build_binaries() -> Result<(), LaunchError> {
    let own = env::current_exe().map_err(LaunchError::io("cannot find the running binary"))?;
    let profile = own
        .parent()
        .and_then(|dir| dir.file_name())
        .and_then(OsStr::to_str);
    let (Some(cargo), Some(manifest_dir)) = (env::var_os("CARGO"), env::var_os("CARGO_MANIFEST_DIR")) else {
        return Ok(());
    };
    let release: &[&str] = match profile {
        Some("release") => &["--release"],
        Some("debug") => &[],
        _ => return Ok(()),
    };
    let packages = PACKAGES.iter().flat_map(|package| ["--package", package]);
    let status = Command::new(cargo)
        .current_dir(manifest_dir)
        .args(["build", "--bins", "--locked"])
        .args(release)
        .args(packages)
        .status()
        .map_err(LaunchError::io("cannot run cargo"))?;
    if status.success() {
        return Ok(());
    }
    Err(LaunchError::Build)
}
