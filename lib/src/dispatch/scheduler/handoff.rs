//! Handoff of jobs that would outlast a scheduler that is leaving: a peer runs them. Callers may keep
//! connecting to such a scheduler, above all in a zone with few entries that are stopped in turn, two seconds
//! apart with six seconds each to end. It can't finish the jobs that it accepts in its last seconds, and
//! another scheduler could run those that it refused instead.
//!
//! The job is handed off to a peer that accepts jobs, and followed there like one that was submitted again.
//! If it ends in time, this scheduler answers its caller; if not, the caller is told to retry, and finds the
//! job at the peer. Without such a peer, or if the peer could not end it before this process does, the job is
//! refused, as nothing of it was started.

use std::rc::Rc;

use rand::seq::IteratorRandom;

use super::CallerId;
use super::Scheduler;
use super::followed_jobs::FollowedJob;
use super::peers::Peer;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Scheduler {
    /// Hands a job off to a peer; gives the request back if no peer accepts jobs.
    pub(super) fn hand_off(
        &mut self,
        caller: CallerId,
        request: JobRequest,
    ) -> Result<(), JobRequest> {
        let Some(name) = self.choose_successor() else {
            return Err(request);
        };
        let number = request.number;
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.queue_handoff(request.proto());
        }
        let detail = format!("{number} to {name} request {}", request.call);
        self.log(Kind::JobHandedOff, detail);
        // A scheduler at which this job is submitted again meanwhile must not take it for a new one.
        self.announce(number);
        // Callers that submit the job again here, before the peer has announced it, follow it there.
        self.announced.record(number, &name, self.now);
        let following = FollowedJob {
            peer: name,
            callers: vec![caller],
            request,
            handed_off: true,
        };
        self.following.insert(number, following);
        Ok(())
    }

    /// Chooses a random linked peer that accepts jobs, in this zone if there is one.
    fn choose_successor(&mut self) -> Option<String> {
        let available = |p: &Peer| p.link.is_some() && p.accepts_jobs();
        let peers = self.peers.iter().filter(|(_, p)| available(p));
        let in_zone = peers.clone().filter(|(_, p)| p.is_in(&self.setup.zone));
        let chosen = in_zone.map(|(name, _)| name).choose(&mut self.rng);
        chosen
            .or_else(|| peers.map(|(name, _)| name).choose(&mut self.rng))
            .cloned()
    }

    /// Handles a job that a peer hands off, because the peer is leaving or has more work waiting.
    pub(super) fn accept_handoff(&mut self, name: &str, handed: &proto::HandedJob) {
        let number = JobNumber(handed.job);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.followers.push(name.to_owned());
            return;
        }
        if let Some(outcome) = self.known_outcome(number) {
            return self.report_end_to_peer(name, number, outcome);
        }
        let others = self.announced.holders(number);
        let others: Vec<&str> = others.filter(|holder| *holder != name).collect();
        let elsewhere = others.iter().any(|holder| self.is_linked(holder));
        let known = !others.is_empty();
        if elsewhere || self.following.contains_key(&number) {
            return self.report_end_to_peer(name, number, JobOutcome::Unknown);
        }
        let request = JobRequest::from_proto(handed);
        if let Err(error) = request.check() {
            self.log(
                Kind::JobRefused,
                format!("{number} handed off by {name}: {error}"),
            );
            let outcome = self.refusal();
            return self.report_end_to_peer(name, number, outcome);
        }
        let claim = known || self.may_run_elsewhere();
        let waited = Duration::from_millis(u64::from(handed.waited_ms));
        self.counts.handoffs_accepted += 1;
        self.accept_for_peer(name, request, waited, claim);
        self.place();
    }
}

impl JobRequest {
    /// Encodes the request as a message.
    pub fn proto(&self) -> proto::HandedJob {
        let step = |s: &crate::dispatch::model::Step| proto::JobStep {
            count: s.count,
            demand: Some(s.demand.proto()),
            estimate_ms: s.estimate_ms,
            after: s.after.clone(),
            saves_progress: s.saves_progress,
            requirement: s.requirement.clone(),
            rack: s.rack.clone(),
            spread: s.spread,
        };
        proto::HandedJob {
            job: self.number.0,
            queue: self.queue.clone(),
            spec: self.spec.to_string(),
            steps: self.steps.iter().map(step).collect(),
            patience_ms: self.patience_ms,
            call: self.call.to_string(),
            waited_ms: 0,
        }
    }

    /// Decodes the request from a message.
    pub fn from_proto(handed: &proto::HandedJob) -> JobRequest {
        let step = |s: &proto::JobStep| crate::dispatch::model::Step {
            count: s.count,
            demand: crate::dispatch::model::Demand::from_proto(s.demand),
            estimate_ms: s.estimate_ms,
            after: s.after.clone(),
            saves_progress: s.saves_progress,
            requirement: s.requirement.clone(),
            rack: s.rack.clone(),
            spread: s.spread,
        };
        JobRequest {
            number: JobNumber(handed.job),
            queue: handed.queue.clone(),
            spec: Rc::from(handed.spec.as_str()),
            steps: handed.steps.iter().map(step).collect(),
            patience_ms: handed.patience_ms,
            call: Rc::from(handed.call.as_str()),
        }
    }
}
