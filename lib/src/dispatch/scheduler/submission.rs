//! Submission and outcome of jobs. A submitted job is accepted, joined to a known one, followed at a peer, or
//! refused. Its outcome is reported to all callers and peers that wait for it, and remembered for callers
//! that submit it again.

use super::Action;
use super::CallerId;
use super::Ended;
use super::Scheduler;
use super::contention::BACKLOG;
use super::executor_view::ExecutorView;
use super::jobs::Job;
use super::jobs::TaskState;
use super::leaving::LEAVING;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::dispatch::timings::Stage;
use crate::event::Kind;
use crate::prelude::*;

/// A request that can't be accepted, and why.
struct Rejection {
    request: JobRequest,
    cause: &'static str,
    /// Whether a peer could run the job, and its caller be answered here.
    hands_on: bool,
}

impl Scheduler {
    /// Accepts a request from a caller, which receives the outcome by [`Action::Answer`].
    pub fn submit(&mut self, now: Mono, caller: CallerId, request: JobRequest) {
        self.advance_clock(now);
        self.counts.submitted += 1;
        let number = request.number;
        if let Some(job) = self.jobs.get_mut(&number) {
            job.callers.push(caller);
            self.counts.joined += 1;
            return self.log(
                Kind::JobJoined,
                format!("{number} request {}: held", request.call),
            );
        }
        if let Some(outcome) = self.known_outcome(number) {
            self.counts.joined += 1;
            let (call, word) = (&request.call, outcome.word());
            self.log(Kind::JobJoined, format!("{number} request {call}: {word}"));
            self.actions.push(Action::Answer(caller, outcome));
            return;
        }
        if self.is_closed {
            return self.turn_away(caller, &request);
        }
        if let Some(peer) = self.linked_holder(number) {
            return self.follow(&peer, caller, request);
        }
        let claim = self.announced.is_announced(number) || self.may_run_elsewhere();
        self.accept_job(caller, request, claim);
        self.place();
    }

    /// Returns the outcome of an ended job if it is final: a job that was refused or has an unknown outcome
    /// may be submitted again, unless it was cancelled.
    pub(super) fn known_outcome(&self, number: JobNumber) -> Option<JobOutcome> {
        let is_final = |o: &JobOutcome| !matches!(o, JobOutcome::Refused(_) | JobOutcome::Unknown);
        let outcome = self.ended.get(&number).map(|e| e.outcome);
        let cancelled = || self.cancels.contains(number);
        let outcome = outcome.filter(is_final);
        outcome.or_else(|| cancelled().then_some(JobOutcome::Cancelled))
    }

    /// Accepts a job, or rejects it. With `claim`, it may be running for another scheduler and is claimed
    /// first.
    pub(super) fn accept_job(&mut self, caller: CallerId, request: JobRequest, claim: bool) {
        let number = request.number;
        if let Some(job) = self.jobs.get_mut(&number) {
            job.callers.push(caller);
            return;
        }
        let mut job = match self.new_job(request, claim) {
            Ok(job) => job,
            Err(rejection) => return self.reject(caller, rejection, claim),
        };
        job.callers.push(caller);
        self.insert_job(job, claim);
    }

    /// Accepts a job for the callers of a peer. `waited` is how long it waited there.
    pub(super) fn accept_for_peer(
        &mut self,
        name: &str,
        request: JobRequest,
        waited: Duration,
        claim: bool,
    ) {
        let number = request.number;
        match self.new_job(request, claim) {
            Ok(mut job) => {
                job.backdate_arrival(waited);
                job.followers.push(name.to_owned());
                self.insert_job(job, claim);
            }
            Err(rejection) => {
                self.count_cause(rejection.cause);
                let outcome = self.refusal();
                self.report_end_to_peer(name, number, outcome);
            }
        }
    }

    /// Creates the job for a request, or returns why it is rejected.
    fn new_job(&mut self, request: JobRequest, claim: bool) -> Result<Job, Rejection> {
        let rejection = |request, cause| {
            let hands_on = false;
            Err(Rejection {
                request,
                cause,
                hands_on,
            })
        };
        let queue = self.catalog.index().and_then(|c| c.queue(&request.queue));
        let Some(queue) = queue else {
            return rejection(request, "no-queue");
        };
        let time_ratio = self.time_ratios.get(&request.queue).copied().unwrap_or(1.0);
        let policy = self.admission();
        let job = Job::new(self.now, request, queue, time_ratio, &policy);
        if !claim && self.has_no_executor() {
            return rejection(job.request, "no-executor");
        }
        if self.is_closed || self.outlasts_process(&job) {
            let hands_on = self.can_hand_on(&job);
            return Err(Rejection {
                request: job.request,
                cause: LEAVING,
                hands_on,
            });
        }
        if !claim && self.would_start_late(&job) {
            self.record_rejection(&job);
            return rejection(job.request, BACKLOG);
        }
        Ok(job)
    }

    /// Rejects a request. If the job may be running elsewhere, the outcome is `Unknown`, since a refusal
    /// promises that it has not run. A job that would only outlast this process is handed off to a peer, if
    /// its caller can be answered here and a peer accepts jobs.
    fn reject(&mut self, caller: CallerId, rejection: Rejection, claim: bool) {
        let Rejection {
            request,
            cause,
            hands_on,
        } = rejection;
        if claim {
            return self.answer_unknown(caller, &request, cause);
        }
        let request = if hands_on {
            match self.hand_off(caller, request) {
                Ok(()) => return,
                Err(request) => request,
            }
        } else {
            request
        };
        self.refuse_request(caller, &request, cause);
    }

    /// Registers an accepted job, announces it to peers, and claims it or queues its tasks.
    fn insert_job(&mut self, mut job: Job, claim: bool) {
        let number = job.request.number;
        debug_assert!(!self.cancels.contains(number), "{number} was cancelled");
        self.last_accepted = self.now;
        job.began_before = self.ended.get(&number).is_some_and(|e| e.began);
        let claim = claim || job.began_before;
        let detail = format!(
            "{number} queue {} tasks {} objective in {} ms request {}",
            job.request.queue,
            job.unfinished,
            crate::clock::millis(self.now.until(job.objective_at)),
            job.request.call,
        );
        self.log(Kind::JobTaken, detail);
        self.jobs.insert(number, job);
        self.announce(number);
        if claim {
            self.claim(number);
        } else {
            self.queue_job(number);
        }
    }

    /// Returns whether the warm-up is over, and each executor is unreachable or in an evacuated zone. A job
    /// accepted meanwhile would be announced, and a peer that could run it would follow it here instead: both
    /// callers would be refused only after its objective, 1.4 s later for 500 ms of work.
    pub(super) fn has_no_executor(&self) -> bool {
        let unusable = |e: &ExecutorView| e.link.is_none() || e.evacuated;
        !self.is_warming_up() && self.executors.values().all(unusable)
    }

    /// Refuses a request that was not accepted.
    pub(super) fn refuse_request(
        &mut self,
        caller: CallerId,
        request: &JobRequest,
        cause: &'static str,
    ) {
        let outcome = self.refusal();
        self.count_cause(cause);
        self.count_outcome(outcome);
        let (number, call) = (request.number, &request.call);
        self.log(Kind::JobRefused, format!("{number} {cause} request {call}"));
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// Answers a request whose job is not run here, but may be running elsewhere.
    pub(super) fn answer_unknown(
        &mut self,
        caller: CallerId,
        request: &JobRequest,
        cause: &'static str,
    ) {
        let outcome = JobOutcome::Unknown;
        self.count_cause(cause);
        self.count_outcome(outcome);
        let (number, call) = (request.number, &request.call);
        self.log(
            Kind::JobFailed,
            format!("{number} unknown {cause} request {call}"),
        );
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// Returns a refusal with a retry delay that spreads out callers.
    pub(super) fn refusal(&mut self) -> JobOutcome {
        JobOutcome::Refused(self.retry_delay_ms())
    }

    /// Handles the disconnect of a caller. A job that nobody waits for any more is cancelled.
    pub fn caller_left(&mut self, now: Mono, caller: CallerId, number: JobNumber) {
        self.advance_clock(now);
        if let Some(following) = self.following.get_mut(&number) {
            following.callers.retain(|c| *c != caller);
            if following.callers.is_empty()
                && let Some(following) = self.following.remove(&number)
                && following.handed_off
            {
                self.unfollow(&following.peer, number);
            }
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.callers.retain(|c| *c != caller);
        if job.callers.is_empty() && job.followers.is_empty() {
            self.count_cause("caller-left");
            self.end_job(number, JobOutcome::Unknown, "caller-left");
            self.place();
        }
    }

    /// Returns what is known of a job: its outcome if it has ended, else whether any task has begun; `None`
    /// if the job is unknown.
    pub fn job_state(&self, number: JobNumber) -> Option<Result<JobOutcome, bool>> {
        if let Some(job) = self.jobs.get(&number) {
            return Some(Err(job.began));
        }
        if let Some(outcome) = self.known_outcome(number) {
            return Some(Ok(outcome));
        }
        self.ended.get(&number).map(|e| Ok(e.outcome))
    }

    /// Returns how many jobs of a queue have not begun.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.values().filter(|j| j.request.queue == queue);
        jobs.filter(|j| !j.began).count()
    }

    /// Ends a job: stops its running tasks, answers its callers and followers, and remembers the outcome.
    pub(super) fn end_job(&mut self, number: JobNumber, outcome: JobOutcome, cause: &'static str) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        if let Some((class, at)) = job.waiting_key {
            self.waiting.remove(&(class, at, number));
        }
        for task in &job.tasks {
            if let TaskState::Placed(key) = task.state {
                self.queue_stop(key, job.name(task), task.attempts);
            }
        }
        let span = self.now.since(job.arrived);
        self.record_duration(&job, outcome, span);
        let took = crate::clock::millis(span);
        let mut detail = format!("{number} {} {cause} after {took} ms", outcome.word());
        if matches!(outcome, JobOutcome::Refused(_) | JobOutcome::GivenUp) {
            detail.push_str(&self.describe_capacity(&job));
            self.record_rejection(&job);
        }
        let kind = match outcome {
            JobOutcome::Completed => Kind::JobCompleted,
            JobOutcome::Refused(_) => Kind::JobRefused,
            _ => Kind::JobFailed,
        };
        self.log(kind, detail);
        self.count_outcome(outcome);
        let began = job.began || job.began_before || job.ran_elsewhere;
        self.record_outcome(number, outcome, began);
        for caller in &job.callers {
            self.actions.push(Action::Answer(*caller, outcome));
        }
        for peer in &job.followers {
            self.report_end_to_peer(peer, number, outcome);
        }
    }

    /// Records how long a job took, by how it ended.
    fn record_duration(&self, job: &Job, outcome: JobOutcome, span: Duration) {
        let stage = match outcome {
            JobOutcome::Completed => Stage::Completed,
            JobOutcome::Refused(_) | JobOutcome::GivenUp => Stage::Rejected,
            JobOutcome::Failed | JobOutcome::Cancelled | JobOutcome::Unknown => return,
        };
        self.timings.record(&job.request.queue, stage, span);
    }

    /// Describes the known free capacity, for the log line of a rejected job.
    fn describe_capacity(&self, job: &Job) -> String {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let linked = linked.count();
        let ready = |e: &&ExecutorView| e.accepts_tasks(self.now, &job.service);
        let ready: Vec<&ExecutorView> = self.executors.values().filter(ready).collect();
        let free: i64 = ready.iter().map(|e| e.free.cpu_milli).sum();
        let age = ready.iter().map(|e| self.now.since(e.last_heard)).max();
        format!(
            "; {} of {linked} linked executors take tasks, {free} milli-cores free, oldest report \
             {} ms, {} jobs wait",
            ready.len(),
            crate::clock::millis(age.unwrap_or_default()),
            self.waiting.len(),
        )
    }

    /// Records the outcome of a job for callers that submit it again.
    pub(super) fn record_outcome(&mut self, number: JobNumber, outcome: JobOutcome, began: bool) {
        let at = self.now;
        let ended = Ended { at, outcome, began };
        self.ended.insert(number, ended);
    }

    fn count_outcome(&mut self, outcome: JobOutcome) {
        *self.counts.outcomes.entry(outcome.word()).or_default() += 1;
    }

    /// Gives up a job: it is refused if no task of it was started, else it ends as given up.
    pub(super) fn give_up(&mut self, number: JobNumber, cause: &'static str) {
        let began = |j: &Job| j.began || j.began_before;
        let began = self.jobs.get(&number).is_some_and(began);
        let outcome = if began {
            JobOutcome::GivenUp
        } else {
            self.refusal()
        };
        self.count_cause(cause);
        self.end_job(number, outcome, cause);
    }
}
