//! Tracks the worker's current incarnation, from its heartbeats and its replies to holds.
//!
//! A heartbeat can arrive after the incarnation that it names has ended, or come from another worker. Another
//! incarnation is therefore accepted only once the worker has answered in it. Trusting the heartbeat alone
//! would end the runs of the live incarnation and blame their tasks for a crash that did not happen.
//!
//! A worker may restart under the same id, so an incarnation is identified by its id and its start time. The
//! sequence numbers of heartbeats, the numbers of ends and the clock belong to one incarnation and are never
//! compared across two.

use std::collections::VecDeque;

use super::Action;
use super::Executor;
use super::FinishedRow;
use super::HoldReply;
use super::RunName;
use super::RunState;
use super::RunningRow;
use super::Worker;
use super::WorkerHeartbeat;
use super::WorkerIncarnation;
use super::health::Health;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

/// The number of past incarnations remembered. A worker that crashes repeatedly under the tasks of one batch
/// has tens.
const MAX_PAST: usize = 64;
/// How often the worker is asked to confirm another incarnation. Single replies can be lost.
const MAX_ATTEMPTS: u32 = 3;

/// The worker's incarnations other than the current one.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    /// Past incarnations, the oldest first.
    past: VecDeque<WorkerIncarnation>,
    /// The heartbeat of an incarnation that the worker has not confirmed, and how often it was asked to.
    candidate: Option<(WorkerHeartbeat, u32)>,
}

impl Incarnations {
    /// Remembers an incarnation as past.
    fn end(&mut self, incarnation: WorkerIncarnation) {
        if self.past.len() >= MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back(incarnation);
    }

    fn is_past(&self, incarnation: &WorkerIncarnation) -> bool {
        self.past.iter().any(|past| past.is_same_as(incarnation))
    }

    /// Returns whether a past incarnation had this id.
    fn has_past_id(&self, id: &str) -> bool {
        self.past.iter().any(|past| past.id == id)
    }

    /// Returns the id of the incarnation that the worker must confirm, if there is one.
    pub fn candidate_id(&self) -> Option<String> {
        self.candidate
            .as_ref()
            .map(|(heartbeat, _)| heartbeat.incarnation.id.clone())
    }

    /// Returns whether there is a candidate that the worker was not asked about yet. Its hold is sent at
    /// once.
    pub fn has_new_candidate(&self) -> bool {
        self.candidate
            .as_ref()
            .is_some_and(|(_, asked)| *asked == 0)
    }

    fn is_candidate(&self, id: &str) -> bool {
        let same = |(heartbeat, _): &(WorkerHeartbeat, u32)| heartbeat.incarnation.id == id;
        self.candidate.as_ref().is_some_and(same)
    }

    /// Sets the candidate, unless a later heartbeat of the same incarnation is known.
    fn set_candidate(&mut self, heartbeat: WorkerHeartbeat) {
        let later = |(known, _): &(WorkerHeartbeat, u32)| {
            known.incarnation.is_same_as(&heartbeat.incarnation)
                && known.sequence > heartbeat.sequence
        };
        if !self.candidate.as_ref().is_some_and(later) {
            self.candidate = Some((heartbeat, 0));
        }
    }
}

impl Worker {
    /// Applies a heartbeat of the current incarnation. Returns whether it was accepted.
    fn accept_heartbeat(
        &mut self,
        now: Mono,
        heartbeat: WorkerHeartbeat,
        interval: Duration,
    ) -> bool {
        if self.has_started && heartbeat.service != self.heartbeat.service {
            return false;
        }
        // A draining worker does not become ready again in the same incarnation, so this holds for a delayed
        // heartbeat too.
        let draining = heartbeat.draining || self.heartbeat.draining;
        self.heartbeat.draining = draining;
        if heartbeat.sequence < self.heartbeat.sequence
            && !self.confirm_lower_sequence(now, heartbeat.sequence, interval)
        {
            return false;
        }
        self.lower_sequence = None;
        self.heartbeat = WorkerHeartbeat {
            draining,
            ..heartbeat
        };
        self.last_heartbeat = Some(now);
        true
    }

    /// Returns whether to accept a sequence number below the newest, because the newest did not come from the
    /// worker. That takes one interval without an accepted heartbeat, and two rising lower numbers at least
    /// half an interval apart: delayed heartbeats arrive together.
    fn confirm_lower_sequence(&mut self, now: Mono, sequence: u64, interval: Duration) -> bool {
        let Some((lower, at)) = self.lower_sequence.filter(|(lower, _)| *lower < sequence) else {
            self.lower_sequence = Some((sequence, now));
            return false;
        };
        self.lower_sequence = Some((lower, at));
        let silent = self
            .last_heartbeat
            .is_none_or(|at| now.since(at) >= interval);
        now.since(at) >= interval / 2 && silent
    }
}

impl Executor {
    /// Handles a heartbeat.
    pub fn handle_heartbeat(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        match &self.worker {
            None if self.incarnations.is_past(&heartbeat.incarnation) => {
                self.restore_worker(now, heartbeat)
            }
            None => self.begin_incarnation(now, heartbeat),
            Some(worker)
                if !worker
                    .heartbeat
                    .incarnation
                    .is_same_as(&heartbeat.incarnation) =>
            {
                self.incarnations.set_candidate(heartbeat)
            }
            Some(_) => self.update_heartbeat(now, heartbeat),
        }
        self.advance(now);
    }

    /// Applies a heartbeat of the current incarnation, and publishes and saves what has changed.
    fn update_heartbeat(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        let interval = self.setup.heartbeat;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let (before, first) = (worker.heartbeat.clone(), worker.last_heartbeat.is_none());
        let (incarnation, sequence) = (heartbeat.incarnation.clone(), heartbeat.sequence);
        let accepted = worker.accept_heartbeat(now, heartbeat, interval);
        let drains = worker.heartbeat.draining && !before.draining;
        let same = worker.heartbeat.has_same_profile(&before);
        if !accepted {
            let detail = format!(
                "{incarnation} number {sequence}; {} number {}",
                before.incarnation, before.sequence
            );
            self.reject_heartbeat(detail);
        }
        if !same || first {
            self.update_profile();
        }
        if !same || drains || first {
            self.save_heartbeat();
        }
        if drains {
            self.log(Kind::WorkerDraining, self.worker_id());
            self.return_queue(now);
        }
    }

    /// Counts and logs a heartbeat that was rejected.
    fn reject_heartbeat(&mut self, detail: String) {
        self.counts.rejected_heartbeats += 1;
        self.log(Kind::InvalidHeartbeat, detail);
    }

    /// Counts a heartbeat that could not be parsed.
    pub fn count_unreadable_heartbeat(&mut self) {
        self.counts.rejected_heartbeats += 1;
    }

    /// Returns whether this is the id of an incarnation that the worker has not confirmed.
    pub(super) fn is_candidate(&self, id: &str) -> bool {
        self.worker.is_some() && self.incarnations.is_candidate(id)
    }

    /// Returns whether calls may reach another incarnation than the current one, since both have the same id.
    /// The worker's capacity is unknown then.
    pub(super) fn is_incarnation_uncertain(&self) -> bool {
        self.is_candidate(&self.worker_id())
    }

    /// Returns whether lists come from another incarnation than the current one, by the start time in them.
    pub(super) fn is_from_other_incarnation(&self, born: Option<u64>) -> bool {
        let answering = WorkerIncarnation {
            id: self.worker_id(),
            born,
        };
        let other = |worker: &Worker| !worker.heartbeat.incarnation.is_same_as(&answering);
        self.worker.as_ref().is_some_and(other)
    }

    /// Handles the reply to a hold that asked for a candidate. Returns the reply if it contains lists; they
    /// belong to what is the current incarnation from now on.
    pub(super) fn handle_candidate_reply(
        &mut self,
        now: Mono,
        reply: HoldReply,
    ) -> Option<HoldReply> {
        let (heartbeat, asked) = self.incarnations.candidate.take()?;
        match &reply {
            HoldReply::Lists { born, .. } => {
                let answering = WorkerIncarnation {
                    id: heartbeat.incarnation.id.clone(),
                    born: *born,
                };
                let present = self.worker.as_ref().map(|w| &w.heartbeat.incarnation);
                if present.is_some_and(|present| present.is_same_as(&answering)) {
                    self.reject_heartbeat(format!(
                        "{} is not the current incarnation",
                        heartbeat.incarnation
                    ));
                } else if heartbeat.incarnation.is_same_as(&answering) {
                    self.switch_incarnation(now, heartbeat, Some(now), &reply);
                } else {
                    self.adopt_unannounced(now, answering, &reply);
                }
                return Some(reply);
            }
            HoldReply::WrongLife => self.reject_heartbeat(format!(
                "{} is not the current incarnation",
                heartbeat.incarnation
            )),
            HoldReply::Fenced if asked + 1 < MAX_ATTEMPTS => {
                self.raise_fence();
                self.incarnations.candidate = Some((heartbeat, asked + 1));
            }
            HoldReply::NoAnswer | HoldReply::Unreachable if asked + 1 < MAX_ATTEMPTS => {
                self.next_hold = now + self.setup.policy.orders.ask_soon;
                self.incarnations.candidate = Some((heartbeat, asked + 1));
            }
            HoldReply::Fenced | HoldReply::NoAnswer | HoldReply::Unreachable => {
                self.reject_heartbeat(format!(
                    "{}: the worker does not answer in this incarnation",
                    heartbeat.incarnation
                ));
            }
        }
        None
    }

    /// Switches to an incarnation that has sent lists and no heartbeat yet. Nothing is started there before
    /// its first heartbeat, since its capacity may differ from that of the previous one.
    pub(super) fn adopt_unannounced(
        &mut self,
        now: Mono,
        incarnation: WorkerIncarnation,
        reply: &HoldReply,
    ) {
        let Some(worker) = &self.worker else {
            return;
        };
        let heartbeat = WorkerHeartbeat {
            incarnation,
            draining: false,
            sequence: 0,
            ..worker.heartbeat.clone()
        };
        self.switch_incarnation(now, heartbeat, None, reply);
    }

    /// Switches to another incarnation, in which the worker has answered. Under the same id, runs in its
    /// lists are kept: they were started after the restart and before it was known here. Ended as lost, they
    /// would run a second time elsewhere.
    fn switch_incarnation(
        &mut self,
        now: Mono,
        heartbeat: WorkerHeartbeat,
        last_heartbeat: Option<Mono>,
        reply: &HoldReply,
    ) {
        let same_id = self.worker_id() == heartbeat.incarnation.id;
        let kept = if same_id {
            // Starts that were sent before the restart was known may still be carried out, seconds later: their
            // deadlines are far ahead on the new clock and refuse nothing.
            self.fence += 1;
            self.surviving_runs(reply)
        } else {
            Vec::new()
        };
        self.record_crash(now, &kept);
        self.end_incarnation(now, "another incarnation has registered", &kept);
        if !kept.is_empty() {
            self.keep_for_longest(now);
        }
        self.adopt_worker(now, heartbeat, last_heartbeat);
    }

    /// Returns the runs that the lists contain, those whose start is not confirmed, and those whose start was
    /// confirmed by a later incarnation: a worker that has restarted under the same id may have accepted them, or
    /// has. The lists may be older than that answer.
    fn surviving_runs(&self, reply: &HoldReply) -> Vec<TaskName> {
        let HoldReply::Lists {
            running, finished, ..
        } = reply
        else {
            return Vec::new();
        };
        let listed = running.iter().map(|row: &RunningRow| row.run);
        let listed = listed.chain(finished.iter().map(|row: &FinishedRow| row.run));
        let listed: Vec<RunName> = listed.collect();
        let found = self.runs.iter().filter(|(task, run)| {
            let shown = |name: &RunName| name.task == **task && name.run == run.run;
            run.state == RunState::Starting || run.later_life || listed.iter().any(shown)
        });
        found.map(|(task, _)| *task).collect()
    }

    /// Handles the message that a worker with this id has left. It has no start time, so it may be a delayed
    /// message of an earlier incarnation with the same id. While there are runs, it is trusted only if the
    /// worker was draining and no past incarnation had the id; otherwise the next hold decides.
    pub fn handle_worker_left(&mut self, now: Mono, id: &str) {
        if self.worker_id() != id {
            if self.incarnations.is_candidate(id) {
                self.incarnations.candidate = None;
            }
            return;
        }
        let draining = self.worker.as_ref().is_some_and(|w| w.heartbeat.draining);
        let certain = draining && !self.incarnations.has_past_id(id);
        if certain || self.runs.is_empty() {
            self.incarnations.candidate = None;
            self.end_incarnation(now, "it has left", &[]);
        } else {
            self.reject_heartbeat(format!("{id} reports that it has left, but has runs"));
        }
        self.advance(now);
    }

    /// Begins an incarnation that has sent a heartbeat.
    pub(super) fn begin_incarnation(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        self.adopt_worker(now, heartbeat, Some(now));
    }

    /// Begins an incarnation from a saved heartbeat of unknown age. Nothing is started before the next
    /// heartbeat: the worker's capacity may have shrunk since, and the executor would allocate more than
    /// there is.
    pub(super) fn restore_incarnation(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        self.adopt_worker(now, heartbeat, None);
    }

    /// Makes an incarnation the current one, with its health unknown and its runs to be reconciled.
    fn adopt_worker(
        &mut self,
        now: Mono,
        heartbeat: WorkerHeartbeat,
        last_heartbeat: Option<Mono>,
    ) {
        let detail = format!("{} of {}", heartbeat.incarnation, heartbeat.service);
        self.log(Kind::WorkerUp, detail);
        if heartbeat.draining {
            self.log(Kind::WorkerDraining, heartbeat.incarnation.to_string());
        }
        self.health = Health::new(self.setup.policy.health);
        self.speed.begin_incarnation();
        self.unreconciled_since = now;
        self.unknown_since = None;
        self.refused_since = None;
        self.worker = Some(Worker {
            heartbeat,
            last_heartbeat,
            responsive: true,
            ..Worker::default()
        });
        self.update_profile();
        self.save_heartbeat();
    }

    /// Restores the worker from a heartbeat that an earlier incarnation of this process received, or that
    /// names a past incarnation of the worker. The worker is asked at once to confirm it, without waiting for
    /// its next heartbeat.
    pub fn restore_worker(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        if self.worker.is_none() {
            self.saved_heartbeat = Some(heartbeat);
            self.advance(now);
        }
    }

    /// Requests that the last heartbeat be saved for the next incarnation of this process.
    fn save_heartbeat(&mut self) {
        let announced = self.worker.as_ref().filter(|w| w.last_heartbeat.is_some());
        let heartbeat = announced.map(|w| w.heartbeat.clone());
        self.actions.push(Action::SaveHeartbeat(heartbeat));
    }

    /// Ends the worker's current incarnation and its runs, except for `kept`, which the next incarnation has.
    fn end_incarnation(&mut self, now: Mono, cause: &str, kept: &[TaskName]) {
        let Some(worker) = &self.worker else {
            return;
        };
        let incarnation = worker.heartbeat.incarnation.clone();
        self.log(Kind::WorkerDown, incarnation.to_string());
        self.log_lost_runs(now, cause, kept);
        self.incarnations.end(incarnation);
        self.worker = None;
        self.update_profile();
        self.save_heartbeat();
        let lost = self.runs.keys().filter(|task| !kept.contains(task));
        let names: Vec<TaskName> = lost.copied().collect();
        for name in names {
            self.end_lost_run(now, name);
        }
        self.return_queue(now);
    }
}
