//! The life cycle of the processes of a simulated world.
//!
//! Creates and starts schedulers and executors, lets them leave, and delivers to them what they read from the
//! store: the roster, the catalog and saved heartbeats.

use super::*;
use crate::dispatch::worker::MAX_LEASE_US;

/// The time that a process has to leave, in microseconds.
const LEAVE_TIMEOUT_US: u64 = 1_500_000;
/// The time until a scheduler that the store does not serve at first receives the roster, in microseconds.
const UNSERVED_ROSTER_US: u64 = 2_500_000;
/// The shortest time between two reads of the roster by a scheduler, in microseconds.
const ROSTER_RETRY_US: u64 = 120_000;
/// The interval at which a leaving executor is checked, in microseconds.
const LEAVE_CHECK_US: u64 = 10_000;

impl World {
    pub(super) fn new_incarnation(&mut self) -> u64 {
        self.incarnations += 1;
        self.incarnations
    }

    pub(super) fn zone_of(&self, number: usize) -> String {
        format!("z{}", number % self.zones)
    }

    pub(super) fn new_executor(&mut self, number: usize) -> ExecutorNode {
        let incarnation = self.new_incarnation();
        let skew = self.rng.random_range(0..1_000_000_000);
        let setup = ExecutorSetup {
            started: Mono(self.now + skew),
            name: executor_name(number),
            zone: self.zone_of(number),
            incarnation,
            fence: incarnation * 1000,
            lease: self.policy.leases.lease,
            worker_hold: self.policy.leases.worker_hold,
            max_hold: Duration::from_micros(MAX_LEASE_US),
            heartbeat: Duration::from_micros(HEARTBEAT_US),
            policy: self.policy,
        };
        ExecutorNode {
            executor: Executor::new(setup),
            up: true,
            started_at: self.now,
            incarnation,
            skew,
            frozen_until: 0,
        }
    }

    pub(super) fn new_scheduler(&mut self, number: usize) -> SchedulerNode {
        let incarnation = self.new_incarnation();
        let skew = self.rng.random_range(0..1_000_000_000);
        let setup = SchedulerSetup {
            name: format!("scheduler-{number}"),
            zone: self.zone_of(number),
            address: format!("s:{number}"),
            incarnation,
            silence: self.policy.leases.silence,
            lapse: self.policy.leases.lapse,
            started: Mono(self.now + skew),
            seed: incarnation,
            policy: self.policy,
        };
        let mut scheduler = Scheduler::new(setup);
        scheduler.set_catalog(Mono(self.now + skew), self.callers.catalog.clone());
        SchedulerNode {
            scheduler,
            up: true,
            incarnation,
            skew,
            frozen_until: 0,
            roster_at: 0,
            served_since: self.evacuations.serves(number).then_some(self.now),
        }
    }

    /// Starts a process: it ticks, reads the store and connects to the schedulers.
    pub(super) fn start_process(&mut self, node: Node) {
        let incarnation = self.incarnation(node);
        self.schedule(100, Event::Tick(node, incarnation));
        if let Node::Scheduler(number) = node {
            let unserved = self.unserved_share > 0.0 && self.rng.random_bool(self.unserved_share);
            let wait = if unserved {
                UNSERVED_ROSTER_US
            } else {
                ROSTER_DELAY_US
            };
            self.schedulers[number].roster_at = self.now + wait;
            self.schedule(wait, Event::Roster(number, incarnation));
        }
        if let Node::Executor(number) = node {
            self.schedule(RESTORE_DELAY_US, Event::RestoreWorker(number, incarnation));
        }
        for number in 0..self.schedulers.len() {
            let to = Node::Scheduler(number);
            if to != node {
                let wait = self.rng.random_range(0..20_000);
                self.schedule(wait, Event::Dial(node, to, incarnation));
            }
        }
    }

    /// Asks a scheduler to leave. It is stopped after [`LEAVE_TIMEOUT_US`] and restarted.
    pub fn leave_scheduler(&mut self, n: usize) {
        let incarnation = self.incarnation(Node::Scheduler(n));
        let ends_at = Duration::from_micros(LEAVE_TIMEOUT_US);
        self.with_scheduler(n, |s, now| s.leave(now, now + ends_at));
        self.schedule(LEAVE_TIMEOUT_US, Event::LeaveDeadline(n, incarnation));
    }

    pub(super) fn finish_leaving(&mut self, n: usize, incarnation: u64) {
        let node = Node::Scheduler(n);
        if self.incarnation(node) == incarnation && self.is_up(node) {
            self.with_scheduler(n, |s, now| s.abandon(now));
            self.kill(node, false, 300_000);
        }
    }

    /// Asks an executor to leave. It is stopped once it is drained, at the latest after [`LEAVE_TIMEOUT_US`],
    /// and restarted.
    pub fn leave_executor(&mut self, n: usize) {
        let incarnation = self.incarnation(Node::Executor(n));
        self.with_executor(n, incarnation, |e, now| e.leave(now));
        self.schedule(
            LEAVE_CHECK_US,
            Event::CheckLeaving(n, incarnation, self.now + LEAVE_TIMEOUT_US),
        );
    }

    pub(super) fn check_leaving(&mut self, n: usize, incarnation: u64, until: u64) {
        let node = Node::Executor(n);
        if self.incarnation(node) != incarnation || !self.is_up(node) {
            return;
        }
        let executor = &self.executors[n];
        let running = executor.frozen_until <= self.now;
        let done = running && executor.executor.is_drained(Mono(self.now + executor.skew));
        if done || self.now >= until {
            let downtime = self.rng.random_range(50_000..2_000_000);
            return self.kill(node, false, downtime);
        }
        self.schedule(LEAVE_CHECK_US, Event::CheckLeaving(n, incarnation, until));
    }

    /// Delivers the roster from the store to a scheduler, and the evacuated zones if the store serves it.
    pub(super) fn deliver_roster(&mut self, n: usize, incarnation: u64) {
        if self.incarnation(Node::Scheduler(n)) == incarnation {
            let names = (0..self.executors.len()).map(executor_name).collect();
            self.with_scheduler(n, |s, now| s.set_roster(now, names));
            self.deliver_all_zones(n);
        }
    }

    /// Lets a scheduler read the roster again if it wants to. Only in worlds where schedulers receive it
    /// late.
    pub(super) fn read_wanted_roster(&mut self, n: usize, incarnation: u64) {
        let node = &mut self.schedulers[n];
        let wanted = self.unserved_share > 0.0 && node.scheduler.wants_roster();
        if wanted && node.roster_at + ROSTER_RETRY_US <= self.now {
            node.roster_at = self.now + ROSTER_DELAY_US;
            self.schedule(ROSTER_DELAY_US, Event::Roster(n, incarnation));
        }
    }

    /// Makes the store accept a newer catalog and send it to the schedulers for which `serves` is true.
    pub fn accept_catalog(&mut self, catalog: Catalog, serves: impl Fn(usize) -> bool) {
        let json = serde_json::to_vec(&catalog).expect("texts and numbers have a JSON form");
        let bytes = json.len() as u64 * STORE_SIZE_THIRDS / 3;
        self.callers.catalog = catalog.clone();
        for n in (0..self.schedulers.len()).filter(|n| serves(*n)) {
            let node = Node::Scheduler(n);
            let arrives = self.network.arrive(node, self.now + WATCH_DELAY_US, bytes);
            let incarnation = self.incarnation(node);
            let event = Event::Catalog(n, incarnation, catalog.clone());
            self.schedule(arrives - self.now, event);
        }
    }

    pub(super) fn deliver_catalog(&mut self, n: usize, incarnation: u64, catalog: Catalog) {
        if self.incarnation(Node::Scheduler(n)) == incarnation {
            self.with_scheduler(n, |s, now| s.set_catalog(now, catalog));
        }
    }

    /// Delivers the saved heartbeat of its worker from the store to an executor.
    pub(super) fn restore_worker(&mut self, n: usize, incarnation: u64) {
        if let Some(heartbeat) = self.saved_heartbeats[n].clone() {
            self.with_executor(n, incarnation, |e, now| e.restore_worker(now, heartbeat));
        }
    }
}
