//! A crowd of clients whose chunked bodies mostly stop just short of their end, at one relay. The platform kills
//! a process that holds more than the memory of its machine.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use review_stand_ins_2::NOT_RUN;
use review_stand_ins_2::crowd::allow_descriptors;
use review_stand_ins_2::crowd::send_chunks;
use review_stand_ins_2::crowd::stay;
use review_stand_ins_2::has_trouble;
use review_stand_ins_2::http::Connection;
use review_stand_ins_2::limited::LimitedMachine;
use review_stand_ins_2::record::Record;
use tokio::io::AsyncWriteExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Clients whose bodies stop just short of their end, and end when told.
const FINISHERS: usize = 300;
/// Clients whose bodies stop just short of their end and stay.
const STAYING: usize = 300;
/// More of them, which come once the first bodies have ended.
const COMING: usize = 750;
/// Clients with large bodies that stop just short of their end and stay.
const LARGE: usize = 16;

/// Starts clients that end their bodies when told, and read the answer.
fn finish(
    address: SocketAddr,
    told: &watch::Receiver<bool>,
    record: &Record,
) -> Vec<JoinHandle<()>> {
    let clients = (0..FINISHERS).map(|number| {
        let (mut told, record) = (told.clone(), record.clone());
        tokio::spawn(async move {
            // They come one after another.
            tokio::time::sleep(Duration::from_millis(8) * number as u32).await;
            let id = format!("finisher{number}");
            if let Ok(mut stream) = send_chunks(address, &id, 6_000, 9).await {
                let _ = told.wait_for(|told| *told).await;
                let _ = stream.write_all(b"\r\n").await;
                record.add(format!("{id} has ended its body"));
                let answer = Connection::new(stream).read().await;
                let answer = answer.map(|answer| answer.map(|answer| answer.first));
                record.add(format!("answered {id} {answer:?}"));
            }
        })
    });
    clients.collect()
}

#[tokio::main(worker_threads = 2)]
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
    let address = machine.callers;
    let (tell, told) = watch::channel(false);
    let mut crowd = Vec::new();
    if has_trouble() {
        crowd.extend(finish(address, &told, record));
        tokio::time::sleep(Duration::from_secs(4)).await;
        crowd.extend(stay(address, "staying", STAYING, 6_000, 8));
        tokio::time::sleep(Duration::from_secs(4)).await;
        machine.say_memory("before the first bodies end");
        let _ = tell.send(true);
        tokio::time::sleep(Duration::from_millis(100)).await;
        crowd.extend(stay(address, "coming", COMING, 7_200, 8));
        tokio::time::sleep(Duration::from_secs(2)).await;
        machine.say_memory("after more have come");
        crowd.extend(stay(address, "large", LARGE, 32_768, 128));
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    machine.say_memory("at the end");
    for client in crowd {
        client.abort();
    }
    Ok(machine.end().await)
}
