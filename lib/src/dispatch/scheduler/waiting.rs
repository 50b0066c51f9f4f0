//! What a scheduler that has just started waits for before it begins the jobs that it claims, told in its log:
//! callers are refused meanwhile, and the cause is at another process.

use std::collections::BTreeMap;

use super::Scheduler;
use super::fleet::ExecutorKey;
use super::jobs::Phase;
use super::peers::Peer;
use crate::event::Kind;
use crate::prelude::*;

/// A scheduler that waits tells so often for what.
const TOLD_EVERY: Duration = Duration::from_millis(300);
/// So many names stand in a line at the most.
const NAMES: usize = 8;

impl Scheduler {
    /// Logs for what jobs wait that are claimed, while this scheduler is young.
    pub(super) fn tell_waiting(&mut self) {
        let since = self.now.since(self.waiting_told.max(self.present_since));
        if !self.is_young() || since < TOLD_EVERY {
            return;
        }
        let claiming = self.jobs.values();
        let claiming = claiming.filter(|j| matches!(j.phase, Phase::Claiming(_)));
        let jobs = claiming.count();
        if jobs == 0 {
            return;
        }
        self.waiting_told = self.now;
        let after = crate::clock::millis(self.now.since(self.present_since));
        let detail = format!("{jobs} jobs after {after} ms, for {}", self.waited_for());
        self.log(Kind::ClaimsOpen, detail);
    }

    /// In words, the first that holds of: the list of executors, peers, executors not met, confirmations.
    fn waited_for(&self) -> String {
        let Some(roster) = &self.roster else {
            return "the list of executors".to_owned();
        };
        if self.lacks_executors() {
            return "a list with all linked executors".to_owned();
        }
        let open = |p: &Peer| match p.link {
            Some(_) => !p.has_reported,
            None => self.silence(p.last_heard) < self.setup.lapse,
        };
        let peers = self.peers.iter().filter(|(_, p)| open(p));
        let peers: Vec<&String> = peers.map(|(name, _)| name).collect();
        if !peers.is_empty() {
            return format!("peers {}", listed(&peers));
        }
        let unmet = roster
            .iter()
            .filter(|name| !self.is_linked_or_accounted(name));
        let unmet: Vec<&String> = unmet.collect();
        if !unmet.is_empty() {
            return format!("executors not met {}", listed(&unmet));
        }
        self.unconfirmed()
    }

    /// Which executors have to confirm claims, and what is known of the one that holds them up most: silent for the
    /// longest, and not known to run nothing of them.
    fn unconfirmed(&self) -> String {
        let mut waiting: BTreeMap<ExecutorKey, usize> = BTreeMap::new();
        for job in self.jobs.values() {
            let Phase::Claiming(asked) = &job.phase else {
                continue;
            };
            for key in asked {
                *waiting.entry(*key).or_default() += 1;
            }
        }
        let known = waiting
            .iter()
            .filter_map(|(key, jobs)| Some((self.executors.get(*key)?, jobs)));
        let most = known
            .max_by_key(|(e, jobs)| (!self.is_accounted(e), self.silence(e.last_heard), **jobs));
        let Some((executor, jobs)) = most else {
            return "nobody".to_owned();
        };
        let known = if self.is_accounted(executor) {
            "known to run nothing of them"
        } else if executor.accounted {
            "it has named schedulers that are not met"
        } else {
            "it has not accounted for its runs"
        };
        format!(
            "{} executors to confirm; {jobs} for {}, heard {} ms ago, {known}",
            waiting.len(),
            executor.name,
            crate::clock::millis(self.silence(executor.last_heard)),
        )
    }
}

/// The first names, and how many there are.
fn listed(names: &[&String]) -> String {
    let first: Vec<&str> = names.iter().take(NAMES).map(|n| n.as_str()).collect();
    format!("{} ({} in all)", first.join(", "), names.len())
}
