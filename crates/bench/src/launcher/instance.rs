//! A daemon process with its addresses and settings file.

use super::process::ChildProcess;
use super::{FleetSpec, LaunchError, free_ports};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Shared secret for the links between the daemons of a launched fleet.
const FLEET_SECRET: &str = "loopback-fleet-secret";
/// User name with which the daemons log in to the group stand-ins.
pub const BACKEND_USER: &str = "wasabiyard";
/// Password with which the daemons log in to the group stand-ins.
pub const BACKEND_PASSWORD: &str = "backend-password";

/// A daemon with its addresses, which stay the same across restarts.
#[derive(Debug)]
pub struct InstanceHandle {
    /// Instance id, such as `i0`.
    pub id: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address of the listener for callers (`PostgreSQL` protocol).
    pub callers: SocketAddr,
    /// Address of the listener for links from other daemons.
    pub peers: SocketAddr,
    /// Address of the admin interface (HTTP).
    pub admin: SocketAddr,
    /// The process; `None` while the daemon is stopped.
    pub process: Option<ChildProcess>,
    settings_file: PathBuf,
}

impl InstanceHandle {
    /// Allocates the ports of daemon `index`, without starting it.
    pub(super) fn new(spec: &FleetSpec, index: usize, dir: &Path) -> Result<Self, LaunchError> {
        let first_port = free_ports(3)?;
        let address = |offset| SocketAddr::from((Ipv4Addr::LOCALHOST, first_port + offset));
        let id = format!("i{index}");
        Ok(Self {
            domain: spec.domains[index % spec.domains.len()].clone(),
            callers: address(0),
            peers: address(1),
            admin: address(2),
            process: None,
            settings_file: dir.join(format!("{id}.ini")),
            id,
        })
    }

    /// Writes the settings file. `seeds` are the peer addresses of all daemons of the fleet.
    pub(super) fn write_settings(
        &self,
        spec: &FleetSpec,
        platform: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Result<(), LaunchError> {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "[instance]\nid = {}\nfailure_domain = {}\nregion = loopback\n\
             [listen]\ncallers = {}\npeers = {}\nadmin = {}\n\
             [tls]\nallow_cleartext_keys = true\n\
             [platform]\naddress = {platform}\ntimeout = 2s\n\
             [backend]\nuser = {BACKEND_USER}\npassword = {BACKEND_PASSWORD}\n\
             [fleet]\nsecret = {FLEET_SECRET}\nseeds = {}\n\
             [traffic]\nthreads = {}\nmax_callers = 20000\ndrain_timeout = 5s\n",
            self.id,
            self.domain,
            self.callers,
            self.peers,
            self.admin,
            seeds.join(", "),
            spec.traffic_threads,
        );
        fs::write(&self.settings_file, text)
            .map_err(LaunchError::io("cannot write the settings file of a daemon"))
    }

    /// Starts the process without waiting for readiness.
    pub(super) fn spawn(&mut self, dir: &Path) -> Result<(), LaunchError> {
        let args = ["--config".as_ref(), self.settings_file.as_os_str()];
        self.process = Some(ChildProcess::spawn("wasabiyardd", &self.id, dir, args)?);
        Ok(())
    }
}
