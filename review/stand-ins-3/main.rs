//! Stand-ins and runs of the cases of the third review: `stand-ins CASE DIRECTORY`.

mod caller;
mod crowd;
mod database;
mod fleet;
mod http;
mod json;
mod late_record;
mod memory_limit;
mod node;
mod platform;
mod record;
mod stale_order;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Argument that starts a crowd of callers instead of a case, before the address to which they come.
pub const CROWD: &str = "crowd";

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// What a run gets.
pub struct Run<'a> {
    /// Directory of the case.
    pub case: &'a Path,
    /// Directory for settings and logs of the processes, which ends with the run.
    pub dir: &'a Path,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, command, address] = args.as_slice()
        && command == CROWD
    {
        return match address.parse() {
            // The crowd loses its connections when the instance ends.
            Ok(address) => ExitCode::from(u8::from(crowd::run(address).is_err())),
            Err(_) => ExitCode::from(2),
        };
    }
    let [_, name, case] = args.as_slice() else {
        eprintln!("usage: stand-ins CASE DIRECTORY");
        return ExitCode::from(2);
    };
    let dir: PathBuf = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let run = Run {
        case: Path::new(case),
        dir: &dir,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let result = std::fs::create_dir_all(&dir).and_then(|()| match name.as_str() {
        "late-record" => late_record::run(&run),
        "memory-limit" => memory_limit::run(&run),
        "stale-order" => stale_order::run(&run),
        _ => Err(std::io::Error::other("no such case")),
    });
    let _removed = std::fs::remove_dir_all(&dir);
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}
