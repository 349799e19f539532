//! `balsamfold show`: prints the configuration in force.

use std::fmt;

use balsamfold::version::Access;
use balsamfold::version::Configuration;
use balsamfold::version::KeyState;
use balsamfold::version::Repeatability;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::platform;

/// The configuration in force.
#[derive(Serialize)]
#[serde(transparent)]
struct ShowReport {
    configuration: Configuration,
}

impl fmt::Display for ShowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let configuration = &self.configuration;
        let Configuration {
            version, change_id, ..
        } = configuration;
        write!(f, "version {version}, change {change_id}")?;
        for zone in configuration.zones.values() {
            write!(f, "\nzone {}: region {}, ", zone.id, zone.region)?;
            write!(f, "rate weight {}", zone.rate_weight)?;
        }
        for class in configuration.classes.values() {
            write!(f, "\nclass {}: rank {}", class.id, class.rank)?;
        }
        for organisation in configuration.organisations.values() {
            write!(f, "\norganisation {}: ", organisation.id)?;
            write!(f, "{} per second, ", organisation.rate_per_s)?;
            write!(f, "burst {}", organisation.burst_tokens)?;
        }
        for key in configuration.keys.values() {
            let state = state_name(key.state);
            write!(
                f,
                "\nkey {}: organisation {}, {state}",
                key.id, key.organisation
            )?;
        }
        for route in &configuration.routes {
            write!(f, "\nroute {}: service {}, ", route.path, route.service)?;
            write!(f, "importance {}, ", route.importance)?;
            write!(f, "{}, ", repeatability_name(route.repeatability))?;
            write!(f, "{}, ", access_name(route.access))?;
            write!(f, "deadline {} ms, ", route.deadline_ms)?;
            write!(f, "{} extra attempts", route.extra_attempts)?;
        }
        Ok(())
    }
}

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    Command::new("show").about("Prints the configuration in force; keys only as hashes")
}

pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let client = platform::client(matches)?;
    let Some(stored) = platform::read(&client).await? else {
        return Err(Failure::new(Exit::Failed, "there is no configuration yet")
            .hint("apply a folder with `balsamfold apply DIR`"));
    };
    let configuration = stored.configuration;
    output.print(&ShowReport { configuration });
    Ok(())
}

fn state_name(state: KeyState) -> &'static str {
    match state {
        KeyState::Active => "active",
        KeyState::Withdrawn => "withdrawn",
    }
}

fn repeatability_name(repeatability: Repeatability) -> &'static str {
    match repeatability {
        Repeatability::Idempotent => "idempotent",
        Repeatability::AtMostOnce => "at most once",
    }
}

fn access_name(access: Access) -> &'static str {
    match access {
        Access::Keyed => "keyed",
        Access::Open => "open",
    }
}
