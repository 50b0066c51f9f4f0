//! Jobs that come to a scheduler which leaves and would outlast it: another one runs them.
//!
//! Load pattern: the entries are stopped in turn, two seconds apart, each with six seconds to end. Where a zone has few
//! of them its callers go on connecting to one that leaves, and what it takes in its last seconds it can't finish.
//! Refusing these jobs would turn away callers whom another scheduler could serve.
//!
//! Decision: such a job is handed to a peer that stays, and followed there like one that has come again. If it ends in
//! time, its caller has the answer from here; if not, the caller is told to come again, and finds the job at the
//! peer. Without such a peer it is refused, as nothing of it was started.

use std::rc::Rc;

use rand::seq::IteratorRandom;

use super::CallerId;
use super::Scheduler;
use super::following::Following;
use super::peers::Peer;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::event::Kind;
use crate::prelude::*;
use crate::protos::dispatch as proto;

impl Scheduler {
    /// Hands a job to a peer; gives it back if there is none that stays.
    pub(super) fn hand_on(
        &mut self,
        caller: CallerId,
        request: JobRequest,
    ) -> Result<(), JobRequest> {
        let Some(name) = self.successor() else {
            return Err(request);
        };
        let number = request.number;
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.hand(request.proto());
        }
        let detail = format!("{number} to {name} request {}", request.call);
        self.log(Kind::JobHanded, detail);
        // Whoever has this job handed in again meanwhile must not take it for a new one.
        self.announce(number);
        let following = Following {
            peer: name,
            callers: vec![caller],
            request,
            handed: true,
        };
        self.following.insert(number, following);
        Ok(())
    }

    /// A peer that takes jobs and stays: of the own zone, if there is one.
    fn successor(&mut self) -> Option<String> {
        let accepts_jobs = |p: &Peer| p.link.is_some() && p.accepts_jobs();
        let stay = self.peers.iter().filter(|(_, p)| accepts_jobs(p));
        let near = stay.clone().filter(|(_, p)| p.is_in(&self.setup.zone));
        let near = near.map(|(name, _)| name).choose(&mut self.rng);
        near.or_else(|| stay.map(|(name, _)| name).choose(&mut self.rng))
            .cloned()
    }

    /// A peer hands a job over: it leaves, or more waits there.
    pub(super) fn take_handed(&mut self, name: &str, handed: &proto::HandedJob) {
        let number = JobNumber(handed.job);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.followers.push(name.to_owned());
            return;
        }
        if let Some(outcome) = self.known_outcome(number) {
            return self.tell_peer_end(name, number, outcome);
        }
        let others = self.announced.holders(number);
        let others: Vec<&str> = others.filter(|holder| *holder != name).collect();
        let elsewhere = others.iter().any(|holder| self.is_linked(holder));
        let known = !others.is_empty();
        if elsewhere || self.following.contains_key(&number) {
            return self.tell_peer_end(name, number, JobOutcome::Unknown);
        }
        let request = JobRequest::from_proto(handed);
        if let Err(error) = request.check() {
            self.log(
                Kind::JobRefused,
                format!("{number} handed by {name}: {error}"),
            );
            let outcome = self.refusal();
            return self.tell_peer_end(name, number, outcome);
        }
        let claim = known || self.in_doubt();
        let waited = Duration::from_millis(u64::from(handed.waited_ms));
        self.counts.taken += 1;
        self.run_for_peer(name, request, waited, claim);
        self.place();
    }
}

impl JobRequest {
    /// As it travels.
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

    /// Reads it from a message.
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
