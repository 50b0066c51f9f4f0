//! Jobs that are cancelled in a soak: some at a random entry, and some amid faults that are drawn together. In
//! those, one entry is stopped and reads the second submission of the job when it continues, the one that took
//! the cancel is lost right then, and a third one has just been started.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::SliceRandom;
use stackcourse_lib::dispatch::model::JobNumber;

use super::LONG_WORK_MS;
use super::RETRY_DELAY;
use super::Soak;
use super::faults::EntryFault;
use super::faults::PlannedFault;
use crate::platform::callers;
use crate::platform::callers::CallerJob;

/// The probability that a job is cancelled at a random entry.
const CANCEL_PROBABILITY: f64 = 0.1;
/// The latest cancel of such a job after its submission, in milliseconds.
const LAST_CANCEL_MS: u64 = 2000;
/// The number of jobs that are cancelled amid the same faults.
const JOBS: u32 = 8;
/// When the jobs are submitted after the faults were planned, in milliseconds.
const SUBMIT_MS: std::ops::Range<u64> = 0..300;
/// When the second entry is stopped, in milliseconds after the first submission.
const STOP_AFTER_MS: std::ops::Range<u64> = 350..1200;
/// How long it is stopped, in milliseconds.
const STOP_MS: std::ops::Range<u64> = 2000..4000;
/// When the jobs are cancelled, in milliseconds after their submission.
const CANCEL_AFTER_MS: std::ops::Range<u64> = 1200..1700;
/// How long before the stopped entry continues the first one is lost at most, in milliseconds.
const LOST_BEFORE_MS: u64 = 300;
/// How long the first entry is stopped, in milliseconds.
const LOST_MS: std::ops::Range<u64> = 1500..3500;
/// How long a killed entry is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 100..1200;
/// The probability that a job is cancelled at the first entry.
const CANCEL_AT_FIRST: f64 = 0.7;
/// The probability that the third entry is killed before the stopped one continues.
const KILL_BEFORE: f64 = 0.8;
/// The probability that it is killed (again) around that time.
const KILL_AGAIN: f64 = 0.6;
/// The pause after the faults around one cancel before the next ones are planned, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 2000..4000;

/// The entries of jobs that are cancelled amid faults.
struct Places {
    /// Where the jobs are submitted.
    first: usize,
    /// Where they are submitted again while it is stopped.
    second: usize,
    third: usize,
}

impl Soak {
    fn draw_span(&mut self, ms: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.cancels.random_range(ms))
    }

    /// Cancels a job at a random entry and at a random time, with a probability.
    pub(super) fn maybe_cancel(&mut self, job: CallerJob) {
        if self.cancels.random_bool(CANCEL_PROBABILITY) {
            let after = self.draw_span(0..LAST_CANCEL_MS);
            let entry = self.cancels.random_range(0..self.fleet.entries.len());
            self.spawn_cancel(job, entry, after);
        }
    }

    /// Plans the next jobs that are cancelled amid faults, once those before are over.
    pub(super) fn plan_cancels(&mut self, now: Instant) {
        if now < self.next_cancels {
            return;
        }
        let mut order: Vec<usize> = (0..self.fleet.entries.len()).collect();
        order.shuffle(&mut self.cancels);
        let places = Places {
            first: order[0],
            second: order[1],
            third: order[2],
        };
        let stop_at = now + self.draw_span(STOP_AFTER_MS);
        let stopped = self.draw_span(STOP_MS);
        let continues_at = stop_at + stopped;
        self.plan_fault(stop_at, places.second, EntryFault::Stop, stopped);
        for _ in 0..JOBS {
            self.spawn_cancelled_job(&places);
        }
        let cancelled_at = now + Duration::from_millis(CANCEL_AFTER_MS.end);
        self.plan_kills(places.third, cancelled_at, continues_at);
        let lost_at = continues_at - self.draw_span(0..LOST_BEFORE_MS);
        self.plan_loss(places.first, lost_at);
        self.next_cancels = continues_at + self.draw_span(PAUSE_MS);
    }

    fn plan_fault(&mut self, at: Instant, entry: usize, fault: EntryFault, span: Duration) {
        self.planned_faults.push(PlannedFault {
            at,
            entry,
            fault,
            span,
        });
    }

    /// Plans when an entry is killed: before the stopped one continues, around that time, both or never.
    fn plan_kills(&mut self, entry: usize, from: Instant, continues_at: Instant) {
        let down = |soak: &mut Soak| soak.draw_span(DOWN_MS);
        if self.cancels.random_bool(KILL_BEFORE) {
            let share = self.cancels.random_range(0.0..1.0);
            let at = from + continues_at.saturating_duration_since(from).mul_f64(share);
            let span = down(self);
            self.plan_fault(at, entry, EntryFault::Kill, span);
        }
        if self.cancels.random_bool(KILL_AGAIN) {
            let at = continues_at - self.draw_span(0..LOST_BEFORE_MS);
            let span = down(self);
            self.plan_fault(at, entry, EntryFault::Kill, span);
        }
    }

    /// Plans how the entry that has the jobs is lost: it is stopped, killed, loses its links, or goes on.
    fn plan_loss(&mut self, entry: usize, at: Instant) {
        let (fault, span) = match self.cancels.random_range(0..10) {
            0..=5 => (EntryFault::Stop, self.draw_span(LOST_MS)),
            6 => (EntryFault::Kill, self.draw_span(DOWN_MS)),
            7..=8 => (EntryFault::ResetLinks, self.draw_span(DOWN_MS)),
            _ => return,
        };
        self.plan_fault(at, entry, fault, span);
    }

    /// Submits a job that outlasts the leases at the first entry and later at the second one, and cancels it.
    /// Its callers keep both connections open.
    fn spawn_cancelled_job(&mut self, places: &Places) {
        self.jobs += 1;
        let job = CallerJob {
            number: JobNumber(self.jobs),
            tasks: self.cancels.random_range(1..4),
            work_ms: LONG_WORK_MS,
            cpu: self.cancels.random_range(200..800),
            crashing: false,
        };
        let after = self.draw_span(SUBMIT_MS);
        let first = self.fleet.entries[places.first].callers();
        let second = self.fleet.entries[places.second].callers();
        for (entry, wait) in [(first, after), (second, after + RETRY_DELAY)] {
            let workers = self.fleet.workers.clone();
            actix_rt::spawn(async move {
                actix_rt::time::sleep(wait).await;
                callers::submit_job(&workers, entry, job).await;
            });
        }
        let cancel_after = after + self.draw_span(CANCEL_AFTER_MS);
        let entry = match self.cancels.random_bool(CANCEL_AT_FIRST) {
            true => places.first,
            false => self.cancels.random_range(0..self.fleet.entries.len()),
        };
        self.spawn_cancel(job, entry, cancel_after);
    }

    fn spawn_cancel(&mut self, job: CallerJob, entry: usize, after: Duration) {
        let text = format!("job {:016x} is cancelled at entry {entry}", job.number.0);
        self.record(format!("{text} in {after:?}"));
        let address = self.fleet.entries[entry].callers();
        let workers = self.fleet.workers.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(after).await;
            callers::cancel_job(&workers, address, job.number).await;
        });
    }
}
