//! Logs what a scheduler that has just started waits for before it places the jobs that it claims. Callers
//! may be refused meanwhile, and the cause lies with another process, which the log line names.

use std::collections::BTreeMap;

use super::Scheduler;
use super::executors::ExecutorKey;
use super::jobs::Phase;
use super::peers::Peer;
use crate::event::Kind;
use crate::prelude::*;

/// The interval between log lines while claims wait.
const LOG_INTERVAL: Duration = Duration::from_millis(300);
/// The most names that a log line lists.
const MAX_NAMES: usize = 8;

impl Scheduler {
    /// Logs what claimed jobs wait for, while this scheduler has just started.
    pub(super) fn log_pending_claims(&mut self) {
        let since = self.now.since(self.claims_logged.max(self.active_since));
        if !self.is_warming_up() || since < LOG_INTERVAL {
            return;
        }
        let claiming = self.jobs.values();
        let claiming = claiming.filter(|j| matches!(j.phase, Phase::Claiming(_)));
        let jobs = claiming.count();
        if jobs == 0 {
            return;
        }
        self.claims_logged = self.now;
        let after = crate::clock::millis(self.now.since(self.active_since));
        let detail = format!(
            "{jobs} jobs after {after} ms, for {}",
            self.describe_pending()
        );
        self.log(Kind::ClaimsPending, detail);
    }

    /// Describes the first condition that is not met: a complete roster, the updates of all peers, links to
    /// all executors, or their confirmations.
    fn describe_pending(&self) -> String {
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
            return format!("peers {}", list_names(&peers));
        }
        let unmet = roster
            .iter()
            .filter(|name| !self.is_linked_or_accounted(name));
        let unmet: Vec<&String> = unmet.collect();
        if !unmet.is_empty() {
            return format!("executors not met {}", list_names(&unmet));
        }
        self.describe_unconfirmed()
    }

    /// Describes how many executors have yet to confirm claims, and the one that delays them most: not
    /// accounted for, then silent for longest.
    fn describe_unconfirmed(&self) -> String {
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
        let slowest = known
            .max_by_key(|(e, jobs)| (!self.is_accounted(e), self.silence(e.last_heard), **jobs));
        let Some((executor, jobs)) = slowest else {
            return "nobody".to_owned();
        };
        let known = if self.is_accounted(executor) {
            "known to run none of them"
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

/// Lists the first names and their total number.
fn list_names(names: &[&String]) -> String {
    let first: Vec<&str> = names.iter().take(MAX_NAMES).map(|n| n.as_str()).collect();
    format!("{} ({} in all)", first.join(", "), names.len())
}
