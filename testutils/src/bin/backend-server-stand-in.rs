//! A stand-in for a backend server as a process of its own.

use std::net::SocketAddr;

use clap::Arg;
use clap::Command;
use testutils::backend_server::BackendServer;
use testutils::backend_server::Behaviour;
use testutils::backend_server::ServerPlan;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let matches = Command::new("backend-server-stand-in")
        .about("Stand-in for a backend server")
        .arg(
            Arg::new("node")
                .long("node")
                .required(true)
                .help("Local listener of the node"),
        )
        .arg(
            Arg::new("plan")
                .long("plan")
                .required(true)
                .help("The plan as JSON"),
        )
        .arg(
            Arg::new("behaviour")
                .long("behaviour")
                .required(true)
                .help("The behaviour as JSON"),
        )
        .get_matches();
    let text = |name| matches.get_one::<String>(name).map_or("", String::as_str);
    let plan: ServerPlan = serde_json::from_str(text("plan"))?;
    let behaviour: Behaviour = serde_json::from_str(text("behaviour"))?;
    let node: SocketAddr = text("node").parse()?;
    let server = BackendServer::start(plan, behaviour, Some(node)).await?;
    println!("{}", server.address());
    std::future::pending().await
}
