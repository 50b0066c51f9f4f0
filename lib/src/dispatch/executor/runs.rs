//! Runs at the worker: starting, stopping, and reading the worker's lists.

use std::rc::Rc;

use super::Action;
use super::CLAIM_MEMORY;
use super::Executor;
use super::HoldReply;
use super::OrderReply;
use super::RunName;
use super::StartCall;
use super::StartRefusal;
use super::WorkerEnd;
use crate::dispatch::executor::FinishedRow;
use crate::dispatch::executor::RunningRow;
use crate::dispatch::model::Demand;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

/// A stop that got no answer is sent again after this long.
const STOP_AGAIN: Duration = Duration::from_millis(40);
/// A start must begin within this time on the worker's clock.
const START_WITHIN: Duration = Duration::from_millis(700);
/// Single answers can be lost; a worker that gives none for this long counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(200);
/// A worker that does not answer is asked again after this long.
const ASK_AGAIN: Duration = Duration::from_millis(40);
/// How far a fencing token is raised when the worker has seen a higher one.
const FENCE_STEP: u64 = 10_000;

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start was sent.
    Starting,
    /// It runs.
    Running,
    /// It is to end; whether it runs is not known until the worker lists its end, or answers a
    /// hold that was sent after a confirmed stop.
    Stopping {
        /// When the stop was last sent, if it has not been confirmed.
        sent: Option<Mono>,
        /// The hold after which a run that is not listed is gone.
        confirmed: Option<u64>,
        /// What the scheduler is told.
        why: EndKind,
    },
}

/// A run at the worker.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub scheduler: String,
    pub attempt: u32,
    pub run: u32,
    pub state: RunState,
    pub demand: Demand,
    pub estimate: Duration,
    pub began: Mono,
    pub waited: Duration,
    /// A run that a hold sent after this one does not list is gone.
    pub listed_by: u64,
    pub percent: u32,
    pub moved: Mono,
    spec: Rc<str>,
    checkpoint: String,
}

/// A task that waits for room.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub scheduler: String,
    pub task: TaskName,
    pub attempt: u32,
    pub demand: Demand,
    pub spread: u32,
    pub estimate: Duration,
    pub came: Mono,
    pub latest: Mono,
    pub spec: Rc<str>,
    pub checkpoint: String,
}

/// A job that a scheduler has claimed.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub scheduler: String,
    pub at: Mono,
    /// Whether the claimant's own runs are to end as well.
    pub own: bool,
    pub told: bool,
}

impl Executor {
    /// Queues a task, soonest start first.
    pub(super) fn enqueue(&mut self, waiting: Waiting) {
        let later = |w: &Waiting| w.latest > waiting.latest;
        let at = self.queue.iter().position(later);
        self.queue.insert(at.unwrap_or(self.queue.len()), waiting);
    }

    /// Starts what fits of the tasks that wait.
    pub(super) fn start_waiting(&mut self, now: Mono) {
        if !self.ready() {
            return;
        }
        let mut at = 0;
        while at < self.queue.len() {
            let waiting = &self.queue[at];
            if !self.may_start(waiting) {
                at += 1;
                continue;
            }
            let waiting = self.queue.remove(at).expect("it is there");
            self.start(now, waiting);
        }
    }

    fn may_start(&self, waiting: &Waiting) -> bool {
        let fits = waiting.demand.fits(self.used, self.capacity());
        fits && !self.runs.contains_key(&waiting.task) && self.spread_allows(waiting)
    }

    fn spread_allows(&self, waiting: &Waiting) -> bool {
        if waiting.spread == 0 {
            return true;
        }
        let same = self.runs.keys().filter(|t| t.same_step(waiting.task));
        same.count() < waiting.spread as usize
    }

    fn start(&mut self, now: Mono, waiting: Waiting) {
        let run = Run {
            scheduler: waiting.scheduler,
            attempt: waiting.attempt,
            run: waiting.attempt,
            state: RunState::Starting,
            demand: waiting.demand,
            estimate: waiting.estimate,
            began: now,
            waited: now.since(waiting.came),
            listed_by: u64::MAX,
            percent: 0,
            moved: now,
            spec: waiting.spec,
            checkpoint: waiting.checkpoint,
        };
        self.used = self.used.plus(run.demand);
        self.runs.insert(waiting.task, run);
        self.send_start(now, waiting.task);
    }

    fn send_start(&mut self, now: Mono, task: TaskName) {
        let run = &self.runs[&task];
        let call = StartCall {
            life: self.life(),
            run: RunName { task, run: run.run },
            spec: run.spec.clone(),
            deadline_ms: self.deadline(now, START_WITHIN),
            fence: self.fence,
            checkpoint: run.checkpoint.clone(),
        };
        self.counts.starts += 1;
        self.actions.push(Action::Start(call));
    }

    /// The reply to a start.
    pub fn started(&mut self, now: Mono, name: RunName, reply: OrderReply) {
        let Some(run) = self.runs.get_mut(&name.task) else {
            return;
        };
        if run.run != name.run {
            return;
        }
        match reply {
            OrderReply::Done(_) => {
                run.listed_by = self.holds;
                if run.state == RunState::Starting {
                    run.state = RunState::Running;
                    run.moved = now;
                }
            }
            OrderReply::Refused(reason) => self.start_refused(now, name, reason),
            OrderReply::WrongLife => self.end_run(now, name.task, EndKind::Unavailable),
            OrderReply::Unreachable => self.end_run(now, name.task, EndKind::Unavailable),
            // The worker has listed it meanwhile: only the answer was lost.
            OrderReply::NoAnswer if run.state == RunState::Running => {}
            OrderReply::NoAnswer => {
                self.counts.unanswered += 1;
                let detail = format!("{} run {}", name.task, name.run);
                self.log(Kind::StartUnanswered, detail);
                self.stop_run(now, name.task, EndKind::Stalled);
            }
        }
        self.work(now);
    }

    fn start_refused(&mut self, now: Mono, name: RunName, reason: StartRefusal) {
        let stopping = self.runs[&name.task].state != RunState::Starting;
        let again = matches!(
            reason,
            StartRefusal::Fence | StartRefusal::Old | StartRefusal::Late
        );
        if again && !stopping {
            if reason == StartRefusal::Fence {
                self.raise_fence();
            }
            let run = self.runs.get_mut(&name.task).expect("it was looked up");
            if reason == StartRefusal::Old {
                run.run += 1;
            }
            if run.run < run.attempt + MAX_RENUMBER && now.since(run.began) < START_WITHIN {
                return self.send_start(now, name.task);
            }
        }
        if reason == StartRefusal::Unwell {
            self.health.failed(now, name.task.job);
        }
        let detail = format!("{} run {}: {reason:?}", name.task, name.run);
        self.log(Kind::StartRefused, detail);
        let why = match self.runs[&name.task].state {
            RunState::Stopping { why, .. } => why,
            _ => EndKind::Unavailable,
        };
        self.end_run(now, name.task, why);
    }

    fn raise_fence(&mut self) {
        self.fence += FENCE_STEP;
        self.log(Kind::FenceRaised, self.fence.to_string());
    }

    /// Stops a run, or drops a task that waits. The scheduler is told `why` once it is gone.
    pub(super) fn stop_task(&mut self, now: Mono, task: TaskName, why: EndKind) {
        if let Some(at) = self.queue.iter().position(|w| w.task == task) {
            let waiting = self.queue.remove(at).expect("it is there");
            self.tell_unstarted(now, &waiting, why);
        }
        self.stop_run(now, task, why);
    }

    /// Stops a run.
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

    fn send_stop(&mut self, name: RunName) {
        self.counts.stops += 1;
        let life = self.life();
        self.actions.push(Action::Stop(life, name, self.fence));
    }

    /// The reply to a stop.
    pub fn stopped(&mut self, now: Mono, name: RunName, reply: OrderReply) {
        if reply == OrderReply::Refused(StartRefusal::Fence) {
            self.raise_fence();
        }
        let holds = self.holds;
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
        self.work(now);
    }

    /// Sends stops again that got no answer.
    pub(super) fn resend_stops(&mut self, now: Mono) {
        let mut again = Vec::new();
        for (task, run) in &mut self.runs {
            if let RunState::Stopping {
                sent: Some(at),
                confirmed: None,
                ..
            } = &mut run.state
                && now.since(*at) >= STOP_AGAIN
            {
                *at = now;
                let run = run.run;
                again.push(RunName { task: *task, run });
            }
        }
        for name in again {
            self.send_stop(name);
        }
    }

    /// The reply to a hold.
    pub fn held(&mut self, now: Mono, reply: HoldReply) {
        self.holding = false;
        self.hold_at = now;
        match reply {
            HoldReply::Lists {
                clock_ms,
                running,
                finished,
            } => self.read_lists(now, clock_ms, &running, finished),
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::WrongLife | HoldReply::NoAnswer | HoldReply::Unreachable => {
                self.worker_silent(now, &reply);
            }
        }
        self.work(now);
    }

    fn worker_silent(&mut self, now: Mono, reply: &HoldReply) {
        let lapse = self.setup.worker_hold.mul_f64(LAPSE_FACTOR);
        let Some(worker) = &mut self.worker else {
            return;
        };
        let since = *worker.silent_since.get_or_insert(now);
        let long = now.since(since) >= SILENT_AFTER;
        let refused = *reply != HoldReply::NoAnswer;
        if long || refused {
            self.hold_at = now + ASK_AGAIN;
        }
        if worker.answers && (long || refused) {
            worker.answers = false;
            let detail = format!("{}: {reply:?}", worker.beat.life);
            self.log(Kind::WorkerSilent, detail);
        }
        let gone = *reply != HoldReply::NoAnswer && now.since(since) >= GONE_AFTER;
        if gone || now.since(since) >= lapse {
            self.forget_runs(now);
            self.return_queue(now);
        }
    }

    /// Nothing runs any more: the worker is gone, or has not been asked to keep anything alive.
    fn forget_runs(&mut self, now: Mono) {
        if let Some(worker) = &mut self.worker {
            worker.clean = false;
            self.unclean_since = now;
        }
        let names: Vec<TaskName> = self.runs.keys().copied().collect();
        for name in names {
            self.end_run_lost(now, name);
        }
    }

    fn read_lists(
        &mut self,
        now: Mono,
        clock_ms: u64,
        running: &[RunningRow],
        finished: Vec<FinishedRow>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.clock = Some((clock_ms, now));
        worker.silent_since = None;
        let back = !worker.answers;
        worker.answers = true;
        if back {
            self.log(Kind::WorkerAnswers, self.life());
        }
        for row in finished {
            self.read_end(now, row);
        }
        for row in running {
            self.read_running(now, row);
        }
        self.drop_unlisted(now, running);
        self.settle_life(running);
        self.settle_claims(now);
    }

    fn read_end(&mut self, now: Mono, row: FinishedRow) {
        if let Some(worker) = &mut self.worker {
            if row.number <= worker.seen {
                return;
            }
            worker.seen = row.number;
        }
        let Some(run) = self.runs.get(&row.run.task) else {
            return;
        };
        if run.run != row.run.run {
            return;
        }
        let kind = match (row.end, run.state) {
            (WorkerEnd::Done, _) => EndKind::Done,
            (WorkerEnd::Failed, _) => EndKind::Failed,
            (_, RunState::Stopping { why, .. }) => why,
            (WorkerEnd::Stopped | WorkerEnd::Lapsed, _) => EndKind::Lost,
        };
        self.learn(now, &row, kind);
        self.finish_run(now, row.run.task, kind, row.checkpoint);
    }

    fn learn(&mut self, now: Mono, row: &FinishedRow, kind: EndKind) {
        let run = &self.runs[&row.run.task];
        let (ran, estimate) = (now.since(run.began), run.estimate);
        match kind {
            EndKind::Done => self.health.done(ran, estimate),
            EndKind::Failed => self.health.failed(now, row.run.task.job),
            _ => {}
        }
    }

    fn read_running(&mut self, now: Mono, row: &RunningRow) {
        let known = self.runs.get_mut(&row.run.task);
        let Some(run) = known.filter(|r| r.run == row.run.run) else {
            return self.stop_stranger(row.run);
        };
        if run.state == RunState::Starting {
            run.state = RunState::Running;
            run.listed_by = self.holds;
        }
        if row.percent != run.percent {
            run.percent = row.percent;
            run.moved = now;
            let ran = now.since(run.began);
            self.health.progress(ran, row.percent, run.estimate);
        }
    }

    /// Stops a run that nobody here has started: an earlier executor's, or an order that was
    /// carried out late.
    fn stop_stranger(&mut self, name: RunName) {
        self.counts.strangers += 1;
        let detail = format!("{} run {}", name.task, name.run);
        self.log(Kind::StrangerRun, detail);
        self.send_stop(name);
    }

    /// Ends runs that the worker does not list although it should.
    fn drop_unlisted(&mut self, now: Mono, running: &[RunningRow]) {
        let holds = self.holds;
        let gone = |task: &TaskName, run: &Run| {
            let after = match run.state {
                RunState::Starting => return false,
                RunState::Running => run.listed_by,
                RunState::Stopping { confirmed, .. } => confirmed.unwrap_or(u64::MAX),
            };
            let listed = |r: &RunningRow| r.run.task == *task && r.run.run == run.run;
            holds > after && !running.iter().any(listed)
        };
        let names = self.runs.iter().filter(|(t, r)| gone(t, r));
        let names: Vec<TaskName> = names.map(|(t, _)| *t).collect();
        for name in names {
            self.end_run_lost(now, name);
        }
    }

    /// An executor that has just met its worker waits until nothing of an earlier one runs.
    fn settle_life(&mut self, running: &[RunningRow]) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if !worker.clean && running.is_empty() {
            worker.clean = true;
            self.log(Kind::WorkerReady, self.life());
        }
    }

    /// A run is gone without the worker having said how.
    pub(super) fn end_run_lost(&mut self, now: Mono, task: TaskName) {
        let kind = match self.runs.get(&task).map(|r| r.state) {
            Some(RunState::Stopping { why, .. }) => why,
            _ => EndKind::Lost,
        };
        self.end_run(now, task, kind);
    }

    fn end_run(&mut self, now: Mono, task: TaskName, kind: EndKind) {
        self.finish_run(now, task, kind, String::new());
    }

    fn finish_run(&mut self, now: Mono, task: TaskName, kind: EndKind, checkpoint: String) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.used = less(self.used, run.demand);
        match kind {
            EndKind::Done => self.counts.done += 1,
            EndKind::Failed => self.counts.failed += 1,
            EndKind::Lost => self.counts.lost += 1,
            EndKind::Stalled => self.counts.stalled += 1,
            _ => self.counts.returned += 1,
        }
        self.tell_end(now, task, &run, kind, checkpoint);
        self.settle_claim(now, task.job);
    }

    /// Remembers that a scheduler claims a job; ends what others have of it.
    /// With `own`, what the claimant has had of it ends, too. Of two schedulers that claim a job at about the same time, the first by name has it.
    pub(super) fn claim(&mut self, now: Mono, scheduler: &str, job: JobNumber, own: bool) {
        let rival = self.claims.get(&job);
        let rival = rival.filter(|c| c.scheduler != scheduler && now.since(c.at) < RIVALRY);
        if let Some(rival) = rival.map(|c| c.scheduler.clone())
            && self.sessions.get(&rival).is_some_and(|s| s.link.is_some())
        {
            if rival.as_str() < scheduler {
                return self.deny(scheduler, job);
            }
            self.deny(&rival, job);
        }
        let claim = Claim {
            scheduler: scheduler.to_owned(),
            at: now,
            own,
            told: false,
        };
        self.claims.insert(job, claim);
        let others = |s: &str| own || s != scheduler;
        let queued = self.queue.iter().filter(|w| w.task.job == job);
        let queued = queued.filter(|w| others(&w.scheduler)).map(|w| w.task);
        let running = self.runs.iter().filter(|(t, _)| t.job == job);
        let running = running
            .filter(|(_, r)| others(&r.scheduler))
            .map(|(t, _)| *t);
        let tasks: Vec<TaskName> = queued.chain(running).collect();
        for task in tasks {
            self.stop_task(now, task, EndKind::Claimed);
        }
        self.settle_claim(now, job);
    }

    fn deny(&mut self, scheduler: &str, job: JobNumber) {
        if let Some(session) = self.sessions.get_mut(scheduler) {
            session.denied.push(job);
            session.urgent = true;
        }
    }

    /// Whether a job is claimed by another scheduler.
    pub(super) fn claimed_from(&self, scheduler: &str, job: JobNumber) -> bool {
        let claim = self.claims.get(&job);
        claim.is_some_and(|c| c.scheduler != scheduler)
    }

    /// Tells the claimant once nothing of the job is left that others have started.
    fn settle_claim(&mut self, now: Mono, job: JobNumber) {
        if !self.knows_all_runs(now) {
            return;
        }
        let Some(claim) = self.claims.get_mut(&job) else {
            return;
        };
        let (owner, own) = (&claim.scheduler, claim.own);
        let left = self.runs.iter();
        let left = left.filter(|(t, r)| t.job == job && (own || r.scheduler != *owner));
        if claim.told || left.count() > 0 {
            return;
        }
        claim.told = true;
        if let Some(session) = self.sessions.get_mut(owner) {
            session.claimed.push(job);
            session.urgent = true;
        }
    }

    /// Whether nothing runs at the worker that is not known here: its lists have been read, or
    /// nothing that was started before can have lasted until now.
    fn knows_all_runs(&self, now: Mono) -> bool {
        let clean = self.worker.as_ref().is_some_and(|w| w.clean);
        let lapse = self.setup.worker_hold.mul_f64(LAPSE_FACTOR);
        clean || now.since(self.unclean_since) >= lapse
    }

    /// Tells of the claims that had to wait until the worker's runs were known.
    pub(super) fn settle_claims(&mut self, now: Mono) {
        let open = self.claims.iter().filter(|(_, c)| !c.told);
        let open: Vec<JobNumber> = open.map(|(job, _)| *job).collect();
        for job in open {
            self.settle_claim(now, job);
        }
    }

    pub(super) fn expire_claims(&mut self, now: Mono) {
        self.claims.retain(|_, c| now.since(c.at) < CLAIM_MEMORY);
    }
}

/// Claims of two schedulers within this time are at odds; a later one replaces the earlier.
const RIVALRY: Duration = Duration::from_secs(2);
/// Run numbers tried above the attempt before a start is given up.
const MAX_RENUMBER: u32 = 16;
/// A worker that can't be reached at all for this long is gone.
const GONE_AFTER: Duration = Duration::from_millis(150);
/// The worker's clock may be this much slow.
const LAPSE_FACTOR: f64 = 1.1;

fn less(used: Demand, demand: Demand) -> Demand {
    Demand {
        cpu_milli: used.cpu_milli.saturating_sub(demand.cpu_milli),
        memory_mb: used.memory_mb.saturating_sub(demand.memory_mb),
        gpu: used.gpu.saturating_sub(demand.gpu),
    }
}
