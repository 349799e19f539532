//! Runs the overload experiment for each deployment, and prints the results of the three degrees of
//! control side by side.
//!
//! Usage: `cargo run --release --example overload -- SEED`. The seed is optional.

use testutils::overload::Control;
use testutils::overload::Deployment;
use testutils::overload::Report;
use testutils::overload::run;

const DEFAULT_SEED: u64 = 1;

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let deployments = [Deployment::botonera(), Deployment::cap_bon()];
    let kept = deployments.clone().map(Deployment::without_excess);
    for deployment in deployments.into_iter().chain(kept) {
        let reports = [Control::None, Control::Limits, Control::All]
            .map(|control| run(&deployment, control, seed));
        print(&deployment, seed, &reports);
    }
}

fn print(deployment: &Deployment, seed: u64, reports: &[Report]) {
    let trigger = match deployment.excess_factor > deployment.load {
        true => "one service slowed and one organisation over its rate",
        false => "one service slowed",
    };
    println!("## {}, {trigger}, seed {seed}\n", deployment.name);
    println!("| measure | no control | limits only | all |");
    println!("|---|---|---|---|");
    for route in &deployment.routes {
        let name = format!(
            "{} (importance {}) served, organisations that keep their rate",
            route.path, route.importance
        );
        row(&name, reports, |report| {
            percent(report.served_keeping_rate[&route.importance])
        });
    }
    let important = deployment.routes.iter().map(|route| route.importance).max();
    let important = important.unwrap_or_default();
    row(
        "most important served, with the organisation over its rate",
        reports,
        |report| percent(report.served_within_rate[&important]),
    );
    row("goodput of capacity", reports, |report| {
        percent(report.goodput_of_capacity)
    });
    row("recovery", reports, |report| match report.recovery {
        Some(recovery) => format!("{:.1} s", recovery.as_secs_f64()),
        None => "never".to_owned(),
    });
    row("worst-served organisation", reports, |report| {
        percent(report.lowest_served_fraction())
    });
    row(
        "largest organisation that keeps its rate / smallest",
        reports,
        |report| {
            let served = &report.served_by_organisation;
            let smallest = served.last().copied().unwrap_or_default();
            format!("{} / {}", percent(served[1]), percent(smallest))
        },
    );
    row("refused outside overload", reports, |report| {
        percent(report.refused_outside_overload)
    });
    row("refused for exceeding the rate", reports, |report| {
        percent(report.refused_for_rate)
    });
    row("slots wasted", reports, |report| {
        percent(report.slots_wasted)
    });
    row("sends / requests", reports, |report| {
        format!("{} / {}", report.sends, report.requests)
    });
    println!("\nRoot requests served in each second:\n");
    for (name, report) in ["no control", "limits only", "all"].iter().zip(reports) {
        println!("- {name}: {:?}", report.served_per_s);
    }
    println!();
}

fn row(name: &str, reports: &[Report], value: impl Fn(&Report) -> String) {
    let values: Vec<_> = reports.iter().map(value).collect();
    println!("| {name} | {} |", values.join(" | "));
}

fn percent(fraction: f64) -> String {
    format!("{:.2} %", fraction * 100.0)
}
