//! Dispatches the command line to the functions that implement the commands.

use crate::arguments::{Command, ManifestCommand, ServiceStateArguments, ServiceStateCommand};
use crate::{Arguments, CtlError, Report, ServiceState, Settings, Target, admin};
use crate::{
    apply_manifest, check_manifest, digest_key, logs_report, set_service_state, show_manifest, status_report,
    timeline_report,
};
use rand::Rng as _;
use std::path::Path;
use wasabiyard_platform::HttpPlatform;

/// Runs the command given in `args` and returns its output.
///
/// # Errors
///
/// When a command or a required setting is missing, the settings are malformed, or the command fails.
pub async fn run(args: &Arguments) -> Result<Report, CtlError> {
    let settings = Settings::load(args)?;
    let platform = || Ok::<_, CtlError>(HttpPlatform::new(settings.platform()?, settings.timeout));
    match args
        .command
        .as_ref()
        .ok_or(CtlError::MissingCommand { parent_command: "" })?
    {
        Command::Manifest(manifest) => {
            match manifest.command.as_ref().ok_or(CtlError::MissingCommand {
                parent_command: "manifest",
            })? {
                ManifestCommand::Check(args) => check_manifest(&read_file(&args.file)?),
                ManifestCommand::Apply(args) => {
                    apply_manifest(&platform()?, &read_file(&args.file)?, args.expect).await
                }
                ManifestCommand::Show(_) => show_manifest(&platform()?).await,
            }
        }
        Command::Domain(args) => {
            let (state, target_name) = parse_service_state(args, "domain")?;
            set_service_state(&platform()?, Target::FailureDomain, state, target_name).await
        }
        Command::Instance(args) => {
            let (state, target_name) = parse_service_state(args, "instance")?;
            set_service_state(&platform()?, Target::Instance, state, target_name).await
        }
        Command::Key(_) => digest_key(std::io::stdin().lock(), rand::rng().random()),
        Command::Status(_) => {
            status_report(admin::fetch_all_pages(settings.admin()?, "/status", settings.timeout).await)
        }
        Command::Logs(args) => logs_report(&args.files, args.request.as_deref()),
        Command::Timeline(_) => {
            timeline_report(admin::fetch_all_pages(settings.admin()?, "/timeline", settings.timeout).await)
        }
    }
}

fn parse_service_state<'a>(
    args: &'a ServiceStateArguments,
    parent_command: &'static str,
) -> Result<(ServiceState, &'a str), CtlError> {
    match args
        .command
        .as_ref()
        .ok_or(CtlError::MissingCommand { parent_command })?
    {
        ServiceStateCommand::Out(args) => Ok((ServiceState::Out, &args.name)),
        ServiceStateCommand::In(args) => Ok((ServiceState::In, &args.name)),
    }
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|source| CtlError::ReadFile {
        path: path.to_owned(),
        source,
    })
}
