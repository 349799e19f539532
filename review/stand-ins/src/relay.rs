//! Relays as processes, with settings like those of the deploy file's template.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client::get;

pub struct Addresses {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub ready: SocketAddr,
    pub reports: SocketAddr,
}

impl Addresses {
    /// Finds ports that are free now.
    pub fn find() -> Self {
        let listeners: Vec<TcpListener> = (0..4)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let address = |index: usize| listeners[index].local_addr().expect("an address");
        Self {
            callers: address(0),
            peers: address(1),
            ready: address(2),
            reports: address(3),
        }
    }
}

/// A relay process, which ends with this value.
pub struct Relay {
    pub node: String,
    pub addresses: Addresses,
    program: String,
    folder: String,
    child: Child,
}

pub struct RelaySettings<'a> {
    pub node: &'a str,
    pub zone: &'a str,
    pub service: &'a str,
    pub server: SocketAddr,
    pub store: SocketAddr,
}

impl Relay {
    pub fn start(program: &str, folder: &str, settings: &RelaySettings) -> Self {
        let addresses = Addresses::find();
        let text = format!(
            "node = \"{}\"\nzone = \"{}\"\nservice = \"{}\"\nserver_address = \"{}\"\nstore_address = \"{}\"\n\n\
             [listen]\ncallers = \"{}\"\npeers = \"{}\"\nready = \"{}\"\nreports = \"{}\"\n\n\
             [zones]\n{} = \"region-1\"\n\n\
             [bounds]\nconfiguration_apply_ms = 2000\nkey_withdrawal_ms = 5000\nkey_withdrawal_is_strict = true\n\
             stop_grace_s = 6\nretry_ratio = 0.2\nretry_slack = 48\nretry_window_s = 10\n",
            settings.node,
            settings.zone,
            settings.service,
            settings.server,
            settings.store,
            addresses.callers,
            addresses.peers,
            addresses.ready,
            addresses.reports,
            settings.zone,
        );
        let path = format!("{folder}/{}.toml", settings.node);
        std::fs::write(&path, text).expect("the settings are written");
        Self {
            node: settings.node.to_owned(),
            program: program.to_owned(),
            folder: folder.to_owned(),
            addresses,
            child: spawn(program, folder, settings.node),
        }
    }

    /// Waits until the relay says that it is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if get(self.addresses.ready, "/api/ready") == Some(200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(format!("relay {} did not become ready", self.node))
    }
}

impl Relay {
    /// Sends SIGKILL, and waits for the end of the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, and SIGKILL after `grace` as the platform does. Returns when it has ended.
    pub fn stop(&mut self, grace: Duration) {
        let process = self.process().to_string();
        let _ = Command::new("kill").args(["-TERM", &process]).status();
        let deadline = Instant::now() + grace;
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let process = self.process().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &process])
            .status();
    }

    /// Starts the process again with the same settings, after it has ended.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.program, &self.folder, &self.node);
    }

    /// Returns the process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }
}

/// Returns the memory of a process in MB, or none if it has ended.
pub fn memory_mb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1_024)
}

/// Kills a process, as the platform does with one that exceeds its memory.
pub fn kill(process: u32) {
    let _ = Command::new("kill")
        .args(["-9", &process.to_string()])
        .status();
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &str, folder: &str, node: &str) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(format!("{folder}/{node}.log"))
        .expect("the log is opened");
    let child = Command::new(program)
        .args(["--settings", &format!("{folder}/{node}.toml")])
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .expect("the relay starts");
    let pids = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(format!("{folder}/pids"));
    if let Ok(mut pids) = pids {
        let _ = writeln!(pids, "{}", child.id());
    }
    child
}
