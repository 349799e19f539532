//! The services of a fleet.

use crate::backend_server::Behaviour;
use crate::backend_server::ServerPlan;

/// One service of a fleet.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The configuration of each of its backend servers.
    pub server: ServerPlan,
    /// The behaviour of each of its backend servers.
    pub behaviour: Behaviour,
    /// Number of backend servers in each zone.
    pub servers_per_zone: usize,
}

/// Returns a chain of services in which each calls the next one in `names`.
pub fn chain(names: &[&str], servers_per_zone: usize, service_time_ms: f64) -> Vec<ServicePlan> {
    names
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let next = names.get(index + 1).map(|next| format!("/{next}"));
            let calls: Vec<&str> = next.iter().map(String::as_str).collect();
            ServicePlan {
                server: ServerPlan::small(name, &calls),
                behaviour: Behaviour {
                    service_time_ms,
                    ..Behaviour::default()
                },
                servers_per_zone,
            }
        })
        .collect()
}
