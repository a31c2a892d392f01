//! Runs the platform stand-in or a group stand-in as a process, for tests and measurements only.

use async_io::Async;
use gumdrop::Options;
use miette::{IntoDiagnostic, WrapErr, miette};
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_platform::{
    GroupSlot, GroupState, HttpPlatform, Platform, Precondition, ReplicationGroup, SlotState, keys,
};
use wasabiyard_standin::group::{Credentials, Group, GroupAdmin, SlotFaults, replicate_slot, serve_slot};
use wasabiyard_standin::platform::PlatformService;
use wasabiyard_standin::{http, runtime};

/// Bounds one attempt to write the object of the group.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts before the process exits with an error.
const REGISTRATION_ATTEMPTS: u32 = 50;
/// Delay between two attempts.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Stand-ins for the platform and the database groups of wasabiyard.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "serve the API of the platform")]
    Platform(PlatformArguments),
    #[options(help = "serve one database group")]
    Group(GroupArguments),
}

#[derive(Debug, Options)]
struct PlatformArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "address to listen on", meta = "IP:PORT")]
    listen: Option<SocketAddr>,
    #[options(
        help = "seed that selects the writes whose response is dropped",
        default = "1"
    )]
    seed: u64,
    #[options(help = "number of executor threads", default = "1")]
    threads: usize,
}

#[derive(Debug, Options)]
struct GroupArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "name of the database", meta = "DB")]
    name: String,
    #[options(help = "number of slots", default = "3")]
    slots: usize,
    #[options(
        required,
        no_short,
        help = "port of the first slot; the others follow",
        meta = "P"
    )]
    base_port: u16,
    #[options(required, no_short, help = "address of the admin interface", meta = "IP:PORT")]
    admin: Option<SocketAddr>,
    #[options(no_short, help = "platform to register the group with", meta = "IP:PORT")]
    platform: Option<SocketAddr>,
    #[options(
        no_short,
        help = "failure domains of the slots, assigned in turn",
        default = "a,b,c"
    )]
    domains: String,
    #[options(no_short, help = "connection limit of each slot, 0 for none", default = "20")]
    connections: u32,
    #[options(
        no_short,
        help = "connection limit that the registered object states, 0 for that of the slots",
        default = "0"
    )]
    listed_connections: u32,
    #[options(no_short, help = "duration of a login, in milliseconds", default = "12")]
    connect_ms: u64,
    #[options(
        no_short,
        help = "replication lag of the replicas, in milliseconds",
        default = "1"
    )]
    lag_ms: u64,
    #[options(no_short, help = "user name that the slots accept", default = "wasabiyard")]
    user: String,
    #[options(
        no_short,
        help = "password that the slots accept",
        default = "backend-password"
    )]
    password: String,
    #[options(no_short, help = "number of executor threads", default = "2")]
    threads: usize,
}

fn main() -> miette::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match Arguments::parse_args_default_or_exit().command {
        Some(Command::Platform(args)) => run_platform(&args),
        Some(Command::Group(args)) => run_group(&args),
        None => Err(miette!(
            help = "use `platform` or `group`, each with --help",
            "no command given"
        )),
    }
}

fn run_platform(args: &PlatformArguments) -> miette::Result<()> {
    let address = args.listen.ok_or_else(|| miette!("--listen is missing"))?;
    let listener = bind(address)?;
    let ex = runtime::spawn(args.threads).into_diagnostic()?;
    log::info!("platform stand-in listening on {address}");
    let service = Arc::new(PlatformService::new(args.seed));
    async_io::block_on(http::serve(ex, listener, service));
    Ok(())
}

fn run_group(args: &GroupArguments) -> miette::Result<()> {
    let admin = args.admin.ok_or_else(|| miette!("--admin is missing"))?;
    let credentials = Credentials {
        user: args.user.clone(),
        password: args.password.clone(),
    };
    let faults = SlotFaults {
        cap: args.connections,
        connect_ms: args.connect_ms,
        lag_ms: args.lag_ms,
        ..SlotFaults::default()
    };
    let group = Arc::new(Group::new(args.slots, credentials, faults));
    let admin_listener = bind(admin)?;
    let ex = runtime::spawn(args.threads).into_diagnostic()?;
    for (index, address) in slot_addresses(args, admin).into_iter().enumerate() {
        let listener = bind(address)?;
        ex.spawn(serve_slot(Arc::clone(&ex), Arc::clone(&group), index, listener))
            .detach();
        ex.spawn(replicate_slot(Arc::clone(&group), index)).detach();
    }
    if let Some(platform) = args.platform {
        async_io::block_on(register_group(args, admin, platform))?;
    }
    log::info!(
        "group {} running with {} slots, admin interface on {admin}",
        args.name,
        args.slots
    );
    async_io::block_on(http::serve(ex, admin_listener, Arc::new(GroupAdmin::new(group))));
    Ok(())
}

/// Addresses of the slots: the IP address of the admin interface, with consecutive ports from `--base-port`.
fn slot_addresses(args: &GroupArguments, admin: SocketAddr) -> Vec<SocketAddr> {
    (0..args.slots)
        .map(|i| SocketAddr::new(admin.ip(), args.base_port + i as u16))
        .collect()
}

fn bind(address: SocketAddr) -> miette::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Creates the object of the group on the platform, unless it exists.
async fn register_group(
    args: &GroupArguments,
    admin: SocketAddr,
    platform: SocketAddr,
) -> miette::Result<()> {
    let domains: Vec<&str> = args.domains.split(',').map(str::trim).collect();
    let slots = slot_addresses(args, admin).into_iter().enumerate();
    let object = ReplicationGroup {
        term: 1,
        primary: "s0".to_owned(),
        owner: "standin/0".to_owned(),
        state: GroupState::Stable,
        max_connections: if args.listed_connections == 0 {
            args.connections
        } else {
            args.listed_connections
        },
        slots: slots
            .map(|(i, address)| GroupSlot {
                id: format!("s{i}"),
                address: address.to_string(),
                domain: domains[i % domains.len()].to_owned(),
                state: SlotState::Live,
            })
            .collect(),
    };
    let key = format!("{}{}", keys::GROUP_PREFIX, args.name);
    let client = HttpPlatform::new(platform, REGISTRATION_TIMEOUT);
    let mut last_error = None;
    for _ in 0..REGISTRATION_ATTEMPTS {
        match client.put(&key, Precondition::Absent, &json!(object)).await {
            Ok(_) | Err(wasabiyard_platform::PlatformError::Conflict { .. }) => return Ok(()),
            Err(e) => last_error = Some(e),
        }
        async_io::Timer::after(REGISTRATION_RETRY_DELAY).await;
    }
    Err(miette!("cannot register {key} with the platform: {last_error:?}"))
}
