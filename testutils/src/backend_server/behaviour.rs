//! How a stand-in treats the requests that it receives.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

/// A fault that a test switches on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses every request with status 503.
    Shed,
    /// Runs requests and closes the connection without a response.
    #[serde(rename = "lose-answer")]
    LoseResponse,
    /// Sends half of each response body and closes the connection.
    #[serde(rename = "cut-answer")]
    TruncateResponse,
    /// Sends the handle of another request in the response.
    #[serde(rename = "cross-answer")]
    WrongHandle,
}

/// How a stand-in treats the requests that it receives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Behaviour {
    /// Time for which a request holds its slot, without onward calls.
    pub service_time_ms: f64,
    /// Largest random deviation of the service time, as a fraction of it.
    pub jitter_ratio: f64,
    /// Bytes of padding in each response body.
    pub padding_bytes: usize,
    /// The fault that is switched on.
    pub fault: Fault,
    /// A request whose body contains this text crashes the stand-in.
    pub crash_on: Option<String>,
    /// Time for which a crashing stand-in still listens after it closed the connection of the request;
    /// 0 crashes at once.
    #[serde(default)]
    pub crash_delay_ms: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            service_time_ms: 5.0,
            jitter_ratio: 0.2,
            padding_bytes: 64,
            fault: Fault::None,
            crash_on: None,
            crash_delay_ms: 0,
        }
    }
}

impl Behaviour {
    /// Draws the service time of one request.
    pub fn service_time(&self, random: &mut StdRng) -> Duration {
        let factor = 1.0 + self.jitter_ratio * random.random_range(-1.0..=1.0);
        Duration::from_secs_f64(self.service_time_ms * factor / 1_000.0)
    }

    /// Returns whether a request with this `body` crashes the stand-in.
    pub fn crashes_on(&self, body: &[u8]) -> bool {
        match &self.crash_on {
            Some(text) => body.windows(text.len()).any(|part| part == text.as_bytes()),
            None => false,
        }
    }
}
