//! Command line of `wasabiyard-bench`.

use gumdrop::Options;
use miette::{IntoDiagnostic, miette};
use std::process::ExitCode;
use std::time::Duration;
use wasabiyard_bench::compare::{CompareOptions, CompareRow, compare};
use wasabiyard_bench::demo::{DemoStep, demo};
use wasabiyard_bench::launcher::build_binaries;
use wasabiyard_bench::slopes::{SlopesOptions, slopes};
use wasabiyard_bench::soak::{SoakOptions, soak};

/// Runs benchmarks and soak tests on stand-ins and daemons, started as processes on the loopback network.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "compare statements through the daemons with statements sent directly to the primary")]
    Compare(CompareArguments),
    #[options(help = "run a mixed load under random faults and check the whole history")]
    Soak(SoakArguments),
    #[options(help = "show a write and a read of it from a replica, step by step")]
    Demo(DemoArguments),
    #[options(help = "measure how costs grow with the size of the system")]
    Slopes(SlopesArguments),
}

#[derive(Debug, Options)]
struct DemoArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct SlopesArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(
        no_short,
        help = "numbers of members of the simulated fleet",
        default = "7,100,310,620"
    )]
    members: String,
    #[options(
        no_short,
        help = "numbers of databases in a manifest",
        default = "9,100,430,860"
    )]
    databases: String,
    #[options(
        no_short,
        help = "numbers of organisations in a manifest and for rate shares",
        default = "8,100,1000,5000"
    )]
    organisations: String,
    #[options(
        no_short,
        help = "numbers of connections to one daemon",
        default = "250,1000,3000"
    )]
    connections: String,
    #[options(no_short, help = "numbers of daemon processes", default = "3,7,20,60")]
    processes: String,
}

#[derive(Debug, Options)]
struct CompareArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
    #[options(help = "duration of each measurement, in seconds", default = "5")]
    seconds: u64,
    #[options(help = "numbers of client connections", default = "1,64,1000")]
    connections: String,
    #[options(no_short, help = "threads of the client runtime", default = "3")]
    client_threads: usize,
    #[options(no_short, help = "traffic threads of each daemon", default = "3")]
    daemon_threads: usize,
    #[options(no_short, help = "threads of each group stand-in", default = "3")]
    group_threads: usize,
}

#[derive(Debug, Options)]
struct SoakArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "seed of the faults and callers", default = "1")]
    seed: u64,
    #[options(no_short, help = "duration of the run, in seconds", default = "60")]
    seconds: u64,
    #[options(no_short, help = "number of callers", default = "48")]
    callers: usize,
    #[options(no_short, help = "run without fault injection")]
    calm: bool,
}

fn main() -> miette::Result<ExitCode> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let args = Arguments::parse_args_default_or_exit();
    build_binaries()?;
    match args.command {
        Some(Command::Compare(args)) => run_compare(&args).map(|()| ExitCode::SUCCESS),
        Some(Command::Soak(args)) => run_soak(&args),
        Some(Command::Demo(args)) => run_demo(&args).map(|()| ExitCode::SUCCESS),
        Some(Command::Slopes(args)) => run_slopes(&args).map(|()| ExitCode::SUCCESS),
        None => Err(miette!(help = "see --help", "no command given")),
    }
}

fn run_compare(args: &CompareArguments) -> miette::Result<()> {
    let options = CompareOptions {
        connections: parse_sizes(&args.connections)?,
        duration: Duration::from_secs(args.seconds),
        client_threads: args.client_threads,
        daemon_threads: args.daemon_threads,
        group_threads: args.group_threads,
    };
    let rows = compare(&options)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&rows).into_diagnostic()?);
    } else {
        print_compare_table(&rows);
    }
    Ok(())
}

fn run_demo(args: &DemoArguments) -> miette::Result<()> {
    let print = |step: &DemoStep| {
        if !args.json {
            println!("{}\n    -> {}", step.step, step.result);
        }
    };
    let steps = demo(print)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&steps).into_diagnostic()?);
    }
    Ok(())
}

fn run_slopes(args: &SlopesArguments) -> miette::Result<()> {
    let options = SlopesOptions {
        members: parse_sizes(&args.members)?,
        databases: parse_sizes(&args.databases)?,
        organisations: parse_sizes(&args.organisations)?,
        connections: parse_sizes(&args.connections)?,
        processes: parse_sizes(&args.processes)?,
    };
    let slopes = slopes(&options)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&slopes).into_diagnostic()?);
    } else {
        print!("{}", slopes.table());
    }
    Ok(())
}

fn parse_sizes(list: &str) -> miette::Result<Vec<usize>> {
    let numbers = list
        .split(',')
        .map(str::trim)
        .filter(|n| !n.is_empty())
        .map(str::parse);
    numbers.collect::<Result<_, _>>().into_diagnostic()
}

fn print_compare_table(rows: &[CompareRow]) {
    println!(
        "{:<16} {:>11} {:>12} {:>8} {:>8} {:>14} {:>16} {:>7}",
        "path",
        "connections",
        "statements/s",
        "p50 us",
        "p99 us",
        "cpu us/stmt",
        "bytes/connection",
        "errors"
    );
    for row in rows {
        println!(
            "{:<16} {:>11} {:>12.0} {:>8} {:>8} {:>14.1} {:>16} {:>7}",
            row.path.name(),
            row.connections,
            row.statements_per_second,
            row.p50_us,
            row.p99_us,
            row.cpu_us_per_statement,
            row.bytes_per_connection,
            row.errors
        );
    }
}

fn run_soak(args: &SoakArguments) -> miette::Result<ExitCode> {
    let report = soak(SoakOptions {
        seed: args.seed,
        duration: Duration::from_secs(args.seconds),
        callers: args.callers,
        faults: !args.calm,
    })?;
    for record in &report.faults {
        let (from_seconds, to_seconds) = (record.from.as_secs_f64(), record.to.as_secs_f64());
        println!(
            "fault   {from_seconds:>8.1} to {to_seconds:>6.1} s  {}",
            record.fault
        );
    }
    for (outcome, count) in &report.counts {
        println!("outcome {count:>8}  {outcome}");
    }
    let (requested, refused) = report.within_rate;
    println!("refused with WN001 although within the rate limit: {refused} of {requested}");
    println!("terms at the end: {:?}", report.terms);
    for violation in &report.violations {
        println!("VIOLATION  {violation}");
    }
    println!(
        "seed {}, {} s, {} violations",
        args.seed,
        args.seconds,
        report.violations.len()
    );
    Ok(if report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
