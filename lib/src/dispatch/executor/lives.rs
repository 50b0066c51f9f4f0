//! Lives of the worker: which one it is in, told from its heartbeats and from its own word.
//!
//! A heartbeat names the life it is of, and can arrive after that life is over, or come from somebody else. Another
//! life than the present one is therefore believed once the worker has answered under it: taking the heartbeat's
//! word ended what ran in the living one, and blamed a task there for a crash that had not been.

use std::collections::VecDeque;

use super::Action;
use super::Executor;
use super::HoldReply;
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
    past: VecDeque<String>,
    /// What was said by another life, which the worker has not confirmed, and how often it was asked.
    candidate: Option<(WorkerBeat, u32)>,
}

impl Lives {
    fn end(&mut self, life: &str) {
        if self.past.len() >= PAST_LIVES {
            self.past.pop_front();
        }
        self.past.push_back(life.to_owned());
    }

    fn is_past(&self, life: &str) -> bool {
        self.past.iter().any(|l| l == life)
    }

    /// The life to ask the worker about, if there is one.
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

    fn is_asked(&self, life: &str) -> bool {
        let same = |(beat, _): &(WorkerBeat, u32)| beat.life.id == life;
        self.candidate.as_ref().is_some_and(same)
    }
}

impl Worker {
    /// Takes note of what it says in its present life; whether that counts.
    fn take_beat(&mut self, now: Mono, beat: WorkerBeat, heartbeat: Duration) -> bool {
        if self.used && beat.service != self.beat.service {
            return false;
        }
        if beat.sequence < self.beat.sequence && !self.was_ahead(now, beat.sequence, heartbeat) {
            return false;
        }
        self.lower = None;
        // A worker that leaves does not come back in the same life.
        let draining = beat.draining || self.beat.draining;
        self.beat = WorkerBeat { draining, ..beat };
        self.heard = now;
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
        now.since(at) >= heartbeat / 2 && now.since(self.heard) >= heartbeat
    }
}

impl Executor {
    /// Takes note of what the worker says of itself.
    pub fn beat(&mut self, now: Mono, beat: WorkerBeat) {
        match &self.worker {
            None if self.lives.is_past(&beat.life.id) => self.recall(now, beat),
            None => self.begin_life(now, beat),
            Some(worker) if worker.beat.life.id != beat.life.id => self.ask_life(beat),
            Some(_) => self.beat_again(now, beat),
        }
        self.work(now);
    }

    fn beat_again(&mut self, now: Mono, beat: WorkerBeat) {
        let heartbeat = self.setup.heartbeat;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let before = worker.beat.clone();
        let (life, sequence) = (beat.life.clone(), beat.sequence);
        if !worker.take_beat(now, beat, heartbeat) {
            let detail = format!(
                "{life} number {sequence}; {} number {}",
                before.life, before.sequence
            );
            return self.reject_beat(detail);
        }
        let drains = worker.beat.draining && !before.draining;
        let same = worker.beat.is_like(&before);
        if !same {
            self.profile_changed();
        }
        if !same || drains {
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
        self.log(Kind::BadBeat, detail);
    }

    /// A heartbeat could not be read.
    pub fn beat_unreadable(&mut self) {
        self.counts.beats_rejected += 1;
    }

    /// Asks the worker whether it is in another life than the present one.
    fn ask_life(&mut self, beat: WorkerBeat) {
        self.lives.candidate = Some((beat, 0));
    }

    /// Whether a hold was meant for a life that the worker has not confirmed.
    pub(super) fn is_candidate(&self, life: &str) -> bool {
        self.worker.is_some() && self.lives.is_asked(life)
    }

    /// The worker's answer to a question for another life. Returns the reply if it is of that life, which is the
    /// present one from now on.
    pub(super) fn life_answered(&mut self, now: Mono, reply: HoldReply) -> Option<HoldReply> {
        let (beat, asked) = self.lives.candidate.take()?;
        match reply {
            HoldReply::Lists { .. } => {
                self.begin_life(now, beat);
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

    /// Takes note that a life of the worker is over.
    pub fn worker_left(&mut self, now: Mono, life: &str) {
        if self.lives.is_asked(life) {
            self.lives.candidate = None;
        }
        if self.life() == life {
            self.end_life(now, "it has left");
            self.work(now);
        }
    }

    pub(super) fn begin_life(&mut self, now: Mono, beat: WorkerBeat) {
        if self.worker.is_some() {
            self.judge_crash(now);
            self.end_life(now, "another life has registered");
        }
        let detail = format!("{} of {}", beat.life, beat.service);
        self.log(Kind::WorkerUp, detail);
        if beat.draining {
            self.log(Kind::WorkerDraining, beat.life.to_string());
        }
        self.health = Health::new(self.setup.policy.health);
        self.unclean_since = now;
        self.worker = Some(Worker {
            beat,
            heard: now,
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
        let beat = self.worker.as_ref().map(|w| w.beat.clone());
        self.actions.push(Action::Keep(beat));
    }

    /// Everything that ran in this life of the worker is over.
    fn end_life(&mut self, now: Mono, cause: &str) {
        let life = self.life();
        self.lives.end(&life);
        self.log(Kind::WorkerDown, life);
        self.log_lost(now, cause);
        self.worker = None;
        self.profile_changed();
        self.keep_worker();
        let names: Vec<TaskName> = self.runs.keys().copied().collect();
        for name in names {
            self.end_run_lost(now, name);
        }
        self.return_queue(now);
    }
}
