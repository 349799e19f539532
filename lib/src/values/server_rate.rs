//! The rate of requests that a backend server takes.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

/// Requests per second that a backend server takes: finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ServerRate(f64);

/// The text is no rate.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is no number of requests per second"))]
pub struct InvalidServerRateError {
    text: String,
}

impl ServerRate {
    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for ServerRate {
    type Error = InvalidServerRateError;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => InvalidServerRateSnafu {
                text: per_s.to_string(),
            }
            .fail(),
        }
    }
}

impl FromStr for ServerRate {
    type Err = InvalidServerRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_s: f64 = text
            .trim()
            .parse()
            .map_err(|_| InvalidServerRateSnafu { text }.build())?;
        per_s.try_into()
    }
}

impl fmt::Display for ServerRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
