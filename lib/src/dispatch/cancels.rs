//! The cancelled jobs that a process remembers.
//!
//! A scheduler remembers them so that it does not take such a job up again; an executor, which sees each start,
//! so that a scheduler that has not heard of the cancel can't start tasks of the job.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::policy::Claims;
use crate::prelude::*;
use crate::protos::dispatch as proto;

/// The reply to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReply {
    /// The cancel is kept: the job ends, and no task of it is started any more.
    Accepted,
    /// There is no such job.
    UnknownJob,
    /// Nothing is promised: no process could be told that keeps the cancel if this one is lost.
    Uncertain,
}

impl CancelReply {
    /// Returns the outcome that reports the reply to a forwarder.
    pub fn outcome(self) -> JobOutcome {
        match self {
            CancelReply::Accepted => JobOutcome::Cancelled,
            CancelReply::UnknownJob => JobOutcome::Unknown,
            CancelReply::Uncertain => JobOutcome::GivenUp,
        }
    }

    /// Returns the reply that an outcome from a forwarder reports.
    pub fn from_outcome(outcome: JobOutcome) -> CancelReply {
        match outcome {
            JobOutcome::Cancelled => CancelReply::Accepted,
            JobOutcome::Unknown => CancelReply::UnknownJob,
            _ => CancelReply::Uncertain,
        }
    }
}

/// Cancelled jobs, each until its cancel is forgotten.
///
/// The time that remains goes along when another process is told of a cancel, so that processes that tell each
/// other again and again do not keep it forever.
#[derive(Clone, Debug)]
pub struct CancelMemory {
    span: Duration,
    limit: usize,
    by_job: BTreeMap<JobNumber, Mono>,
    by_end: BTreeSet<(Mono, JobNumber)>,
}

impl CancelMemory {
    /// Creates an empty memory, with the span and the limit of the policy.
    pub fn new(policy: &Claims) -> CancelMemory {
        CancelMemory {
            span: policy.memory,
            limit: policy.cancels as usize,
            by_job: BTreeMap::new(),
            by_end: BTreeSet::new(),
        }
    }

    /// Remembers the cancel of a job that is acknowledged now. Returns the oldest one if it is dropped for it,
    /// since there are too many.
    pub fn insert(&mut self, now: Mono, number: JobNumber) -> Option<JobNumber> {
        self.insert_until(now + self.span, number)
    }

    /// Remembers a cancel that another process has told of, for the time that remains of it. Returns the oldest
    /// one if it is dropped for it.
    pub fn insert_told(&mut self, now: Mono, told: &proto::CancelledJob) -> Option<JobNumber> {
        let remaining = Duration::from_millis(u64::from(told.remaining_ms));
        self.insert_until(now + remaining.min(self.span), JobNumber(told.job))
    }

    fn insert_until(&mut self, until: Mono, number: JobNumber) -> Option<JobNumber> {
        let before = self.by_job.get(&number).copied();
        if before.is_some_and(|before| before >= until) {
            return None;
        }
        if let Some(before) = before {
            self.by_end.remove(&(before, number));
        }
        self.by_job.insert(number, until);
        self.by_end.insert((until, number));
        if self.by_job.len() <= self.limit {
            return None;
        }
        self.pop_oldest()
    }

    /// Returns whether a job was cancelled.
    pub fn contains(&self, number: JobNumber) -> bool {
        self.by_job.contains_key(&number)
    }

    /// Returns whether no cancel is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Forgets the cancels whose time is over.
    pub fn expire(&mut self, now: Mono) {
        while self.by_end.first().is_some_and(|(until, _)| *until <= now) {
            self.pop_oldest();
        }
    }

    fn pop_oldest(&mut self) -> Option<JobNumber> {
        let (_, oldest) = self.by_end.pop_first()?;
        self.by_job.remove(&oldest);
        Some(oldest)
    }

    /// Encodes all cancels, to tell another process of them.
    pub fn proto(&self, now: Mono) -> Vec<proto::CancelledJob> {
        let jobs = self.by_job.keys();
        jobs.filter_map(|number| self.proto_of(now, *number))
            .collect()
    }

    /// Encodes the cancel of a job; `None` if the job was not cancelled.
    pub fn proto_of(&self, now: Mono, number: JobNumber) -> Option<proto::CancelledJob> {
        let until = self.by_job.get(&number)?;
        let remaining_ms = crate::clock::millis(now.until(*until));
        Some(proto::CancelledJob {
            job: number.0,
            remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
        })
    }
}
