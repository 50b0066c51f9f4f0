//! Jobs of peers that callers here wait for.

use super::Action;
use super::CallerId;
use super::Scheduler;
use crate::dispatch::model::JobNumber;
use crate::dispatch::model::JobOutcome;
use crate::dispatch::model::JobRequest;
use crate::event::Kind;
use crate::prelude::*;

/// A cancel that was passed on is repeated for so long when a link to the peer comes up or breaks: longer than
/// it takes to see that a link is dead.
const CANCEL_KEPT: Duration = Duration::from_secs(3);

/// A cancel that was passed on to the peer that has the job.
#[derive(Clone, Debug)]
pub(super) struct SentCancel {
    peer: String,
    number: JobNumber,
    at: Mono,
}

/// A job of a peer that callers here wait for.
#[derive(Clone, Debug)]
pub(super) struct Following {
    pub peer: String,
    pub callers: Vec<CallerId>,
    pub request: JobRequest,
    /// Whether it came here first and was handed to the peer.
    pub handed: bool,
}

impl Scheduler {
    /// Asks a peer to tell the end of its job.
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
        let following = Following {
            peer: peer_name.to_owned(),
            callers: vec![caller],
            request,
            handed: false,
        };
        self.following.insert(number, following);
    }

    /// Passes a cancel on to the peer that has the job; whether there is one.
    pub(super) fn cancel_at_peer(&mut self, number: JobNumber) -> bool {
        let Some(name) = self.linked_holder(number) else {
            return false;
        };
        let Some(peer) = self.peers.get_mut(&name) else {
            return false;
        };
        peer.outgoing.cancel.push(number.0);
        let at = self.now;
        self.cancels_sent.retain(|c| at.since(c.at) < CANCEL_KEPT);
        self.cancels_sent.push(SentCancel {
            peer: name,
            number,
            at,
        });
        true
    }

    /// The cancels of jobs of a peer that may be lost with a link to it.
    pub(super) fn cancels_to_repeat(&self, name: &str) -> Vec<u64> {
        let recent = |c: &&SentCancel| c.peer == name && self.now.since(c.at) < CANCEL_KEPT;
        let sent = self.cancels_sent.iter().filter(recent);
        sent.map(|c| c.number.0).collect()
    }

    /// A peer has a caller for a job of this scheduler.
    pub(super) fn follow_request(&mut self, name: &str, number: JobNumber) {
        if let Some(job) = self.jobs.get_mut(&number) {
            // Asked for again after a link broke, the end is told once.
            if !job.followers.iter().any(|f| f == name) {
                job.followers.push(name.to_owned());
            }
            return;
        }
        let known = self.ended.get(&number).map(|e| e.outcome);
        self.tell_peer_end(name, number, known.unwrap_or(JobOutcome::Unknown));
    }

    /// A peer has ended a job that callers here wait for.
    pub(super) fn followed_end(&mut self, name: &str, number: JobNumber, outcome: JobOutcome) {
        if outcome == JobOutcome::Unknown {
            return self.follow_elsewhere(name, number);
        }
        let began = self.ended.get(&number).is_some_and(|e| e.began);
        let outcome = match outcome {
            // What the peer refuses may have been begun here before it went there.
            JobOutcome::Refused(_) if began => JobOutcome::GivenUp,
            other => other,
        };
        if let Some(following) = self.following.remove(&number) {
            self.remember(number, outcome, false);
            for caller in following.callers {
                self.actions.push(Action::Answer(caller, outcome));
            }
        }
    }

    /// The peer that had a job has it no more: another one has it by now, or it is run here.
    fn follow_elsewhere(&mut self, name: &str, number: JobNumber) {
        if self.announced.withdraw(number, name) {
            self.remember(number, JobOutcome::Unknown, true);
            self.given_up.insert(number, self.now);
        }
        let Some(following) = self.following.remove(&number) else {
            return;
        };
        if following.handed {
            self.remember(number, JobOutcome::Unknown, true);
        }
        let other = self.linked_holder(number);
        for caller in following.callers {
            let request = following.request.clone();
            match &other {
                Some(other) => self.follow(other, caller, request),
                None => self.run_here(caller, request, true),
            }
        }
    }

    /// Runs a job here that a peer had and can't be asked about.
    pub(super) fn take_over(&mut self, number: JobNumber) {
        let Some(following) = self.following.remove(&number) else {
            return;
        };
        if following.handed {
            // Its caller was rejected by nobody yet, and the peer may have begun it.
            self.remember(number, JobOutcome::Unknown, true);
        }
        for caller in following.callers {
            self.run_here(caller, following.request.clone(), true);
        }
    }
}
