//! How processes of the world begin.

use super::*;

/// How long a process that leaves has, in microseconds.
const LEAVE_US: u64 = 1_500_000;
/// A scheduler that the store does not serve is told after this long which executors there are, in microseconds.
const UNSERVED_US: u64 = 2_500_000;
/// One that wants to read that again does so after this long, in microseconds.
const ROSTER_AGAIN_US: u64 = 120_000;
/// An executor that leaves is looked at this often, in microseconds.
const DEPARTING_US: u64 = 10_000;

impl World {
    pub(super) fn new_life(&mut self) -> u64 {
        self.lives += 1;
        self.lives
    }

    pub(super) fn zone_of(&self, number: usize) -> String {
        format!("z{}", number % self.zones)
    }

    pub(super) fn new_executor(&mut self, number: usize) -> ExecutorNode {
        let life = self.new_life();
        let skew = self.rng.random_range(0..1_000_000_000);
        let setup = ExecutorSetup {
            started: Mono(self.now + skew),
            name: executor_name(number),
            zone: self.zone_of(number),
            incarnation: life,
            fence: life * 1000,
            lease: self.policy.leases.lease,
            worker_hold: self.policy.leases.worker_hold,
            heartbeat: Duration::from_micros(BEAT_US),
            policy: self.policy,
        };
        ExecutorNode {
            executor: Executor::new(setup),
            up: true,
            life,
            skew,
            frozen_until: 0,
        }
    }

    pub(super) fn new_scheduler(&mut self, number: usize) -> SchedulerNode {
        let life = self.new_life();
        let skew = self.rng.random_range(0..1_000_000_000);
        let setup = SchedulerSetup {
            name: format!("scheduler-{number}"),
            zone: self.zone_of(number),
            address: format!("s:{number}"),
            incarnation: life,
            silence: self.policy.leases.silence,
            lapse: self.policy.leases.lapse,
            started: Mono(self.now + skew),
            seed: life,
            policy: self.policy,
        };
        let mut scheduler = Scheduler::new(setup);
        scheduler.set_catalog(Mono(self.now + skew), self.callers.catalog.clone());
        SchedulerNode {
            scheduler,
            up: true,
            life,
            skew,
            frozen_until: 0,
            roster_at: 0,
            served_since: self.evacuations.serves(number).then_some(self.now),
        }
    }

    /// A process begins to tick, and to connect to the schedulers.
    pub(super) fn begin(&mut self, node: Node) {
        let life = self.life(node);
        self.at(100, Due::Tick(node, life));
        if let Node::Scheduler(number) = node {
            let unserved = self.unserved > 0.0 && self.rng.random_bool(self.unserved);
            let wait = if unserved { UNSERVED_US } else { ROSTER_US };
            self.schedulers[number].roster_at = self.now + wait;
            self.at(wait, Due::Roster(number, life));
        }
        if let Node::Executor(number) = node {
            self.at(RECALL_US, Due::Recall(number, life));
        }
        for number in 0..self.schedulers.len() {
            let to = Node::Scheduler(number);
            if to != node {
                let wait = self.rng.random_range(0..20_000);
                self.at(wait, Due::Dial(node, to, life));
            }
        }
    }

    /// A scheduler is asked to leave: it has some seconds to end what it holds, and is started again after that.
    pub fn leave(&mut self, n: usize) {
        let life = self.life(Node::Scheduler(n));
        let ends_at = Duration::from_micros(LEAVE_US);
        self.with_scheduler(n, |s, now| s.leave(now, now + ends_at));
        self.at(LEAVE_US, Due::Ended(n, life));
    }

    pub(super) fn end_leaving(&mut self, n: usize, life: u64) {
        let node = Node::Scheduler(n);
        if self.life(node) == life && self.is_up(node) {
            self.with_scheduler(n, |s, now| s.abandon(now));
            self.kill(node, false, 300_000);
        }
    }

    /// An executor is asked to leave: it has some seconds to end what runs, and is started again after that.
    pub fn depart(&mut self, n: usize) {
        let life = self.life(Node::Executor(n));
        self.with_executor(n, life, |e, now| e.leave(now));
        self.at(DEPARTING_US, Due::Departing(n, life, self.now + LEAVE_US));
    }

    pub(super) fn watch_departing(&mut self, n: usize, life: u64, until: u64) {
        let node = Node::Executor(n);
        if self.life(node) != life || !self.is_up(node) {
            return;
        }
        let executor = &self.executors[n];
        let running = executor.frozen_until <= self.now;
        let done = running && executor.executor.is_drained(Mono(self.now + executor.skew));
        if done || self.now >= until {
            let away = self.rng.random_range(50_000..2_000_000);
            return self.kill(node, false, away);
        }
        self.at(DEPARTING_US, Due::Departing(n, life, until));
    }

    /// A scheduler that has started has read from the store which executors there are.
    pub(super) fn tell_roster(&mut self, n: usize, life: u64) {
        if self.life(Node::Scheduler(n)) == life {
            let names = (0..self.executors.len()).map(executor_name).collect();
            self.with_scheduler(n, |s, now| s.set_roster(now, names));
            self.tell_all_zones(n);
        }
    }

    /// A scheduler whose peers want to know which executors there are reads that again, if the store serves it.
    pub(super) fn read_wanted_roster(&mut self, n: usize, life: u64) {
        let node = &mut self.schedulers[n];
        let wanted = self.unserved > 0.0 && node.scheduler.wants_roster();
        if wanted && node.roster_at + ROSTER_AGAIN_US <= self.now {
            node.roster_at = self.now + ROSTER_US;
            self.at(ROSTER_US, Due::Roster(n, life));
        }
    }

    /// The store accepts a newer catalog, and tells the schedulers that it `serves`.
    pub fn accept_catalog(&mut self, catalog: Catalog, serves: impl Fn(usize) -> bool) {
        let json = serde_json::to_vec(&catalog).expect("texts and numbers have a JSON form");
        let bytes = json.len() as u64 * STORE_THIRDS / 3;
        self.callers.catalog = catalog.clone();
        for n in (0..self.schedulers.len()).filter(|n| serves(*n)) {
            let node = Node::Scheduler(n);
            let arrives = self.network.arrives(node, self.now + WATCH_US, bytes);
            let life = self.life(node);
            let due = Due::Catalog(n, life, catalog.clone());
            self.at(arrives - self.now, due);
        }
    }

    pub(super) fn tell_catalog(&mut self, n: usize, life: u64, catalog: Catalog) {
        if self.life(Node::Scheduler(n)) == life {
            self.with_scheduler(n, |s, now| s.set_catalog(now, catalog));
        }
    }

    /// An executor has read what its earlier life has left in the store.
    pub(super) fn restore_worker(&mut self, n: usize, life: u64) {
        if let Some(heartbeat) = self.kept[n].clone() {
            self.with_executor(n, life, |e, now| e.restore_worker(now, heartbeat));
        }
    }
}
