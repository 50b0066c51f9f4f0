//! Processes that are killed, restarted, frozen and suspended, at once or at a planned time.

use super::*;

/// What happens at a planned time.
#[derive(Clone, Copy, Debug)]
pub enum Planned {
    /// A job is submitted at a scheduler.
    Submit(JobNumber, usize),
    /// A job is cancelled at a scheduler.
    Cancel(JobNumber, usize),
    /// A process freezes for a span in microseconds.
    Freeze(Node, u64),
    /// A process is killed, unless it is down, and restarts after a span in microseconds.
    Kill(Node, u64),
    /// All links of a process are reset.
    ResetLinks(Node),
}

impl World {
    /// Plans what happens after `wait` microseconds.
    pub fn plan(&mut self, wait: u64, planned: Planned) {
        self.schedule(wait, Event::Planned(planned));
    }

    pub(super) fn carry_out(&mut self, planned: Planned) {
        if self.trace {
            println!("{:>12} {planned:?}", self.now);
        }
        match planned {
            Planned::Submit(number, scheduler) => self.submit(number, scheduler),
            Planned::Cancel(number, scheduler) => self.cancel(number, scheduler),
            Planned::Freeze(node, span) => self.freeze(node, span),
            Planned::Kill(node, downtime) => {
                if self.is_up(node) {
                    self.kill(node, false, downtime);
                }
            }
            Planned::ResetLinks(node) => self.reset_links(node),
        }
    }

    /// Kills a process and restarts it after `downtime` microseconds. With `silent` its peers do not learn
    /// before that the links are closed.
    pub fn kill(&mut self, node: Node, silent: bool, downtime: u64) {
        match node {
            Node::Scheduler(n) => self.schedulers[n].up = false,
            Node::Executor(n) => self.executors[n].up = false,
        }
        for link in self.network.links_of(node) {
            if silent {
                let wire = self.network.wires.get_mut(&link).expect("it was listed");
                let end = wire.end(node);
                wire.closed[end] = true;
            } else {
                self.close(node, link);
            }
        }
        self.schedule(downtime, Event::Restart(node));
    }

    pub(super) fn restart(&mut self, node: Node) {
        for link in self.network.links_of(node) {
            self.close(node, link);
        }
        // The other ends of old links learn that the process has gone.
        let old: Vec<(LinkId, Node)> = self
            .network
            .wires
            .iter()
            .filter(|(_, w)| w.from == node || w.to == node)
            .map(|(link, w)| (*link, w.other(node).0))
            .collect();
        for (link, other) in old {
            self.schedule(500, Event::LinkClosed(link, other));
        }
        match node {
            Node::Scheduler(n) => self.schedulers[n] = self.new_scheduler(n),
            Node::Executor(n) => self.executors[n] = self.new_executor(n),
        }
        self.start_process(node);
    }

    /// Freezes a process for `span` microseconds.
    pub fn freeze(&mut self, node: Node, span: u64) {
        let until = self.now + span;
        match node {
            Node::Scheduler(n) => {
                let node = &mut self.schedulers[n];
                node.frozen_until = until;
                node.served_since = node.served_since.map(|at| at.max(until));
            }
            Node::Executor(n) => self.executors[n].frozen_until = until,
        }
    }

    /// Suspends a process with its machine for `span` microseconds. `counted` says whether its clock goes on
    /// meanwhile.
    pub fn suspend(&mut self, node: Node, span: u64, counted: bool) {
        self.freeze(node, span);
        if counted {
            return;
        }
        let skew = match node {
            Node::Scheduler(n) => &mut self.schedulers[n].skew,
            Node::Executor(n) => &mut self.executors[n].skew,
        };
        *skew = skew.saturating_sub(span);
    }
}
