//! Crowds of clients that don't behave, beside the faults of a soak.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use super::Soak;
use crate::platform::crowd::Crowd;
use crate::platform::crowd::Reading;
use crate::platform::crowd::chunks;
use crate::platform::crowd::head;
use crate::platform::crowd::submit_head;
use crate::platform::fleet::Fleet;

/// The probability of a crowd after each job.
const CROWD_PROBABILITY: f64 = 0.03;
/// The numbers of clients of a crowd.
const CLIENTS: std::ops::Range<usize> = 20..200;
/// How long a crowd stays once it sends no more, in milliseconds.
const STAY_MS: std::ops::Range<u64> = 100..3000;
/// The largest body of the default limits, in bytes.
const MAX_BODY: usize = 256 << 10;
/// What clients may make a process hold in a soak with crowds, in MiB.
const CLIENT_MEMORY_MB: u64 = 8;
/// What a process may hold in such a soak, in MiB: its size at rest and under load, and what clients make it hold.
const PROCESS_MEMORY_MB: u64 = 100;

/// Returns the limits of the processes in a soak with crowds.
pub(super) fn limits() -> Value {
    json!({"client_memory_mb": CLIENT_MEMORY_MB, "descriptors": 512})
}

impl Soak {
    /// Opens a crowd at times. It stays for a while, beside the faults that come meanwhile.
    pub(super) fn maybe_open_crowd(&mut self) {
        let Some(rng) = &mut self.crowds else {
            return;
        };
        if !rng.random_bool(CROWD_PROBABILITY) {
            return;
        }
        let (server, port) = draw_port(rng, &self.fleet);
        let (bytes, kind) = draw_bytes(rng);
        let count = rng.random_range(CLIENTS);
        let reading = [Reading::All, Reading::Nothing][rng.random_range(0..2)];
        let stay = Duration::from_millis(rng.random_range(STAY_MS));
        actix_rt::spawn(async move {
            let crowd = Crowd::open(server, count, bytes, reading).await;
            actix_rt::time::sleep(stay).await;
            drop(crowd);
        });
        self.record(format!("{count} clients with {kind} at {port} {server}"));
    }

    /// Checks that no process holds more than its limits allow.
    pub(super) fn check_memory(&mut self) -> Result<(), String> {
        if self.crowds.is_none() {
            return Ok(());
        }
        let fleet = &mut self.fleet;
        for machine in fleet.entries.iter_mut().chain(&mut fleet.agents) {
            if !machine.is_running() {
                return Err(format!("the process at {} has ended", machine.ip));
            }
            let peak = machine.info().peak_memory() >> 20;
            if peak > PROCESS_MEMORY_MB {
                return Err(format!("{} held {peak} MiB", machine.ip));
            }
        }
        Ok(())
    }
}

fn draw_port(rng: &mut ChaCha8Rng, fleet: &Fleet) -> (SocketAddr, &'static str) {
    let entry = &fleet.entries[rng.random_range(0..fleet.entries.len())];
    let agent = &fleet.agents[rng.random_range(0..fleet.agents.len())];
    let ports = [
        (entry.callers(), "callers"),
        (entry.callers(), "callers"),
        (entry.callers(), "callers"),
        (entry.ready(), "readiness"),
        (entry.metrics(), "metrics"),
        (entry.peers(), "links"),
        (agent.heartbeats(), "heartbeats"),
        (agent.metrics(), "metrics"),
    ];
    ports[rng.random_range(0..ports.len())]
}

/// Draws what each client of a crowd sends.
fn draw_bytes(rng: &mut ChaCha8Rng) -> (Vec<u8>, &'static str) {
    let size = rng.random_range(1..MAX_BODY);
    let announced = submit_head(&format!("Content-Length: {size}\r\n"));
    let chunked = submit_head("Transfer-Encoding: chunked\r\n");
    let body = |bytes: usize| vec![b' '; bytes];
    match rng.random_range(0..8) {
        0 => ([announced, body(size - 1)].concat(), "unfinished bodies"),
        1 => ([announced, body(size)].concat(), "whole bodies"),
        2 => ([chunked, chunks(size, 1)].concat(), "chunks of one byte"),
        3 => (
            [chunked, chunks(MAX_BODY, 1 << 14)].concat(),
            "large chunks",
        ),
        4 => (
            [chunked, chunks(2 * MAX_BODY, 1 << 14)].concat(),
            "bodies over the limit",
        ),
        5 => (head("GET", "/", "").repeat(2000), "many requests at once"),
        6 => (body(100_000), "no HTTP"),
        _ => (Vec::new(), "nothing to send"),
    }
}
