//! What a stand-in does to the requests that it runs.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

/// A deliberate fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers every request with 503.
    Shed,
    /// Runs requests and closes the connection without an answer.
    #[serde(rename = "lose-answer")]
    LoseResponse,
    /// Sends half of each answer and closes the connection.
    #[serde(rename = "cut-answer")]
    TruncateResponse,
    /// Answers with the handle of another request.
    #[serde(rename = "cross-answer")]
    WrongHandle,
}

/// What a stand-in does to the requests that it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Behaviour {
    /// Time that a request takes on its slot, not counting onward calls.
    pub service_time_ms: f64,
    /// Part of the service time by which it varies up and down.
    pub jitter_ratio: f64,
    /// Bytes of padding in each answer.
    pub padding_bytes: usize,
    /// A deliberate fault.
    pub fault: Fault,
    /// A request whose body contains this text ends the process.
    pub crash_on: Option<String>,
    /// Time for which a crashing process listens after the connection of its request is closed.
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

    /// Returns whether `body` ends the process.
    pub fn crashes_on(&self, body: &[u8]) -> bool {
        match &self.crash_on {
            Some(text) => body.windows(text.len()).any(|part| part == text.as_bytes()),
            None => false,
        }
    }
}
