//! Compares methods to limit the rates of organisations over a whole fleet, under the same load.
//!
//! Usage: `cargo run --release --example fleet_rates`.

mod gossip;
mod holders;
mod load;
mod outcome;
mod static_share;

use testutils::rate_fleet::Lending;

use self::load::FleetSize;
use self::load::Load;
use self::outcome::Outcome;

const SEED: u64 = 7;

const SIZES: [FleetSize; 2] = [
    FleetSize {
        zones: 4,
        nodes_per_zone: 4,
        rate_per_s: 1_000,
    },
    FleetSize {
        zones: 8,
        nodes_per_zone: 98,
        rate_per_s: 6_000,
    },
];

fn main() {
    for size in SIZES {
        let load = Load::new(size, SEED);
        println!(
            "{} zones, {} nodes, 8 organisations with {}/s in total, {} requests",
            size.zones,
            size.node_count(),
            size.rate_per_s,
            load.arrivals.len()
        );
        Outcome::print_header();
        static_share::run(&load).print("static share per node");
        gossip::run(&load).print("local counts with gossip");
        holders::run(&load, Lending::Off).print("holder per zone");
        holders::run(&load, Lending::On).print("holder per zone, lending");
        println!();
    }
}
