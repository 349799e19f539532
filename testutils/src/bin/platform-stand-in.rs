//! The platform stand-in as a program. It prints the address on which it listens.

use std::io;
use std::net::SocketAddr;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use testutils::platform::PlatformStandIn;

#[tokio::main]
async fn main() -> io::Result<()> {
    let listen = Arg::new("listen")
        .long("listen")
        .help("Address to listen on; port 0 selects a free port")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr));
    let matches = Command::new("platform-stand-in").arg(listen).get_matches();
    let address = matches.get_one::<SocketAddr>("listen");
    let address = address.copied().ok_or(io::ErrorKind::InvalidInput)?;
    let stand_in = PlatformStandIn::start(address).await?;
    println!("{}", stand_in.address());
    stand_in.run().await;
    Ok(())
}
