//! The verdict on whether a request may have run.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

plain_value! {
    /// Whether a backend server's handler may have received a request.
    ///
    /// Only [`Verdict::NotRun`] allows another attempt at a request that is not idempotent.
    #[serde(rename_all = "kebab-case")]
    pub enum Verdict {
        /// No byte of the request reached a handler.
        NotRun,
        /// The request may have reached a handler, and its outcome is unknown.
        MayHaveRun,
        /// A handler ran the request, and its response was received.
        Ran,
    }
}

impl Verdict {
    /// Returns the value for the `balsamfold-verdict` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text is not a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("verdict is not one of not-run, may-have-run and ran"))]
pub struct InvalidVerdictError;

impl FromStr for Verdict {
    type Err = InvalidVerdictError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(InvalidVerdictError),
        }
    }
}
