//! A machine of a fleet, which runs the process of one role.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::platform::process::ProcessInfo;

pub(super) const PEER_PORT: u16 = 7720;
pub(super) const CALLERS_PORT: u16 = 8161;
pub(super) const READY_PORT: u16 = 8167;
pub(super) const HEARTBEAT_PORT: u16 = 8166;
pub(super) const METRICS_PORT: u16 = 9464;

/// A machine that runs the process of one role.
pub struct Machine {
    /// The machine's address.
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Creates a machine for a role with its settings file. The process does not run yet.
    pub fn new(ip: Ipv4Addr, role: &'static str, settings: PathBuf, binary: &Path) -> Machine {
        Machine {
            ip,
            role,
            settings,
            binary: binary.to_owned(),
            child: None,
        }
    }

    /// Starts the process, unless one runs.
    ///
    /// # Panics
    ///
    /// Panics if the binary can't be started.
    pub fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(self.log());
        let log = log.expect("a log file");
        let stderr = log.try_clone().expect("a log file");
        let child = Command::new(&self.binary)
            .args(["platform", self.role])
            .env("STACKCOURSE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(stderr))
            .spawn();
        self.child = Some(child.expect("the binary runs"));
    }

    /// Returns the path of the process's log.
    pub fn log(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Returns the log so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(self.log()).unwrap_or_default()
    }

    /// Returns the path of the settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Sends a signal to the process, if one runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the process to stop and waits for its end. Returns whether it ended successfully within the limit.
    pub fn stop(&mut self, limit: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let end = Instant::now() + limit;
        while let Some(child) = &mut self.child {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.success();
            }
            if Instant::now() >= end {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the address that callers send requests to, for an entry.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS_PORT))
    }

    /// Returns the address of the readiness check, for an entry.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    /// Returns the address of the metrics page.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS_PORT))
    }

    /// Returns the address to which the worker sends heartbeats, for an agent.
    pub fn heartbeats(&self) -> SocketAddr {
        SocketAddr::from((self.ip, HEARTBEAT_PORT))
    }

    /// Returns the address at which other processes connect.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, PEER_PORT))
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns what the kernel tells of the process.
    ///
    /// # Panics
    ///
    /// Panics if the process was never started.
    pub fn info(&self) -> ProcessInfo {
        ProcessInfo::new(self.child.as_ref().expect("a process").id())
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.kill();
    }
}
