//! Prints the event catalogue, the content of `docs/events.md`.

use balsamfold::process::events::catalogue;

fn main() {
    println!("# Events\n");
    println!("Made by `cargo run --example events > docs/events.md`.\n");
    println!("| number | name | meaning | level |");
    println!("|---|---|---|---|");
    for event in catalogue() {
        println!(
            "| {} | `{}` | {} | {} |",
            event.number, event.name, event.meaning, event.level
        );
    }
}
