//! Stand-ins and scripts of the review. Each script starts relays as processes.
//!
//! Usage: review-stand-ins CASE RELAY-PROGRAM FOLDER RECORD

mod base64;
mod client;
mod drill;
mod fleet;
mod freeze;
mod gone;
mod http;
mod json;
mod limit;
mod memory;
mod poison;
mod proxy;
mod record;
mod relay;
mod server;
mod silence;
mod stop;
mod store;

use std::process::ExitCode;

use record::Record;

/// What a script needs.
pub struct Setup {
    pub relay_program: String,
    pub folder: String,
    pub record: Record,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

/// Whether the rule held, or why the script could not run.
pub type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, relay_program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins CASE RELAY-PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(record) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let setup = Setup {
        relay_program: relay_program.clone(),
        folder: folder.clone(),
        record: record.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match case.as_str() {
        "silent-tokens" => silence::tokens(&setup),
        "silent-orders" => silence::orders(&setup),
        "late-crash" => poison::late_crash(&setup),
        "large-bodies" => memory::large_bodies(&setup),
        "prompt-crash" => poison::prompt_crash(&setup, poison::Beside::Nothing),
        "prompt-crash-kills" => poison::prompt_crash(&setup, poison::Beside::Kills),
        "prompt-crash-popular" => poison::prompt_crash(&setup, poison::Beside::Popular),
        "stop-all" => stop::all(&setup, false),
        "stop-all-outage" => stop::all(&setup, true),
        "drill-key" => drill::withdrawn_key(&setup),
        "freeze" => freeze::relays(&setup),
        "limit-restart" => limit::restart(&setup),
        "pipeline-gone" => gone::pipeline(&setup),
        other => Err(format!("no such case: {other}")),
    };
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
