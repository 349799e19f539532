//! A machine: a relay as a process, with the command of the deploy file, and the backend server beside it.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::net::TcpStream;

use crate::http::Connection;
use crate::http::message;
use crate::server::Runs;
use crate::server::Server;
use crate::store::Store;

/// The relay of the deploy file's build.
const RELAY: &str = "target/release/balsamfold-relay";

/// A machine.
pub struct Machine {
    pub node: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub reports: SocketAddr,
    pub server: Server,
    settings: PathBuf,
    child: Child,
}

impl Machine {
    /// Starts the server and the relay of the machine `index`.
    pub async fn start(
        folder: &Path,
        index: u8,
        service: &'static str,
        memory_limit_mb: u32,
        store: &Store,
        runs: &Runs,
    ) -> std::io::Result<Self> {
        let process = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            64 | (process >> 8 & 0x3f) as u8,
            process as u8,
            index + 1,
        );
        let server =
            Server::start(&ip.to_string(), service, &format!("i-{index}"), 100, runs).await?;
        let mut listeners = Vec::new();
        for _ in 0..5 {
            listeners.push(TcpListener::bind((ip, 0))?);
        }
        let addresses: Result<Vec<_>, _> = listeners.iter().map(TcpListener::local_addr).collect();
        let addresses = addresses?;
        drop(listeners);
        let [callers, peers, ready, reports, metrics] = addresses[..] else {
            return Err(std::io::Error::other("five addresses"));
        };
        let node = format!("side-{index}");
        let text = format!(
            "node = \"{node}\"\nzone = \"zone-a\"\nservice = \"{service}\"\nserver_address = \"{}\"\n\
             store_address = \"{}\"\nmemory_limit_mb = {memory_limit_mb}\n\n\
             [listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\nready = \"{ready}\"\n\
             reports = \"{reports}\"\nmetrics = \"{metrics}\"\n\n[zones]\nzone-a = \"region-a\"\n\n\
             [bounds]\nconfiguration_apply_ms = 2000\nkey_withdrawal_ms = 5000\n\
             key_withdrawal_is_strict = true\nstop_grace_s = 6\nretry_ratio = 0.2\nretry_slack = 48\n\
             retry_window_s = 10\n\n[load_reports]\nper_message = 2\n",
            server.address, store.address
        );
        let settings = folder.join(format!("{node}.toml"));
        std::fs::write(&settings, text)?;
        server.report_to(reports);
        Ok(Self {
            child: spawn(&settings)?,
            node,
            callers,
            ready,
            reports,
            server,
            settings,
        })
    }

    /// Returns the memory that the process holds now and its peak, in bytes, or none if it has ended.
    pub fn memory_bytes(&self) -> Option<(usize, usize)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            let kilobytes = line.trim().strip_suffix(" kB")?.parse::<usize>().ok()?;
            Some(kilobytes * 1_024)
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again after its end.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.settings)?;
        Ok(())
    }

    /// Asks like the platform whether the node is ready.
    pub async fn is_ready(&self) -> bool {
        let asking = async {
            let mut connection = Connection::new(TcpStream::connect(self.ready).await?);
            let request = message("GET /api/ready HTTP/1.1", &[("Host", "relay")], b"");
            connection.write(&request).await?;
            connection.read().await
        };
        let asked = tokio::time::timeout(Duration::from_secs(1), asking).await;
        matches!(asked, Ok(Ok(Some(answer))) if answer.status() == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path) -> std::io::Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))?;
    let child = Command::new(RELAY)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    // By it, the script ends a process that this program left behind.
    std::fs::write(settings.with_extension("pid"), child.id().to_string())?;
    Ok(child)
}

/// Waits until all machines are ready and the store has entries that name all their servers.
pub async fn wait_until_ready(machines: &[Machine], store: &Store) -> bool {
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(20) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let entries = store.values("nodes/");
        let serving = entries
            .iter()
            .filter(|(_, entry)| entry.contains("\"slots\""));
        if serving.count() < machines.len() {
            continue;
        }
        let mut are_ready = true;
        for machine in machines {
            are_ready &= machine.is_ready().await;
        }
        if are_ready {
            return true;
        }
    }
    false
}
