//! Starts the memberships of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use balsamfold::process::membership::Membership;
use balsamfold::process::membership::MembershipOptions;
use balsamfold::process::membership::NodeAddresses;
use balsamfold::process::membership::ServerRecord;
use balsamfold::process::secret::FleetSecret;
use balsamfold::values::Clock;
use balsamfold::values::ConnectionCount;
use balsamfold::values::NodeId;
use balsamfold::values::SlotCount;
use tokio::net::UdpSocket;

use crate::links::Links;
use crate::links::Regions;

const REGIONS: usize = 2;
const ZONES: usize = 8;
const SERVICES: usize = 130;
const STARTS_PER_BATCH: usize = 50;
const BATCH_PERIOD: Duration = Duration::from_millis(100);
/// Number of nodes whose addresses are the seeds of all nodes.
pub(crate) const SEEDS: usize = 16;

/// Starts `size` nodes in two regions and eight zones, in batches.
pub(crate) async fn start_fleet(size: usize, links: &Arc<Links>) -> Vec<Membership> {
    let mut sockets = Vec::new();
    for _ in 0..size {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
        sockets.push(socket);
    }
    let addresses: Vec<SocketAddr> = sockets
        .iter()
        .map(|socket| socket.local_addr().expect("bound socket"))
        .collect();
    let seeds: Vec<_> = addresses.iter().take(SEEDS).copied().collect();
    let regions = addresses.iter().enumerate();
    let regions = regions.map(|(index, address)| (*address, index % REGIONS));
    let regions: Arc<Regions> = Arc::new(regions.collect());
    let mut fleet = Vec::new();
    for (index, socket) in sockets.into_iter().enumerate() {
        let options = options(index, addresses[index], seeds.clone());
        let filter = links.filter(index % REGIONS, &regions);
        let membership = Membership::start(options, socket, filter, Clock::start());
        fleet.push(membership);
        if index % STARTS_PER_BATCH == 0 {
            tokio::time::sleep(BATCH_PERIOD).await;
        }
    }
    fleet
}

/// Returns the options with which a node starts.
pub(crate) fn options(
    index: usize,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
) -> MembershipOptions {
    let secret: FleetSecret = "a secret for measurements"
        .parse()
        .expect("secret long enough");
    let zone = format!("region-{}-zone-{}", index % REGIONS, index % ZONES);
    let service = format!("service-{}", index % SERVICES);
    MembershipOptions {
        id: node_id(index),
        zone: zone.parse().expect("valid name"),
        addresses: NodeAddresses {
            peer: address,
            control: address,
            probe: address,
        },
        server: Some(ServerRecord {
            service: service.parse().expect("valid name"),
            slots: SlotCount(90),
            connections: ConnectionCount(650),
        }),
        seeds,
        secret,
        random_seed: index as u64,
    }
}

/// Returns the id of the node with this index.
pub(crate) fn node_id(index: usize) -> NodeId {
    format!("instance-{index:04}").parse().expect("valid name")
}
