//! Routes callers' requests to the owner of their job and the answers back. A request is parked while
//! its job has no reachable owner. Each request is answered exactly once.

use bytes::Bytes;

use super::Entry;
use crate::clock::micros;
use crate::job_table::Waiter;
use crate::outcome::Cause;
use crate::outcome::JobReply;
use crate::outcome::Refusal;
use crate::prelude::*;
use crate::takeover::Phase;
use crate::tenure::RightState;

/// How long after its deadline a request still waits for the owner's answer.
const OWNER_ANSWER_GRACE: Duration = Duration::from_millis(2_000);
/// How long a request that a peer has redirected waits for a newer record before it is sent again.
const REDIRECT_DELAY: Duration = Duration::from_millis(100);
/// The retry delay given to callers whose job has no reachable owner.
const NO_OWNER_RETRY_MS: u64 = 2_000;
/// How long the store may fail to answer before takeovers are no longer expected.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A caller's request: a job to run, or a query about one.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The id of the job.
    pub job: JobId,
    /// The name of the service.
    pub service: String,
    /// The team, if the caller names one.
    pub team: String,
    /// The job's body; empty for a query.
    pub body: Bytes,
    /// The time left until the deadline; zero for the configured default.
    pub left: Duration,
    /// Whether this is a query, which starts nothing.
    pub peek: bool,
}

/// Where a request is being handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// At this entry, until its job has a reachable owner.
    Parked,
    /// At this entry as the owner of the job.
    Own,
    /// At the peer at the other end of a link.
    Link(LinkId),
}

/// An open request of one of this entry's callers.
#[derive(Clone, Debug)]
pub struct Request {
    submission: Submission,
    route: Route,
    arrived: Mono,
    deadline: Mono,
    parked_at: Mono,
    /// The time before which it is not sent again, after a peer has redirected it.
    not_before: Mono,
}

/// A request for a shard that this entry owns and that can't be decided on yet: either the shard is
/// not served yet, or the job's mint time lies within a lead that is not in force yet.
#[derive(Clone, Debug)]
pub(super) struct HeldRequest {
    shard: ShardId,
    waiter: Waiter,
    submission: Submission,
    deadline: Mono,
}

impl Entry {
    /// Accepts a caller's request under a number chosen by the host. Exactly one
    /// [`super::Action::Respond`] answers it, unless [`Entry::forget_request`] is called first.
    pub fn submit(&mut self, now: Now, id: u64, submission: Submission) {
        self.observe_time(now);
        self.counts.requests += 1;
        let limits = self.follower.config().limits;
        let named = !submission.left.is_zero();
        let default = Duration::from_millis(limits.deadline_ms);
        let left = if named { submission.left } else { default };
        let longest = Duration::from_millis(limits.longest_ms);
        let request = Request {
            route: Route::Parked,
            arrived: now.mono,
            parked_at: now.mono,
            not_before: Mono(0),
            deadline: now.mono + left.min(longest),
            submission,
        };
        let before = self.requests.insert(id, request);
        assert!(before.is_none(), "invariant: request numbers are unique");
        self.route_request(now, id);
        self.advance(now);
    }

    /// Drops the request of a caller that has disconnected. Its job continues, and the answer is kept
    /// in case the caller submits the job again.
    pub fn forget_request(&mut self, id: u64) {
        self.requests.remove(&id);
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Sends a parked request to the owner of its job, if the owner is reachable now.
    fn route_request(&mut self, now: Now, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.route != Route::Parked || now.mono < request.not_before {
            return;
        }
        let Some(shard) = self.shard_of(request.submission.job) else {
            return self.end_if_store_unavailable(now, id, false);
        };
        if self.owned_shards.is_active(shard)
            && self.tenure.right_state(now.mono) != RightState::Expired
        {
            return self.route_locally(now, id);
        }
        match self.owner_link(now, shard) {
            Some(link) => self.forward_to(now, id, link),
            None => self.end_if_store_unavailable(now, id, true),
        }
    }

    /// Returns the link to the peer that owns a shard, if the peer is responsive.
    fn owner_link(&self, now: Now, shard: ShardId) -> Option<LinkId> {
        let owner = self.read.as_ref()?.record.slot(shard).owner;
        let (link, peer) = self.peers.iter().find(|(_, p)| p.incarnation == owner)?;
        self.is_alive(now, peer).then_some(*link)
    }

    fn route_locally(&mut self, now: Now, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.route = Route::Own;
        let mut submission = request.submission.clone();
        submission.left = now.mono.until(request.deadline);
        self.decide_request(now, Waiter::Local(id), submission);
    }

    fn forward_to(&mut self, now: Now, id: u64, link: LinkId) {
        let Some((beat, arrived)) = self.peers.get(&link).and_then(|p| p.last_heartbeat) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.route = Route::Link(link);
        self.next_forward += 1;
        let s = &request.submission;
        let forward = wire::Forward {
            request: id,
            job: Some(s.job.wire()),
            service: s.service.clone(),
            team: s.team.clone(),
            left_us: micros(now.mono.until(request.deadline)),
            peek: s.peek,
            body: s.body.clone(),
            seq: self.next_forward,
            beat,
            since_us: micros(now.mono.since(arrived)),
        };
        self.counts.forwards += 1;
        self.send(link, Body::Forward(forward));
    }

    /// Ends a request at once if the store is unavailable, because then no entry can take the job over.
    /// Whether the job ran is unknown here.
    fn end_if_store_unavailable(&mut self, now: Now, id: u64, known: bool) {
        let age = self.last_read.map(|at| now.mono.since(at));
        let unavailable = age.is_some_and(|age| age > STORE_TIMEOUT);
        if unavailable || (!known && self.has_store_never_answered(now)) {
            self.end_without_owner(
                id,
                "the store does not answer, so nobody can take the job over",
            );
        }
    }

    fn has_store_never_answered(&self, now: Now) -> bool {
        self.last_read.is_none() && now.mono > self.started_at() + STORE_TIMEOUT
    }

    fn end_without_owner(&mut self, id: u64, detail: &str) {
        let refusal = Refusal::new(Outcome::Unknown, Cause::NoOwner, detail);
        self.respond(id, JobReply::Other(refusal.retry(NO_OWNER_RETRY_MS)));
    }

    /// Answers a caller.
    fn respond(&mut self, id: u64, reply: JobReply) {
        if self.requests.remove(&id).is_none() {
            return;
        }
        if let JobReply::Other(refusal) = &reply {
            self.count_refusal(refusal.cause);
        }
        self.actions.push(super::Action::Respond(id, reply));
    }

    /// Answers a waiter: a caller of this entry, or a peer that forwarded a request.
    pub(super) fn answer_waiter(&mut self, waiter: Waiter, reply: JobReply) {
        match waiter {
            Waiter::Local(id) => self.respond(id, reply),
            Waiter::Peer(link, request) => {
                let reply = reply_to_wire(request, reply);
                self.send(link, Body::Reply(reply));
            }
        }
    }

    /// Redirects a waiter because this entry does not own the job: a caller's request is parked, a
    /// peer's is returned to it.
    pub(super) fn redirect_waiter(&mut self, now: Now, waiter: Waiter) {
        match waiter {
            Waiter::Local(id) => self.park_request(now, id),
            Waiter::Peer(link, request) => {
                let reply = wire::Reply {
                    request,
                    elsewhere: true,
                    ..Default::default()
                };
                self.send(link, Body::Reply(reply));
            }
        }
    }

    fn park_request(&mut self, now: Now, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.route != Route::Parked {
                request.parked_at = now.mono;
            }
            request.route = Route::Parked;
        }
    }

    pub(super) fn on_forward(&mut self, now: Now, link: LinkId, forward: wire::Forward) {
        let Some(job) = JobId::from_wire(forward.job) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&link) else {
            return;
        };
        if forward.seq <= peer.last_forward {
            return self.count_wasted("repeated-forward");
        }
        peer.last_forward = forward.seq;
        let waiter = Waiter::Peer(link, forward.request);
        // A request that arrives after its deadline starts nothing, because its caller has been
        // answered already.
        let left = self.remaining_time(now, &forward);
        if left.is_zero() {
            return self.count_wasted("late-forward");
        }
        let submission = Submission {
            job,
            service: forward.service,
            team: forward.team,
            body: forward.body,
            left,
            peek: forward.peek,
        };
        let shard = self.shard_of(job);
        match shard.and_then(|s| Some((s, self.owned_shards.get(s)?.phase))) {
            Some((_, Phase::Active))
                if self.tenure.right_state(now.mono) != RightState::Expired =>
            {
                self.decide_request(now, waiter, submission);
            }
            Some((_, Phase::Sealing)) => self.hold_request(now, waiter, submission),
            _ => self.redirect_waiter(now, waiter),
        }
    }

    /// Holds a request until its job can be decided on.
    pub(super) fn hold_request(&mut self, now: Now, waiter: Waiter, submission: Submission) {
        let Some(shard) = self.shard_of(submission.job) else {
            return self.redirect_waiter(now, waiter);
        };
        self.held_requests.push(HeldRequest {
            shard,
            waiter,
            deadline: now.mono + submission.left,
            submission,
        });
    }

    /// Decides on the held requests whose shards are served now, and redirects those whose shards went
    /// to another entry. Of those past their deadline, this entry ends its own callers' requests; peers
    /// end theirs themselves.
    pub(super) fn process_held_requests(&mut self, now: Now) {
        for held in std::mem::take(&mut self.held_requests) {
            if now.mono >= held.deadline {
                if let Waiter::Local(id) = held.waiter {
                    self.end_without_owner(
                        id,
                        "the job could not be decided on before its deadline",
                    );
                }
                continue;
            }
            match self.owned_shards.get(held.shard).map(|h| h.phase) {
                Some(Phase::Sealing) => self.held_requests.push(held),
                Some(Phase::Active) if self.tenure.right_state(now.mono) != RightState::Expired => {
                    let mut submission = held.submission;
                    submission.left = now.mono.until(held.deadline);
                    self.decide_request(now, held.waiter, submission);
                }
                _ => self.redirect_waiter(now, held.waiter),
            }
        }
    }

    /// Returns the time left to a forwarded request. The sender states it relative to its receipt of
    /// one of this entry's heartbeats, so time spent in transit counts; if that heartbeat is not
    /// remembered any more, no time is left.
    fn remaining_time(&self, now: Now, forward: &wire::Forward) -> Duration {
        let sent = self
            .heartbeats
            .iter()
            .rev()
            .find(|(seq, _)| *seq == forward.beat);
        let Some((_, sent)) = sent else {
            return Duration::ZERO;
        };
        let span = forward.since_us.saturating_add(forward.left_us);
        now.mono.until(*sent + Duration::from_micros(span))
    }

    /// Handles an owner's reply. A reply from a peer that no longer handles the request is dropped,
    /// because another owner may have started the job since.
    pub(super) fn on_reply(&mut self, now: Now, link: LinkId, reply: wire::Reply) {
        let id = reply.request;
        let there = |r: &Request| r.route == Route::Link(link);
        if !self.requests.get(&id).is_some_and(there) {
            return self.count_wasted("late-reply");
        }
        if reply.elsewhere {
            self.count_wasted("elsewhere");
            self.park_request(now, id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.not_before = now.mono + REDIRECT_DELAY;
            }
            self.read_due = now.mono;
            return;
        }
        let reply = reply_from_wire(reply);
        self.respond(id, reply);
    }

    /// Parks the requests at a peer whose link went down, so that they are routed again.
    pub(super) fn park_requests_at(&mut self, now: Now, link: LinkId) {
        let affected: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| r.route == Route::Link(link))
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            self.park_request(now, id);
        }
    }

    /// Parks the requests that are at a peer which does not own their job any more, and routes all
    /// parked requests.
    pub(super) fn reroute(&mut self, now: Now) {
        let moved: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| self.is_misrouted(r))
            .map(|(id, _)| *id)
            .collect();
        for id in moved {
            self.park_request(now, id);
        }
        for request in self.requests.values_mut() {
            request.not_before = Mono(0);
        }
        self.route_parked(now);
    }

    fn is_misrouted(&self, request: &Request) -> bool {
        let Route::Link(link) = request.route else {
            return false;
        };
        let Some(read) = &self.read else {
            return false;
        };
        let shard = ShardId::of(request.submission.job, read.record.count());
        let owner = read.record.slot(shard).owner;
        self.peers.get(&link).is_none_or(|p| p.incarnation != owner)
    }

    pub(super) fn route_parked(&mut self, now: Now) {
        let parked: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| r.route == Route::Parked)
            .map(|(id, _)| *id)
            .collect();
        for id in parked {
            self.route_request(now, id);
        }
    }

    /// Processes held and parked requests.
    pub(super) fn process_requests(&mut self, now: Now) {
        self.process_held_requests(now);
        self.route_parked(now);
    }

    /// Ends the requests that have waited too long.
    pub(super) fn end_late_requests(&mut self, now: Now) {
        let late: Vec<(u64, &'static str)> = self
            .requests
            .iter()
            .filter_map(|(id, r)| Some((*id, self.timeout_detail(now, r)?)))
            .collect();
        for (id, detail) in late {
            self.end_without_owner(id, detail);
        }
    }

    /// Returns why a request has waited too long, or `None` if it has not.
    fn timeout_detail(&self, now: Now, request: &Request) -> Option<&'static str> {
        let late = now.mono >= request.deadline + OWNER_ANSWER_GRACE;
        match request.route {
            Route::Parked if now.mono >= request.parked_at + self.setup.owner_timeout => {
                Some("no entry could take the job over in time")
            }
            Route::Parked if now.mono >= request.deadline => {
                Some("no entry could take the job over before its deadline")
            }
            Route::Link(_) if late => Some("the job's owner did not answer"),
            Route::Own if late && now.mono >= request.arrived + OWNER_ANSWER_GRACE => {
                Some("the job did not end in time")
            }
            _ => None,
        }
    }
}

fn reply_to_wire(request: u64, reply: JobReply) -> wire::Reply {
    match reply {
        JobReply::Complete(body) => wire::Reply {
            request,
            outcome: Outcome::Complete.code(),
            body,
            ..Default::default()
        },
        JobReply::Other(refusal) => wire::Reply {
            request,
            outcome: refusal.outcome.map_or(0, Outcome::code),
            cause: refusal.cause.name().to_owned(),
            retry_ms: refusal.retry_ms,
            detail: refusal.detail,
            ..Default::default()
        },
    }
}

fn reply_from_wire(reply: wire::Reply) -> JobReply {
    let outcome = Outcome::from_code(reply.outcome);
    if outcome == Some(Outcome::Complete) {
        return JobReply::Complete(reply.body);
    }
    JobReply::Other(Refusal {
        outcome,
        cause: Cause::from_name(&reply.cause).unwrap_or(Cause::Unreadable),
        detail: reply.detail,
        retry_ms: reply.retry_ms,
    })
}
