//! Lives of the worker: which one it is in, told from its heartbeats and from its own word.
//!
//! A heartbeat names the life it is of, and can arrive after that life is over, or come from somebody else. Another
//! life than the present one is therefore believed once the worker has answered under it: taking the heartbeat's
//! word ended what ran in the living one, and blamed a task there for a crash that had not been.
//!
//! A worker may start again under the id that it had, so a life is its id and its start together. All that a worker counts,
//! its heartbeats, its ends and its clock, is counted within a life and compared with nothing of another one.

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

/// So many lives that are over are remembered; a worker that crashes under each of a batch of tasks has tens.
const MAX_PAST: usize = 64;
/// The worker is asked so often whether it is in another life. Single answers can be lost.
const MAX_ATTEMPTS: u32 = 3;

/// What is known of the worker's lives besides the present one.
#[derive(Debug, Default)]
pub(super) struct Incarnations {
    /// Lives that are over, the oldest first.
    past: VecDeque<WorkerIncarnation>,
    /// What was said by another life, which the worker has not confirmed, and how often it was asked.
    candidate: Option<(WorkerHeartbeat, u32)>,
}

impl Incarnations {
    fn end(&mut self, life: WorkerIncarnation) {
        if self.past.len() >= MAX_PAST {
            self.past.pop_front();
        }
        self.past.push_back(life);
    }

    fn is_past(&self, life: &WorkerIncarnation) -> bool {
        self.past.iter().any(|l| l.is_same_as(life))
    }

    /// Whether an earlier life had this id.
    fn has_past_id(&self, id: &str) -> bool {
        self.past.iter().any(|life| life.id == id)
    }

    /// The id of the life to ask the worker about, if there is one.
    pub fn candidate_id(&self) -> Option<String> {
        self.candidate
            .as_ref()
            .map(|(heartbeat, _)| heartbeat.life.id.clone())
    }

    /// Whether the worker has not been asked about another life yet, which does not wait for its next hold.
    pub fn has_new_candidate(&self) -> bool {
        self.candidate
            .as_ref()
            .is_some_and(|(_, asked)| *asked == 0)
    }

    fn is_candidate(&self, id: &str) -> bool {
        let same = |(heartbeat, _): &(WorkerHeartbeat, u32)| heartbeat.life.id == id;
        self.candidate.as_ref().is_some_and(same)
    }

    /// Takes what was said by another life. A later word of the same one stands.
    fn set_candidate(&mut self, heartbeat: WorkerHeartbeat) {
        let later = |(known, _): &(WorkerHeartbeat, u32)| {
            known.life.is_same_as(&heartbeat.life) && known.sequence > heartbeat.sequence
        };
        if !self.candidate.as_ref().is_some_and(later) {
            self.candidate = Some((heartbeat, 0));
        }
    }
}

impl Worker {
    /// Takes note of what it says in its present life; whether that counts.
    fn accept_heartbeat(
        &mut self,
        now: Mono,
        heartbeat: WorkerHeartbeat,
        interval: Duration,
    ) -> bool {
        if self.has_started && heartbeat.service != self.heartbeat.service {
            return false;
        }
        // A worker that leaves does not come back in the same life, so that this is true also of one that came late.
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

    /// Whether the number of the newest heartbeat was not the worker's, now that there is one below it: for a
    /// heartbeat nothing came that is above it, and two below it that rise and came apart, as what was held up
    /// on the way does not.
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
    /// Takes note of what the worker says of itself.
    pub fn handle_heartbeat(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        match &self.worker {
            None if self.incarnations.is_past(&heartbeat.life) => {
                self.restore_worker(now, heartbeat)
            }
            None => self.begin_incarnation(now, heartbeat),
            Some(worker) if !worker.heartbeat.life.is_same_as(&heartbeat.life) => {
                self.incarnations.set_candidate(heartbeat)
            }
            Some(_) => self.update_heartbeat(now, heartbeat),
        }
        self.advance(now);
    }

    fn update_heartbeat(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        let interval = self.setup.heartbeat;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let (before, first) = (worker.heartbeat.clone(), worker.last_heartbeat.is_none());
        let (life, sequence) = (heartbeat.life.clone(), heartbeat.sequence);
        let counts = worker.accept_heartbeat(now, heartbeat, interval);
        let drains = worker.heartbeat.draining && !before.draining;
        let same = worker.heartbeat.is_like(&before);
        if !counts {
            let detail = format!(
                "{life} number {sequence}; {} number {}",
                before.life, before.sequence
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

    /// A heartbeat changes nothing.
    fn reject_heartbeat(&mut self, detail: String) {
        self.counts.rejected_heartbeats += 1;
        self.log(Kind::InvalidHeartbeat, detail);
    }

    /// A heartbeat could not be read.
    pub fn count_unreadable_heartbeat(&mut self) {
        self.counts.rejected_heartbeats += 1;
    }

    /// Whether a hold was meant for a life that the worker has not confirmed.
    pub(super) fn is_candidate(&self, id: &str) -> bool {
        self.worker.is_some() && self.incarnations.is_candidate(id)
    }

    /// Whether calls to the worker may reach another life than the present one, since both have the same id. What it
    /// has room for is not known then.
    pub(super) fn is_incarnation_uncertain(&self) -> bool {
        self.is_candidate(&self.worker_id())
    }

    /// Whether lists are of another life than the present one, by the start that they name.
    pub(super) fn is_from_other_incarnation(&self, born: Option<u64>) -> bool {
        let answering = WorkerIncarnation {
            id: self.worker_id(),
            born,
        };
        let other = |worker: &Worker| !worker.heartbeat.life.is_same_as(&answering);
        self.worker.as_ref().is_some_and(other)
    }

    /// The worker's answer to a question for another life. Returns the reply if it is of the life that is the
    /// present one from now on.
    pub(super) fn handle_candidate_reply(
        &mut self,
        now: Mono,
        reply: HoldReply,
    ) -> Option<HoldReply> {
        let (heartbeat, asked) = self.incarnations.candidate.take()?;
        match &reply {
            HoldReply::Lists { born, .. } => {
                let answering = WorkerIncarnation {
                    id: heartbeat.life.id.clone(),
                    born: *born,
                };
                let present = self.worker.as_ref().map(|w| &w.heartbeat.life);
                if present.is_some_and(|life| life.is_same_as(&answering)) {
                    self.reject_heartbeat(format!("{} is not its life", heartbeat.life));
                } else if heartbeat.life.is_same_as(&answering) {
                    self.switch_incarnation(now, heartbeat, Some(now), &reply);
                } else {
                    self.adopt_unannounced(now, answering, &reply);
                }
                return Some(reply);
            }
            HoldReply::WrongLife => {
                self.reject_heartbeat(format!("{} is not its life", heartbeat.life))
            }
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
                    "{}: the worker does not answer under it",
                    heartbeat.life
                ));
            }
        }
        None
    }

    /// The lists are of a life that has not said anything yet: nothing is started there until it has said what
    /// room it has, as it may be of another kind than the one before.
    pub(super) fn adopt_unannounced(
        &mut self,
        now: Mono,
        life: WorkerIncarnation,
        reply: &HoldReply,
    ) {
        let Some(worker) = &self.worker else {
            return;
        };
        let heartbeat = WorkerHeartbeat {
            life,
            draining: false,
            sequence: 0,
            ..worker.heartbeat.clone()
        };
        self.switch_incarnation(now, heartbeat, None, reply);
    }

    /// The worker has answered in another life. What its lists show is there, begun after it had started and before that
    /// was known: ended as lost it would run a second time elsewhere.
    fn switch_incarnation(
        &mut self,
        now: Mono,
        heartbeat: WorkerHeartbeat,
        last_heartbeat: Option<Mono>,
        reply: &HoldReply,
    ) {
        let same_id = self.worker_id() == heartbeat.life.id;
        let kept = if same_id {
            self.surviving_runs(reply)
        } else {
            Vec::new()
        };
        self.record_crash(now, &kept);
        self.end_incarnation(now, "another life has registered", &kept);
        self.adopt_worker(now, heartbeat, last_heartbeat);
    }

    /// The runs that lists show, and those of which it is not known yet whether they began: a worker that has
    /// started again under its id may have taken them.
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
            run.state == RunState::Starting || listed.iter().any(shown)
        });
        found.map(|(task, _)| *task).collect()
    }

    /// Takes note that a worker with this id says that it has left. That names no start: it may be of an earlier life under
    /// the same id and have come late. While something runs, it is believed only of a worker that had said it leaves,
    /// under an id that no earlier life had; else the next hold tells.
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
            self.reject_heartbeat(format!("{id} says that it has left, and has runs"));
        }
        self.advance(now);
    }

    /// Meets the worker in a life that it has told of itself.
    pub(super) fn begin_incarnation(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        self.adopt_worker(now, heartbeat, Some(now));
    }

    /// Meets the worker in a life that an earlier life of this process knew. It is not known for how long that is over, and
    /// the worker's room may have shrunk since: nothing is started before it has said what it has. An executor that
    /// goes by what it has kept may take more than there is.
    pub(super) fn restore_incarnation(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        self.adopt_worker(now, heartbeat, None);
    }

    fn adopt_worker(
        &mut self,
        now: Mono,
        heartbeat: WorkerHeartbeat,
        last_heartbeat: Option<Mono>,
    ) {
        let detail = format!("{} of {}", heartbeat.life, heartbeat.service);
        self.log(Kind::WorkerUp, detail);
        if heartbeat.draining {
            self.log(Kind::WorkerDraining, heartbeat.life.to_string());
        }
        self.health = Health::new(self.setup.policy.health);
        self.speed.begin_life();
        self.unreconciled_since = now;
        self.worker = Some(Worker {
            heartbeat,
            last_heartbeat,
            responsive: true,
            ..Worker::default()
        });
        self.update_profile();
        self.save_heartbeat();
    }

    /// Takes note of what the worker said to an earlier life of this process, or in a life that was held to be
    /// over. It is asked at once whether it is in that life, so that it need not be waited for until it says so
    /// again.
    pub fn restore_worker(&mut self, now: Mono, heartbeat: WorkerHeartbeat) {
        if self.worker.is_none() {
            self.saved_heartbeat = Some(heartbeat);
            self.advance(now);
        }
    }

    fn save_heartbeat(&mut self) {
        let announced = self.worker.as_ref().filter(|w| w.last_heartbeat.is_some());
        let heartbeat = announced.map(|w| w.heartbeat.clone());
        self.actions.push(Action::SaveHeartbeat(heartbeat));
    }

    /// Everything that ran in this life of the worker is over, except for what is known to be in the next one.
    fn end_incarnation(&mut self, now: Mono, cause: &str, kept: &[TaskName]) {
        let Some(worker) = &self.worker else {
            return;
        };
        let life = worker.heartbeat.life.clone();
        self.log(Kind::WorkerDown, life.to_string());
        self.log_lost_runs(now, cause, kept);
        self.incarnations.end(life);
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
