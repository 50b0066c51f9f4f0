//! Reading the worker's lists: which runs there are, which have ended, and when it is silent.

use super::Executor;
use super::FinishedRow;
use super::HoldReply;
use super::RunEnd;
use super::RunName;
use super::RunState;
use super::RunningRow;
use super::WorkerHeartbeat;
use super::WorkerIncarnation;
use super::runs::Run;
use crate::dispatch::model::EndKind;
use crate::dispatch::model::TaskName;
use crate::event::Kind;
use crate::prelude::*;

/// Why runs are lost, in the log: the worker was refused for so long that it is gone.
const CAUSE_GONE: &str = "it is gone";
/// The same: it has not answered, and nothing has kept them alive.
const CAUSE_LAPSED: &str = "runs were not kept alive";

impl Executor {
    /// The reply to a hold.
    pub fn handle_hold_reply(&mut self, now: Mono, mut reply: HoldReply) {
        self.hold_pending = false;
        self.next_hold = now;
        let probing = self.probing.take();
        if probing.as_ref().is_some_and(|life| self.is_candidate(life)) {
            match self.handle_candidate_reply(now, reply) {
                Some(own) => reply = own,
                None => return self.advance(now),
            }
        } else if let Some(life) = probing {
            if !self.is_saved_incarnation(&life) {
                self.handle_probe_reply(now, reply);
                return self.advance(now);
            }
            if !self.is_from_saved_incarnation(&reply) {
                self.handle_failed_restore(now, &reply);
                return self.advance(now);
            }
            self.resume_saved_incarnation(now);
        }
        if let HoldReply::Lists { born, .. } = reply
            && self.is_from_other_incarnation(born)
        {
            let id = self.worker_id();
            self.adopt_unannounced(now, WorkerIncarnation { id, born }, &reply);
        }
        match reply {
            HoldReply::Lists {
                clock_ms,
                running,
                finished,
                ..
            } => self.apply_lists(now, clock_ms, &running, finished),
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::WrongLife | HoldReply::NoAnswer | HoldReply::Unreachable => {
                self.handle_silent_worker(now, &reply);
            }
        }
        self.advance(now);
    }

    /// Whether a hold was meant for the life of the worker that an earlier life of this process
    /// knew.
    fn is_saved_incarnation(&self, life: &str) -> bool {
        let same = |heartbeat: &WorkerHeartbeat| heartbeat.life.id == life;
        self.worker.is_none() && self.saved_heartbeat.as_ref().is_some_and(same)
    }

    /// Whether the worker has answered in the life that was recalled.
    fn is_from_saved_incarnation(&self, reply: &HoldReply) -> bool {
        let (HoldReply::Lists { born, .. }, Some(heartbeat)) = (reply, &self.saved_heartbeat)
        else {
            return false;
        };
        let born = *born;
        let id = heartbeat.life.id.clone();
        heartbeat.life.is_same_as(&WorkerIncarnation { id, born })
    }

    /// The worker is not in the life that was recalled, or has not answered yet.
    fn handle_failed_restore(&mut self, now: Mono, reply: &HoldReply) {
        self.next_hold = now + self.setup.policy.orders.ask_again;
        match reply {
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::NoAnswer => {}
            HoldReply::Lists { .. } | HoldReply::WrongLife | HoldReply::Unreachable => {
                self.saved_heartbeat = None;
            }
        }
    }

    /// The worker has answered under the life that was recalled.
    fn resume_saved_incarnation(&mut self, now: Mono) {
        if let Some(heartbeat) = self.saved_heartbeat.take() {
            // Its next beat may have a lower number than the last one told to the earlier life.
            let heartbeat = WorkerHeartbeat {
                sequence: 0,
                ..heartbeat
            };
            self.restore_incarnation(now, heartbeat);
        }
    }

    /// The reply to a hold that was sent before the worker had said anything of itself.
    fn handle_probe_reply(&mut self, now: Mono, reply: HoldReply) {
        if self.worker.is_some() {
            // It has begun a life meanwhile, which the reply may not be of.
            return;
        }
        self.next_hold = now + self.setup.policy.orders.ask_again;
        match reply {
            HoldReply::Lists { running, .. } if running.is_empty() => self.mark_verified_idle(now),
            HoldReply::Lists { running, .. } => {
                for row in running {
                    self.stop_unknown_run(row.run);
                }
            }
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::Unreachable
                if now.since(self.unreconciled_since) >= self.setup.policy.orders.gone_after =>
            {
                self.mark_verified_idle(now);
            }
            HoldReply::Unreachable | HoldReply::WrongLife | HoldReply::NoAnswer => {}
        }
    }

    fn mark_verified_idle(&mut self, now: Mono) {
        self.verified_idle = true;
        self.confirm_claims(now);
    }

    fn handle_silent_worker(&mut self, now: Mono, reply: &HoldReply) {
        let orders = self.setup.policy.orders;
        let over = now >= self.keepalive_until;
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
        self.next_hold = now + wait;
        if worker.responsive && (long || refused) {
            worker.responsive = false;
            let detail = format!("{}: {reply:?}", worker.heartbeat.life);
            self.log(Kind::WorkerSilent, detail);
        }
        let gone = *reply != HoldReply::NoAnswer && now.since(since) >= orders.gone_after;
        if gone || over {
            if gone {
                self.record_crash(now, &[]);
            }
            let cause = if gone { CAUSE_GONE } else { CAUSE_LAPSED };
            self.log_lost_runs(now, cause, &[]);
            self.discard_runs(now);
            self.return_queue(now);
        }
    }

    /// Nothing runs any more: the worker is gone, or has not been asked to keep anything alive.
    fn discard_runs(&mut self, now: Mono) {
        // Once: nothing is started while it is not clean, so a worker that goes on refusing does not put this off.
        if let Some(worker) = &mut self.worker
            && std::mem::replace(&mut worker.reconciled, false)
        {
            self.unreconciled_since = now;
        }
        let names: Vec<TaskName> = self.runs.keys().copied().collect();
        for name in names {
            self.end_lost_run(now, name);
        }
    }

    fn apply_lists(
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
        let back = !worker.responsive;
        worker.responsive = true;
        if back {
            self.log(Kind::WorkerAnswers, self.worker_id());
        }
        for row in finished {
            self.apply_end(now, row);
        }
        for row in running {
            self.apply_running(now, row);
        }
        self.end_unlisted_runs(now, running);
        self.mark_reconciled(running);
        self.confirm_claims(now);
    }

    fn apply_end(&mut self, now: Mono, row: FinishedRow) {
        let seen = self.worker.as_ref().map_or(0, |w| w.last_end);
        if row.number <= seen {
            return self.skip_end(&row, seen);
        }
        if let Some(worker) = &mut self.worker {
            worker.last_end = row.number;
        }
        let Some(run) = self.runs.get(&row.run.task) else {
            return;
        };
        if run.run != row.run.run {
            return;
        }
        let kind = match (row.end, run.state) {
            (RunEnd::Done, _) => EndKind::Done,
            (RunEnd::Failed, _) => EndKind::Failed,
            (_, RunState::Stopping { why, .. }) => why,
            (RunEnd::Stopped | RunEnd::Lapsed, _) => EndKind::Lost,
        };
        self.update_health(now, &row, kind);
        self.finish_run(now, row.run.task, kind, row.checkpoint);
    }

    /// Passes over an end that was taken note of before, by its number. The run of one can't be here still.
    fn skip_end(&mut self, row: &FinishedRow, seen: u64) {
        let known = self.runs.get(&row.run.task);
        if known.is_some_and(|run| run.run == row.run.run) {
            self.counts.skipped_ends += 1;
            let detail = format!(
                "{} run {}: number {}, after {seen}",
                row.run.task, row.run.run, row.number
            );
            self.log(Kind::EndSkipped, detail);
        }
    }

    fn update_health(&mut self, now: Mono, row: &FinishedRow, kind: EndKind) {
        let run = &self.runs[&row.run.task];
        let (job, ratio) = (row.run.task.job, run.time_ratio(now));
        if kind == EndKind::Done {
            self.sample_finished_run(now, row.run.task);
        }
        match kind {
            EndKind::Done => self.health.record_success(now, job, ratio),
            EndKind::Failed => self.health.record_failure(now, job),
            _ => {}
        }
    }

    fn apply_running(&mut self, now: Mono, row: &RunningRow) {
        let known = self.runs.get_mut(&row.run.task);
        let Some(run) = known.filter(|r| r.run == row.run.run) else {
            return self.stop_unknown_run(row.run);
        };
        if run.state == RunState::Starting {
            run.state = RunState::Running;
            run.listed_by = self.holds_sent;
        }
        if row.percent != run.percent {
            run.percent = row.percent;
            run.progressed_at = now;
        }
        let span = self.setup.policy.health.pace_span;
        if run.state == RunState::Running
            && let Some(ratio) = run.sample_pace(now, span)
        {
            self.health.record_pace(now, row.run.task.job, ratio);
            self.sample_progress(now, row.run.task, ratio);
            self.report_if_slow(row.run.task);
        }
    }

    /// Stops a run that nobody here has started: an earlier executor's, or an order that was
    /// carried out late.
    fn stop_unknown_run(&mut self, name: RunName) {
        self.counts.unknown_runs += 1;
        let detail = format!("{} run {}", name.task, name.run);
        self.log(Kind::UnknownRun, detail);
        self.send_stop(name);
    }

    /// Ends runs that the worker does not list although it should.
    fn end_unlisted_runs(&mut self, now: Mono, running: &[RunningRow]) {
        let holds = self.holds_sent;
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
            self.end_lost_run(now, name);
        }
    }

    /// An executor that has just met its worker waits until nothing of an earlier one runs.
    fn mark_reconciled(&mut self, running: &[RunningRow]) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if !worker.reconciled && running.is_empty() {
            worker.reconciled = true;
            self.log(Kind::WorkerReady, self.worker_id());
            self.sessions.values_mut().for_each(|s| s.changed = true);
        }
    }
}
