//! The queue of tasks and the runs at the worker.
//!
//! Tasks are queued until they fit, started, and stopped on request. The allocated capacity covers every run
//! from the moment its start is sent until its end is known.

use std::rc::Rc;

use super::Action;
use super::Executor;
use super::OrderReply;
use super::RunName;
use super::StartCall;
use super::StartRefusal;
use super::preemption::RunRank;
use crate::dispatch::crashes::CrashRecord;
use crate::dispatch::model::Demand;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

/// By how much the fencing token is raised the first time that the worker has seen a higher one. The token
/// starts at a clock reading in milliseconds, so this is ten seconds.
pub(super) const FENCE_STEP: u64 = 10_000;
/// The largest increase of the fencing token. The increase doubles each time, so that the token passes an
/// earlier one quickly: after a clock is set back by an hour, nine calls are refused instead of 360.
const MAX_FENCE_STEP: u64 = 1 << 42;

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start was sent and is not confirmed yet.
    Starting,
    /// The worker confirmed the start or listed the run.
    Running,
    /// The run is being stopped. Whether it still runs is unknown until the worker lists its end, or answers
    /// a hold that was sent after a confirmed stop without listing the run.
    Stopping {
        /// When the stop was last sent; `None` once it is confirmed.
        sent: Option<Mono>,
        /// The number of holds sent when the stop was confirmed. A run that a later hold does not list is
        /// gone.
        confirmed: Option<u64>,
        /// The end that is reported to the scheduler.
        why: EndKind,
    },
}

/// A run at the worker, from its start order to its end.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The key of the scheduler's session.
    pub scheduler: String,
    /// The scheduler's number for this attempt of the task.
    pub attempt: u32,
    /// When the lease of its scheduler ended, while the run was here; `None` during a lease. The scheduler
    /// takes the run for over some time after that, whether it is or not.
    pub abandoned: Option<Mono>,
    /// The run's number at the worker, at least the attempt.
    pub run: u32,
    pub state: RunState,
    /// The worker's clock as read before its start was last sent, in milliseconds.
    pub sent_clock: u64,
    /// Whether its start was answered by a later incarnation of the worker than the one that it was sent to.
    pub later_life: bool,
    pub demand: Demand,
    pub estimate: Duration,
    /// When its first start was sent.
    pub started_at: Mono,
    pub waited: Duration,
    /// The number of holds sent when the worker confirmed the start or listed the run; `u64::MAX` before
    /// that. A run that a later hold does not list is gone.
    pub listed_by: u64,
    pub percent: u32,
    /// When its progress last changed.
    pub progressed_at: Mono,
    /// The time and progress at which the pace was last sampled.
    pace_mark: (Mono, u32),
    /// The share of the run that is already part of the estimate of the worker's speed.
    pub sampled_share: f64,
    /// The remaining time at its current pace; `None` before the first sample.
    pub remaining: Option<Duration>,
    /// The crash history of its task.
    pub crashes: CrashRecord,
    /// Whether the worker crashed during this run.
    pub crashed: bool,
    /// The share of the blame for that crash, in thousandths.
    pub blame: u32,
    /// Whether all runs that share the blame belong to the same job.
    pub sole: bool,
    /// The properties that decide whether it can be preempted.
    pub rank: RunRank,
    spec: Rc<str>,
    checkpoint: String,
}

impl Run {
    /// Returns whether the run is expected to end within `span`, by its progress so far.
    pub(super) fn ends_within(&self, now: Mono, span: Duration) -> bool {
        if self.percent == 0 {
            return false;
        }
        let elapsed = self.progressed_at.since(self.started_at);
        let whole = elapsed.mul_f64(100.0 / f64::from(self.percent));
        now.since(self.started_at) + span >= whole
    }
}

impl Run {
    /// Returns how long the whole run takes at its pace since the last sample, relative to its estimate;
    /// `None` until `span` and a tenth of the estimate have passed since, or without an estimate.
    pub fn sample_pace(&mut self, now: Mono, span: Duration) -> Option<f64> {
        let (since, from) = self.pace_mark;
        let ran = now.since(since);
        if ran < span.max(self.estimate / 10) || self.estimate.is_zero() {
            return None;
        }
        // Progress is reported in whole percents: a gain of zero may be almost one.
        let gained = f64::from(self.percent.saturating_sub(from)).max(0.5);
        let whole = ran.mul_f64(100.0 / gained);
        let left = f64::from(100u32.saturating_sub(self.percent));
        self.pace_mark = (now, self.percent);
        self.remaining = Some(whole.mul_f64(left / 100.0));
        Some(whole.as_secs_f64() / self.estimate.as_secs_f64())
    }

    /// Returns whether the run began without a checkpoint.
    pub fn is_fresh(&self) -> bool {
        self.checkpoint.is_empty()
    }

    /// Returns how long the run took relative to its estimate, given that it ends now; `None` without an
    /// estimate.
    pub fn time_ratio(&self, now: Mono) -> Option<f64> {
        let ran = now.since(self.started_at).as_secs_f64();
        (!self.estimate.is_zero()).then(|| ran / self.estimate.as_secs_f64())
    }
}

/// A task that is queued until it fits.
#[derive(Clone, Debug)]
pub(super) struct QueuedTask {
    /// The key of the scheduler's session.
    pub scheduler: String,
    pub task: TaskName,
    pub attempt: u32,
    pub demand: Demand,
    /// The most tasks of the same step that may run at this worker; 0 for no bound.
    pub spread: u32,
    pub estimate: Duration,
    pub arrived: Mono,
    /// When the task is returned to its scheduler if it has not started.
    pub latest_start: Mono,
    pub spec: Rc<str>,
    pub checkpoint: String,
    /// The crash history of the task.
    pub crashes: CrashRecord,
    /// Whether runs may be preempted for it.
    pub preempts: bool,
    /// The properties that decide whether its run can be preempted.
    pub rank: RunRank,
}

impl Executor {
    /// Queues a task, earliest latest start first. Tasks that may preempt go before the others.
    pub(super) fn enqueue(&mut self, queued: QueuedTask) {
        let order = |w: &QueuedTask| (!w.preempts, w.latest_start);
        let later = |w: &QueuedTask| order(w) > order(&queued);
        let at = self.queue.iter().position(later);
        self.queue.insert(at.unwrap_or(self.queue.len()), queued);
    }

    /// Starts the queued tasks that fit.
    pub(super) fn start_queued(&mut self, now: Mono) {
        if !self.is_ready(now) {
            return;
        }
        let mut at = 0;
        while at < self.queue.len() {
            let queued = &self.queue[at];
            if !self.can_start(now, queued) {
                at += 1;
                continue;
            }
            let queued = self.queue.remove(at).expect("index is in the queue");
            self.start(now, queued);
        }
    }

    fn can_start(&self, now: Mono, queued: &QueuedTask) -> bool {
        let fits = queued.demand.fits(self.allocated, self.capacity());
        fits && !self.runs.contains_key(&queued.task)
            && self.is_within_spread(queued)
            && !self.is_blocked_by_trial(now, queued)
    }

    /// Returns whether a task that arrives now will fit soon, behind those already queued.
    pub(super) fn has_capacity_soon(&self, now: Mono, demand: Demand) -> bool {
        let queued = self.queue.iter().map(|w| w.demand);
        let wanted = queued.fold(demand, Demand::plus);
        let ends_soon = |run: &&Run| run.ends_within(now, self.setup.policy.placement.room_wait);
        let freed = self.runs.values().filter(ends_soon).map(|r| r.demand);
        wanted.fits(freed.fold(self.allocated, subtract), self.capacity())
    }

    /// Returns whether one more task of the same step may run here.
    pub(super) fn is_within_spread(&self, queued: &QueuedTask) -> bool {
        if queued.spread == 0 {
            return true;
        }
        let same = self.runs.keys().filter(|t| t.is_same_step(queued.task));
        same.count() < queued.spread as usize
    }

    fn start(&mut self, now: Mono, queued: QueuedTask) {
        let run = Run {
            scheduler: queued.scheduler,
            attempt: queued.attempt,
            abandoned: None,
            run: queued.attempt,
            state: RunState::Starting,
            sent_clock: 0,
            later_life: false,
            demand: queued.demand,
            estimate: queued.estimate,
            started_at: now,
            waited: now.since(queued.arrived),
            listed_by: u64::MAX,
            percent: 0,
            progressed_at: now,
            pace_mark: (now, 0),
            sampled_share: 0.0,
            remaining: None,
            crashes: queued.crashes,
            crashed: false,
            blame: 0,
            sole: false,
            rank: queued.rank,
            spec: queued.spec,
            checkpoint: queued.checkpoint,
        };
        self.allocated = self.allocated.plus(run.demand);
        if let Some(worker) = &mut self.worker {
            worker.has_started = true;
        }
        self.runs.insert(queued.task, run);
        self.send_start(now, queued.task);
    }

    fn send_start(&mut self, now: Mono, task: TaskName) {
        // Without this a start would name no deadline, and could be carried out at any time.
        debug_assert!(self.can_keep_runs(now), "{task} is started unrenewed");
        let deadline_ms = self.extend_deadline(now, self.setup.policy.orders.start_within);
        let incarnation = self.worker_id();
        let sent_clock = self.worker_reading();
        let run = self.runs.get_mut(&task).expect("run exists");
        run.sent_clock = sent_clock;
        let call = StartCall {
            incarnation,
            run: RunName { task, run: run.run },
            spec: run.spec.clone(),
            deadline_ms,
            fence: self.fence,
            checkpoint: run.checkpoint.clone(),
        };
        self.counts.starts += 1;
        self.actions.push(Action::Start(call));
    }

    /// Handles the reply to a start.
    pub fn handle_start_reply(&mut self, now: Mono, name: RunName, reply: OrderReply) {
        self.check_leases(now);
        let Some(run) = self.runs.get_mut(&name.task) else {
            return;
        };
        if run.run != name.run {
            return;
        }
        match reply {
            OrderReply::Done(clock_ms) => {
                run.listed_by = self.holds_sent;
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                    run.progressed_at = now;
                    run.pace_mark = (now, 0);
                }
                self.check_answering(name, clock_ms);
            }
            OrderReply::Refused(reason) => self.handle_start_refusal(now, name, reason),
            OrderReply::WrongLife => self.end_run(now, name.task, EndKind::Unavailable),
            OrderReply::Unreachable => self.handle_unsent_start(now, name),
            // The worker has listed the run in the meantime: only the reply was lost.
            OrderReply::NoAnswer if run.state == RunState::Running => {}
            OrderReply::NoAnswer => {
                self.counts.unanswered_starts += 1;
                let incarnation = self.incarnation_name();
                let detail = format!("{} run {} to {incarnation}", name.task, name.run);
                self.log(Kind::StartUnanswered, detail);
                self.stop_run(now, name.task, EndKind::Stalled);
            }
        }
        self.advance(now);
    }

    /// Notes that a start was answered by a later incarnation than the one that it was sent to. The worker's clock
    /// never goes back within an incarnation, and begins anew with the next one.
    fn check_answering(&mut self, name: RunName, clock_ms: u64) {
        let Some(run) = self.runs.get_mut(&name.task) else {
            return;
        };
        if clock_ms >= run.sent_clock || run.later_life {
            return;
        }
        run.later_life = true;
        let sent_clock = run.sent_clock;
        let incarnation = self.incarnation_name();
        let detail = format!(
            "{} run {}: sent to {incarnation} at {sent_clock} ms of its clock, answered at {clock_ms} ms",
            name.task, name.run,
        );
        self.log(Kind::StartInNextLife, detail);
    }

    /// Ends a run whose start was never sent, unless the worker lists the run.
    fn handle_unsent_start(&mut self, now: Mono, name: RunName) {
        let why = match self.runs[&name.task].state {
            RunState::Starting => EndKind::Unavailable,
            RunState::Running => return,
            RunState::Stopping { why, .. } => why,
        };
        let detail = format!("{} run {}", name.task, name.run);
        self.log(Kind::StartUnsent, detail);
        self.end_run(now, name.task, why);
    }

    /// Sends a refused start again if a higher fencing token, a higher run number or a new deadline can help;
    /// otherwise ends the run.
    fn handle_start_refusal(&mut self, now: Mono, name: RunName, reason: StartRefusal) {
        let stopping = self.runs[&name.task].state != RunState::Starting;
        let retryable = matches!(
            reason,
            StartRefusal::Fence | StartRefusal::Old | StartRefusal::Late
        );
        if retryable && !stopping && !self.is_evacuated() && self.can_keep_runs(now) {
            if reason == StartRefusal::Fence {
                self.raise_fence();
            }
            let within = self.setup.policy.orders.start_within;
            let run = self.runs.get_mut(&name.task).expect("run exists");
            if reason == StartRefusal::Old {
                run.run = run.run.saturating_add(1);
            }
            let last = run.attempt.saturating_add(MAX_RENUMBER);
            if run.run < last && now.since(run.started_at) < within {
                return self.send_start(now, name.task);
            }
        }
        if reason == StartRefusal::Unwell {
            self.health.record_failure(now, name.task.job);
        }
        let detail = format!("{} run {}: {reason:?}", name.task, name.run);
        self.log(Kind::StartRefused, detail);
        let why = match self.runs[&name.task].state {
            RunState::Stopping { why, .. } => why,
            _ => EndKind::Unavailable,
        };
        self.end_run(now, name.task, why);
    }

    /// Raises the fencing token, after the worker has seen a higher one.
    pub(super) fn raise_fence(&mut self) {
        self.fence += self.fence_step;
        self.fence_step = (self.fence_step * 2).min(MAX_FENCE_STEP);
        self.log(Kind::FenceRaised, self.fence.to_string());
    }

    /// Stops a run or removes a queued task. Once it is gone, the scheduler receives `why`.
    pub(super) fn stop_task(&mut self, now: Mono, task: TaskName, why: EndKind) {
        if let Some(at) = self.queue.iter().position(|w| w.task == task) {
            let queued = self.queue.remove(at).expect("index is in the queue");
            self.report_unstarted(now, &queued, why);
        }
        self.stop_run(now, task, why);
    }

    /// Stops a run. The scheduler receives `why`, unless the worker reports first that the run completed or
    /// failed.
    pub(super) fn stop_run(&mut self, now: Mono, task: TaskName, why: EndKind) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if matches!(run.state, RunState::Stopping { .. }) {
            return;
        }
        run.state = RunState::Stopping {
            sent: Some(now),
            confirmed: None,
            why,
        };
        let name = RunName { task, run: run.run };
        self.send_stop(name);
    }

    pub(super) fn send_stop(&mut self, name: RunName) {
        self.counts.stops += 1;
        let incarnation = self.worker_id();
        self.actions
            .push(Action::Stop(incarnation, name, self.fence));
    }

    /// Handles the reply to a stop.
    pub fn handle_stop_reply(&mut self, now: Mono, name: RunName, reply: OrderReply) {
        if reply == OrderReply::Refused(StartRefusal::Fence) {
            self.raise_fence();
        }
        let holds = self.holds_sent;
        if let Some(run) = self.runs.get_mut(&name.task)
            && run.run == name.run
            && let RunState::Stopping {
                sent, confirmed, ..
            } = &mut run.state
        {
            match reply {
                OrderReply::Done(_) | OrderReply::WrongLife => {
                    *sent = None;
                    *confirmed = Some(holds);
                }
                _ => *sent = Some(now),
            }
        }
        self.advance(now);
    }

    /// Sends unanswered stops again; those of abandoned runs sooner, even if the last one can still be
    /// answered.
    pub(super) fn resend_stops(&mut self, now: Mono) {
        let stop_again = self.setup.policy.orders.stop_again;
        let mut unanswered = Vec::new();
        for (task, run) in &mut self.runs {
            let wait = match run.abandoned {
                Some(_) => stop_again.min(ABANDONED_STOP_AGAIN),
                None => stop_again,
            };
            if let RunState::Stopping {
                sent: Some(at),
                confirmed: None,
                ..
            } = &mut run.state
                && now.since(*at) >= wait
            {
                *at = now;
                let run = run.run;
                unanswered.push(RunName { task: *task, run });
            }
        }
        for name in unanswered {
            self.send_stop(name);
        }
    }

    /// Ends a run whose end the worker has not reported.
    pub(super) fn end_lost_run(&mut self, now: Mono, task: TaskName) {
        let kind = self.lost_end_kind(task);
        self.end_run(now, task, kind);
    }

    /// Ends a run without a checkpoint.
    pub(super) fn end_run(&mut self, now: Mono, task: TaskName, kind: EndKind) {
        self.finish_run(now, task, kind, String::new());
    }

    /// Ends a run: releases its capacity, counts it and reports the end to its scheduler.
    pub(super) fn finish_run(
        &mut self,
        now: Mono,
        task: TaskName,
        kind: EndKind,
        checkpoint: String,
    ) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.allocated = subtract(self.allocated, run.demand);
        self.timings.record(kind.word(), now.since(run.started_at));
        self.count_preempted(now, &run, kind);
        match kind {
            EndKind::Done => self.counts.done += 1,
            EndKind::Failed => self.counts.failed += 1,
            EndKind::Lost => self.counts.lost += 1,
            EndKind::Crashed => self.counts.crashed += 1,
            EndKind::Stalled => self.counts.stalled += 1,
            // Counted by `count_preempted`.
            EndKind::Preempted => {}
            _ => self.counts.returned += 1,
        }
        self.report_end(now, task, &run, kind, checkpoint);
        self.confirm_claim(now, task.job);
    }
}

/// An unanswered stop of an abandoned run is sent again after this long. Until one is answered, all runs of
/// the worker are at risk.
const ABANDONED_STOP_AGAIN: Duration = Duration::from_millis(20);

/// How many run numbers above the attempt are tried before a start is given up.
const MAX_RENUMBER: u32 = 16;

/// Subtracts a demand from used capacity, down to zero.
pub(super) fn subtract(used: Demand, demand: Demand) -> Demand {
    Demand {
        cpu_milli: used.cpu_milli.saturating_sub(demand.cpu_milli),
        memory_mb: used.memory_mb.saturating_sub(demand.memory_mb),
        gpu: used.gpu.saturating_sub(demand.gpu),
    }
}
