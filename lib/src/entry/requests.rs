//! Callers' requests on their way to the owner of their job, and back.

use bytes::Bytes;

use super::Entry;
use crate::clock::micros;
use crate::job_table::Waiter;
use crate::outcome::Cause;
use crate::outcome::Refusal;
use crate::outcome::Verdict;
use crate::prelude::*;
use crate::takeover::Phase;
use crate::tenure::RightState;

/// How much longer than its deadline a request waits for the owner's word.
const LATE: Duration = Duration::from_millis(2_000);
/// How long a request that was turned away waits for a newer record.
const TURNED_AWAY: Duration = Duration::from_millis(100);
/// When to come back after a request for which there is no owner.
const NO_OWNER_RETRY_MS: u64 = 2_000;
/// Without an answer from the store for this long, no takeover is expected.
const STORE_AWAY: Duration = Duration::from_millis(1_500);

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The job.
    pub job: JobId,
    /// The service.
    pub service: String,
    /// The team, if the caller names one.
    pub team: String,
    /// The body; empty for a question.
    pub body: Bytes,
    /// Time left until the deadline; zero for the configured default.
    pub left: Duration,
    /// True for a question that must not start anything.
    pub peek: bool,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// Here, until its job has an owner that can be reached.
    Parked,
    /// With this entry as the owner.
    Own,
    /// With the peer at the other end of a link.
    Link(LinkId),
}

/// A request of a caller of this entry.
#[derive(Clone, Debug)]
pub struct Request {
    submission: Submission,
    route: Route,
    arrived: Mono,
    deadline: Mono,
    parked: Mono,
    /// Not to be sent on before this time: a peer has just turned it away.
    pause: Mono,
}

/// A request for a shard that this entry owns, and either does not serve yet, or can't judge by
/// the job's mint time yet.
#[derive(Clone, Debug)]
pub(super) struct Held {
    shard: ShardId,
    waiter: Waiter,
    submission: Submission,
    deadline: Mono,
}

impl Entry {
    /// A caller's request, numbered by the daemon. It is answered by exactly one
    /// [`super::Action::Respond`].
    pub fn submit(&mut self, now: Now, id: u64, submission: Submission) {
        self.begin(now);
        self.counts.requests += 1;
        let limits = self.follower.config().limits;
        let named = !submission.left.is_zero();
        let default = Duration::from_millis(limits.deadline_ms);
        let left = if named { submission.left } else { default };
        let longest = Duration::from_millis(limits.longest_ms);
        let request = Request {
            route: Route::Parked,
            arrived: now.mono,
            parked: now.mono,
            pause: Mono(0),
            deadline: now.mono + left.min(longest),
            submission,
        };
        let before = self.requests.insert(id, request);
        assert!(before.is_none(), "invariant: a request has one number");
        self.route(now, id);
        self.step(now);
    }

    /// The caller has gone. Its job goes on; the answer is kept for its resubmission.
    pub fn forget_request(&mut self, id: u64) {
        self.requests.remove(&id);
    }

    /// Whether requests are under way.
    pub fn busy_requests(&self) -> usize {
        self.requests.len()
    }

    /// Sends a parked request to where its job is decided, if that is possible now.
    fn route(&mut self, now: Now, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.route != Route::Parked || now.mono < request.pause {
            return;
        }
        let Some(shard) = self.shard_of(request.submission.job) else {
            return self.give_up_hopeless(now, id, false);
        };
        if self.holdings.active(shard) && self.tenure.right_state(now.mono) != RightState::Expired {
            return self.route_here(now, id);
        }
        match self.owner_link(now, shard) {
            Some(link) => self.route_to(now, id, link),
            None => self.give_up_hopeless(now, id, true),
        }
    }

    /// The link to the peer that owns a shard, if it answers.
    fn owner_link(&self, now: Now, shard: ShardId) -> Option<LinkId> {
        let owner = self.read.as_ref()?.record.slot(shard).owner;
        let (link, peer) = self.peers.iter().find(|(_, p)| p.incarnation == owner)?;
        self.alive(now, peer).then_some(*link)
    }

    fn route_here(&mut self, now: Now, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.route = Route::Own;
        let mut submission = request.submission.clone();
        submission.left = now.mono.until(request.deadline);
        self.decide(now, Waiter::Local(id), submission);
    }

    fn route_to(&mut self, now: Now, id: u64, link: LinkId) {
        let Some((beat, beaten)) = self.peers.get(&link).and_then(|p| p.beaten) else {
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
            since_us: micros(now.mono.since(beaten)),
        };
        self.counts.forwards += 1;
        self.send(link, Body::Forward(forward));
    }

    /// Ends a request at once when nothing can be expected to give its job an owner: the store is
    /// away, so nobody can take over. Whether the job ran is not known here.
    fn give_up_hopeless(&mut self, now: Now, id: u64, known: bool) {
        let age = self.read_ok.map(|at| now.mono.since(at));
        let away = age.is_some_and(|age| age > STORE_AWAY);
        if away || (!known && self.store_never_answered(now)) {
            self.no_owner(
                id,
                "the store does not answer, so nobody can take the job over",
            );
        }
    }

    fn store_never_answered(&self, now: Now) -> bool {
        self.read_ok.is_none() && now.mono > self.born() + STORE_AWAY
    }

    fn no_owner(&mut self, id: u64, detail: &str) {
        let refusal = Refusal::new(Outcome::Unknown, Cause::NoOwner, detail);
        self.respond(id, Verdict::Other(refusal.retry(NO_OWNER_RETRY_MS)));
    }

    /// Answers a caller.
    fn respond(&mut self, id: u64, verdict: Verdict) {
        if self.requests.remove(&id).is_none() {
            return;
        }
        if let Verdict::Other(refusal) = &verdict {
            self.count_refusal(refusal.cause);
        }
        self.actions.push(super::Action::Respond(id, verdict));
    }

    /// Answers whoever waits.
    pub(super) fn tell(&mut self, waiter: Waiter, verdict: Verdict) {
        match waiter {
            Waiter::Local(id) => self.respond(id, verdict),
            Waiter::Peer(link, request) => {
                let reply = wire_reply(request, verdict);
                self.send(link, Body::Reply(reply));
            }
        }
    }

    /// Sends whoever waits elsewhere: this entry does not own the job any more.
    pub(super) fn turn_away(&mut self, now: Now, waiter: Waiter) {
        match waiter {
            Waiter::Local(id) => self.park(now, id),
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

    fn park(&mut self, now: Now, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            if request.route != Route::Parked {
                request.parked = now.mono;
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
        if forward.seq <= peer.forwards {
            return self.waste("repeated-forward");
        }
        peer.forwards = forward.seq;
        let waiter = Waiter::Peer(link, forward.request);
        // A message that was under way for longer than the deadline starts nothing any more: its
        // caller has been answered.
        let left = self.forward_left(now, &forward);
        if left.is_zero() {
            return self.waste("late-forward");
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
        match shard.and_then(|s| Some((s, self.holdings.get(s)?.phase))) {
            Some((_, Phase::Active))
                if self.tenure.right_state(now.mono) != RightState::Expired =>
            {
                self.decide(now, waiter, submission);
            }
            Some((_, Phase::Sealing)) => self.hold(now, waiter, submission),
            _ => self.turn_away(now, waiter),
        }
    }

    /// Keeps a request until its job can be decided on.
    pub(super) fn hold(&mut self, now: Now, waiter: Waiter, submission: Submission) {
        let Some(shard) = self.shard_of(submission.job) else {
            return self.turn_away(now, waiter);
        };
        self.held.push(Held {
            shard,
            waiter,
            deadline: now.mono + submission.left,
            submission,
        });
    }

    /// Decides on the requests that were held for shards which are served now, and sends those
    /// away whose shard went elsewhere. Those of peers that are too late are ended by these.
    pub(super) fn tend_held(&mut self, now: Now) {
        for held in std::mem::take(&mut self.held) {
            if now.mono >= held.deadline {
                if let Waiter::Local(id) = held.waiter {
                    self.no_owner(id, "the job could not be decided on before its deadline");
                }
                continue;
            }
            match self.holdings.get(held.shard).map(|h| h.phase) {
                Some(Phase::Sealing) => self.held.push(held),
                Some(Phase::Active) if self.tenure.right_state(now.mono) != RightState::Expired => {
                    let mut submission = held.submission;
                    submission.left = now.mono.until(held.deadline);
                    self.decide(now, held.waiter, submission);
                }
                _ => self.turn_away(now, held.waiter),
            }
        }
    }

    /// The time left to a forwarded request, counted from a heartbeat of this entry's own.
    fn forward_left(&self, now: Now, forward: &wire::Forward) -> Duration {
        let sent = self
            .beats
            .iter()
            .rev()
            .find(|(seq, _)| *seq == forward.beat);
        let Some((_, sent)) = sent else {
            return Duration::ZERO;
        };
        let span = forward.since_us.saturating_add(forward.left_us);
        now.mono.until(*sent + Duration::from_micros(span))
    }

    /// Takes in an owner's word. One that comes from a peer where the request is not any more is
    /// dropped: another owner may have started the job since.
    pub(super) fn on_reply(&mut self, now: Now, link: LinkId, reply: wire::Reply) {
        let id = reply.request;
        let there = |r: &Request| r.route == Route::Link(link);
        if !self.requests.get(&id).is_some_and(there) {
            return self.waste("late-reply");
        }
        if reply.elsewhere {
            self.waste("elsewhere");
            self.park(now, id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.pause = now.mono + TURNED_AWAY;
            }
            self.read_due = now.mono;
            return;
        }
        let verdict = verdict_of(reply);
        self.respond(id, verdict);
    }

    /// Requests that were with a peer whose link is down look for the owner anew.
    pub(super) fn park_at(&mut self, now: Now, link: LinkId) {
        let stranded: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| r.route == Route::Link(link))
            .map(|(id, _)| *id)
            .collect();
        for id in stranded {
            self.park(now, id);
        }
    }

    /// Requests whose owner is now known to be another than the one they are with.
    pub(super) fn reroute(&mut self, now: Now) {
        let moved: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| self.misrouted(r))
            .map(|(id, _)| *id)
            .collect();
        for id in moved {
            self.park(now, id);
        }
        for request in self.requests.values_mut() {
            request.pause = Mono(0);
        }
        self.route_parked(now);
    }

    fn misrouted(&self, request: &Request) -> bool {
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
            self.route(now, id);
        }
    }

    /// Looks after requests that wait for an owner.
    pub(super) fn tend_requests(&mut self, now: Now) {
        self.tend_held(now);
        self.route_parked(now);
    }

    /// Ends requests that have waited too long.
    pub(super) fn end_late_requests(&mut self, now: Now) {
        let over: Vec<(u64, &'static str)> = self
            .requests
            .iter()
            .filter_map(|(id, r)| Some((*id, self.over(now, r)?)))
            .collect();
        for (id, detail) in over {
            self.no_owner(id, detail);
        }
    }

    fn over(&self, now: Now, request: &Request) -> Option<&'static str> {
        let late = now.mono >= request.deadline + LATE;
        match request.route {
            Route::Parked if now.mono >= request.parked + self.setup.park => {
                Some("no entry could take the job over in time")
            }
            Route::Parked if now.mono >= request.deadline => {
                Some("no entry could take the job over before its deadline")
            }
            Route::Link(_) if late => Some("the job's owner did not answer"),
            Route::Own if late && now.mono >= request.arrived + LATE => {
                Some("the job did not end in time")
            }
            _ => None,
        }
    }
}

fn wire_reply(request: u64, verdict: Verdict) -> wire::Reply {
    match verdict {
        Verdict::Complete(body) => wire::Reply {
            request,
            outcome: Outcome::Complete.code(),
            body,
            ..Default::default()
        },
        Verdict::Other(refusal) => wire::Reply {
            request,
            outcome: refusal.outcome.map_or(0, Outcome::code),
            cause: refusal.cause.name().to_owned(),
            retry_ms: refusal.retry_ms,
            detail: refusal.detail,
            ..Default::default()
        },
    }
}

fn verdict_of(reply: wire::Reply) -> Verdict {
    let outcome = Outcome::from_code(reply.outcome);
    if outcome == Some(Outcome::Complete) {
        return Verdict::Complete(reply.body);
    }
    Verdict::Other(Refusal {
        outcome,
        cause: Cause::from_name(&reply.cause).unwrap_or(Cause::Unreadable),
        detail: reply.detail,
        retry_ms: reply.retry_ms,
    })
}
