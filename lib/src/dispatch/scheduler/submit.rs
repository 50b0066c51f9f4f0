//! Jobs come in: taken, joined to one that is known, or refused.

use super::Action;
use super::CallerId;
use super::Ended;
use super::Scheduler;
use super::contention::BACKLOG;
use super::executor_view::ExecutorView;
use super::jobs::Job;
use super::jobs::TaskState;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::dispatch::timings::Stage;
use crate::event::Kind;
use crate::prelude::*;

/// Why a job is not taken by a process that leaves.
const LEAVING: &str = "leaving";

/// A job that can't be taken.
struct TurnedAway {
    request: JobRequest,
    cause: &'static str,
}

impl Scheduler {
    /// A job is handed in. The caller hears of its end by [`Action::Answer`].
    pub fn submit(&mut self, now: Mono, caller: CallerId, request: JobRequest) {
        self.enter(now);
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
        if let Some(peer) = self.linked_holder(number) {
            return self.follow(&peer, caller, request);
        }
        let doubt = self.announced.is_announced(number) || self.in_doubt();
        self.run_here(caller, request, doubt);
        self.place();
    }

    /// The outcome of a job that has ended, if it stands.
    pub(super) fn known_outcome(&self, number: JobNumber) -> Option<JobOutcome> {
        let outcome = self.ended.get(&number)?.outcome;
        let stands = !matches!(outcome, JobOutcome::Refused(_) | JobOutcome::Unknown);
        stands.then_some(outcome)
    }

    /// Takes a job. If it may be running for another scheduler, it is claimed first.
    pub(super) fn run_here(&mut self, caller: CallerId, request: JobRequest, claim: bool) {
        let number = request.number;
        if let Some(job) = self.jobs.get_mut(&number) {
            job.callers.push(caller);
            return;
        }
        let mut job = match self.new_job(request, claim) {
            Ok(job) => job,
            Err(turned) => return self.turn_away(caller, turned, claim),
        };
        job.callers.push(caller);
        self.hold_job(job, claim);
    }

    /// Runs a job that a peer has a caller for.
    pub(super) fn run_for_peer(
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
                self.hold_job(job, claim);
            }
            Err(turned) => {
                self.count_cause(turned.cause);
                let outcome = self.refusal();
                self.tell_peer_end(name, number, outcome);
            }
        }
    }

    /// A job out of a request, or why none can be taken.
    fn new_job(&mut self, request: JobRequest, claim: bool) -> Result<Job, TurnedAway> {
        let turned = |request, cause| Err(TurnedAway { request, cause });
        let queue = self.catalog.index().and_then(|c| c.queue(&request.queue));
        let Some(queue) = queue else {
            return turned(request, "no-queue");
        };
        let learned = self.learned.get(&request.queue).copied().unwrap_or(1.0);
        let policy = self.admission();
        let job = Job::new(self.now, request, queue, learned, &policy);
        if !claim && self.is_cut_off() {
            return turned(job.request, "no-executor");
        }
        if self.ends_too_late(&job) {
            return turned(job.request, LEAVING);
        }
        if !claim && self.would_start_late(&job) {
            self.record_rejection(&job);
            return turned(job.request, BACKLOG);
        }
        Ok(job)
    }

    /// A job is not taken. One that would only outlast this process is handed to a peer, if one stays. Of one that may
    /// be at work elsewhere it can't be said that it has not run.
    fn turn_away(&mut self, caller: CallerId, turned: TurnedAway, claim: bool) {
        let TurnedAway { request, cause } = turned;
        if claim {
            self.count_cause(cause);
            let outcome = JobOutcome::Unknown;
            self.count_outcome(outcome);
            let (number, call) = (request.number, &request.call);
            self.log(
                Kind::JobFailed,
                format!("{number} unknown {cause} request {call}"),
            );
            return self.actions.push(Action::Answer(caller, outcome));
        }
        let request = if cause == LEAVING && self.setup.policy.leaving.hand_on {
            match self.hand_on(caller, request) {
                Ok(()) => return,
                Err(request) => request,
            }
        } else {
            request
        };
        self.refuse_unheld(caller, &request, cause);
    }

    /// Holds a job that has just come.
    fn hold_job(&mut self, mut job: Job, claim: bool) {
        let number = job.request.number;
        self.last_taken = self.now;
        job.renewed = self.ended.get(&number).is_some_and(|e| e.began);
        let claim = claim || job.renewed;
        let detail = format!(
            "{number} queue {} tasks {} objective in {} ms request {}",
            job.request.queue,
            job.left,
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

    /// Whether no executor can be reached, though there was time to meet them, or only such that take nothing since
    /// their zones are evacuated. A job that is taken here meanwhile
    /// is announced, and a peer that can run it waits for this scheduler: both callers are refused when its
    /// objective has passed, 1.4 s later for work of 500 ms.
    pub(super) fn is_cut_off(&self) -> bool {
        let away = |e: &ExecutorView| e.link.is_none() || e.evacuated;
        !self.is_young() && self.executors.values().all(away)
    }

    fn refuse_unheld(&mut self, caller: CallerId, request: &JobRequest, cause: &'static str) {
        let outcome = self.refusal();
        self.count_cause(cause);
        self.count_outcome(outcome);
        let (number, call) = (request.number, &request.call);
        self.log(Kind::JobRefused, format!("{number} {cause} request {call}"));
        self.actions.push(Action::Answer(caller, outcome));
    }

    /// A refusal with a time to come back that spreads the callers.
    pub(super) fn refusal(&mut self) -> JobOutcome {
        JobOutcome::Refused(self.come_back_ms())
    }

    /// A caller has left. A job that nobody waits for is cancelled.
    pub fn caller_left(&mut self, now: Mono, caller: CallerId, number: JobNumber) {
        self.enter(now);
        if let Some(following) = self.following.get_mut(&number) {
            following.callers.retain(|c| *c != caller);
            if following.callers.is_empty()
                && let Some(following) = self.following.remove(&number)
                && following.handed
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

    /// Cancels a job; whether it is known.
    pub fn cancel(&mut self, now: Mono, number: JobNumber) -> bool {
        self.enter(now);
        if self.jobs.contains_key(&number) {
            self.end_job(number, JobOutcome::Cancelled, "cancelled");
            self.place();
            return true;
        }
        self.ended.contains_key(&number) || self.cancel_at_peer(number)
    }

    /// What is known of a job: `None` if nothing is, else its outcome, if it has ended, or
    /// whether any task has begun.
    pub fn job_state(&self, number: JobNumber) -> Option<Result<JobOutcome, bool>> {
        if let Some(job) = self.jobs.get(&number) {
            return Some(Err(job.began));
        }
        self.ended.get(&number).map(|e| Ok(e.outcome))
    }

    /// How many jobs of a queue have not begun.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.values().filter(|j| j.request.queue == queue);
        jobs.filter(|j| !j.began).count()
    }

    /// Ends a job: stops what runs of it, answers its callers, and remembers the outcome.
    pub(super) fn end_job(&mut self, number: JobNumber, outcome: JobOutcome, cause: &'static str) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        if let Some((class, at)) = job.place {
            self.waiting.remove(&(class, at, number));
        }
        for task in &job.tasks {
            if let TaskState::Placed(key) = task.state {
                self.queue_stop(key, job.name(task), task.attempts);
            }
        }
        let span = self.now.since(job.arrived);
        self.note_end_time(&job, outcome, span);
        let took = crate::clock::millis(span);
        let mut detail = format!("{number} {} {cause} after {took} ms", outcome.word());
        if matches!(outcome, JobOutcome::Refused(_) | JobOutcome::GivenUp) {
            detail.push_str(&self.room_in_words(&job));
            self.record_rejection(&job);
        }
        let kind = match outcome {
            JobOutcome::Completed => Kind::JobCompleted,
            JobOutcome::Refused(_) => Kind::JobRefused,
            _ => Kind::JobFailed,
        };
        self.log(kind, detail);
        self.count_outcome(outcome);
        let began = job.began || job.renewed || job.ran_elsewhere;
        self.remember(number, outcome, began);
        for caller in &job.callers {
            self.actions.push(Action::Answer(*caller, outcome));
        }
        for peer in &job.followers {
            self.tell_peer_end(peer, number, outcome);
        }
    }

    fn note_end_time(&self, job: &Job, outcome: JobOutcome, span: Duration) {
        let stage = match outcome {
            JobOutcome::Completed => Stage::Completed,
            JobOutcome::Refused(_) | JobOutcome::GivenUp => Stage::TurnedAway,
            JobOutcome::Failed | JobOutcome::Cancelled | JobOutcome::Unknown => return,
        };
        self.timings.note(&job.request.queue, stage, span);
    }

    /// What was known of the workers when a job was turned away.
    fn room_in_words(&self, job: &Job) -> String {
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

    pub(super) fn remember(&mut self, number: JobNumber, outcome: JobOutcome, began: bool) {
        let at = self.now;
        let ended = Ended { at, outcome, began };
        self.ended.insert(number, ended);
    }

    fn count_outcome(&mut self, outcome: JobOutcome) {
        *self.counts.outcomes.entry(outcome.word()).or_default() += 1;
    }

    /// Gives up a job: refused if nothing of it was started, else given up.
    pub(super) fn give_up(&mut self, number: JobNumber, cause: &'static str) {
        let began = |j: &Job| j.began || j.renewed;
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
