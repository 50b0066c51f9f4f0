//! Lanes: the queue of tasks that wait for a worker, fair between teams by weight.
//!
//! One lane holds the tasks of one team for one service, in order of arrival. Each team has a
//! virtual time that moves on by 1/weight for every task it starts; the team that is furthest
//! behind goes next. A team that was idle starts at the others' time, so it can't save up.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::job_id::TaskKey;

/// The name of a lane: team and service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LaneName {
    /// The team.
    pub team: Arc<str>,
    /// The service.
    pub service: Arc<str>,
}

#[derive(Debug, Default)]
struct TeamTime {
    virtual_time: f64,
    waiting: usize,
}

/// The waiting tasks.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<LaneName, VecDeque<TaskKey>>,
    teams: BTreeMap<Arc<str>, TeamTime>,
    clock: f64,
    len: usize,
}

impl Lanes {
    /// How many tasks wait, with those that were called off but not yet passed over.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many tasks of a team wait.
    pub fn waiting(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, |t| t.waiting)
    }

    /// Lets a task wait at the end of its lane.
    pub fn push(&mut self, name: &LaneName, task: TaskKey) {
        self.note(name);
        self.lanes.entry(name.clone()).or_default().push_back(task);
    }

    /// Lets a task wait at the front of its lane: it had its turn and came back unstarted.
    pub fn push_front(&mut self, name: &LaneName, task: TaskKey) {
        self.note(name);
        self.lanes.entry(name.clone()).or_default().push_front(task);
    }

    /// The lanes in which tasks wait, the team furthest behind first.
    pub fn order(&self) -> Vec<LaneName> {
        let mut names: Vec<(f64, &LaneName)> = self
            .lanes
            .keys()
            .map(|n| (self.teams.get(&n.team).map_or(0.0, |t| t.virtual_time), n))
            .collect();
        names.sort_by(|a, b| a.0.total_cmp(&b.0));
        names.into_iter().map(|(_, n)| n.clone()).collect()
    }

    /// The first task of a lane.
    pub fn front(&self, name: &LaneName) -> Option<TaskKey> {
        self.lanes.get(name)?.front().copied()
    }

    /// Takes the first task of a lane without charging its team: it was called off.
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

    /// Takes the first task of a lane and charges its team.
    pub fn pop(&mut self, name: &LaneName, weight: u32) -> Option<TaskKey> {
        let task = self.skip(name)?;
        if let Some(team) = self.teams.get_mut(&name.team) {
            self.clock = self.clock.max(team.virtual_time);
            team.virtual_time += 1.0 / f64::from(weight.max(1));
        }
        Some(task)
    }

    fn note(&mut self, name: &LaneName) {
        let team = self.teams.entry(name.team.clone()).or_default();
        if team.waiting == 0 {
            team.virtual_time = team.virtual_time.max(self.clock);
        }
        team.waiting += 1;
        self.len += 1;
    }
}

#[cfg(test)]
mod tests;
