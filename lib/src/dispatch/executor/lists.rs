//! Reading the worker's lists: which runs there are, which have ended, and when it is silent.

use super::Executor;
use super::FinishedRow;
use super::HoldReply;
use super::Life;
use super::RunName;
use super::RunState;
use super::RunningRow;
use super::WorkerBeat;
use super::WorkerEnd;
use super::runs::Run;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

/// Why runs are lost, in the log: the worker was refused for so long that it is gone.
const GONE: &str = "it is gone";
/// The same: it has not answered, and nothing has kept them alive.
const LAPSED: &str = "runs were not kept alive";

impl Executor {
    /// The reply to a hold.
    pub fn held(&mut self, now: Mono, mut reply: HoldReply) {
        self.holding = false;
        self.hold_at = now;
        let probing = self.probing.take();
        if probing.as_ref().is_some_and(|life| self.is_candidate(life)) {
            match self.life_answered(now, reply) {
                Some(own) => reply = own,
                None => return self.work(now),
            }
        } else if let Some(life) = probing {
            if !self.is_recalled(&life) {
                self.probed(now, reply);
                return self.work(now);
            }
            if !self.is_of_recalled_life(&reply) {
                self.recall_failed(now, &reply);
                return self.work(now);
            }
            self.begin_recalled(now);
        }
        if let HoldReply::Lists { born, .. } = reply
            && self.is_of_another_life(born)
        {
            let id = self.life();
            self.meet_unheard(now, Life { id, born }, &reply);
        }
        match reply {
            HoldReply::Lists {
                clock_ms,
                running,
                finished,
                ..
            } => self.read_lists(now, clock_ms, &running, finished),
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::WrongLife | HoldReply::NoAnswer | HoldReply::Unreachable => {
                self.worker_silent(now, &reply);
            }
        }
        self.work(now);
    }

    /// Whether a hold was meant for the life of the worker that an earlier life of this process
    /// knew.
    fn is_recalled(&self, life: &str) -> bool {
        let same = |beat: &WorkerBeat| beat.life.id == life;
        self.worker.is_none() && self.recalled.as_ref().is_some_and(same)
    }

    /// Whether the worker has answered in the life that was recalled.
    fn is_of_recalled_life(&self, reply: &HoldReply) -> bool {
        let (HoldReply::Lists { born, .. }, Some(beat)) = (reply, &self.recalled) else {
            return false;
        };
        let born = *born;
        let id = beat.life.id.clone();
        beat.life.is_same(&Life { id, born })
    }

    /// The worker is not in the life that was recalled, or has not answered yet.
    fn recall_failed(&mut self, now: Mono, reply: &HoldReply) {
        self.hold_at = now + self.setup.policy.orders.ask_again;
        match reply {
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::NoAnswer => {}
            HoldReply::Lists { .. } | HoldReply::WrongLife | HoldReply::Unreachable => {
                self.recalled = None;
            }
        }
    }

    /// The worker has answered under the life that was recalled.
    fn begin_recalled(&mut self, now: Mono) {
        if let Some(beat) = self.recalled.take() {
            // Its next beat may have a lower number than the last one told to the earlier life.
            let beat = WorkerBeat {
                sequence: 0,
                ..beat
            };
            self.begin_recalled_life(now, beat);
        }
    }

    /// The reply to a hold that was sent before the worker had said anything of itself.
    fn probed(&mut self, now: Mono, reply: HoldReply) {
        if self.worker.is_some() {
            // It has begun a life meanwhile, which the reply may not be of.
            return;
        }
        self.hold_at = now + self.setup.policy.orders.ask_again;
        match reply {
            HoldReply::Lists { running, .. } if running.is_empty() => self.found_vacant(now),
            HoldReply::Lists { running, .. } => {
                for row in running {
                    self.stop_stranger(row.run);
                }
            }
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::Unreachable
                if now.since(self.unclean_since) >= self.setup.policy.orders.gone_after =>
            {
                self.found_vacant(now);
            }
            HoldReply::Unreachable | HoldReply::WrongLife | HoldReply::NoAnswer => {}
        }
    }

    fn found_vacant(&mut self, now: Mono) {
        self.vacant = true;
        self.settle_claims(now);
    }

    fn worker_silent(&mut self, now: Mono, reply: &HoldReply) {
        let orders = self.setup.policy.orders;
        let over = now >= self.kept_until;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let since = *worker.silent_since.get_or_insert(now);
        let long = now.since(since) >= orders.silent_after;
        let refused = *reply != HoldReply::NoAnswer;
        let wait = match (long || refused, over) {
            (_, true) => orders.ask_seldom,
            (true, false) => orders.ask_again,
            (false, false) => orders.ask_soon,
        };
        self.hold_at = now + wait;
        if worker.answers && (long || refused) {
            worker.answers = false;
            let detail = format!("{}: {reply:?}", worker.beat.life);
            self.log(Kind::WorkerSilent, detail);
        }
        let gone = *reply != HoldReply::NoAnswer && now.since(since) >= orders.gone_after;
        if gone || over {
            if gone {
                self.judge_crash(now, &[]);
            }
            let cause = if gone { GONE } else { LAPSED };
            self.log_lost(now, cause, &[]);
            self.forget_runs(now);
            self.return_queue(now);
        }
    }

    /// Nothing runs any more: the worker is gone, or has not been asked to keep anything alive.
    fn forget_runs(&mut self, now: Mono) {
        // Once: nothing is started while it is not clean, so a worker that goes on refusing does not put this off.
        if let Some(worker) = &mut self.worker
            && std::mem::replace(&mut worker.clean, false)
        {
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
        let seen = self.worker.as_ref().map_or(0, |w| w.seen);
        if row.number <= seen {
            return self.pass_end(&row, seen);
        }
        if let Some(worker) = &mut self.worker {
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

    /// Passes over an end that was taken note of before, by its number. The run of one can't be here still.
    fn pass_end(&mut self, row: &FinishedRow, seen: u64) {
        let known = self.runs.get(&row.run.task);
        if known.is_some_and(|run| run.run == row.run.run) {
            self.counts.ends_passed += 1;
            let detail = format!(
                "{} run {}: number {}, after {seen}",
                row.run.task, row.run.run, row.number
            );
            self.log(Kind::EndSkipped, detail);
        }
    }

    fn learn(&mut self, now: Mono, row: &FinishedRow, kind: EndKind) {
        let run = &self.runs[&row.run.task];
        let (job, ratio) = (row.run.task.job, run.ratio(now));
        if kind == EndKind::Done {
            self.read_whole(now, row.run.task);
        }
        match kind {
            EndKind::Done => self.health.done(now, job, ratio),
            EndKind::Failed => self.health.failed(now, job),
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
        }
        let span = self.setup.policy.health.pace_span;
        if run.state == RunState::Running
            && let Some(ratio) = run.read_pace(now, span)
        {
            self.health.read_pace(now, row.run.task.job, ratio);
            self.read_progress(now, row.run.task, ratio);
            self.tell_if_slow(row.run.task);
        }
    }

    /// Stops a run that nobody here has started: an earlier executor's, or an order that was
    /// carried out late.
    fn stop_stranger(&mut self, name: RunName) {
        self.counts.strangers += 1;
        let detail = format!("{} run {}", name.task, name.run);
        self.log(Kind::UnknownRun, detail);
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
            self.sessions.values_mut().for_each(|s| s.changed = true);
        }
    }
}
