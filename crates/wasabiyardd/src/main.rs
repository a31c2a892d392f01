//! The daemon `wasabiyardd`.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use gumdrop::Options;
use miette::{IntoDiagnostic, miette};
use std::path::PathBuf;
use wasabiyardd::daemon::Daemon;
use wasabiyardd::settings::Settings;

/// Database proxy with session consistency.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings file", meta = "FILE")]
    config: Option<PathBuf>,
    #[options(no_short, help = "check the settings and exit")]
    check: bool,
}

fn main() -> miette::Result<()> {
    wasabiyard_logging::builder(env_logger::TimestampPrecision::Micros).init();
    let args = Arguments::parse_args_default_or_exit();
    let config = args
        .config
        .ok_or_else(|| miette!(help = "use --config FILE", "no settings file is given"))?;
    let settings = Settings::load(&config)?;
    if args.check {
        return Ok(());
    }
    let mut signals = Signals::new([Signal::Term, Signal::Int]).into_diagnostic()?;
    let mut daemon = Daemon::open(settings)?;
    async_io::block_on(async {
        let _signal = signals.next().await;
        daemon.drain().await;
    });
    daemon.close();
    Ok(())
}
