//! Holds, the requests that renew the runs at the worker and list them: when the next one is due, and how long the
//! worker may delay its answer.

use super::Action;
use super::Executor;
use super::HoldCall;
use super::RunState;
use super::Worker;
use super::runs::Run;
use crate::prelude::*;

/// A hold that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingHold {
    /// When it was sent.
    pub sent: Mono,
    /// Whether the worker keeps it open for `orders.idle_wait`.
    pub idle: bool,
}

impl Executor {
    /// Sends a hold if one is due: to probe an unknown worker, to verify another incarnation, or to renew the
    /// runs.
    pub(super) fn send_due_hold(&mut self, now: Mono) {
        let unverified = self.worker.is_some() && self.incarnations.has_new_candidate();
        if self.is_hold_awaited() || (now < self.next_hold && !unverified) {
            return;
        }
        let Some(worker) = &self.worker else {
            return self.probe(now);
        };
        if let Some(id) = self.incarnations.candidate_id() {
            return self.request_lists(now, id);
        }
        let (incarnation, seen) = (worker.heartbeat.incarnation.id.clone(), worker.last_end);
        let (deadline_ms, wait) = if worker.reconciled && worker.responsive {
            (
                self.extend_deadline(now, self.setup.worker_hold),
                self.hold_wait(),
            )
        } else {
            (0, Duration::ZERO)
        };
        let call = HoldCall {
            number: 0,
            incarnation,
            deadline_ms,
            fence: self.fence,
            seen,
            wait,
        };
        self.send_hold(now, call);
    }

    /// Returns whether the next hold waits for the reply to the pending one. It does not wait for a hold that
    /// was sent while the worker was idle once something is expected of the worker: the next hold takes its
    /// place at once, and its reply is ignored.
    fn is_hold_awaited(&self) -> bool {
        let pending = self.pending_hold;
        pending.is_some_and(|hold| !hold.idle || self.is_worker_idle())
    }

    /// Returns whether nothing is expected of the worker: it answers, its incarnation is certain, and it has
    /// no run or queued task.
    fn is_worker_idle(&self) -> bool {
        let answers = |w: &Worker| w.reconciled && w.responsive && w.silent_since.is_none();
        let certain = self.incarnations.candidate_id().is_none() && self.unknown_since.is_none();
        let empty = self.runs.is_empty() && self.queue.is_empty();
        certain && empty && self.worker.as_ref().is_some_and(answers)
    }

    /// Returns how long the worker may delay its answer. After a confirmed stop it answers at once: the next
    /// lists show that the run is gone and release its capacity.
    fn hold_wait(&self) -> Duration {
        let awaited = |run: &Run| matches!(run.state, RunState::Stopping { confirmed: Some(holds), .. } if self.holds_sent == holds);
        if self.runs.values().any(awaited) {
            return Duration::ZERO;
        }
        let orders = self.setup.policy.orders;
        match self.is_worker_idle() {
            true => orders.idle_wait.max(orders.hold_wait),
            false => orders.hold_wait,
        }
    }

    /// Requests the lists of a worker that has not sent a heartbeat yet, so that claims need not wait for the
    /// first one. The fencing token prevents delayed orders of an earlier executor from starting anything
    /// afterwards.
    fn probe(&mut self, now: Mono) {
        if self.verified_idle && self.saved_heartbeat.is_none() {
            return;
        }
        let id = self
            .saved_heartbeat
            .as_ref()
            .map(|heartbeat| heartbeat.incarnation.id.clone());
        let id = id.unwrap_or_default();
        self.request_lists(now, id);
    }

    /// Requests the lists under an incarnation id that the worker may not have.
    fn request_lists(&mut self, now: Mono, incarnation: String) {
        self.probing = Some(incarnation.clone());
        let call = HoldCall {
            number: 0,
            incarnation,
            deadline_ms: 0,
            fence: self.fence,
            seen: 0,
            wait: Duration::ZERO,
        };
        self.send_hold(now, call);
    }

    /// Sends a hold under the next number.
    fn send_hold(&mut self, now: Mono, call: HoldCall) {
        let idle = call.wait > self.setup.policy.orders.hold_wait;
        self.pending_hold = Some(PendingHold { sent: now, idle });
        self.holds_sent += 1;
        let number = self.holds_sent;
        self.actions.push(Action::Hold(HoldCall { number, ..call }));
    }
}
