//! Watching over workers: those that fall behind their peers, and those that are lost.

use super::Entry;
use super::Placed;
use crate::event::Kind;
use crate::fleet::AgentKey;
use crate::fleet::MAX_SILENCE;
use crate::health::MAX_UNHEALTHY_SHARE;
use crate::health::PeerMean;
use crate::prelude::*;

/// How many peers' tasks must have ended before a worker is judged against them.
const LEAST_TASKS: f64 = 4.0;
/// Tasks at the expected time that are added to the peers' own.
const PEER_PRIOR: f64 = 3.0;

impl Entry {
    pub(super) fn ended(&mut self, now: Now, placed: &Placed, failed: bool, took_us: u64) {
        self.counts.answers += 1;
        let peers = self.peers_of(placed.agent);
        if let Some(worker) = self.fleet.get_mut(placed.agent) {
            worker
                .health
                .record_end(now.mono, placed.at, placed.scale, failed, peers);
        }
        if !failed && took_us > 0 {
            self.learn(&placed.lane.service, Duration::from_micros(took_us));
        }
    }

    /// Gives up on agents that have been out of reach for too long: their tasks are lost.
    pub(super) fn lose_agents(&mut self, now: Now) {
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
            self.lose_tasks(now, key);
            if self.fleet.get(key).is_some_and(|w| w.link.is_none()) {
                self.fleet.remove(key);
                self.part_sent.remove(&key);
                self.permitted.clear();
            }
        }
    }

    /// Looks for workers that fall far behind their peers, and for those that have recovered.
    pub(super) fn judge_workers(&mut self, now: Now) {
        let all = self.fleet_sums(now);
        self.fleet_work = all;
        let count = self.fleet.iter().count();
        let mut sick = self
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
            match worker.health.update_state(now.mono, peers, sick < most) {
                Some(true) => {
                    sick += 1;
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

    /// The mean of a worker's peers; `None` while too few of their tasks have ended.
    fn peers_of(&self, agent: AgentKey) -> Option<PeerMean> {
        // Only trials are judged by it, and a worker on trial is not part of the sums.
        let sick = self.fleet.get(agent)?.health.is_unhealthy();
        sick.then(|| peers_mean(self.fleet_work))?
    }

    fn fleet_sums(&self, now: Now) -> (f64, f64, f64) {
        let healthy = self.fleet.iter().filter(|(_, w)| !w.health.is_unhealthy());
        let sums = healthy.map(|(_, w)| w.health.totals(now.mono));
        sums.fold((0.0, 0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2))
    }
}

fn peers_mean((time, done, failed): (f64, f64, f64)) -> Option<PeerMean> {
    if done < LEAST_TASKS {
        return None;
    }
    Some(PeerMean {
        mean: (time + PEER_PRIOR) / (done + PEER_PRIOR),
        failures: failed / done,
    })
}
