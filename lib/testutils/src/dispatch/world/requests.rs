//! The requests of callers: submissions, cancels, repeated submissions, and the answers to them.

use super::*;

impl World {
    /// Submits a job at a scheduler.
    pub fn submit(&mut self, number: JobNumber, scheduler: usize) {
        let caller = self.callers.caller_for(number);
        let Some(job) = self.callers.jobs.get_mut(&number) else {
            return;
        };
        job.submissions += 1;
        let request = job.request.clone();
        if let Some(seen) = self.witness.jobs.get_mut(&number) {
            seen.submissions += 1;
        }
        self.schedule(RESUBMIT_US, Event::Resubmit(number));
        let node = &self.schedulers[scheduler];
        if node.up && node.frozen_until <= self.now {
            self.with_scheduler(scheduler, |s, now| s.submit(now, caller, request));
        }
    }

    /// Cancels a job at a scheduler, if it is up and runs.
    pub fn cancel(&mut self, number: JobNumber, scheduler: usize) {
        let node = &self.schedulers[scheduler];
        if !node.up || node.frozen_until > self.now {
            return;
        }
        let mut known = false;
        self.with_scheduler(scheduler, |s, now| known = s.cancel(now, number));
        if known {
            let text = format!("cancel of {number} acknowledged");
            self.print(Node::Scheduler(scheduler), &text);
            self.witness.record_cancel(number, self.now);
        }
    }

    pub(super) fn resubmit(&mut self, number: JobNumber) {
        let open = self.callers.jobs.get(&number);
        if !open.is_some_and(|j| !j.settled && j.submissions < 3) {
            return;
        }
        let scheduler = self.rng.random_range(0..self.schedulers.len());
        self.submit(number, scheduler);
    }

    pub(super) fn answer(&mut self, caller: CallerId, outcome: JobOutcome) {
        let Some(number) = self.callers.waiting.remove(&caller) else {
            return;
        };
        self.witness.check_answer(number, outcome);
        self.answers.push((self.now, number, outcome));
        if outcome != JobOutcome::Unknown
            && let Some(job) = self.callers.jobs.get_mut(&number)
        {
            job.settled = true;
        }
    }
}
