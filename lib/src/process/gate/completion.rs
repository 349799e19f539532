//! How a request that held a slot ended.

use std::time::Duration;

plain_value! {
    /// How a request that held a slot ended, as the node itself saw it.
    #[serde(rename_all = "kebab-case")]
    pub enum CompletionOutcome {
        /// The backend server gave a whole answer.
        Answered,
        /// The backend server shed the request itself, by status 429 or 503.
        ServerRefused,
        /// The connection failed or the answer was broken.
        Failed,
        /// The caller left before the answer.
        Cancelled,
    }
}

plain_value! {
    /// What a request that held a slot tells about the backend server.
    pub struct Completion {
        /// How the request ended.
        pub outcome: CompletionOutcome,
        /// Time for which the request held its slot.
        pub held: Duration,
        /// Part of that time in which the request waited for its onward calls.
        pub onward: Duration,
    }
}

impl Completion {
    /// Returns the time that the backend server itself took.
    pub fn own_time(&self) -> Duration {
        self.held.saturating_sub(self.onward)
    }
}
