//! The health of workers: compares the speed and failures of each one with those of its peers, and
//! removes agents that have been unreachable for too long.

use super::Entry;
use super::Placed;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::fleet::MAX_SILENCE;
use crate::health::MAX_UNHEALTHY_SHARE;
use crate::health::PeerMean;
use crate::prelude::*;

/// The number of peers' tasks that must have ended before a worker is compared with them.
const MIN_PEER_TASKS: f64 = 4.0;
/// The number of tasks of the expected duration that are added to the peers' own.
const PRIOR_PEER_TASKS: f64 = 3.0;

impl Entry {
    /// Records the end of a task for its worker's health and its service's expected duration.
    pub(super) fn record_end(&mut self, now: Now, placed: &Placed, failed: bool, took_us: u64) {
        self.counts.answers += 1;
        let peers = self.peers_mean_of(placed.agent);
        if let Some(worker) = self.fleet.get_mut(placed.agent) {
            worker
                .health
                .record_end(now.mono, placed.at, placed.scale, failed, peers);
        }
        if !failed && took_us > 0 {
            self.record_duration(&placed.lane.service, Duration::from_micros(took_us));
        }
    }

    /// Marks the tasks of agents that have been unreachable for too long as lost, and removes those of
    /// the agents that have no link.
    pub(super) fn remove_lost_agents(&mut self, now: Now) {
        let grace = self.setup.grace;
        let lost: Vec<AgentKey> = self
            .fleet
            .iter()
            .filter(|(_, w)| {
                let down = w.lost_at.is_some_and(|at| now.mono >= at + grace);
                down || now.mono >= w.last_heard + MAX_SILENCE + grace
            })
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.mark_tasks_lost(now, key);
            if self.fleet.get(key).is_some_and(|w| w.link.is_none()) {
                self.fleet.remove(key);
                self.sent_parts.remove(&key);
                self.permitted.clear();
            }
        }
    }

    /// Marks workers that are far slower or fail far more often than their peers as unhealthy, and those
    /// that have recovered as healthy. The share of unhealthy workers is bounded.
    pub(super) fn update_worker_health(&mut self, now: Now) {
        let all = self.fleet_sums(now);
        self.fleet_work = all;
        let count = self.fleet.iter().count();
        let mut unhealthy = self
            .fleet
            .iter()
            .filter(|(_, w)| w.health.is_unhealthy())
            .count();
        let most = (count as f64 * MAX_UNHEALTHY_SHARE).floor() as usize;
        let mut changes = Vec::new();
        for (_, worker) in self.fleet.iter_mut() {
            let own = worker.health.totals(now.mono);
            let others = if worker.health.is_unhealthy() {
                all
            } else {
                (all.0 - own.0, all.1 - own.1, all.2 - own.2)
            };
            let Some(peers) = peers_mean(others) else {
                continue;
            };
            match worker
                .health
                .update_state(now.mono, peers, unhealthy < most)
            {
                Some(true) => {
                    unhealthy += 1;
                    changes.push((Kind::WorkerUnhealthy, worker.name.to_string()));
                }
                Some(false) => changes.push((Kind::WorkerRecovered, worker.name.to_string())),
                None => {}
            }
        }
        for (kind, name) in changes {
            self.log(kind, name);
        }
    }

    /// Returns the mean of an unhealthy worker's peers; `None` for a healthy one and while too few of the
    /// peers' tasks have ended.
    fn peers_mean_of(&self, agent: AgentKey) -> Option<PeerMean> {
        // Only trial tasks are compared with the mean, and a worker on trial is not part of the sums.
        let unhealthy = self.fleet.get(agent)?.health.is_unhealthy();
        unhealthy.then(|| peers_mean(self.fleet_work))?
    }

    fn fleet_sums(&self, now: Now) -> (f64, f64, f64) {
        let healthy = self.fleet.iter().filter(|(_, w)| !w.health.is_unhealthy());
        let sums = healthy.map(|(_, w)| w.health.totals(now.mono));
        sums.fold((0.0, 0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2))
    }
}

fn peers_mean((time, done, failed): (f64, f64, f64)) -> Option<PeerMean> {
    if done < MIN_PEER_TASKS {
        return None;
    }
    Some(PeerMean {
        mean: (time + PRIOR_PEER_TASKS) / (done + PRIOR_PEER_TASKS),
        failures: failed / done,
    })
}
