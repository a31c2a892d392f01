//! Cases of the review that cannot be put as days of the bench. Each case starts the project's program as separate
//! processes, with stand-ins of the platform, the databases and the requesters on loopback addresses.
//!
//! `review-standins CASE ROOT RECORD`: ROOT is the root of the repository, RECORD the file to write. With `TROUBLE=0` in the
//! environment, the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod database;
mod fleet;
mod json;
mod node;
mod record;
mod slots;
mod store;

mod lost_commits;
mod private_route;
mod two_primaries;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    /// The case could not run, with the reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, root, path] = args.as_slice() else {
        eprintln!("usage: review-standins CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write {path}: {e}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let outcome = match case.as_str() {
        "lost-commits" => lost_commits::run(Path::new(root), &record, trouble, false),
        "lost-commits-draining" => lost_commits::run(Path::new(root), &record, trouble, true),
        "private-route" => private_route::run(Path::new(root), &record, trouble),
        "two-primaries" => two_primaries::run(Path::new(root), &record, trouble),
        _ => Outcome::NotRun(format!("no case {case}")),
    };
    let code = match outcome {
        Outcome::Held => {
            record.note("result: the rule held");
            0
        }
        Outcome::Broken => {
            record.note("result: the rule was broken");
            1
        }
        Outcome::NotRun(reason) => {
            record.note(&format!("result: the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
