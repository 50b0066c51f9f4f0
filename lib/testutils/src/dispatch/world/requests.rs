//! The requests of callers: submissions, cancels, repeated submissions, and the answers to them.

use stackcourse_lib::dispatch::cancels::CancelReply;
use stackcourse_lib::dispatch::model::JobRequest;

use super::*;

/// A request to a scheduler.
#[derive(Clone, Debug)]
pub(super) enum Request {
    Submit(CallerId, JobRequest),
    Cancel(JobNumber),
}

impl World {
    /// Sends a request to a scheduler. One that is frozen reads it later if `keeps_requests` is set, and
    /// never otherwise.
    pub(super) fn send_request(&mut self, scheduler: usize, request: Request) {
        let node = &self.schedulers[scheduler];
        if !node.up {
            return;
        }
        let (incarnation, wait) = (node.incarnation, node.frozen_until.saturating_sub(self.now));
        if wait == 0 {
            self.handle_request(scheduler, request);
        } else if self.keeps_requests {
            self.schedule(wait, Event::Request(scheduler, incarnation, request));
        }
    }

    /// Delivers a request that has waited for a frozen scheduler, unless that was killed since.
    pub(super) fn deliver_request(&mut self, scheduler: usize, incarnation: u64, request: Request) {
        if self.incarnation(Node::Scheduler(scheduler)) == incarnation {
            self.send_request(scheduler, request);
        }
    }

    fn handle_request(&mut self, scheduler: usize, request: Request) {
        match request {
            Request::Submit(caller, job) => {
                self.with_scheduler(scheduler, |s, now| s.submit(now, caller, job));
            }
            Request::Cancel(number) => self.handle_cancel(scheduler, number),
        }
    }

    fn handle_cancel(&mut self, scheduler: usize, number: JobNumber) {
        let mut reply = CancelReply::UnknownJob;
        self.with_scheduler(scheduler, |s, now| reply = s.cancel(now, number));
        if reply == CancelReply::Accepted {
            let text = format!("cancel of {number} acknowledged");
            self.print(Node::Scheduler(scheduler), &text);
            self.witness.record_cancel(number, self.now);
        }
    }

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
        self.send_request(scheduler, Request::Submit(caller, request));
    }

    /// Cancels a job at a scheduler.
    pub fn cancel(&mut self, number: JobNumber, scheduler: usize) {
        self.witness.record_cancel_sent(number);
        self.send_request(scheduler, Request::Cancel(number));
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
