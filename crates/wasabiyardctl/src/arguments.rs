//! Command-line arguments.

use gumdrop::Options;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operates a fleet of wasabiyard.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file.
    #[options(
        help = "settings file with [platform] address, timeout and [admin] addresses",
        meta = "FILE"
    )]
    pub config: Option<PathBuf>,
    /// Platform.
    #[options(no_short, help = "address of the platform", meta = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Admin addresses.
    #[options(
        no_short,
        help = "admin addresses of instances, separated by commas",
        meta = "IP:PORT,..."
    )]
    pub admin: Option<String>,
    /// JSON.
    #[options(no_short, help = "print JSON")]
    pub json: bool,
    /// Command.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Manifest.
    #[options(help = "check, apply or show the manifest")]
    Manifest(ManifestArguments),
    /// Status.
    #[options(help = "show the instances and databases")]
    Status(NoArguments),
    /// Failure domains.
    #[options(help = "take a failure domain out of service or back in")]
    Domain(ServiceArguments),
    /// Instances.
    #[options(help = "take an instance out of service or back in")]
    Instance(ServiceArguments),
    /// Key digests.
    #[options(help = "read a key from standard input and print its digest for the manifest")]
    Key(NoArguments),
    /// Time line.
    #[options(help = "show the events of all instances on one time line")]
    Timeline(NoArguments),
    /// Logs.
    #[options(help = "merge log files of instances by time, and show what led to a request's outcome")]
    Logs(LogsArguments),
}

/// Arguments of `manifest`.
#[derive(Debug, Options)]
pub struct ManifestArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<ManifestCommand>,
}

/// The commands of `manifest`.
#[derive(Debug, Options)]
pub enum ManifestCommand {
    /// Check.
    #[options(help = "check a file and change nothing")]
    Check(FileArguments),
    /// Apply.
    #[options(help = "put a file in force")]
    Apply(ApplyArguments),
    /// Show.
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

/// A file.
#[derive(Debug, Options)]
pub struct FileArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "manifest file")]
    pub file: PathBuf,
}

/// Arguments of `manifest apply`.
#[derive(Debug, Options)]
pub struct ApplyArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(free, required, help = "manifest file")]
    pub file: PathBuf,
    /// Version that the file was made from.
    #[options(no_short, help = "apply only when this version is in force", meta = "VERSION")]
    pub expect: Option<u64>,
}

/// Arguments of `domain` and `instance`.
#[derive(Debug, Options)]
pub struct ServiceArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<ServiceCommand>,
}

/// The commands of `domain` and `instance`.
#[derive(Debug, Options)]
pub enum ServiceCommand {
    /// Out.
    #[options(help = "take out of service")]
    Out(NameArguments),
    /// In.
    #[options(help = "take back in service")]
    In(NameArguments),
}

/// Arguments of `logs`.
#[derive(Debug, Options)]
pub struct LogsArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// A request.
    #[options(
        no_short,
        help = "show this request and the changes of belief before its last line",
        meta = "ID"
    )]
    pub request: Option<String>,
    /// The files.
    #[options(free, required, help = "log files, one for each instance")]
    pub files: Vec<PathBuf>,
}

/// A name.
#[derive(Debug, Options)]
pub struct NameArguments {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The name.
    #[options(free, required, help = "name of the failure domain or instance")]
    pub name: String,
}
