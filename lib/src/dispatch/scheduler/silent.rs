//! Executors that are silent, and for whom things may still run there.
//!
//! A scheduler that has just started claims each job at all executors, and an executor that is lost meanwhile never
//! confirms. An executor says with each report whether it knows all that runs at its worker, and for which schedulers.
//! Where all of these are linked here and have named their jobs, also those that they have ended lately, a job that none
//! of them has named can't run there: it need not be waited for. A scheduler that has never met the executor hears from its peers what it last said to them.

use super::Scheduler;
use super::executor_view::ExecutorView;
use super::fleet::ExecutorKey;
use super::peers::Peer;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// What a peer has said of an executor that it hears no more.
#[derive(Clone, Debug)]
pub(super) struct Hearsay {
    at: Mono,
    /// The incarnations of the schedulers for which things may run there.
    owners: Vec<u64>,
}

impl Scheduler {
    /// Whether an executor is silent, and all for whom things may run there are linked here and have named their jobs.
    pub(super) fn is_accounted(&self, executor: &ExecutorView) -> bool {
        if self.is_accounted_here(executor) {
            return true;
        }
        let recent = |h: &Hearsay| self.now.since(h.at) < self.setup.policy.recovery.silent;
        let hearsay = executor.hearsay.as_ref().filter(|h| recent(h));
        executor.link.is_none() && hearsay.is_some_and(|h| self.have_met(h.owners.iter().copied()))
    }

    /// The same, by what it has said here.
    fn is_accounted_here(&self, executor: &ExecutorView) -> bool {
        let policy = self.setup.policy.recovery;
        let heard = executor.heard.max(executor.hurried);
        policy.on
            && executor.accounted
            && self.silence(heard) >= policy.silent
            && self.have_met(executor.owners())
    }

    /// Whether these lives of schedulers are linked here and have said which jobs they have.
    fn have_met(&self, mut lives: impl Iterator<Item = u64>) -> bool {
        let own = self.setup.incarnation;
        let met = |life: u64| self.peers.values().any(|p| p.is_met_in(life));
        lives.all(|life| life == own || met(life))
    }

    /// Logs executors that claims no longer wait for.
    pub(super) fn note_silent(&mut self) {
        if !self.setup.policy.recovery.on || !self.is_young() {
            return;
        }
        let news = |e: &ExecutorView| !e.silence_logged && self.is_accounted(e);
        let silent = self.executors.iter().filter(|(_, e)| news(e));
        let silent: Vec<ExecutorKey> = silent.map(|(key, _)| key).collect();
        for key in silent {
            let executor = &mut self.executors[key];
            executor.silence_logged = true;
            let detail = executor.name.clone();
            self.log(Kind::ExecutorAccounted, detail);
        }
    }

    /// What peers that have just started are told of executors that are silent.
    pub(super) fn silent_executors(&self) -> Vec<proto::SilentExecutor> {
        if !self.setup.policy.recovery.on || !self.peers.values().any(Peer::is_starting) {
            return Vec::new();
        }
        let silent = self.executors.values();
        let silent = silent.filter(|e| self.is_accounted_here(e));
        let told = silent.map(|e| proto::SilentExecutor {
            name: e.name.clone(),
            owners: e.owners().collect(),
        });
        told.collect()
    }

    /// A peer tells of an executor that it hears no more.
    pub(super) fn hear_silent(&mut self, silent: proto::SilentExecutor) {
        if !self.setup.policy.recovery.on {
            return;
        }
        self.hear_of_executors(std::slice::from_ref(&silent.name));
        let (now, recent) = (self.now, self.setup.policy.recovery.silent);
        let Some(key) = self.named.get(&silent.name) else {
            return;
        };
        let hearsay = &mut self.executors[*key].hearsay;
        let known = hearsay.take().filter(|h| now.since(h.at) < recent);
        let mut owners = silent.owners;
        // Peers heard it at different times: one may not know of a scheduler that linked to it later.
        owners.extend(known.into_iter().flat_map(|h| h.owners));
        owners.sort_unstable();
        owners.dedup();
        *hearsay = Some(Hearsay { at: now, owners });
    }
}
