//! The routes, organisations and keys of one configuration, indexed for forwarding.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use super::CallerKey;
use super::KeyHash;
use super::Repeatability;
use crate::values::ConfigVersion;
use crate::values::Importance;
use crate::values::OrganisationId;
use crate::values::RatePerSecond;
use crate::values::ServerRate;
use crate::values::ServiceId;
use crate::values::TokenCount;

plain_data! {
    /// A target service of a route, with its share of the route's requests.
    pub struct WeightedService {
        /// The service.
        pub service: ServiceId,
        /// The service's share, relative to the shares of the other targets of the route.
        pub weight: u32,
    }
}

plain_data! {
    /// How requests of one route are handled.
    pub struct PlannedRoute {
        /// The name of the route.
        pub name: String,
        /// The services that run its requests; at least one.
        pub targets: Vec<WeightedService>,
        /// Whether a request may run more than once.
        pub repeatability: Repeatability,
        /// Maximum time that a request may take.
        pub timeout_ms: u64,
        /// Time within which a response has its full value.
        pub latency_objective_ms: u64,
        /// Maximum number of servers that one request may be sent to.
        pub attempts_max: u32,
        /// Priority among the routes when capacity is short; 0 is the highest.
        pub priority: Priority,
        /// Whether requests need no key.
        pub is_open: bool,
    }
}

plain_data! {
    /// Limits of one organisation.
    pub struct OrganisationLimits {
        /// The organisation.
        pub id: OrganisationId,
        /// Average number of requests per second that it may start; `None` means no limit.
        pub rate_per_s: Option<RatePerSecond>,
        /// Number of requests that it may start at once beyond the rate.
        pub burst: TokenCount,
        /// Priority among the organisations, which takes precedence over the routes' priority; 0 is
        /// the highest.
        pub priority: Priority,
    }
}

plain_value! {
    /// Bounds on what callers may send.
    pub struct CallerLimits {
        /// Maximum number of bytes in the headers of a request.
        pub header_bytes_max: usize,
        /// Maximum number of bytes in the body of a request.
        pub body_bytes_max: usize,
        /// Maximum time until the headers of a request have arrived.
        pub header_timeout_ms: u64,
        /// Time after which an idle connection is closed.
        pub idle_timeout_ms: u64,
    }
}

impl Default for CallerLimits {
    /// Returns the bounds that apply before the first configuration. They are those of HTTP servers
    /// in common use.
    fn default() -> Self {
        Self {
            header_bytes_max: 64 * 1_024,
            body_bytes_max: 64 * 1_024 * 1_024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

number_type! {
    /// A priority; 0 is the highest.
    Priority(u8)
}

impl Priority {
    /// Lowest distinct priority. Larger numbers are treated like this one.
    const LOWEST: u8 = 15;

    fn level(self) -> u8 {
        Self::LOWEST - self.0.min(Self::LOWEST)
    }
}

impl PlannedRoute {
    /// Returns the importance of a request: by the priority of its organisation first, then by that
    /// of the route. Requests without an organisation rank with the highest organisations.
    pub fn importance_for(&self, organisation: Option<&OrganisationLimits>) -> Importance {
        let organisation = organisation.map_or(Priority(0), |limits| limits.priority);
        Importance(organisation.level() * (Priority::LOWEST + 1) + self.priority.level())
    }
}

/// The routes of one host, by path prefix.
#[derive(Clone, Debug, Default)]
pub struct HostRoutes {
    by_prefix: HashMap<String, Arc<PlannedRoute>>,
}

impl HostRoutes {
    /// Creates the routes of a host. Of two routes with the same prefix, the later one is used.
    pub fn new(routes: impl IntoIterator<Item = (String, PlannedRoute)>) -> Self {
        let by_prefix = routes
            .into_iter()
            .map(|(prefix, route)| (prefix, Arc::new(route)))
            .collect();
        Self { by_prefix }
    }

    /// Finds the route with the longest prefix of `path`. Prefixes end with a slash.
    fn route_of(&self, path: &str) -> Option<&Arc<PlannedRoute>> {
        let mut end = path.len();
        while let Some(slash) = path.get(..end)?.rfind('/') {
            if let Some(route) = self.by_prefix.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// The routes, organisations and keys of one configuration, indexed for forwarding.
///
/// Keys are stored as hashes only.
#[derive(Clone, Debug, Default)]
pub struct TrafficPlan {
    /// The version. It only increases.
    pub version: ConfigVersion,
    /// The routes by host.
    pub hosts: HashMap<String, HostRoutes>,
    /// The organisations.
    pub organisations: BTreeMap<OrganisationId, Arc<OrganisationLimits>>,
    /// Bounds on what callers may send.
    pub limits: CallerLimits,
    /// The requests per second that cold servers take, of services that name them.
    pub cold_rates: BTreeMap<ServiceId, ServerRate>,
    keys: HashMap<[u8; Self::KEY_INDEX_BYTES], (KeyHash, Arc<OrganisationLimits>)>,
}

impl TrafficPlan {
    /// Number of bytes of a key's hash by which it is indexed.
    const KEY_INDEX_BYTES: usize = 16;

    /// Creates a configuration without routes and organisations.
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds an organisation with its keys.
    pub fn add_organisation(
        &mut self,
        limits: OrganisationLimits,
        keys: impl IntoIterator<Item = CallerKey>,
    ) {
        let limits = Arc::new(limits);
        for key in keys {
            let hash = KeyHash::of(&key);
            self.keys.insert(hash.prefix(), (hash, Arc::clone(&limits)));
        }
        self.organisations.insert(limits.id.clone(), limits);
    }

    /// Finds the route for a host and path.
    pub fn route_of(&self, host: &str, path: &str) -> Option<&Arc<PlannedRoute>> {
        self.hosts.get(host)?.route_of(path)
    }

    /// Returns the limits of the organisation that owns `key`.
    pub fn organisation_of(&self, key: &CallerKey) -> Option<&Arc<OrganisationLimits>> {
        let hash = KeyHash::of(key);
        let (known, limits) = self.keys.get(&hash.prefix())?;
        known.matches(&hash).then_some(limits)
    }

    /// Returns whether requests of routes that are not open need a key.
    pub fn needs_keys(&self) -> bool {
        !self.organisations.is_empty()
    }
}
