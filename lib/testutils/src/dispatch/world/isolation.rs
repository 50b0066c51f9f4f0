//! Executors that are cut off from all schedulers while orders to their workers are late.

use crate::dispatch::network::Node;
use crate::dispatch::world::Event;
use crate::dispatch::world::World;

impl World {
    /// Cuts an executor off from all schedulers for `span` microseconds. Meanwhile this share of the orders to its
    /// worker get no answer and are delivered late.
    pub fn isolate(&mut self, executor: usize, span: u64, late_share: f64) {
        let (schedulers, _) = self.size();
        for scheduler in (0..schedulers).map(Node::Scheduler) {
            self.cut(scheduler, Node::Executor(executor));
            self.cut(Node::Executor(executor), scheduler);
        }
        self.isolated.insert(executor, late_share);
        self.schedule(span, Event::Reconnect(executor));
    }

    /// Ends the isolation of an executor.
    pub(super) fn reconnect(&mut self, executor: usize) {
        let node = Node::Executor(executor);
        self.print(node, "reconnected");
        self.isolated.remove(&executor);
        self.network
            .cuts
            .retain(|(from, to)| *from != node && *to != node);
        self.send_held();
    }

    /// Returns the share of orders to a worker that are late.
    pub(super) fn late_share_of(&self, executor: usize) -> f64 {
        let isolated = self.isolated.get(&executor);
        isolated.copied().unwrap_or(self.late_share)
    }
}
