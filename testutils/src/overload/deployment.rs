//! The two simulated deployments, each with the trigger of its overload.

use std::time::Duration;

/// A service and its servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// The name of the service.
    pub name: &'static str,
    /// Number of servers, assigned to the zones in turn.
    pub servers: usize,
    /// Number of requests that a server runs at the same time.
    pub slots: u32,
    /// Number of connections that a server accepts at the same time.
    pub connections: usize,
    /// Mean time that a server works on a request, without its onward call.
    pub service_time: Duration,
}

/// A kind of root request.
#[derive(Clone, Debug)]
pub struct Route {
    /// Path as callers send it.
    pub path: &'static str,
    /// Importance of the requests. Those of a lower value are shed first when capacity is short.
    pub importance: u8,
    /// Indexes of the services that call one another, in the order of the calls.
    pub chain: Vec<usize>,
    /// Fraction of all root requests, from 0 to 1.
    pub share: f64,
}

/// An organisation that sends root requests.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: String,
    /// Requests per second that it may send.
    pub rate_per_s: u32,
}

/// A deployment and the trigger of its overload: during the trigger one service is slowed and one
/// organisation exceeds its rate.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name of the deployment.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones: usize,
    /// One-way network delay between clients and nodes.
    pub client_delay: Duration,
    /// Services; routes refer to them by index.
    pub services: Vec<Service>,
    /// Kinds of root requests; their shares add up to 1.
    pub routes: Vec<Route>,
    /// Organisations. The first exceeds its rate during the trigger.
    pub organisations: Vec<Organisation>,
    /// Fraction of its rate that each organisation uses.
    pub load: f64,
    /// Index of the service that is slowed during the trigger.
    pub slowed: usize,
    /// Factor on the service time of the slowed service.
    pub slow_factor: u32,
    /// Multiple of its rate that the first organisation sends during the trigger.
    pub excess_factor: f64,
    /// Start of the trigger, from the start of the experiment.
    pub trigger_start: Duration,
    /// End of the trigger, from the start of the experiment.
    pub trigger_end: Duration,
    /// Time from the start of the experiment from which on clients send no new requests.
    pub end: Duration,
}

impl Deployment {
    /// Returns the deployment of Botonera Andina, where the stock service is slowed.
    pub fn botonera() -> Self {
        Self {
            name: "Botonera Andina",
            zones: 4,
            client_delay: Duration::from_millis(10),
            services: vec![
                service("catalogue", 4, 90, 650, 30),
                service("price", 4, 90, 650, 20),
                service("order", 4, 90, 650, 20),
                service("stock", 4, 10, 150, 20),
            ],
            routes: vec![
                route("/stock", 200, &[2, 3], 0.25),
                route("/orders", 150, &[2, 1, 3], 0.10),
                route("/catalogue", 50, &[0, 1, 3], 0.65),
            ],
            organisations: organisations(&[450, 375, 300, 150, 75, 75, 45, 30]),
            load: 0.8,
            slowed: 3,
            ..Self::trigger()
        }
    }

    /// Returns the deployment of Cap Bon, where the delivery service is slowed.
    pub fn cap_bon() -> Self {
        Self {
            name: "Cap Bon",
            zones: 3,
            client_delay: Duration::from_millis(3),
            services: vec![
                service("catalogue", 5, 200, 1300, 30),
                service("dispatch", 3, 330, 2000, 30),
                service("billing", 3, 330, 2000, 30),
                service("delivery", 3, 50, 400, 50),
            ],
            routes: vec![
                route("/dispatches", 200, &[1, 3], 0.25),
                route("/bookings", 150, &[0, 3, 1], 0.15),
                route("/invoices", 100, &[2], 0.10),
                route("/catalogue", 50, &[0, 3], 0.50),
            ],
            organisations: organisations(&[750, 625, 500, 250, 125, 125, 75, 50]),
            load: 0.8,
            slowed: 3,
            ..Self::trigger()
        }
    }

    /// Returns the deployment with a first organisation that keeps its rate like the others.
    pub fn without_excess(self) -> Self {
        Self {
            excess_factor: self.load,
            ..self
        }
    }

    /// Returns the deployment with a trigger of length `trigger` after two seconds, and an end
    /// three seconds after it.
    pub fn shortened(self, trigger: Duration) -> Self {
        let trigger_start = Duration::from_secs(2);
        Self {
            trigger_start,
            trigger_end: trigger_start + trigger,
            end: trigger_start + trigger + Duration::from_secs(3),
            ..self
        }
    }

    fn trigger() -> Self {
        Self {
            name: "",
            zones: 1,
            client_delay: Duration::ZERO,
            services: Vec::new(),
            routes: Vec::new(),
            organisations: Vec::new(),
            load: 0.0,
            slowed: 0,
            slow_factor: 5,
            excess_factor: 4.0,
            trigger_start: Duration::from_secs(5),
            trigger_end: Duration::from_secs(15),
            end: Duration::from_secs(30),
        }
    }

    /// Returns the number of requests per second that the slowed service can finish during the
    /// trigger.
    pub fn slowed_capacity_per_s(&self) -> f64 {
        let service = &self.services[self.slowed];
        let slots = f64::from(service.slots) * service.servers as f64;
        slots / (service.service_time * self.slow_factor).as_secs_f64()
    }

    /// Returns whether requests on the route with index `route` call the slowed service.
    pub fn needs_slowed(&self, route: usize) -> bool {
        self.routes[route].chain.contains(&self.slowed)
    }
}

fn service(
    name: &'static str,
    servers: usize,
    slots: u32,
    connections: usize,
    service_ms: u64,
) -> Service {
    Service {
        name,
        servers,
        slots,
        connections,
        service_time: Duration::from_millis(service_ms),
    }
}

fn route(path: &'static str, importance: u8, chain: &[usize], share: f64) -> Route {
    Route {
        path,
        importance,
        chain: chain.to_vec(),
        share,
    }
}

fn organisations(rates_per_s: &[u32]) -> Vec<Organisation> {
    rates_per_s
        .iter()
        .enumerate()
        .map(|(index, rate_per_s)| Organisation {
            name: format!("organisation-{index}"),
            rate_per_s: *rate_per_s,
        })
        .collect()
}
