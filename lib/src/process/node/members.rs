//! Membership of a node: its socket, and its announcements to the fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;

use super::Node;
use super::announcement;
use crate::process::membership::LinkFilter;
use crate::process::membership::MemberTable;
use crate::process::membership::Membership;
use crate::process::membership::MembershipOptions;
use crate::process::membership::NodeAddresses;
use crate::process::settings::NodeSettings;
use crate::values::Clock;

/// A bound socket for membership datagrams.
#[derive(Debug)]
pub struct ProbeSocket {
    socket: UdpSocket,
    address: SocketAddr,
}

impl ProbeSocket {
    /// Binds `address`; port 0 selects any free port.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// Returns the bound address with its actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts membership on the socket, initially without a backend server.
    pub(super) fn start(
        self,
        settings: &NodeSettings,
        addresses: &NodeAddresses,
        clock: &Clock,
    ) -> Membership {
        let options = MembershipOptions {
            id: settings.node.clone(),
            zone: settings.zone.clone(),
            addresses: addresses.clone(),
            server: None,
            seeds: settings.seeds.clone(),
            secret: settings.fleet_secret.clone(),
            random_seed: rand::random(),
        };
        Membership::start(options, self.socket, LinkFilter::allow_all(), *clock)
    }
}

impl Node {
    /// Returns the known nodes.
    pub fn members(&self) -> Arc<MemberTable> {
        self.membership.latest()
    }

    /// Announces the local backend server, or its absence, to the fleet.
    pub(super) fn publish_server(&self) {
        match announcement::server_record(self) {
            Some(server) => self.membership.announce(server),
            None => self.membership.withdraw_server(),
        }
    }
}
