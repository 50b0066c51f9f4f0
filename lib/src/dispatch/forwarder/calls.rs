//! Requests that wait for their answers: sent, sent again elsewhere, answered.

use super::Action;
use super::Forwarder;
use super::targets::Loss;
use super::targets::TargetKey;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::dispatch::partition::Partition;
use crate::dispatch::scheduler::CallerId;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// What is forwarded.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// A job to be run.
    Job(JobRequest),
    /// The cancel of a job.
    Cancel(JobNumber),
}

impl Request {
    /// The job that it is about.
    pub fn number(&self) -> JobNumber {
        match self {
            Request::Job(request) => request.number,
            Request::Cancel(number) => *number,
        }
    }
}

/// A request that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Call {
    request: Request,
    partition: Partition,
    came: Mono,
    /// Where it was sent, or is to be sent once that is linked.
    pub at: Option<TargetKey>,
    sent: Option<Mono>,
    /// Whether it was sent before to another scheduler, which may have begun the job.
    sent_before: bool,
    /// When it goes to another scheduler.
    again_at: Option<Mono>,
}

impl Call {
    pub fn new(now: Mono, partition: Partition, request: Request) -> Call {
        Call {
            request,
            partition,
            came: now,
            at: None,
            sent: None,
            sent_before: false,
            again_at: None,
        }
    }

    /// The job that it is about.
    pub fn number(&self) -> JobNumber {
        self.request.number()
    }

    /// Where it was sent and is not answered yet.
    pub fn sent_to(&self) -> Option<TargetKey> {
        self.sent.and(self.at)
    }

    /// Whether its caller waits no longer.
    fn is_over(&self, now: Mono) -> bool {
        let Request::Job(request) = &self.request else {
            return false;
        };
        let patience = Duration::from_millis(request.patience_ms);
        request.patience_ms > 0 && now.since(self.came) >= patience
    }

    /// As it travels.
    fn proto(&self, now: Mono, caller: CallerId) -> proto::Forward {
        let mut forward = proto::Forward::default();
        match &self.request {
            Request::Job(request) => {
                let mut job = request.proto();
                let spent = crate::clock::millis(now.since(self.came));
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
    /// Finds a scheduler for a request and sends it there, or once that is linked.
    pub(super) fn place(&mut self, caller: CallerId) {
        let now = self.now;
        let Some(call) = self.calls.get(&caller) else {
            return;
        };
        let partition = call.partition;
        let target = match call.is_over(now) {
            true => None,
            false => self.choose(partition),
        };
        let Some(key) = target else {
            return self.give_up(caller);
        };
        if let Some(call) = self.calls.get_mut(&caller) {
            call.at = Some(key);
            call.sent = None;
            call.again_at = None;
        }
        if self.targets[key].is_linked() {
            self.send(caller, key);
        }
    }

    pub(super) fn send(&mut self, caller: CallerId, key: TargetKey) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&caller) else {
            return;
        };
        call.sent = Some(now);
        self.counts.again += u64::from(call.sent_before);
        let forward = call.proto(now, caller);
        let target = &mut self.targets[key];
        target.push(now, forward);
        self.pending.push(key);
        if let Request::Job(request) = &call.request {
            let name = &target.name;
            let detail = format!("{} to {name} request {}", request.number, request.call);
            self.log(Kind::JobForwarded, detail);
        }
    }

    /// Nobody can be reached that would take a request. Of a job that was sent before it can't be said that it has not
    /// run.
    fn give_up(&mut self, caller: CallerId) {
        let Some(call) = self.calls.remove(&caller) else {
            return;
        };
        self.counts.unplaced += 1;
        // The schedulers may be others by now than those that were read.
        self.wanted.insert(call.partition);
        let untried = !call.sent_before && matches!(call.request, Request::Job(_));
        let outcome = if untried {
            JobOutcome::Refused(self.setup.admission.retry_delay_ms(&mut self.rng))
        } else {
            JobOutcome::Unknown
        };
        let number = call.request.number();
        let detail = format!("{number} no scheduler of partition {}", call.partition);
        self.log(Kind::ForwardFailed, detail);
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// A scheduler has told how a request ended. One to which it was sent before may still tell how the job ended, and
    /// nothing else.
    pub(super) fn ended(&mut self, key: TargetKey, caller: CallerId, outcome: JobOutcome) {
        let Some(call) = self.calls.get(&caller) else {
            return;
        };
        let sent_to = call.sent_to();
        let here = sent_to == Some(key);
        let whole = matches!(outcome, JobOutcome::Completed | JobOutcome::Failed);
        if !here && !whole {
            return;
        }
        let outcome = match outcome {
            // What this one refuses another may have begun.
            JobOutcome::Refused(_) if call.sent_before => JobOutcome::GivenUp,
            other => other,
        };
        self.calls.remove(&caller);
        match sent_to {
            Some(key) if here => self.targets[key].settle(),
            Some(other) => self.recall(other, caller),
            None => {}
        }
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// Requests that are to be sent once a scheduler is linked.
    pub(super) fn waiting_for(&self, key: TargetKey) -> Vec<CallerId> {
        let waits = |c: &Call| c.at == Some(key) && c.sent.is_none();
        let waiting = self.calls.iter().filter(|(_, c)| waits(c));
        waiting.map(|(caller, _)| *caller).collect()
    }

    /// What was sent to a scheduler whose link is lost goes to another one later; what was not, at once.
    pub(super) fn unsettle(&mut self, key: TargetKey, loss: Loss) {
        let now = self.now;
        let policy = self.setup.policy;
        let there = self.calls.iter().filter(|(_, c)| c.at == Some(key));
        let there: Vec<CallerId> = there.map(|(caller, _)| *caller).collect();
        for caller in there {
            let Some(call) = self.calls.get_mut(&caller) else {
                continue;
            };
            call.at = None;
            let Some(sent) = call.sent.take() else {
                self.place(caller);
                continue;
            };
            call.sent_before = true;
            call.again_at = Some(match loss {
                Loss::Broken => now + policy.again_broken,
                Loss::Silent => now.max(sent + policy.again_silent),
            });
        }
    }

    /// Sends requests to other schedulers whose time for that has come.
    pub(super) fn send_again(&mut self) {
        let now = self.now;
        let due = |c: &Call| c.again_at.is_some_and(|at| at <= now);
        let due = self.calls.iter().filter(|(_, c)| due(c));
        let due: Vec<CallerId> = due.map(|(caller, _)| *caller).collect();
        for caller in due {
            self.place(caller);
        }
    }

    /// Places what waits for a scheduler that is not there any more.
    pub(super) fn place_unsent(&mut self, partition: Partition) {
        let homeless = |c: &Call| {
            let gone = c.at.is_none_or(|key| !self.targets.contains_key(key));
            c.partition == partition && c.sent.is_none() && c.again_at.is_none() && gone
        };
        let homeless = self.calls.iter().filter(|(_, c)| homeless(c));
        let homeless: Vec<CallerId> = homeless.map(|(caller, _)| *caller).collect();
        for caller in homeless {
            self.place(caller);
        }
    }
}
