//! The faults of a soak: what is injected, and what ends it.

use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use rand::Rng;

use super::Soak;
use crate::fault_proxy::Fault;
use crate::platform::machine::Machine;
use crate::platform::store::StoreFaults;

/// The share of the orders that are late while an agent is cut off.
const LATE_SHARE: f64 = 0.5;
/// The probability that all workers crash as well when all entries and agents are killed.
const WORKER_CRASH_PROBABILITY: f64 = 0.5;

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Repair {
    StartEntry(usize),
    StartAgent(usize),
    StartAll,
    ContinueEntry(usize),
    ContinueAgent(usize),
    ClearProxyFault(usize),
    ClearStoreFault,
    ClearWorkerProxyFault(usize),
    Reconnect(usize),
    NotNeeded,
}

/// A fault of one entry.
#[derive(Clone, Copy, Debug)]
pub(super) enum EntryFault {
    /// The process is killed.
    Kill,
    /// The process is stopped, and continues later.
    Stop,
    /// All links of other processes to it are reset, and new ones as well.
    ResetLinks,
}

/// A fault of an entry at a planned time.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedFault {
    pub at: Instant,
    pub entry: usize,
    pub fault: EntryFault,
    pub span: Duration,
}

impl Soak {
    /// Injects the planned faults that are due.
    pub(super) fn inject_planned(&mut self, now: Instant) {
        let due = self.planned_faults.iter().filter(|f| f.at <= now);
        let due: Vec<PlannedFault> = due.copied().collect();
        self.planned_faults.retain(|f| f.at > now);
        for planned in due {
            self.faults += 1;
            let (description, repair) = self.inject_entry_fault(planned.fault, planned.entry);
            self.record(format!("planned: {description} for {:?}", planned.span));
            self.pending_repairs.push((now + planned.span, repair));
        }
    }

    fn inject_entry_fault(&mut self, fault: EntryFault, entry: usize) -> (String, Repair) {
        let fleet = &mut self.fleet;
        match fault {
            EntryFault::Kill => {
                fleet.entries[entry].kill();
                (format!("entry {entry} killed"), Repair::StartEntry(entry))
            }
            EntryFault::Stop => {
                fleet.entries[entry].signal(Signal::SIGSTOP);
                let repair = Repair::ContinueEntry(entry);
                (format!("entry {entry} stopped"), repair)
            }
            EntryFault::ResetLinks => {
                let reset = Fault {
                    reset: true,
                    ..Fault::default()
                };
                fleet.proxies[entry].set(reset);
                (
                    format!("links of entry {entry} reset"),
                    Repair::ClearProxyFault(entry),
                )
            }
        }
    }

    /// Ends the faults that are due.
    pub(super) fn repair_due(&mut self, now: Instant) {
        let due = self.pending_repairs.iter().filter(|(at, _)| *at <= now);
        let due: Vec<Repair> = due.map(|(_, h)| *h).collect();
        self.pending_repairs.retain(|(at, _)| *at > now);
        for repair in due {
            self.record(format!("end: {repair:?}"));
            self.repair(repair);
        }
    }

    fn repair(&mut self, repair: Repair) {
        let fleet = &mut self.fleet;
        match repair {
            Repair::StartEntry(n) => fleet.entries[n].start(),
            Repair::StartAgent(n) => fleet.agents[n].start(),
            Repair::StartAll => {
                fleet.agents.iter_mut().for_each(Machine::start);
                fleet.entries.iter_mut().for_each(Machine::start);
            }
            Repair::ContinueEntry(n) => fleet.entries[n].signal(Signal::SIGCONT),
            Repair::ContinueAgent(n) => fleet.agents[n].signal(Signal::SIGCONT),
            Repair::ClearProxyFault(n) => fleet.proxies[n].set(Fault::default()),
            Repair::ClearStoreFault => fleet.store.set_faults(StoreFaults::Off),
            Repair::ClearWorkerProxyFault(n) => fleet.worker_proxies[n].set(Fault::default()),
            Repair::Reconnect(n) => {
                fleet.cut_off(&[]);
                fleet.workers.lock().unwrap().late_shares[n] = 0.0;
            }
            Repair::NotNeeded => {}
        }
    }

    /// Injects a random fault between an agent and its worker and schedules its end: connections end in order
    /// after an order was carried out, all of them end, or the agent is cut off from the entries while orders
    /// to its worker are late.
    pub(super) fn inject_worker_fault(&mut self) {
        self.faults += 1;
        let agent = self.worker_faults.random_range(0..self.fleet.agents.len());
        let kind = self.worker_faults.random_range(0..4);
        let swallowed = ["/-/run-start", "/-/run-stop"].get(kind);
        let (description, repair) = match (swallowed, kind) {
            (Some(path), _) => {
                let fault = Fault {
                    swallow: (*path).to_owned(),
                    ..Fault::default()
                };
                self.fleet.worker_proxies[agent].set(fault);
                let text = format!("worker {agent} ends connections after {path}");
                (text, Repair::ClearWorkerProxyFault(agent))
            }
            (None, 2) => {
                let fault = Fault {
                    reset: true,
                    ..Fault::default()
                };
                self.fleet.worker_proxies[agent].set(fault);
                let text = format!("worker {agent} ends all connections");
                (text, Repair::ClearWorkerProxyFault(agent))
            }
            _ => {
                self.fleet.cut_off(&[agent]);
                self.fleet.workers.lock().unwrap().late_shares[agent] = LATE_SHARE;
                let text = format!("agent {agent} cut off, orders to its worker late");
                (text, Repair::Reconnect(agent))
            }
        };
        self.record(description);
        let span = Duration::from_millis(self.worker_faults.random_range(100..2500));
        self.pending_repairs.push((Instant::now() + span, repair));
    }

    /// Injects a random fault. Returns what ends it.
    pub(super) fn inject_random_fault(&mut self) -> Repair {
        let entry = self.rng.random_range(0..self.fleet.entries.len());
        let agent = self.rng.random_range(0..self.fleet.agents.len());
        let kind = self.rng.random_range(0..12);
        let (description, repair) = self.inject(kind, entry, agent);
        self.record(description);
        repair
    }

    /// Injects a fault. Returns its description and what ends it.
    fn inject(&mut self, kind: u32, entry: usize, agent: usize) -> (String, Repair) {
        let fleet = &mut self.fleet;
        match kind {
            0 => self.inject_entry_fault(EntryFault::Kill, entry),
            1 => {
                fleet.agents[agent].kill();
                (format!("agent {agent} killed"), Repair::StartAgent(agent))
            }
            2 => self.inject_entry_fault(EntryFault::Stop, entry),
            3 => {
                fleet.agents[agent].signal(Signal::SIGSTOP);
                let repair = Repair::ContinueAgent(agent);
                (format!("agent {agent} stopped"), repair)
            }
            4 => {
                let stalled = Fault {
                    stall: true,
                    ..Fault::default()
                };
                fleet.proxies[entry].set(stalled);
                (
                    format!("links of entry {entry} stalled"),
                    Repair::ClearProxyFault(entry),
                )
            }
            5 => self.inject_entry_fault(EntryFault::ResetLinks, entry),
            6 => {
                let delay = Duration::from_millis(self.rng.random_range(1..60));
                fleet.proxies[entry].set_delay(delay);
                (
                    format!("links of entry {entry} delayed by {delay:?}"),
                    Repair::ClearProxyFault(entry),
                )
            }
            7 => {
                fleet.store.set_faults(StoreFaults::Unavailable);
                ("store unavailable".to_owned(), Repair::ClearStoreFault)
            }
            8 => {
                fleet.store.set_faults(StoreFaults::ResponsesLost);
                ("store loses responses".to_owned(), Repair::ClearStoreFault)
            }
            9 => {
                fleet.workers.lock().unwrap().crash(agent);
                (format!("worker {agent} crashes"), Repair::NotNeeded)
            }
            10 => {
                fleet.entries.iter_mut().for_each(Machine::kill);
                fleet.agents.iter_mut().for_each(Machine::kill);
                if self.crashes.random_bool(WORKER_CRASH_PROBABILITY) {
                    fleet.workers.lock().unwrap().crash_all();
                    return ("all machines lost power".to_owned(), Repair::StartAll);
                }
                ("all entries and agents killed".to_owned(), Repair::StartAll)
            }
            _ => {
                fleet.store.revoke_keys();
                fleet.store.compact();
                (
                    "leased keys removed, history compacted".to_owned(),
                    Repair::NotNeeded,
                )
            }
        }
    }
}
