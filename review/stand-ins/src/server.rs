//! A sound backend server, as PROTOCOL.md describes it.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Connection;
use crate::record::Record;

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub at_ms: u64,
    /// When the server ended its work on it, for whatever reason.
    pub ended_ms: Option<u64>,
}

/// How a server treats requests.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub work: Duration,
    /// Whether it drops a request when its connection closes, as most servers do.
    pub drops_closed: bool,
    /// The path that crashes it, and after how much work.
    pub crashing: Option<(&'static str, Duration)>,
    /// How long it is down after a crash.
    pub down: Duration,
    /// The requests a second that it takes, named in all its answers.
    pub limit: Option<&'static str>,
}

impl Behaviour {
    pub fn working(work: Duration) -> Self {
        Self {
            work,
            drops_closed: true,
            crashing: None,
            down: Duration::from_secs(3),
            limit: None,
        }
    }
}

/// One life of a server.
struct Life {
    id: String,
    born_ms: u128,
    is_over: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

pub struct Server {
    pub service: String,
    pub address: SocketAddr,
    name: String,
    behaviour: Behaviour,
    pub runs: Mutex<Vec<Run>>,
    /// When the server crashed.
    pub crashes: Mutex<Vec<u64>>,
    life: Mutex<Arc<Life>>,
    record: Record,
}

const LOOK: Duration = Duration::from_millis(5);

impl Server {
    pub fn start(service: &str, name: &str, behaviour: Behaviour, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            name: name.to_owned(),
            behaviour,
            runs: Mutex::default(),
            crashes: Mutex::default(),
            life: Mutex::new(new_life(name, 1)),
            record: record.clone(),
        });
        let living = Arc::clone(&server);
        std::thread::spawn(move || living.live(listener));
        server
    }

    fn life(&self) -> Arc<Life> {
        Arc::clone(&self.life.lock().unwrap())
    }

    /// Accepts connections, and comes back at the same address some time after a crash.
    fn live(self: &Arc<Self>, mut listener: TcpListener) {
        for number in 2.. {
            let life = self.life();
            listener.set_nonblocking(true).expect("a socket");
            while !life.is_over.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(clone) = stream.try_clone() {
                            life.connections.lock().unwrap().push(clone);
                        }
                        let (server, life) = (Arc::clone(self), Arc::clone(&life));
                        std::thread::spawn(move || server.serve(stream, &life));
                    }
                    Err(_) => std::thread::sleep(LOOK),
                }
            }
            drop(listener);
            std::thread::sleep(self.behaviour.down);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(LOOK),
                }
            };
            *self.life.lock().unwrap() = new_life(&self.name, number);
            self.record.line(&format!("{} is back", self.life().id));
        }
    }

    fn crash(&self, life: &Life) {
        if life.is_over.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.lock().unwrap().push(self.record.now_ms());
        self.record.line(&format!("{} crashes", life.id));
        for stream in life.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, life: &Life) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let expected = request.header("x-expect-instance");
            let own = [("X-Instance-Id", life.id.as_str())];
            let sent = match request.path() {
                _ if expected.is_some_and(|expected| expected != life.id) => {
                    connection.write("HTTP/1.1 421 Misdirected Request", &own, b"")
                }
                "/health" => connection.write("HTTP/1.1 200 OK", &own, b""),
                path => self.run(&mut connection, life, &id, path),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn run(
        &self,
        connection: &mut Connection,
        life: &Life,
        id: &str,
        path: &str,
    ) -> std::io::Result<()> {
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                request_id: id.to_owned(),
                at_ms: self.record.now_ms(),
                ended_ms: None,
            });
            runs.len() - 1
        };
        self.record.line(&format!("run {id} {path} on {}", life.id));
        let result = self.work(connection, life, path);
        self.runs.lock().unwrap()[index].ended_ms = Some(self.record.now_ms());
        match result {
            Ok(()) => {
                let signature = format!("{}.{id}", life.id);
                let mut headers = vec![
                    ("X-Request-Id", id),
                    ("X-Response-Signature", signature.as_str()),
                ];
                headers.extend(self.behaviour.limit.map(|limit| ("Server-Limit", limit)));
                connection.write("HTTP/1.1 200 OK", &headers, b"done")
            }
            Err(error) => {
                let text = format!("run {id} on {} ends early: {error}", life.id);
                self.record.line(&text);
                Err(error)
            }
        }
    }

    fn work(&self, connection: &Connection, life: &Life, path: &str) -> std::io::Result<()> {
        let begun = Instant::now();
        let crash_after = match self.behaviour.crashing {
            Some((crashing, after)) if crashing == path => Some(after),
            _ => None,
        };
        while crash_after.is_some() || begun.elapsed() < self.behaviour.work {
            if crash_after.is_some_and(|after| begun.elapsed() >= after) {
                self.crash(life);
            }
            if life.is_over.load(Ordering::SeqCst) {
                return Err(std::io::Error::other("the server crashed"));
            }
            if self.behaviour.drops_closed && is_closed(&connection.stream) {
                return Err(std::io::Error::other("the connection was closed"));
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Reports to the node beside the server every 1.5 s while it lives.
    pub fn report_to(self: &Arc<Self>, reports: SocketAddr, zone: &str, slots: u32) {
        let (server, zone) = (Arc::clone(self), zone.to_owned());
        std::thread::spawn(move || {
            let mut sequence = 0;
            let mut known = String::new();
            loop {
                let life = server.life();
                if life.is_over.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                }
                sequence = if known == life.id { sequence + 1 } else { 1 };
                known.clone_from(&life.id);
                let body = format!(
                    "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"sequence\":{sequence},\"warmup-left-ms\":0}}}}",
                    server.address, life.born_ms, server.service
                );
                let path = format!("/api/instances/{}", life.id);
                let status = put(reports, &path, &body);
                let pause = if status == Some(200) { 1_500 } else { 300 };
                let until = Instant::now() + Duration::from_millis(pause);
                while Instant::now() < until && server.life().id == known {
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        });
    }
}

fn new_life(name: &str, number: u32) -> Arc<Life> {
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    Arc::new(Life {
        id: format!("i-{name}-{number}"),
        born_ms: born.unwrap_or_default().as_millis(),
        is_over: AtomicBool::new(false),
        connections: Mutex::default(),
    })
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn put(address: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut connection = Connection::new(stream);
    let host = address.to_string();
    let headers = [
        ("Host", host.as_str()),
        ("Content-Type", "application/json"),
    ];
    let first = format!("PUT {path} HTTP/1.1");
    connection.write(&first, &headers, body.as_bytes()).ok()?;
    Some(connection.read().ok()?.status())
}
