//! Stand-ins and runs of the cases of the third review: `stand-ins CASE DIRECTORY`.

mod caller;
mod database;
mod fleet;
mod http;
mod json;
mod node;
mod platform;
mod record;
mod stale_order;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

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
