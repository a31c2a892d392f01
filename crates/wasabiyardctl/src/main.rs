//! The command-line tool `wasabiyardctl`.

use gumdrop::Options as _;
use std::io::Write as _;
use std::process::ExitCode;
use wasabiyardctl::{Arguments, run};

fn main() -> ExitCode {
    env_logger::init();
    let args = Arguments::parse_args_default_or_exit();
    let result = async_io::block_on(run(&args));
    let (text, code) = match result {
        Ok(report) => (report.render(args.json), ExitCode::SUCCESS),
        Err(e) if args.json => (format!("{:#}\n", e.to_json()), ExitCode::FAILURE),
        Err(e) => {
            eprintln!("{:?}", miette::Report::new(e));
            return ExitCode::FAILURE;
        }
    };
    // A write fails when the reader closed the pipe, as `head` does; that is not an error of the command.
    drop(std::io::stdout().write_all(text.as_bytes()));
    code
}
