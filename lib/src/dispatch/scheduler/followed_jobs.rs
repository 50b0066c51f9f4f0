//! Jobs that run at a peer while callers here wait for them. The peer is asked to report the end of such a
//! job; if it is lost or no longer has the job, the callers follow another peer, or the job is claimed and
//! run here.

use super::Action;
use super::CallerId;
use super::Scheduler;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::event::Kind;

/// A job of a peer that callers here wait for.
#[derive(Clone, Debug)]
pub(super) struct FollowedJob {
    pub peer: String,
    pub callers: Vec<CallerId>,
    pub request: JobRequest,
    /// Whether this scheduler had accepted the job and handed it off to the peer.
    pub handed_off: bool,
}

impl Scheduler {
    /// Adds a caller to a job that runs at a peer, and asks the peer to report its end.
    pub(super) fn follow(&mut self, peer_name: &str, caller: CallerId, request: JobRequest) {
        let number = request.number;
        self.counts.joined += 1;
        if let Some(following) = self.following.get_mut(&number) {
            following.callers.push(caller);
            return;
        }
        self.log(
            Kind::JobFollowed,
            format!("{number} at {peer_name} request {}", request.call),
        );
        if let Some(peer) = self.peers.get_mut(peer_name) {
            peer.outgoing.follow.push(number.0);
        }
        let following = FollowedJob {
            peer: peer_name.to_owned(),
            callers: vec![caller],
            request,
            handed_off: false,
        };
        self.following.insert(number, following);
    }

    /// Handles a peer's request to report the end of a job of this scheduler.
    pub(super) fn handle_follow_request(&mut self, name: &str, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            // A request that is repeated after a link was lost must not make the end be reported twice.
            if !job.followers.iter().any(|f| f == name) {
                job.followers.push(name.to_owned());
            }
            return;
        }
        let known = self.ended.get(&number).map(|e| e.outcome);
        self.report_end_to_peer(name, number, known.unwrap_or(JobOutcome::Unknown));
    }

    /// Handles a peer's report that it has ended a job that callers here wait for.
    pub(super) fn handle_followed_end(
        &mut self,
        name: &str,
        number: JobNumber,
        outcome: JobOutcome,
    ) {
        if outcome == JobOutcome::Unknown {
            return self.follow_elsewhere(name, number);
        }
        if matches!(outcome, JobOutcome::Refused(_)) {
            // The peer did not take it, so it must not be followed there when it comes again.
            self.announced.withdraw(number, name);
        }
        let began = self.ended.get(&number).is_some_and(|e| e.began);
        let outcome = match outcome {
            // The job may have begun here before it was handed off, so it can't be reported as refused.
            JobOutcome::Refused(_) if began => JobOutcome::GivenUp,
            other => other,
        };
        if let Some(following) = self.following.remove(&number) {
            self.record_outcome(number, outcome, false);
            for caller in following.callers {
                self.actions.push(Action::Answer(caller, outcome));
            }
        }
    }

    /// Handles the report that a peer no longer has a job: its callers follow another peer that has it, or it
    /// is run here.
    fn follow_elsewhere(&mut self, name: &str, number: JobNumber) {
        if self.announced.withdraw(number, name) {
            self.record_outcome(number, JobOutcome::Unknown, true);
            self.withdrawn.insert(number, self.now);
        }
        let Some(following) = self.following.remove(&number) else {
            return;
        };
        if following.handed_off {
            self.record_outcome(number, JobOutcome::Unknown, true);
        }
        let other = self.linked_holder(number);
        for caller in following.callers {
            let request = following.request.clone();
            match &other {
                Some(other) => self.follow(other, caller, request),
                None => self.accept_job(caller, request, true),
            }
        }
    }

    /// Runs a job here whose peer can't be asked about it any more.
    pub(super) fn take_over(&mut self, number: JobNumber) {
        let Some(following) = self.following.remove(&number) else {
            return;
        };
        if following.handed_off {
            // The peer may have begun the job, so it must never be answered as refused.
            self.record_outcome(number, JobOutcome::Unknown, true);
        }
        for caller in following.callers {
            self.accept_job(caller, following.request.clone(), true);
        }
    }
}
