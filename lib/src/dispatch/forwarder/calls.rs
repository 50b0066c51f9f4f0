//! The open requests: sends each to a scheduler of its partition, sends it again elsewhere if that scheduler
//! is lost, and answers its caller once.
//!
//! A job that was sent to more than one scheduler is never reported as refused, since another one may have
//! begun it.

use super::Action;
use super::Forwarder;
use super::targets::Loss;
use super::targets::TargetKey;
use crate::dispatch::cancels::CancelReply;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::dispatch::partition::Partition;
use crate::dispatch::scheduler::CallerId;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// A request that is forwarded.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Run a job.
    Job(JobRequest),
    /// Cancel a job.
    Cancel(JobNumber),
}

impl Request {
    /// Returns the number of the job that the request is for.
    pub fn number(&self) -> JobNumber {
        match self {
            Request::Job(request) => request.number,
            Request::Cancel(number) => *number,
        }
    }
}

/// A request without an answer so far.
#[derive(Clone, Debug)]
pub(super) struct Call {
    request: Request,
    partition: Partition,
    received_at: Mono,
    /// The scheduler to which it was sent, or is sent once that has a link and has reported its state.
    pub target: Option<TargetKey>,
    sent_at: Option<Mono>,
    /// Whether it was sent to another scheduler before, which may have begun the job.
    sent_before: bool,
    /// When it is sent to another scheduler.
    resend_at: Option<Mono>,
}

impl Call {
    pub fn new(now: Mono, partition: Partition, request: Request) -> Call {
        Call {
            request,
            partition,
            received_at: now,
            target: None,
            sent_at: None,
            sent_before: false,
            resend_at: None,
        }
    }

    /// Returns the number of the job that the request is for.
    pub fn number(&self) -> JobNumber {
        self.request.number()
    }

    /// Returns the outcome if the answer is lost: a job may run, and a job to be cancelled may exist.
    pub fn outcome_if_lost(&self) -> JobOutcome {
        match self.request {
            Request::Job(_) => JobOutcome::Unknown,
            Request::Cancel(_) => CancelReply::Uncertain.outcome(),
        }
    }

    /// Returns the scheduler that has the request and has not answered it.
    pub fn sent_to(&self) -> Option<TargetKey> {
        self.sent_at.and(self.target)
    }

    /// Returns whether the caller no longer waits for the answer.
    fn is_expired(&self, now: Mono) -> bool {
        let Request::Job(request) = &self.request else {
            return false;
        };
        let patience = Duration::from_millis(request.patience_ms);
        request.patience_ms > 0 && now.since(self.received_at) >= patience
    }

    /// Converts the request to a message, with the time that is left of the caller's patience.
    fn proto(&self, now: Mono, caller: CallerId) -> proto::Forward {
        let mut forward = proto::Forward::default();
        match &self.request {
            Request::Job(request) => {
                let mut job = request.proto();
                let spent = crate::clock::millis(now.since(self.received_at));
                if job.patience_ms > 0 {
                    job.patience_ms = job.patience_ms.saturating_sub(spent).max(1);
                }
                forward.jobs.push(proto::ForwardedJob {
                    caller: caller.0,
                    job: Some(job),
                });
            }
            Request::Cancel(number) => forward.cancels.push(proto::ForwardedCancel {
                caller: caller.0,
                job: number.0,
            }),
        }
        forward
    }
}

impl Forwarder {
    /// Chooses a scheduler for a request and sends it there, at once if the scheduler is linked and has
    /// reported its state. Gives the request up if there is no scheduler.
    pub(super) fn place_request(&mut self, caller: CallerId) {
        let now = self.now;
        let Some(call) = self.calls.get(&caller) else {
            return;
        };
        let partition = call.partition;
        let target = match call.is_expired(now) {
            true => None,
            false => self.choose_target(partition),
        };
        let Some(key) = target else {
            return self.give_up(caller);
        };
        if let Some(call) = self.calls.get_mut(&caller) {
            call.target = Some(key);
            call.sent_at = None;
            call.resend_at = None;
        }
        if self.targets[key].is_linked() {
            self.send(caller, key);
        }
    }

    /// Sends a request to a scheduler with the next message.
    pub(super) fn send(&mut self, caller: CallerId, key: TargetKey) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&caller) else {
            return;
        };
        call.sent_at = Some(now);
        self.counts.resent += u64::from(call.sent_before);
        let forward = call.proto(now, caller);
        let target = &mut self.targets[key];
        target.enqueue(now, forward);
        self.pending_targets.push(key);
        if let Request::Job(request) = &call.request {
            let name = &target.name;
            let detail = format!("{} to {name} request {}", request.number, request.call);
            self.log(Kind::JobForwarded, detail);
        }
    }

    /// Answers a request that no scheduler can take or whose caller no longer waits. A job that was sent
    /// before is not reported as refused, since it may have run.
    fn give_up(&mut self, caller: CallerId) {
        let Some(call) = self.calls.remove(&caller) else {
            return;
        };
        self.counts.unplaced += 1;
        // The list of schedulers may be outdated.
        self.stale_partitions.insert(call.partition);
        let untried = !call.sent_before && matches!(call.request, Request::Job(_));
        let outcome = if untried {
            JobOutcome::Refused(self.setup.admission.retry_delay_ms(&mut self.rng))
        } else {
            call.outcome_if_lost()
        };
        let number = call.request.number();
        let detail = format!("{number} no scheduler of partition {}", call.partition);
        self.log(Kind::ForwardFailed, detail);
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// Handles the outcome that a scheduler reports for a request. From a scheduler that no longer has the
    /// request only the result of a job that ran is accepted.
    pub(super) fn handle_end(&mut self, key: TargetKey, caller: CallerId, outcome: JobOutcome) {
        let Some(call) = self.calls.get(&caller) else {
            return;
        };
        let sent_to = call.sent_to();
        let is_current = sent_to == Some(key);
        let has_run = matches!(outcome, JobOutcome::Completed | JobOutcome::Failed);
        if !is_current && !has_run {
            return;
        }
        let outcome = match outcome {
            // Another scheduler may have begun the job that this one refuses.
            JobOutcome::Refused(_) if call.sent_before => JobOutcome::GivenUp,
            other => other,
        };
        self.calls.remove(&caller);
        match sent_to {
            Some(key) if is_current => self.targets[key].finish_request(),
            Some(other) => self.withdraw(other, caller),
            None => {}
        }
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// Returns the callers whose requests are sent once a scheduler has a link and has reported its state.
    pub(super) fn waiting_callers(&self, key: TargetKey) -> Vec<CallerId> {
        let is_waiting = |c: &Call| c.target == Some(key) && c.sent_at.is_none();
        let waiting = self.calls.iter().filter(|(_, c)| is_waiting(c));
        waiting.map(|(caller, _)| *caller).collect()
    }

    /// Moves the requests of a scheduler whose link is lost to other schedulers. Those that were not sent yet
    /// are moved at once, the others after the delay after which a job may be sent again.
    pub(super) fn reassign_requests(&mut self, key: TargetKey, loss: Loss) {
        let now = self.now;
        let policy = self.setup.policy;
        let affected = self.calls.iter().filter(|(_, c)| c.target == Some(key));
        let affected: Vec<CallerId> = affected.map(|(caller, _)| *caller).collect();
        for caller in affected {
            let Some(call) = self.calls.get_mut(&caller) else {
                continue;
            };
            call.target = None;
            let Some(sent) = call.sent_at.take() else {
                self.place_request(caller);
                continue;
            };
            call.sent_before = true;
            call.resend_at = Some(match loss {
                Loss::Broken => now + policy.again_broken,
                Loss::Silent => now.max(sent + policy.again_silent),
            });
        }
    }

    /// Sends requests to other schedulers once their delay has passed.
    pub(super) fn resend_due(&mut self) {
        let now = self.now;
        let is_due = |c: &Call| c.resend_at.is_some_and(|at| at <= now);
        let due = self.calls.iter().filter(|(_, c)| is_due(c));
        let due: Vec<CallerId> = due.map(|(caller, _)| *caller).collect();
        for caller in due {
            self.place_request(caller);
        }
    }

    /// Chooses other schedulers for requests that wait for one that was removed.
    pub(super) fn place_orphaned(&mut self, partition: Partition) {
        let is_orphaned = |c: &Call| {
            let is_gone = c.target.is_none_or(|key| !self.targets.contains_key(key));
            c.partition == partition && c.sent_at.is_none() && c.resend_at.is_none() && is_gone
        };
        let orphaned = self.calls.iter().filter(|(_, c)| is_orphaned(c));
        let orphaned: Vec<CallerId> = orphaned.map(|(caller, _)| *caller).collect();
        for caller in orphaned {
            self.place_request(caller);
        }
    }
}
