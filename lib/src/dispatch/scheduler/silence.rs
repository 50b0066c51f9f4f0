//! Executors that are silent, and the schedulers for which tasks may run there. A scheduler that has just
//! started claims each job at all executors, and an executor that is lost meanwhile never confirms. With each
//! report, an executor says whether it knows all that runs at its worker, and for which schedulers.
//!
//! If all of these schedulers are linked here and have named their jobs, including those that ended lately,
//! then a job that none of them has named can't run there, and the claim need not wait for the executor. What
//! it last reported to a peer counts as well, if that is no older than what it last reported here: it may
//! have been lost before it could report here.

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::executors::ExecutorKey;
use super::peers::Peer;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// A peer's report of an executor that is silent there.
#[derive(Clone, Debug)]
pub(super) struct PeerReport {
    at: Mono,
    /// The incarnations of the schedulers for which tasks may run there.
    owners: Vec<u64>,
}

impl Scheduler {
    /// Returns whether an executor is silent, and all schedulers for which tasks may run there are linked
    /// here and have named their jobs.
    pub(super) fn is_accounted(&self, executor: &ExecutorView) -> bool {
        if self.is_accounted_here(executor) {
            return true;
        }
        let recent = |r: &PeerReport| self.now.since(r.at) < self.setup.policy.recovery.silent;
        let peer_report = executor.peer_report.as_ref().filter(|r| recent(r));
        let silent = executor.link.is_none() || self.is_unresponsive(executor);
        silent && peer_report.is_some_and(|r| self.are_all_met(r.owners.iter().copied()))
    }

    /// Returns whether a message from an executor is overdue. One on standby sends messages seldom, unless it
    /// was asked to confirm a claim or was taken into the cell.
    fn is_unresponsive(&self, executor: &ExecutorView) -> bool {
        let asked = executor.asked_at > executor.last_heard;
        let due = executor.last_heard.max(executor.asked_at);
        (asked || !executor.standby) && self.silence(due) >= self.setup.policy.recovery.silent
    }

    /// Returns whether [`Self::is_accounted`] holds by what the executor has reported to this scheduler.
    fn is_accounted_here(&self, executor: &ExecutorView) -> bool {
        let policy = self.setup.policy.recovery;
        let heard = executor.last_heard.max(executor.asked_at);
        policy.on
            && executor.accounted
            && self.silence(heard) >= policy.silent
            && self.are_all_met(executor.owners())
    }

    /// Returns whether all schedulers with these incarnations are linked here and have named their jobs.
    fn are_all_met(&self, mut incarnations: impl Iterator<Item = u64>) -> bool {
        let own = self.setup.incarnation;
        let met = |incarnation: u64| self.peers.values().any(|p| p.has_reported_in(incarnation));
        incarnations.all(|incarnation| incarnation == own || met(incarnation))
    }

    /// Logs the silent executors that claims no longer wait for.
    pub(super) fn log_silent_executors(&mut self) {
        if !self.setup.policy.recovery.on || !self.is_warming_up() {
            return;
        }
        let is_new = |e: &ExecutorView| !e.silence_logged && self.is_accounted(e);
        let silent = self.executors.iter().filter(|(_, e)| is_new(e));
        let silent: Vec<ExecutorKey> = silent.map(|(key, _)| key).collect();
        for key in silent {
            let executor = &mut self.executors[key];
            executor.silence_logged = true;
            let detail = executor.name.clone();
            self.log(Kind::ExecutorBypassed, detail);
        }
    }

    /// Returns the reports on silent executors for peers that have just started.
    pub(super) fn silent_executors(&self) -> Vec<proto::SilentExecutor> {
        if !self.setup.policy.recovery.on || !self.peers.values().any(Peer::is_starting) {
            return Vec::new();
        }
        let silent = self.executors.values();
        let silent = silent.filter(|e| self.is_accounted_here(e));
        let reports = silent.map(|e| proto::SilentExecutor {
            name: e.name.clone(),
            owners: e.owners().collect(),
            incarnation: e.incarnation,
            clock_us: e.clock_us,
        });
        reports.collect()
    }

    /// Handles a peer's report of an executor that it no longer hears.
    pub(super) fn handle_silent_executor(&mut self, silent: proto::SilentExecutor) {
        if !self.setup.policy.recovery.on {
            return;
        }
        self.record_executors(std::slice::from_ref(&silent.name));
        let (now, recent) = (self.now, self.setup.policy.recovery.silent);
        let Some(key) = self.executor_keys.get(&silent.name) else {
            return;
        };
        let executor = &mut self.executors[*key];
        let met = executor.clock_us > 0;
        let later =
            silent.incarnation == executor.incarnation && silent.clock_us >= executor.clock_us;
        if met && !later {
            return;
        }
        let peer_report = &mut executor.peer_report;
        let known = peer_report.take().filter(|r| now.since(r.at) < recent);
        let mut owners = silent.owners;
        // Peers last heard it at different times: one may not know of a scheduler that linked to it later.
        owners.extend(known.into_iter().flat_map(|r| r.owners));
        owners.sort_unstable();
        owners.dedup();
        *peer_report = Some(PeerReport { at: now, owners });
    }
}
