//! The queue of tasks that wait for a worker, with weighted fair queueing between teams.
//!
//! A lane holds the tasks of one team for one service, in order of arrival. Each team has a virtual time that
//! advances by 1/weight with every task that it starts; the team with the lowest virtual time goes next. The
//! virtual time of a team that was idle is raised to the present one, so that a team can't accumulate credit
//! while idle.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::job_id::TaskKey;

/// The name of a lane: a team and a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneName {
    /// The team.
    pub team: Arc<str>,
    /// The service.
    pub service: Arc<str>,
}

#[derive(Debug, Default)]
struct TeamState {
    virtual_time: f64,
    /// The number of tasks in the lanes of the team.
    waiting: usize,
}

/// The lanes of all teams and services.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<LaneName, VecDeque<TaskKey>>,
    teams: BTreeMap<Arc<str>, TeamState>,
    /// The highest virtual time at which a team started a task.
    virtual_now: f64,
    len: usize,
}

impl Lanes {
    /// Returns the number of waiting tasks, including cancelled ones that have not been skipped yet.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting tasks of a team.
    pub fn waiting(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, |t| t.waiting)
    }

    /// Adds a task at the end of its lane.
    pub fn push(&mut self, name: &LaneName, task: TaskKey) {
        self.count_waiting(name);
        self.lanes.entry(name.clone()).or_default().push_back(task);
    }

    /// Adds a task at the front of its lane, because it was sent to a worker and returned without having
    /// started.
    pub fn push_front(&mut self, name: &LaneName, task: TaskKey) {
        self.count_waiting(name);
        self.lanes.entry(name.clone()).or_default().push_front(task);
    }

    /// Returns the lanes with waiting tasks, in ascending order of their teams' virtual times.
    pub fn order(&self) -> Vec<LaneName> {
        let mut names: Vec<(f64, &LaneName)> = self
            .lanes
            .keys()
            .map(|n| (self.teams.get(&n.team).map_or(0.0, |t| t.virtual_time), n))
            .collect();
        names.sort_by(|a, b| a.0.total_cmp(&b.0));
        names.into_iter().map(|(_, n)| n.clone()).collect()
    }

    /// Returns the first task of a lane.
    pub fn front(&self, name: &LaneName) -> Option<TaskKey> {
        self.lanes.get(name)?.front().copied()
    }

    /// Removes the first task of a lane without charging its team, because it must not start any more.
    pub fn skip(&mut self, name: &LaneName) -> Option<TaskKey> {
        let lane = self.lanes.get_mut(name)?;
        let task = lane.pop_front()?;
        if lane.is_empty() {
            self.lanes.remove(name);
        }
        self.len -= 1;
        if let Some(team) = self.teams.get_mut(&name.team) {
            team.waiting -= 1;
        }
        Some(task)
    }

    /// Removes the first task of a lane and charges its team.
    pub fn pop(&mut self, name: &LaneName, weight: u32) -> Option<TaskKey> {
        let task = self.skip(name)?;
        if let Some(team) = self.teams.get_mut(&name.team) {
            self.virtual_now = self.virtual_now.max(team.virtual_time);
            team.virtual_time += 1.0 / f64::from(weight.max(1));
        }
        Some(task)
    }

    fn count_waiting(&mut self, name: &LaneName) {
        let team = self.teams.entry(name.team.clone()).or_default();
        if team.waiting == 0 {
            team.virtual_time = team.virtual_time.max(self.virtual_now);
        }
        team.waiting += 1;
        self.len += 1;
    }
}

#[cfg(test)]
mod tests;
