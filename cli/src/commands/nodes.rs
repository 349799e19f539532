//! `balsamfold nodes`: prints the nodes of the fleet.

use std::fmt;

use balsamfold::process::control::ControlClient;
use balsamfold::process::membership::NodeCondition;
use balsamfold::process::membership::NodeRecord;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::control;
use crate::failure::Failure;
use crate::flags;
use crate::output::Output;

/// All nodes that one node knows.
#[derive(Serialize)]
#[serde(transparent)]
struct NodesReport {
    nodes: Vec<NodeRecord>,
}

impl fmt::Display for NodesReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} nodes", self.nodes.len())?;
        for node in &self.nodes {
            let condition = condition_name(node.condition);
            write!(f, "\n{}: zone {}, {condition}, ", node.id, node.zone)?;
            match &node.server {
                Some(server) => write!(f, "service {}, {} slots", server.service, server.slots)?,
                None => write!(f, "no backend server")?,
            }
            write!(f, ", control {}", node.addresses.control)?;
        }
        Ok(())
    }
}

/// Defines the command and its arguments.
pub(crate) fn command() -> Command {
    Command::new("nodes")
        .about("Prints all nodes that a node knows")
        .arg(flags::node_arg())
}

pub(crate) async fn run(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let node = control::connect(matches)?;
    let nodes = node.nodes().await;
    let nodes = nodes.map_err(|error| control::read_failure(&error))?;
    output.print(&NodesReport { nodes });
    Ok(())
}

fn condition_name(condition: NodeCondition) -> &'static str {
    match condition {
        NodeCondition::Alive => "alive",
        NodeCondition::Suspect => "suspect",
        NodeCondition::Leaving => "leaving",
        NodeCondition::Dead => "dead",
    }
}
