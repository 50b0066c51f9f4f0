//! Executors that are silent, and for whom things may still run there.
//!
//! A scheduler that has just started claims each job at all executors, and an executor that is lost meanwhile never
//! confirms. An executor says with each report whether it knows all that runs at its worker, and for which schedulers.
//! Where all of these are linked here and have named their jobs, also those that they have ended lately, a job that none
//! of them has named can't run there: it need not be waited for. What it last said to a peer counts as well, if that was no
//! earlier than what it last said here: it may have been lost before it could say here what runs there.

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
        let silent = executor.link.is_none() || self.does_not_answer(executor);
        silent && hearsay.is_some_and(|h| self.have_met(h.owners.iter().copied()))
    }

    /// Whether an executor that is linked should have been heard, and was not. One on standby is heard seldom unless it is
    /// asked for something.
    fn does_not_answer(&self, executor: &ExecutorView) -> bool {
        let asked = executor.asked_at > executor.last_heard;
        let due = executor.last_heard.max(executor.asked_at);
        (asked || !executor.standby) && self.silence(due) >= self.setup.policy.recovery.silent
    }

    /// The same, by what it has said here.
    fn is_accounted_here(&self, executor: &ExecutorView) -> bool {
        let policy = self.setup.policy.recovery;
        let heard = executor.last_heard.max(executor.asked_at);
        policy.on
            && executor.accounted
            && self.silence(heard) >= policy.silent
            && self.have_met(executor.owners())
    }

    /// Whether these lives of schedulers are linked here and have said which jobs they have.
    fn have_met(&self, mut lives: impl Iterator<Item = u64>) -> bool {
        let own = self.setup.incarnation;
        let met = |life: u64| self.peers.values().any(|p| p.has_reported_in(life));
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
            incarnation: e.incarnation,
            clock_us: e.clock_us,
        });
        told.collect()
    }

    /// A peer tells of an executor that it hears no more.
    pub(super) fn hear_silent(&mut self, silent: proto::SilentExecutor) {
        if !self.setup.policy.recovery.on {
            return;
        }
        self.record_executors(std::slice::from_ref(&silent.name));
        let (now, recent) = (self.now, self.setup.policy.recovery.silent);
        let Some(key) = self.named.get(&silent.name) else {
            return;
        };
        let executor = &mut self.executors[*key];
        let met = executor.clock_us > 0;
        let later =
            silent.incarnation == executor.incarnation && silent.clock_us >= executor.clock_us;
        if met && !later {
            return;
        }
        let hearsay = &mut executor.hearsay;
        let known = hearsay.take().filter(|h| now.since(h.at) < recent);
        let mut owners = silent.owners;
        // Peers heard it at different times: one may not know of a scheduler that linked to it later.
        owners.extend(known.into_iter().flat_map(|h| h.owners));
        owners.sort_unstable();
        owners.dedup();
        *hearsay = Some(Hearsay { at: now, owners });
    }
}
