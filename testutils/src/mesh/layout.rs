//! Which services a fleet has.

use crate::backend_server::Behaviour;
use crate::backend_server::ServerPlan;

/// One service of a fleet.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// What each of its backend servers is.
    pub server: ServerPlan,
    /// What each of its backend servers does.
    pub behaviour: Behaviour,
    /// Backend servers in each zone.
    pub servers_per_zone: usize,
}

/// Returns services that call one another in a chain, in the order of `names`.
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
