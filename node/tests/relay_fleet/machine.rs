//! A relay process and the backend server beside it.

use std::fs::OpenOptions;
use std::net::IpAddr;
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

use balsamfold_platform::protocol;
use parking_lot::Mutex;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::server::Server;

/// Time between two checks whether a process has ended.
const EXIT_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Limits of the machines of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Time after a stop signal after which the platform kills a process.
    pub grace: Duration,
    /// Memory limit of each process.
    pub memory_limit_mb: u32,
    /// Requests that each backend server runs concurrently.
    pub slots: u32,
    /// Descriptors that each process may have open.
    pub descriptors_max: u32,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    Started,
    /// A first signal to stop.
    Stopping,
    /// The process ended by itself. The value is whether its exit status is 0.
    Ended(bool),
    Killed,
}

/// A relay process and the backend server beside it.
pub struct Machine {
    pub callers: SocketAddr,
    pub server: Server,
    ready: SocketAddr,
    settings: PathBuf,
    grace: Duration,
    descriptors_max: u32,
    child: Mutex<Child>,
    history: Mutex<Vec<(Instant, ProcessEvent)>>,
}

impl Machine {
    pub async fn start(
        folder: &Path,
        index: usize,
        service: &'static str,
        store: SocketAddr,
        setup: Setup,
    ) -> Self {
        let node = format!("node-{index}");
        let mut server = Server::start(service, format!("i-{index}"), setup.slots).await;
        let [callers, peers, ready, reports] = free_addresses(index);
        let text = format!(
            "node = \"{node}\"\nzone = \"zone-a\"\nservice = \"{service}\"\n\
             server_address = \"{}\"\nstore_address = \"{store}\"\n\
             memory_limit_mb = {}\n\n[listen]\ncallers = \"{callers}\"\npeers = \"{peers}\"\nready = \"{ready}\"\n\
             reports = \"{reports}\"\n\n[zones]\nzone-a = \"north\"\n\n\
             [bounds]\nconfiguration_apply_ms = 2000\nkey_withdrawal_ms = 5000\n\
             key_withdrawal_is_strict = true\nstop_grace_s = {}\nretry_ratio = 0.2\n\
             retry_slack = 48\nretry_window_s = 10\n",
            server.address,
            setup.memory_limit_mb,
            setup.grace.as_secs()
        );
        let settings = folder.join(format!("{node}.toml"));
        std::fs::write(&settings, text).expect("the settings are written");
        server.report_to(reports);
        Self {
            callers,
            server,
            ready,
            child: Mutex::new(spawn(&settings, setup.descriptors_max)),
            descriptors_max: setup.descriptors_max,
            settings,
            grace: setup.grace,
            history: Mutex::new(vec![(Instant::now(), ProcessEvent::Started)]),
        }
    }

    /// Returns what happened to the process so far.
    pub fn history(&self) -> Vec<(Instant, ProcessEvent)> {
        self.history.lock().clone()
    }

    fn record(&self, event: ProcessEvent) {
        self.history.lock().push((Instant::now(), event));
    }

    /// Returns whether a stop or the end of the process was the last that happened to it.
    pub fn is_up(&self) -> bool {
        let history = self.history.lock();
        history
            .last()
            .is_some_and(|(_, event)| *event == ProcessEvent::Started)
    }

    /// Returns the most memory that the process has held, in bytes.
    pub fn peak_memory_bytes(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.lock().id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        1_024 * peak_kb.expect("a peak").parse::<usize>().expect("a number")
    }

    /// Returns the number of descriptors that the process has open.
    #[allow(dead_code, reason = "only some test binaries bound them")]
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.lock().id());
        let entries = std::fs::read_dir(path).expect("the process runs");
        entries.count()
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&self) -> bool {
        let status = self.child.lock().try_wait().expect("a child process");
        status.is_none()
    }

    /// Sends a signal. The process may have ended.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.lock();
        let _ = kill_process(Pid::from_child(&child), signal);
    }

    /// Sends SIGTERM, waits until the process has ended, and kills it after the grace. Returns
    /// whether it ended by itself with status 0.
    pub async fn stop(&self) -> bool {
        self.record(ProcessEvent::Stopping);
        self.signal(Signal::TERM);
        self.wait_for_exit().await
    }

    async fn wait_for_exit(&self) -> bool {
        let deadline = Instant::now() + self.grace;
        while Instant::now() < deadline {
            let status = self.child.lock().try_wait().expect("a child process");
            if let Some(status) = status {
                self.record(ProcessEvent::Ended(status.success()));
                return status.success();
            }
            tokio::time::sleep(EXIT_POLL_PERIOD).await;
        }
        self.kill();
        false
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&self) {
        let mut child = self.child.lock();
        self.record(ProcessEvent::Killed);
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the process again after its end.
    pub fn start_again(&self) {
        *self.child.lock() = spawn(&self.settings, self.descriptors_max);
        self.record(ProcessEvent::Started);
    }

    /// Replaces one line of the settings, which begins with `name`.
    pub fn change_setting(&self, name: &str, value: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("the settings are there");
        let lines = text.lines().map(|line| match line.starts_with(name) {
            true => format!("{name} = {value}\n"),
            false => format!("{line}\n"),
        });
        let text: String = lines.collect();
        std::fs::write(&self.settings, text).expect("the settings are written");
    }

    pub async fn is_ready(&self) -> bool {
        let asking = async {
            let mut stream = TcpStream::connect(self.ready).await?;
            let path = protocol().ready_path;
            let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            stream.write_all(request.as_bytes()).await?;
            let mut response = String::new();
            stream.read_to_string(&mut response).await?;
            std::io::Result::Ok(response.starts_with("HTTP/1.1 200 "))
        };
        let asked = tokio::time::timeout(Duration::from_secs(1), asking).await;
        asked.is_ok_and(|asked| asked.unwrap_or(false))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        // The process may have ended already.
        let child = self.child.get_mut();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns free ports at a loopback address from which nothing connects, so that they stay free while
/// the process does not run.
fn free_addresses(index: usize) -> [SocketAddr; 4] {
    let process = (std::process::id() & 0x3fff) << 8;
    let loopback = u32::from(Ipv4Addr::LOCALHOST) & 0xff00_0000;
    // Bit 22 keeps away from 127.0.0.1.
    let address = loopback | 1 << 22 | process | (index as u32 + 1);
    let address = IpAddr::V4(Ipv4Addr::from(address));
    let listeners = [(); 4].map(|()| TcpListener::bind((address, 0)).expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

fn spawn(settings: &Path, descriptors_max: u32) -> Child {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(settings.with_extension("log"))
        .expect("the log is opened");
    Command::new("sh")
        .arg("-c")
        .arg(format!("ulimit -n {descriptors_max} && exec \"$@\""))
        .arg("sh")
        .arg(env!("CARGO_BIN_EXE_balsamfold-relay"))
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()
        .expect("the relay starts")
}
