//! A child process that is killed when its handle is dropped.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;

/// A child process that is killed when the handle is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    first_line: String,
}

impl ChildProcess {
    /// Starts a process and waits for the first line of its standard output, which reports that it
    /// is ready.
    pub fn start(command: &mut Command) -> io::Result<Self> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut first_line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut first_line)?;
        }
        if first_line.is_empty() {
            let status = child.wait()?;
            return Err(io::Error::other(format!(
                "process ended before it printed a line: {status}"
            )));
        }
        Ok(Self { child, first_line })
    }

    /// Returns the first line that the process printed.
    pub fn first_line(&self) -> &str {
        self.first_line.trim()
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        rustix::process::kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }

    /// Waits until the process ends; returns whether its exit status is 0.
    pub fn wait(&mut self) -> io::Result<bool> {
        Ok(self.child.wait()?.success())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // An error means that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
