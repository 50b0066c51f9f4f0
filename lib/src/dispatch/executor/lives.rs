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
use super::Life;
use super::RunName;
use super::RunState;
use super::RunningRow;
use super::Worker;
use super::WorkerBeat;
use super::health::Health;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

/// So many lives that are over are remembered; a worker that crashes under each of a batch of tasks has tens.
const PAST_LIVES: usize = 64;
/// The worker is asked so often whether it is in another life. Single answers can be lost.
const MOST_ASKED: u32 = 3;

/// What is known of the worker's lives besides the present one.
#[derive(Debug, Default)]
pub(super) struct Lives {
    /// Lives that are over, the oldest first.
    past: VecDeque<Life>,
    /// What was said by another life, which the worker has not confirmed, and how often it was asked.
    candidate: Option<(WorkerBeat, u32)>,
}

impl Lives {
    fn end(&mut self, life: Life) {
        if self.past.len() >= PAST_LIVES {
            self.past.pop_front();
        }
        self.past.push_back(life);
    }

    fn is_past(&self, life: &Life) -> bool {
        self.past.iter().any(|l| l.is_same(life))
    }

    /// Whether an earlier life had this id.
    fn has_had(&self, id: &str) -> bool {
        self.past.iter().any(|life| life.id == id)
    }

    /// The id of the life to ask the worker about, if there is one.
    pub fn asked(&self) -> Option<String> {
        self.candidate
            .as_ref()
            .map(|(beat, _)| beat.life.id.clone())
    }

    /// Whether the worker has not been asked about another life yet, which does not wait for its next hold.
    pub fn is_unasked(&self) -> bool {
        self.candidate
            .as_ref()
            .is_some_and(|(_, asked)| *asked == 0)
    }

    fn is_asked(&self, id: &str) -> bool {
        let same = |(beat, _): &(WorkerBeat, u32)| beat.life.id == id;
        self.candidate.as_ref().is_some_and(same)
    }

    /// Takes what was said by another life. A later word of the same one stands.
    fn ask(&mut self, beat: WorkerBeat) {
        let later = |(known, _): &(WorkerBeat, u32)| {
            known.life.is_same(&beat.life) && known.sequence > beat.sequence
        };
        if !self.candidate.as_ref().is_some_and(later) {
            self.candidate = Some((beat, 0));
        }
    }
}

impl Worker {
    /// Takes note of what it says in its present life; whether that counts.
    fn take_beat(&mut self, now: Mono, beat: WorkerBeat, heartbeat: Duration) -> bool {
        if self.used && beat.service != self.beat.service {
            return false;
        }
        // A worker that leaves does not come back in the same life, so that this is true also of one that came late.
        let draining = beat.draining || self.beat.draining;
        self.beat.draining = draining;
        if beat.sequence < self.beat.sequence && !self.was_ahead(now, beat.sequence, heartbeat) {
            return false;
        }
        self.lower = None;
        self.beat = WorkerBeat { draining, ..beat };
        self.heard = Some(now);
        true
    }

    /// Whether the number of the newest heartbeat was not the worker's, now that there is one below it: for a
    /// heartbeat nothing came that is above it, and two below it that rise and came apart, as what was held up
    /// on the way does not.
    fn was_ahead(&mut self, now: Mono, sequence: u64, heartbeat: Duration) -> bool {
        let Some((lower, at)) = self.lower.filter(|(lower, _)| *lower < sequence) else {
            self.lower = Some((sequence, now));
            return false;
        };
        self.lower = Some((lower, at));
        let silent = self.heard.is_none_or(|at| now.since(at) >= heartbeat);
        now.since(at) >= heartbeat / 2 && silent
    }
}

impl Executor {
    /// Takes note of what the worker says of itself.
    pub fn beat(&mut self, now: Mono, beat: WorkerBeat) {
        match &self.worker {
            None if self.lives.is_past(&beat.life) => self.recall(now, beat),
            None => self.begin_life(now, beat),
            Some(worker) if !worker.beat.life.is_same(&beat.life) => self.lives.ask(beat),
            Some(_) => self.beat_again(now, beat),
        }
        self.work(now);
    }

    fn beat_again(&mut self, now: Mono, beat: WorkerBeat) {
        let heartbeat = self.setup.heartbeat;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let (before, first) = (worker.beat.clone(), worker.heard.is_none());
        let (life, sequence) = (beat.life.clone(), beat.sequence);
        let counts = worker.take_beat(now, beat, heartbeat);
        let drains = worker.beat.draining && !before.draining;
        let same = worker.beat.is_like(&before);
        if !counts {
            let detail = format!(
                "{life} number {sequence}; {} number {}",
                before.life, before.sequence
            );
            self.reject_beat(detail);
        }
        if !same || first {
            self.profile_changed();
        }
        if !same || drains || first {
            self.keep_worker();
        }
        if drains {
            self.log(Kind::WorkerDraining, self.life());
            self.return_queue(now);
        }
    }

    /// A heartbeat changes nothing.
    fn reject_beat(&mut self, detail: String) {
        self.counts.beats_rejected += 1;
        self.log(Kind::InvalidHeartbeat, detail);
    }

    /// A heartbeat could not be read.
    pub fn beat_unreadable(&mut self) {
        self.counts.beats_rejected += 1;
    }

    /// Whether a hold was meant for a life that the worker has not confirmed.
    pub(super) fn is_candidate(&self, id: &str) -> bool {
        self.worker.is_some() && self.lives.is_asked(id)
    }

    /// Whether calls to the worker may reach another life than the present one, since both have the same id. What it
    /// has room for is not known then.
    pub(super) fn is_life_doubted(&self) -> bool {
        self.is_candidate(&self.life())
    }

    /// Whether lists are of another life than the present one, by the start that they name.
    pub(super) fn is_of_another_life(&self, born: Option<u64>) -> bool {
        let answering = Life {
            id: self.life(),
            born,
        };
        let other = |worker: &Worker| !worker.beat.life.is_same(&answering);
        self.worker.as_ref().is_some_and(other)
    }

    /// The worker's answer to a question for another life. Returns the reply if it is of the life that is the
    /// present one from now on.
    pub(super) fn life_answered(&mut self, now: Mono, reply: HoldReply) -> Option<HoldReply> {
        let (beat, asked) = self.lives.candidate.take()?;
        match &reply {
            HoldReply::Lists { born, .. } => {
                let answering = Life {
                    id: beat.life.id.clone(),
                    born: *born,
                };
                let present = self.worker.as_ref().map(|w| &w.beat.life);
                if present.is_some_and(|life| life.is_same(&answering)) {
                    self.reject_beat(format!("{} is not its life", beat.life));
                } else if beat.life.is_same(&answering) {
                    self.change_life(now, beat, Some(now), &reply);
                } else {
                    self.meet_unheard(now, answering, &reply);
                }
                return Some(reply);
            }
            HoldReply::WrongLife => self.reject_beat(format!("{} is not its life", beat.life)),
            HoldReply::Fenced if asked + 1 < MOST_ASKED => {
                self.raise_fence();
                self.lives.candidate = Some((beat, asked + 1));
            }
            HoldReply::NoAnswer | HoldReply::Unreachable if asked + 1 < MOST_ASKED => {
                self.hold_at = now + self.setup.policy.orders.ask_soon;
                self.lives.candidate = Some((beat, asked + 1));
            }
            HoldReply::Fenced | HoldReply::NoAnswer | HoldReply::Unreachable => {
                self.reject_beat(format!(
                    "{}: the worker does not answer under it",
                    beat.life
                ));
            }
        }
        None
    }

    /// The lists are of a life that has not said anything yet: nothing is started there until it has said what
    /// room it has, as it may be of another kind than the one before.
    pub(super) fn meet_unheard(&mut self, now: Mono, life: Life, reply: &HoldReply) {
        let Some(worker) = &self.worker else {
            return;
        };
        let beat = WorkerBeat {
            life,
            draining: false,
            sequence: 0,
            ..worker.beat.clone()
        };
        self.change_life(now, beat, None, reply);
    }

    /// The worker has answered in another life. What its lists show is there, begun after it had started and before that
    /// was known: ended as lost it would run a second time elsewhere.
    fn change_life(&mut self, now: Mono, beat: WorkerBeat, heard: Option<Mono>, reply: &HoldReply) {
        let same_id = self.life() == beat.life.id;
        let kept = if same_id {
            self.found_in(reply)
        } else {
            Vec::new()
        };
        self.judge_crash(now, &kept);
        self.end_life(now, "another life has registered", &kept);
        self.meet(now, beat, heard);
    }

    /// The runs that lists show, and those of which it is not known yet whether they began: a worker that has
    /// started again under its id may have taken them.
    fn found_in(&self, reply: &HoldReply) -> Vec<TaskName> {
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
    pub fn worker_left(&mut self, now: Mono, id: &str) {
        if self.life() != id {
            if self.lives.is_asked(id) {
                self.lives.candidate = None;
            }
            return;
        }
        let draining = self.worker.as_ref().is_some_and(|w| w.beat.draining);
        let certain = draining && !self.lives.has_had(id);
        if certain || self.runs.is_empty() {
            self.lives.candidate = None;
            self.end_life(now, "it has left", &[]);
        } else {
            self.reject_beat(format!("{id} says that it has left, and has runs"));
        }
        self.work(now);
    }

    /// Meets the worker in a life that it has told of itself.
    pub(super) fn begin_life(&mut self, now: Mono, beat: WorkerBeat) {
        self.meet(now, beat, Some(now));
    }

    /// Meets the worker in a life that an earlier life of this process knew. It is not known for how long that is over, and
    /// the worker's room may have shrunk since: nothing is started before it has said what it has. An executor that
    /// goes by what it has kept may take more than there is.
    pub(super) fn begin_recalled_life(&mut self, now: Mono, beat: WorkerBeat) {
        self.meet(now, beat, None);
    }

    fn meet(&mut self, now: Mono, beat: WorkerBeat, heard: Option<Mono>) {
        let detail = format!("{} of {}", beat.life, beat.service);
        self.log(Kind::WorkerUp, detail);
        if beat.draining {
            self.log(Kind::WorkerDraining, beat.life.to_string());
        }
        self.health = Health::new(self.setup.policy.health);
        self.speed.begin_life();
        self.unclean_since = now;
        self.worker = Some(Worker {
            beat,
            heard,
            answers: true,
            ..Worker::default()
        });
        self.profile_changed();
        self.keep_worker();
    }

    /// Takes note of what the worker said to an earlier life of this process, or in a life that was held to be
    /// over. It is asked at once whether it is in that life, so that it need not be waited for until it says so
    /// again.
    pub fn recall(&mut self, now: Mono, beat: WorkerBeat) {
        if self.worker.is_none() {
            self.recalled = Some(beat);
            self.work(now);
        }
    }

    fn keep_worker(&mut self) {
        let heard = self.worker.as_ref().filter(|w| w.heard.is_some());
        let beat = heard.map(|w| w.beat.clone());
        self.actions.push(Action::Keep(beat));
    }

    /// Everything that ran in this life of the worker is over, except for what is known to be in the next one.
    fn end_life(&mut self, now: Mono, cause: &str, kept: &[TaskName]) {
        let Some(worker) = &self.worker else {
            return;
        };
        let life = worker.beat.life.clone();
        self.log(Kind::WorkerDown, life.to_string());
        self.log_lost(now, cause, kept);
        self.lives.end(life);
        self.worker = None;
        self.profile_changed();
        self.keep_worker();
        let lost = self.runs.keys().filter(|task| !kept.contains(task));
        let names: Vec<TaskName> = lost.copied().collect();
        for name in names {
            self.end_run_lost(now, name);
        }
        self.return_queue(now);
    }
}
