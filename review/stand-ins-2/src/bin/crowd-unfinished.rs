//! A crowd of clients whose large chunked bodies all stop just short of their end, at one relay. The platform kills a
//! process that holds more than the memory of its machine.

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use review_stand_ins_2::NOT_RUN;
use review_stand_ins_2::crowd::allow_descriptors;
use review_stand_ins_2::crowd::stay_reading;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::limited::LimitedMachine;
use review_stand_ins_2::record::Record;

/// Clients of the crowd.
const CROWD: usize = 2_000;
/// Lengths of their bodies, in chunks.
const CHUNKS: [usize; 4] = [3, 12, 64, 256];
const CHUNK_BYTES: usize = 16 * 1_024;
/// Time for which the ordinary clients are alone, and for which the crowd is there.
const ALONE: Duration = Duration::from_secs(4);
const STAY: Duration = Duration::from_secs(40);

#[tokio::main(worker_threads = 4)]
async fn main() {
    let record = Record::default();
    let code = play(&record).await.unwrap_or_else(|error| {
        record.say(format!("could not run: {error}"));
        NOT_RUN
    });
    record.write();
    exit(code);
}

async fn play(record: &Record) -> std::io::Result<i32> {
    let folder = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| "/tmp".to_owned()));
    allow_descriptors()?;
    let machine = LimitedMachine::start(&folder, record).await?;
    tokio::time::sleep(ALONE).await;
    machine.say_memory("before the crowd");
    let crowd = match has_trouble() {
        true => stay_reading(machine.callers, "crowd", CROWD, CHUNK_BYTES, &CHUNKS),
        false => Vec::new(),
    };
    tokio::time::sleep(STAY).await;
    machine.say_memory("at the end");
    for client in crowd {
        client.abort();
    }
    Ok(machine.end().await)
}
