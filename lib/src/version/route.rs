//! Routes from paths to services.

use crate::values::Importance;
use crate::values::ServiceId;

plain_value! {
    /// Who may use a route.
    #[serde(rename_all = "kebab-case")]
    pub enum Access {
        /// Requests need a key of an organisation.
        Keyed,
        /// Requests run without a key.
        Open,
    }
}

plain_value! {
    /// Whether a request may run more than once.
    #[serde(rename_all = "kebab-case")]
    pub enum Repeatability {
        /// Running the request again has no further effect.
        Idempotent,
        /// The request must run at most once.
        AtMostOnce,
    }
}

plain_data! {
    /// Assigns a path to a service and defines how its requests are handled.
    pub struct Route {
        /// Matches this path and all paths below it.
        pub path: String,
        /// The service whose backend servers run the requests.
        pub service: ServiceId,
        /// Importance of a root request on this route when capacity is short.
        pub importance: Importance,
        /// Whether a request may run more than once.
        pub repeatability: Repeatability,
        /// Who may use the route.
        pub access: Access,
        /// Maximum time that a root request may take.
        pub deadline_ms: u64,
        /// Attempts beyond the first that the whole call tree of a root request may make.
        pub extra_attempts: u32,
    }
}

/// Returns whether `path` has a segment `.` or `..`, plain or percent-encoded.
///
/// A backend server may resolve such a path to another path, whose route was not checked.
pub fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let plain = segment.replace("%2e", ".").replace("%2E", ".");
        plain == "." || plain == ".."
    })
}

impl Route {
    /// Returns whether the route covers `path`.
    pub fn matches(&self, path: &str) -> bool {
        match path.strip_prefix(self.path.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'),
            None => false,
        }
    }
}
