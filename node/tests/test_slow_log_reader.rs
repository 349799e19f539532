//! Test of a relay whose log is not read: a full pipe must not block the relay.

use std::io::BufRead;
use std::io::BufReader;
use std::io::PipeReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::pipe::fcntl_setpipe_size;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use testutils::relay::SAMPLE_SETTINGS;

/// The smallest size that the operating system allows: about 25 lines of the log.
const PIPE_BYTES: usize = 4_096;
/// Number of refused requests. Each logs a line, together more than the pipe holds.
const REQUESTS: usize = 300;

/// A relay that is killed when the test ends.
struct Relay(Child);

impl Drop for Relay {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start() -> (Relay, BufReader<PipeReader>) {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("slow-log-reader.toml");
    std::fs::write(&file, SAMPLE_SETTINGS).unwrap();
    let (reader, writer) = std::io::pipe().unwrap();
    fcntl_setpipe_size(&writer, PIPE_BYTES).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_balsamfold-relay"))
        .arg("--settings")
        .arg(&file)
        .stdout(Stdio::from(writer))
        .spawn()
        .unwrap();
    (Relay(child), BufReader::new(reader))
}

/// Reads the log up to the line with the address for callers.
fn callers_address(log: &mut BufReader<PipeReader>) -> SocketAddr {
    let mut line = String::new();
    while log.read_line(&mut line).unwrap() > 0 {
        if let Some((_, rest)) = line.split_once("callers=") {
            let address = rest.split(['"', ' ']).next().unwrap();
            return address.parse().unwrap();
        }
        line.clear();
    }
    panic!("the log ended before the relay had started");
}

fn send_request(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = b"GET /a/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn relay_serves_requests_and_stops_while_its_log_is_not_read() {
    let (mut relay, mut log) = start();
    let address = callers_address(&mut log);
    for _ in 0..REQUESTS {
        let response = send_request(address);
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    }
    let id = Pid::from_child(&relay.0);
    kill_process(id, Signal::TERM).unwrap();
    assert!(relay.0.wait().unwrap().success());
}
