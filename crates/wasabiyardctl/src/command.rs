//! Runs the command of the arguments.

use crate::arguments::{Command, ManifestCommand, ServiceArguments, ServiceCommand};
use crate::{Arguments, Change, CtlError, Report, Settings, Subject, admin};
use crate::{apply, change_service, check, digest_of_key, logs_report, show, status_report, timeline_report};
use rand::Rng as _;
use std::path::Path;
use wasabiyard_platform::HttpPlatform;

/// Runs the command that the arguments name.
///
/// # Errors
///
/// As the command.
pub async fn run(args: &Arguments) -> Result<Report, CtlError> {
    let settings = Settings::load(args)?;
    let platform = || Ok::<_, CtlError>(HttpPlatform::new(settings.platform()?, settings.timeout));
    match args.command.as_ref().ok_or(CtlError::Usage { given: "" })? {
        Command::Manifest(manifest) => {
            match manifest
                .command
                .as_ref()
                .ok_or(CtlError::Usage { given: "manifest" })?
            {
                ManifestCommand::Check(args) => check(&read(&args.file)?),
                ManifestCommand::Apply(args) => apply(&platform()?, &read(&args.file)?, args.expect).await,
                ManifestCommand::Show(_) => show(&platform()?).await,
            }
        }
        Command::Domain(args) => {
            let (change, name) = service(args, "domain")?;
            change_service(&platform()?, Subject::Domain, change, name).await
        }
        Command::Instance(args) => {
            let (change, name) = service(args, "instance")?;
            change_service(&platform()?, Subject::Instance, change, name).await
        }
        Command::Key(_) => digest_of_key(std::io::stdin().lock(), rand::rng().random()),
        Command::Status(_) => {
            status_report(admin::get_all(settings.admin()?, "/status", settings.timeout).await)
        }
        Command::Logs(args) => logs_report(&args.files, args.request.as_deref()),
        Command::Timeline(_) => {
            timeline_report(admin::get_all(settings.admin()?, "/timeline", settings.timeout).await)
        }
    }
}

fn service<'a>(args: &'a ServiceArguments, given: &'static str) -> Result<(Change, &'a str), CtlError> {
    match args.command.as_ref().ok_or(CtlError::Usage { given })? {
        ServiceCommand::Out(args) => Ok((Change::Out, &args.name)),
        ServiceCommand::In(args) => Ok((Change::In, &args.name)),
    }
}

fn read(path: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(path).map_err(|source| CtlError::File {
        path: path.to_owned(),
        source,
    })
}
