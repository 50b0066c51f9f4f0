//! The orderly shutdown of a scheduler. It runs on for some time, in which it accepts what can still end here,
//! and then answers all callers for the last time. Nobody would answer a caller that waits after that, so
//! whatever still comes is answered at once.

use super::Action;
use super::CallerId;
use super::Scheduler;
use super::jobs::Job;
use super::jobs::Phase;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::event::Kind;
use crate::prelude::*;

/// The cause of refusals of jobs that would outlast this process.
pub(super) const LEAVING: &str = "leaving";

impl Scheduler {
    /// Starts leaving: the scheduler is no longer ready, but still accepts jobs that can end before
    /// `ends_at`.
    pub fn leave(&mut self, now: Mono, ends_at: Mono) {
        self.advance_clock(now);
        self.leaving = Some(ends_at);
        self.log(Kind::Leaving, self.setup.name.clone());
    }

    /// Returns whether the process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Gives up all jobs and answers every waiting caller, so that the process can exit. Whatever comes from
    /// now on is answered at once.
    pub fn abandon(&mut self, now: Mono) {
        self.advance_clock(now);
        self.is_closed = true;
        let numbers: Vec<JobNumber> = self.jobs.keys().copied().collect();
        for number in numbers {
            match self.is_claiming(number) {
                // It may run elsewhere, so it is not refused.
                true => self.end_job(number, JobOutcome::Unknown, LEAVING),
                false => self.give_up(number, LEAVING),
            }
        }
        for (number, following) in std::mem::take(&mut self.following) {
            // The peer may run the job, so it is not refused if it comes again.
            self.record_outcome(number, JobOutcome::Unknown, true);
            for caller in following.callers {
                self.actions
                    .push(Action::Answer(caller, JobOutcome::Unknown));
            }
        }
    }

    /// Returns whether a job waits for claims.
    fn is_claiming(&self, number: JobNumber) -> bool {
        let claiming = |job: &Job| matches!(job.phase, Phase::Claiming(_));
        self.jobs.get(&number).is_some_and(claiming)
    }

    /// Returns whether all callers were answered for the last time.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns whether a job is expected to outlast this process.
    pub(super) fn outlasts_process(&self, job: &Job) -> bool {
        self.is_over_before(job, self.setup.policy.leaving.room_to_end)
    }

    /// Returns whether a job that outlasts this process may be handed off: the peer, which has time to spare, is
    /// expected to end it while its caller can be answered here. The caller of a longer job would be told that its
    /// outcome is unknown, although nothing of it ran when it came.
    pub(super) fn can_hand_on(&self, job: &Job) -> bool {
        self.setup.policy.leaving.hand_on && !self.is_over_before(job, 1.0)
    }

    /// Returns whether this process ends before so many times the expected time of a job have passed.
    fn is_over_before(&self, job: &Job, times: f64) -> bool {
        let total = job.critical_path.iter().copied().max().unwrap_or_default();
        let needed = total.mul_f64(times) + self.setup.policy.reports.heartbeat;
        self.leaving.is_some_and(|at| self.now + needed > at)
    }

    /// Answers a request that comes after the last answers. It is refused only if the job has not run and runs
    /// nowhere.
    pub(super) fn turn_away(&mut self, caller: CallerId, request: &JobRequest) {
        let number = request.number;
        let began = self.ended.get(&number).is_some_and(|e| e.began);
        if began || self.announced.is_announced(number) || self.may_run_elsewhere() {
            return self.answer_unknown(caller, request, LEAVING);
        }
        self.refuse_request(caller, request, LEAVING);
    }

    /// Asserts that no caller waits after the last answers.
    pub(super) fn check_closed(&self) {
        let waits = !self.is_idle();
        debug_assert!(!self.is_closed || !waits, "a caller is never answered");
    }
}
