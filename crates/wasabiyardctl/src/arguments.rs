//! Command-line arguments.

use gumdrop::Options;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Administers a wasabiyard fleet.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file; without it, addresses come from the options alone.
    #[options(
        help = "settings file with [platform] address, timeout and [admin] addresses",
        meta = "FILE"
    )]
    pub config: Option<PathBuf>,
    /// Address of the platform; takes precedence over the settings file.
    #[options(no_short, help = "address of the platform", meta = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Comma-separated admin addresses of instances; takes precedence over the settings file.
    #[options(
        no_short,
        help = "admin addresses of instances, separated by commas",
        meta = "IP:PORT,..."
    )]
    pub admin: Option<String>,
    /// Print JSON in place of text.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// Command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// Top-level commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Checks, applies or shows a manifest.
    #[options(help = "check, apply or show the manifest")]
    Manifest(ManifestArguments),
    /// Shows instances and databases as the instances report them.
    #[options(help = "show the instances and databases")]
    Status(NoArguments),
    /// Takes a failure domain out of service or returns it.
    #[options(help = "take a failure domain out of service or back in")]
    Domain(ServiceStateArguments),
    /// Takes an instance out of service or returns it.
    #[options(help = "take an instance out of service or back in")]
    Instance(ServiceStateArguments),
    /// Computes the digest of a key for the manifest.
    #[options(help = "read a key from standard input and print its digest for the manifest")]
    Key(NoArguments),
    /// Shows the merged events of all instances.
    #[options(help = "show the events of all instances in causal order")]
    Timeline(NoArguments),
    /// Merges log files of instances.
    #[options(help = "merge log files of instances by time, and show what led to a request's outcome")]
    Logs(LogsArguments),
}

/// Arguments of `manifest`.
#[derive(Debug, Options)]
pub struct ManifestArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Subcommand to run.
    #[options(command)]
    pub command: Option<ManifestCommand>,
}

/// Subcommands of `manifest`.
#[derive(Debug, Options)]
pub enum ManifestCommand {
    /// Validates a file without contacting the platform.
    #[options(help = "check a file and change nothing")]
    Check(CheckArguments),
    /// Writes a manifest to the platform, which puts it in force.
    #[options(help = "put a file in force")]
    Apply(ApplyArguments),
    /// Prints the manifest in force.
    #[options(help = "show the manifest in force")]
    Show(NoArguments),
}

/// A command without arguments.
#[derive(Debug, Options)]
pub struct NoArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Arguments of `manifest check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the manifest file.
    #[options(free, required, help = "manifest file")]
    pub file: PathBuf,
}

/// Arguments of `manifest apply`.
#[derive(Debug, Options)]
pub struct ApplyArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the manifest file.
    #[options(free, required, help = "manifest file")]
    pub file: PathBuf,
    /// Version that the file is based on; the file is refused when another one is in force.
    #[options(no_short, help = "apply only when this version is in force", meta = "VERSION")]
    pub expect: Option<u64>,
}

/// Arguments of `domain` and `instance`.
#[derive(Debug, Options)]
pub struct ServiceStateArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Subcommand to run.
    #[options(command)]
    pub command: Option<ServiceStateCommand>,
}

/// Subcommands of `domain` and `instance`.
#[derive(Debug, Options)]
pub enum ServiceStateCommand {
    /// Takes the target out of service.
    #[options(help = "take out of service")]
    Out(TargetArguments),
    /// Returns the target to service.
    #[options(help = "take back in service")]
    In(TargetArguments),
}

/// Arguments of `logs`.
#[derive(Debug, Options)]
pub struct LogsArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Request id to select; without it, all lines are shown.
    #[options(
        no_short,
        help = "show the lines of this request and those of no request, up to the last line of the request",
        meta = "ID"
    )]
    pub request: Option<String>,
    /// Log files; the file name without its extension is the instance.
    #[options(free, required, help = "log files, one for each instance")]
    pub files: Vec<PathBuf>,
}

/// Arguments of `domain out`, `domain in`, `instance out` and `instance in`.
#[derive(Debug, Options)]
pub struct TargetArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Failure domain or instance to change.
    #[options(free, required, help = "name of the failure domain or instance")]
    pub name: String,
}
