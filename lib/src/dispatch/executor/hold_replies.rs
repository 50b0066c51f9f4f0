//! Replies to holds: the worker's lists of active and ended runs, and missing or negative replies.
//!
//! The lists confirm runs and ends. A worker that does not answer becomes silent; its runs are lost once it
//! refuses connections for long enough or their keepalive has expired.

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

/// The cause of lost runs in the log: the worker was unreachable, or answered in another incarnation, for so
/// long that it is considered gone.
const CAUSE_GONE: &str = "it is gone";
/// The cause of lost runs in the log: the worker did not answer, and their keepalive has expired.
const CAUSE_EXPIRED: &str = "runs were not kept alive";

/// The largest reading of a worker's clock that is taken for one, in milliseconds. No time since a start comes near
/// it, and a time can be added to it. Others, and 0 for one that could not be read, leave the last one in force.
const MAX_CLOCK_MS: u64 = 1 << 53;

impl Executor {
    /// Handles the reply to the hold with this number. A reply to an earlier hold than the newest is ignored:
    /// its lists may be older than what is known since.
    pub fn handle_hold_reply(&mut self, now: Mono, number: u64, mut reply: HoldReply) {
        if number != self.holds_sent {
            return;
        }
        self.note_missing_answer(now, &reply);
        self.pending_hold = None;
        self.next_hold = now;
        let probing = self.probing.take();
        if probing.as_ref().is_some_and(|id| self.is_candidate(id)) {
            match self.handle_candidate_reply(now, reply) {
                Some(lists) => reply = lists,
                None => return self.advance(now),
            }
        } else if let Some(id) = probing {
            if !self.is_saved_incarnation(&id) {
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

    /// Returns whether a hold was addressed to the worker incarnation of the saved heartbeat.
    fn is_saved_incarnation(&self, id: &str) -> bool {
        let same = |heartbeat: &WorkerHeartbeat| heartbeat.incarnation.id == id;
        self.worker.is_none() && self.saved_heartbeat.as_ref().is_some_and(same)
    }

    /// Returns whether the worker has answered in the incarnation of the saved heartbeat.
    fn is_from_saved_incarnation(&self, reply: &HoldReply) -> bool {
        let (HoldReply::Lists { born, .. }, Some(heartbeat)) = (reply, &self.saved_heartbeat)
        else {
            return false;
        };
        let born = *born;
        let id = heartbeat.incarnation.id.clone();
        heartbeat
            .incarnation
            .is_same_as(&WorkerIncarnation { id, born })
    }

    /// Handles a reply that does not confirm the incarnation of the saved heartbeat: discards the heartbeat
    /// unless the hold was not answered or only the fencing token was too low.
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

    /// Resumes the incarnation of the saved heartbeat, which the worker has confirmed.
    fn resume_saved_incarnation(&mut self, now: Mono) {
        if let Some(heartbeat) = self.saved_heartbeat.take() {
            // The next heartbeat may have a lower sequence number than one that an earlier incarnation of
            // this process received.
            let heartbeat = WorkerHeartbeat {
                sequence: 0,
                ..heartbeat
            };
            self.restore_incarnation(now, heartbeat);
        }
    }

    /// Handles the reply to a hold that was sent before the first heartbeat. All runs that it lists are
    /// unknown and are stopped.
    fn handle_probe_reply(&mut self, now: Mono, reply: HoldReply) {
        if self.worker.is_some() {
            // A heartbeat has arrived in the meantime, and the reply may be from another incarnation.
            return;
        }
        self.next_hold = now + self.setup.policy.orders.ask_again;
        let gone = self.has_refused_for_long(now, reply == HoldReply::Unreachable);
        match reply {
            HoldReply::Lists { running, .. } if running.is_empty() => self.mark_verified_idle(now),
            HoldReply::Lists { running, .. } => {
                for row in running {
                    self.stop_unknown_run(row.run);
                }
            }
            HoldReply::Fenced => self.raise_fence(),
            HoldReply::Unreachable if gone => self.mark_verified_idle(now),
            HoldReply::Unreachable | HoldReply::WrongLife | HoldReply::NoAnswer => {}
        }
    }

    /// Notes that the worker has no runs, which can confirm claims.
    fn mark_verified_idle(&mut self, now: Mono) {
        self.verified_idle = true;
        self.confirm_claims(now);
    }

    /// Notes since when the worker is silent if it left a long hold without an answer: since a short one, sent
    /// at the same time, would have shown it.
    fn note_missing_answer(&mut self, now: Mono, reply: &HoldReply) {
        let long = self.pending_hold.filter(|hold| hold.idle);
        let (Some(hold), HoldReply::NoAnswer) = (long, reply) else {
            return;
        };
        let orders = self.setup.policy.orders;
        let since = now.min(hold.sent + orders.hold_wait + orders.hold_extra);
        if let Some(worker) = &mut self.worker {
            worker.silent_since.get_or_insert(since);
        }
    }

    /// Handles a hold that the current incarnation did not answer. The worker becomes silent after a while,
    /// or at once if it refused the hold: nobody listens at its address, or another incarnation answered. The
    /// runs are discarded when it is gone or their keepalive has expired.
    fn handle_silent_worker(&mut self, now: Mono, reply: &HoldReply) {
        let orders = self.setup.policy.orders;
        let expired = now >= self.keepalive_until;
        let Some(worker) = &mut self.worker else {
            return;
        };
        let since = *worker.silent_since.get_or_insert(now);
        let long = now.since(since) >= orders.silent_after;
        let refused = *reply != HoldReply::NoAnswer;
        let wait = match (long || refused, expired) {
            (_, true) => orders.ask_seldom,
            (true, false) => orders.ask_again,
            (false, false) => orders.ask_soon,
        };
        self.next_hold = now + wait;
        if worker.responsive && (long || refused) {
            worker.responsive = false;
            let detail = format!("{}: {reply:?}", worker.heartbeat.incarnation);
            self.log(Kind::WorkerSilent, detail);
        }
        let gone = self.has_refused_for_long(now, refused);
        if gone || expired {
            if gone {
                self.record_crash(now, &[]);
            }
            let cause = if gone { CAUSE_GONE } else { CAUSE_EXPIRED };
            self.log_lost_runs(now, cause, &[]);
            self.discard_runs(now);
            self.return_queue(now);
        }
    }

    /// Notes whether the worker has refused the last hold. Returns whether it has refused all holds for so
    /// long that it is gone. One that leaves a hold without an answer in between, or ends a connection that
    /// it has accepted, may still be alive.
    fn has_refused_for_long(&mut self, now: Mono, refused: bool) -> bool {
        self.refused_since = refused.then(|| self.refused_since.unwrap_or(now));
        let gone_after = self.setup.policy.orders.gone_after;
        self.refused_since
            .is_some_and(|at| now.since(at) >= gone_after)
    }

    /// Ends all runs as lost: the worker is gone, or their keepalive has expired.
    fn discard_runs(&mut self, now: Mono) {
        // Set only the first time, so that a worker that keeps refusing does not postpone it. Nothing is
        // started while the worker is not reconciled.
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

    /// Applies the worker's lists: ends first, then active runs, then runs that are missing.
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
        if (1..=MAX_CLOCK_MS).contains(&clock_ms) {
            worker.clock = Some((clock_ms, now));
        }
        worker.silent_since = None;
        self.refused_since = None;
        let recovered = !worker.responsive;
        worker.responsive = true;
        if recovered {
            self.log(Kind::WorkerAnswers, self.worker_id());
        }
        for row in finished {
            self.apply_end(now, row);
        }
        let unknown = running.iter().any(|row| !self.knows_run(row.run));
        for row in running {
            self.apply_running(now, row);
        }
        self.unknown_since = unknown.then(|| self.unknown_since.unwrap_or(now));
        self.end_unlisted_runs(now, running);
        self.mark_reconciled(running);
        self.confirm_claims(now);
    }

    /// Applies an end that the worker lists, unless its number was processed before.
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
            (RunEnd::Stopped | RunEnd::Expired, _) => EndKind::Lost,
        };
        self.update_health(now, &row, kind);
        self.finish_run(now, row.run.task, kind, row.checkpoint);
    }

    /// Skips an end whose number was processed before. It is logged if its run is still active here, which
    /// must not happen.
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

    /// Updates the worker's health and speed from the end of a run.
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

    /// Returns whether a run was started by this executor and its end is not known.
    fn knows_run(&self, name: RunName) -> bool {
        let run = self.runs.get(&name.task);
        run.is_some_and(|run| run.run == name.run)
    }

    /// Applies a run that the worker lists as active: confirms its start and samples its progress.
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

    /// Stops a run that is not known here: it was started by an earlier executor or by a delayed order.
    fn stop_unknown_run(&mut self, name: RunName) {
        self.counts.unknown_runs += 1;
        let detail = format!("{} run {}", name.task, name.run);
        self.log(Kind::UnknownRun, detail);
        self.send_stop(name);
    }

    /// Ends the runs as lost that a later hold should have listed and did not.
    fn end_unlisted_runs(&mut self, now: Mono, running: &[RunningRow]) {
        let holds = self.holds_sent;
        let missing = |task: &TaskName, run: &Run| {
            let after = match run.state {
                RunState::Starting => return false,
                RunState::Running => run.listed_by,
                RunState::Stopping { confirmed, .. } => confirmed.unwrap_or(u64::MAX),
            };
            let listed = |r: &RunningRow| r.run.task == *task && r.run.run == run.run;
            holds > after && !running.iter().any(listed)
        };
        let names = self.runs.iter().filter(|(t, r)| missing(t, r));
        let names: Vec<TaskName> = names.map(|(t, _)| *t).collect();
        for name in names {
            self.end_lost_run(now, name);
        }
    }

    /// Marks the worker as reconciled once it lists no runs: until then runs of an earlier executor may be
    /// left.
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
