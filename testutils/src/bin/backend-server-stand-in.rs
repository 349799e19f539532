//! The stand-in for a backend server as a program. It prints the address on which it listens.

use clap::Arg;
use clap::Command;
use testutils::backend_server::BackendServer;
use testutils::backend_server::Behaviour;
use testutils::backend_server::ServerPlan;
use testutils::backend_server::Upstream;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let matches = Command::new("backend-server-stand-in")
        .about("Stand-in for a backend server")
        .arg(
            Arg::new("node")
                .long("node")
                .help("Local listener of the node of this backend server"),
        )
        .arg(
            Arg::new("direct")
                .long("direct")
                .help("Address of the next stand-in, which is called without nodes"),
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
    let upstream = match (text("node"), text("direct")) {
        ("", "") => Upstream::None,
        ("", direct) => Upstream::Direct(direct.parse()?),
        (node, _) => Upstream::Node(node.parse()?),
    };
    let server = BackendServer::start(plan, behaviour, upstream).await?;
    println!("{}", server.address());
    std::future::pending().await
}
