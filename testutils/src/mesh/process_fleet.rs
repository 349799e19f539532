//! Starts nodes and stand-ins as separate processes.

use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use balsamfold::process::control;
use balsamfold::process::control::ControlClient;
use balsamfold::process::control::ControlHttpClient;
use balsamfold::process::node::ReadyLine;
use balsamfold::process::secret::FleetSecret;
use balsamfold::values::ServiceId;
use balsamfold::version::Configuration;

use super::ChildProcess;
use super::Programs;
use super::ServicePlan;
use crate::backend_server::Behaviour;
use crate::backend_server::ServerPlan;
use crate::backend_server::Upstream;
use crate::fleet::FLEET_SECRET;

const POLL_PERIOD: Duration = Duration::from_millis(100);
const START_TIMEOUT: Duration = Duration::from_secs(60);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Most seed nodes that a starting node gets.
const SEEDS_MAX: usize = 3;

/// One node and its backend server, as two processes.
#[derive(Debug)]
pub struct ProcessNode {
    /// The name of the node.
    pub name: String,
    /// The zone of the node.
    pub zone: String,
    /// The service of its backend server.
    pub service: ServiceId,
    /// The process of the node.
    pub node: ChildProcess,
    /// The process of the backend server.
    pub server: ChildProcess,
    /// The listen addresses of the node.
    pub addresses: ReadyLine,
    /// The listen address of the backend server.
    pub server_address: SocketAddr,
}

/// A fleet of separate processes; dropping it kills all of them.
#[derive(Debug)]
pub struct ProcessFleet {
    /// The nodes.
    pub nodes: Vec<ProcessNode>,
    /// The process of the platform stand-in.
    pub platform: ChildProcess,
    /// The listen address of the platform stand-in.
    pub platform_address: SocketAddr,
    programs: Programs,
    services: Vec<ServicePlan>,
}

impl ProcessFleet {
    /// Starts the platform stand-in and all processes of `services` in each of `zones`.
    pub fn start(
        programs: &Programs,
        zones: &[&str],
        services: &[ServicePlan],
    ) -> Result<Self, Box<dyn Error>> {
        let platform = ChildProcess::start(&mut programs.command("platform-stand-in"))?;
        let platform_address: SocketAddr = platform.first_line().trim().parse()?;
        let mut nodes: Vec<ProcessNode> = Vec::new();
        for zone in zones {
            for service in services {
                for _ in 0..service.servers_per_zone {
                    let seeds: Vec<SocketAddr> = nodes
                        .iter()
                        .take(SEEDS_MAX)
                        .map(|node| node.addresses.others.probe)
                        .collect();
                    let name = format!("node-{}", nodes.len());
                    let options = NodeOptions {
                        name: &name,
                        zone,
                        platform: platform_address,
                        seeds: &seeds,
                    };
                    nodes.push(start_node(programs, &options, service)?);
                }
            }
        }
        Ok(Self {
            nodes,
            platform,
            platform_address,
            programs: programs.clone(),
            services: services.to_vec(),
        })
    }

    /// Replaces a node and its backend server by new processes with the same node name.
    pub fn restart(&mut self, index: usize) -> Result<(), Box<dyn Error>> {
        let seeds: Vec<SocketAddr> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(_, node)| node.addresses.others.probe)
            .take(SEEDS_MAX)
            .collect();
        let old = &self.nodes[index];
        let name = old.name.clone();
        let zone = old.zone.clone();
        let service = self
            .services
            .iter()
            .find(|service| service.server.service == old.service)
            .ok_or("the service of the node has no plan")?;
        let options = NodeOptions {
            name: &name,
            zone: &zone,
            platform: self.platform_address,
            seeds: &seeds,
        };
        let node = start_node(&self.programs, &options, service)?;
        self.nodes[index] = node;
        Ok(())
    }

    /// Puts `configuration` in force on all nodes and waits until they list all backend servers and
    /// every zone has a holder of its rates.
    pub async fn configure(&self, configuration: &Configuration) -> Result<(), Box<dyn Error>> {
        for node in &self.nodes {
            let control = node.control()?;
            control.offer_configuration(configuration.clone()).await?;
        }
        self.wait_until_ready().await
    }

    /// Waits until all nodes list all backend servers and every zone has a holder of its rates.
    pub async fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
        let known = async {
            for node in &self.nodes {
                let control = node.control()?;
                while known_servers(&control).await? < self.nodes.len() {
                    tokio::time::sleep(POLL_PERIOD).await;
                }
            }
            while !self.all_zones_have_rate_holders().await? {
                tokio::time::sleep(POLL_PERIOD).await;
            }
            Ok(())
        };
        tokio::time::timeout(START_TIMEOUT, known).await?
    }

    async fn all_zones_have_rate_holders(&self) -> Result<bool, Box<dyn Error>> {
        let mut missing: BTreeSet<&str> =
            self.nodes.iter().map(|node| node.zone.as_str()).collect();
        for node in &self.nodes {
            if node.control()?.dump().await?.holds_rates {
                missing.remove(node.zone.as_str());
            }
        }
        Ok(missing.is_empty())
    }

    /// Returns the addresses of the caller listeners of all nodes.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .map(|node| node.addresses.caller)
            .collect()
    }
}

impl ProcessNode {
    /// Returns a client of the node's control channel.
    pub fn control(&self) -> Result<ControlHttpClient, Box<dyn Error>> {
        let secret: FleetSecret = FLEET_SECRET.parse()?;
        let address = self.addresses.others.control;
        Ok(control::connect(address, &secret, CONTROL_TIMEOUT)?)
    }
}

async fn known_servers(control: &ControlHttpClient) -> Result<usize, Box<dyn Error>> {
    let records = control.nodes().await?;
    let serving = records.iter().filter(|record| record.server.is_some());
    Ok(serving.count())
}

/// The options with which a node starts.
struct NodeOptions<'a> {
    name: &'a str,
    zone: &'a str,
    platform: SocketAddr,
    seeds: &'a [SocketAddr],
}

fn start_node(
    programs: &Programs,
    options: &NodeOptions<'_>,
    service: &ServicePlan,
) -> Result<ProcessNode, Box<dyn Error>> {
    let NodeOptions { name, zone, .. } = *options;
    let mut command = programs.command("balsamfold-node");
    command
        .args(["--node", name, "--zone", zone])
        .args(["--service", service.server.service.as_str()])
        .args(["--platform", &options.platform.to_string()])
        .args(["--log-level", "warn"])
        .env("BALSAMFOLD_FLEET_SECRET", FLEET_SECRET);
    for seed in options.seeds {
        command.args(["--seed", &seed.to_string()]);
    }
    let node = ChildProcess::start(&mut command)?;
    let addresses: ReadyLine = serde_json::from_str(node.first_line())?;
    let server = start_server(
        programs,
        &service.server,
        &service.behaviour,
        Upstream::Node(addresses.local),
    )?;
    Ok(ProcessNode {
        name: name.to_owned(),
        zone: zone.to_owned(),
        service: service.server.service.clone(),
        server_address: server.first_line().parse()?,
        node,
        server,
        addresses,
    })
}

/// Starts a backend server and waits until it listens. Its first line of output is its address.
pub fn start_server(
    programs: &Programs,
    plan: &ServerPlan,
    behaviour: &Behaviour,
    upstream: Upstream,
) -> Result<ChildProcess, Box<dyn Error>> {
    let mut command = programs.command("backend-server-stand-in");
    command
        .args(["--plan", &serde_json::to_string(plan)?])
        .args(["--behaviour", &serde_json::to_string(behaviour)?]);
    match upstream {
        Upstream::Node(address) => command.args(["--node", &address.to_string()]),
        Upstream::Direct(address) => command.args(["--direct", &address.to_string()]),
        Upstream::None => &mut command,
    };
    Ok(ChildProcess::start(&mut command)?)
}
