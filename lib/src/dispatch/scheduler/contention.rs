//! Jobs that compete for room, as the scheduler sees them. The decisions stand in
//! [`crate::dispatch::contention`]; here is what they are asked with.

use std::time::Duration;

use super::Scheduler;
use super::jobs::Job;
use super::jobs::Phase;
use super::jobs::TaskState;
use super::placing::BEGUN;
use super::placing::LATE;
use super::placing::UNDERSERVED;
use crate::clock::millis;
use crate::dispatch::contention::arrival;
use crate::dispatch::contention::arrival::AdmissionDecision;
use crate::dispatch::contention::backlog::Backlog;
use crate::dispatch::contention::backlog::PeerBacklogs;
use crate::dispatch::contention::backlog::Waiting;
use crate::dispatch::contention::drain::Forecast;
use crate::dispatch::contention::drain::ReleaseRate;
use crate::dispatch::contention::returning::RetrySchedule;
use crate::dispatch::contention::round::PendingJob;
use crate::dispatch::contention::round::Round;
use crate::dispatch::contention::round::RoundDecision;
use crate::dispatch::contention::shares::Shares;
use crate::dispatch::model::Demand;
use crate::dispatch::model::JobNumber;
use crate::dispatch::policy;
use crate::event::Kind;
use crate::prelude::Mono;
use crate::protos::dispatch as proto;

/// Why a job is refused as it comes: what is ahead of it leaves no room in time.
pub(super) const BACKLOG: &str = "backlog";

/// The class of the most urgent jobs that have not begun; those of each priority below have the next one.
const FIRST_CLASS: u8 = UNDERSERVED + 1;
/// Priorities beyond this are one class.
const LAST_PRIORITY: u32 = 200;
/// What waits here is summed anew for peers this often at most: summing takes time that the entry needs to answer.
const SUM_GAP: Duration = Duration::from_millis(10);
/// The weight of the newest job in what is learned of the room that jobs need.
const NEED_WEIGHT: f64 = 0.05;

/// What a scheduler knows of jobs that compete for room.
#[derive(Clone, Debug, Default)]
pub(super) struct Contention {
    peers: PeerBacklogs,
    own: Backlog,
    summed: Mono,
    drain: ReleaseRate,
    shares: Shares,
    returns: RetrySchedule,
    /// The room that a job needs in the mean, in thousandths of a core.
    need: f64,
    /// Since when work has waited somewhere without a break.
    since: Option<Mono>,
    /// When work last waited somewhere.
    last: Mono,
    /// Whether operators have been told.
    told: bool,
}

impl Contention {
    /// The class of a job that has not begun.
    pub fn class(&self, job: &Job, policy: &policy::Contention) -> u8 {
        let kind = self.shares.kind(job.priority, job.first_cpu());
        if self.shares.is_underserved(kind, policy) {
            return UNDERSERVED;
        }
        FIRST_CLASS + job.priority.min(LAST_PRIORITY) as u8
    }

    /// A run has ended by itself.
    pub fn note_run(&mut self, cpu_milli: u32, ran: Duration) {
        self.drain.note(cpu_milli, ran);
    }

    /// The link to a peer is lost.
    pub fn forget(&mut self, peer: &str) {
        self.peers.forget(peer);
    }
}

/// Room of the executors of a service, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    /// What is free where tasks may be placed.
    free: u64,
    /// What is in use at all executors that are linked.
    used: u64,
}

impl Scheduler {
    /// Whether what waits elsewhere counts.
    pub(super) fn is_contention_on(&self) -> bool {
        self.setup.policy.contention.on
    }

    /// Places what there is room for: by class, and going on behind jobs that do not fit.
    pub(super) fn place_by_class(&mut self) {
        let policy = self.setup.policy;
        let most = policy.admission.round_jobs as usize;
        let numbers: Vec<JobNumber> = self.waiting.iter().take(most).map(|w| w.2).collect();
        self.note_unheard_peers();
        self.refresh_cell();
        self.allowed_executors = None;
        let free = self.free_room();
        let mut round = Round::new(self.now, free, policy.contention.round_misses);
        // Summed once a round: it takes time that the entry needs to answer.
        let told = self.shared_backlog();
        for number in numbers {
            if round.is_over() {
                break;
            }
            if self
                .jobs
                .get(&number)
                .is_some_and(|j| self.needs_reclaim(j))
            {
                self.claim(number);
                self.queue_job(number);
                continue;
            }
            self.take_turn(number, &mut round, &told);
        }
    }

    /// Tries to place a job, unless it yields to others.
    fn take_turn(&mut self, number: JobNumber, round: &mut Round, told: &Backlog) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let entrant = self.entrant(job);
        let elsewhere = told.before(job.priority);
        if let Some(entrant) = &entrant
            && round.decide(entrant, elsewhere) == RoundDecision::Yield
        {
            return;
        }
        let confined = self.bulkheads.confines(&job.request.queue);
        let before = job.ready_cpu();
        self.place_job(number);
        let after = self.jobs.get(&number).map_or(0, Job::ready_cpu);
        round.take(before.saturating_sub(after));
        if after == 0 {
            return;
        }
        self.borrow_executors();
        if let Some(entrant) = &entrant
            && !confined
        {
            match after < before {
                true => round.record_partial(),
                // It waits by choice for a better worker, which the jobs behind it leave alone.
                false if self.leaves_room(number) => {}
                false => round.record_miss(entrant),
            }
        }
    }

    /// A job that has not begun, as a round sees it; none for others: what they have used is lost if they are not
    /// finished, so they yield to nobody.
    fn entrant(&self, job: &Job) -> Option<PendingJob> {
        let (class, latest) = job.waiting_key?;
        if class == BEGUN || class == LATE {
            return None;
        }
        let policy = &self.setup.policy;
        let patience = job.arrived.until(latest);
        Some(PendingJob {
            class,
            underserved: class == UNDERSERVED,
            min_cpu: self.least_room(job),
            total_cpu: job.ready_cpu(),
            yields_until: job.arrived + patience.mul_f64(policy.contention.pass_share),
        })
    }

    /// The room with which a job begins, in thousandths of a core.
    fn least_room(&self, job: &Job) -> u64 {
        if self.is_wide(job) {
            return job.least_cpu();
        }
        (job.ready_cpu() as f64 * self.setup.policy.admission.begin_share) as u64
    }

    /// What waits at peers for room that they share with this scheduler.
    fn shared_backlog(&self) -> Backlog {
        if self.contention.peers.is_empty() || !self.shares_room() {
            return Backlog::default();
        }
        self.told_backlog()
    }

    /// What waits at peers, by what they have told lately.
    fn told_backlog(&self) -> Backlog {
        let age = self.setup.policy.contention.told_age;
        let rate = self.contention.drain.rate(self.room().used);
        let peers = &self.contention.peers;
        peers.estimate_at(self.now, age, rate.unwrap_or_default())
    }

    /// Whether all executors run one service. Where they don't, what peers tell may wait for other executors than a
    /// job here, so it does not count.
    fn shares_room(&self) -> bool {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let mut services = linked.map(|e| &e.profile.service).filter(|s| !s.is_empty());
        let Some(first) = services.next() else {
            return false;
        };
        services.all(|s| s == first)
    }

    fn free_room(&self) -> u64 {
        let near = self.cell.executors.iter().map(|key| &self.executors[*key]);
        let open = near.filter(|e| e.accepts_tasks(self.now, &e.profile.service));
        open.map(|e| e.free.cpu_milli.max(0) as u64).sum()
    }

    fn room(&self) -> Room {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let ready = linked.filter(|e| e.report.ready && !e.evacuated);
        let used = ready.map(|e| i64::from(e.capacity.cpu_milli) - e.free.cpu_milli.max(0));
        Room {
            free: self.free_room(),
            used: used.map(|cpu| cpu.max(0) as u64).sum(),
        }
    }

    /// Whether a job that comes would start too late by a margin. One that may have run elsewhere is never refused for
    /// that: it could not be said that it has not run.
    pub(super) fn would_start_late(&self, job: &Job) -> bool {
        let may_have_run = self.ended.get(&job.request.number).is_some_and(|e| e.began);
        if !self.is_contention_on() || may_have_run || !self.shares_room() {
            return false;
        }
        let policy = &self.setup.policy.contention;
        let class = self.contention.class(job, policy);
        let (Some(forecast), Some(latest)) = (self.forecast(job, class), job.latest_start()) else {
            return false;
        };
        let slack = self.now.until(latest);
        class != UNDERSERVED
            && arrival::decide_admission(&forecast, slack, policy) == AdmissionDecision::Refuse
    }

    /// When a job of a class would start; none while too little is known.
    fn forecast(&self, job: &Job, class: u8) -> Option<Forecast> {
        let room = self.room();
        let latest = job.latest_start()?;
        let waiting_key = (class, latest, job.request.number);
        let ahead = self.waiting.range(..waiting_key).map(|w| w.2);
        let ahead = ahead.filter_map(|number| self.jobs.get(&number));
        Some(Forecast {
            own: ahead.map(Job::ready_cpu).sum(),
            peers: self.told_backlog().up_to(job.priority),
            need: self.least_room(job),
            free: room.free,
            rate: self.contention.drain.rate(room.used)?,
        })
    }

    /// A job has begun, or was turned away before it did.
    pub(super) fn note_share(&mut self, job: &Job, served: bool) {
        if !self.is_contention_on() {
            return;
        }
        let need = job.first_cpu();
        let state = &mut self.contention;
        let weight = if state.need == 0.0 { 1.0 } else { NEED_WEIGHT };
        state.need += weight * (need as f64 - state.need);
        let policy = &self.setup.policy.contention;
        let shares = &mut state.shares;
        shares.note(self.now, job.priority, need, served, policy);
    }

    /// How long a caller that is refused stays away, in milliseconds.
    pub(super) fn retry_delay_ms(&mut self) -> u32 {
        let admission = self.setup.policy.admission;
        let base = admission.retry_delay_ms(&mut self.rng);
        if !self.is_contention_on() {
            return base;
        }
        let policy = self.setup.policy.contention;
        let Some(rate) = self.contention.drain.rate(self.room().used) else {
            return base;
        };
        let waiting = self.told_backlog().cpu_milli() + self.contention.own.cpu_milli();
        let wait = Duration::from_secs_f64((waiting as f64 / rate).min(60.0));
        let linked = self.peers.values().filter(|p| p.link.is_some()).count();
        let part = rate * policy.return_share / (1 + linked) as f64;
        let gap = Duration::from_secs_f64((self.contention.need / part).min(60.0));
        let base = Duration::from_millis(u64::from(base));
        let returns = &mut self.contention.returns;
        millis(returns.schedule_retry(self.now, wait, gap, base, &policy)) as u32
    }

    /// Sums what waits here.
    fn sum_backlog(&mut self) {
        let mut own = Backlog::default();
        let waiting = self.waiting.iter().filter(|w| w.0 != LATE);
        for job in waiting.filter_map(|w| self.jobs.get(&w.2)) {
            let waiting = Waiting {
                cpu_milli: job.ready_cpu(),
                work_milli: job.ready_work(),
                oldest: self.now.since(job.arrived),
            };
            own.add(job.priority, waiting);
        }
        self.contention.own = own;
        self.contention.summed = self.now;
    }

    /// What peers are told of what waits here.
    pub(super) fn backlog_update(&mut self) -> Vec<proto::Backlog> {
        if !self.is_contention_on() && !self.setup.policy.balance.on {
            return Vec::new();
        }
        if self.now.since(self.contention.summed) >= SUM_GAP {
            self.sum_backlog();
        }
        self.contention.own.proto()
    }

    /// A peer tells what waits at it.
    pub(super) fn record_peer_backlog(&mut self, peer: &str, rows: &[proto::Backlog]) {
        if self.is_contention_on() {
            let backlog = Backlog::from_proto(rows);
            self.contention.peers.note(self.now, peer, backlog);
        }
    }

    /// What waits here and in the whole fleet, for metrics.
    pub fn backlogs(&self) -> [Backlog; 2] {
        let own = self.contention.own.clone();
        let mut all = self.told_backlog();
        all.add_all(&own);
        [own, all]
    }

    /// Tells operators when work begins to wait for longer than a moment, and when none does any more.
    pub(super) fn watch_contention(&mut self) {
        if !self.is_contention_on() {
            return;
        }
        self.sum_backlog();
        let [own, all] = self.backlogs();
        let now = self.now;
        let settle = self.setup.policy.contention.share_memory;
        let state = &mut self.contention;
        if !all.is_empty() {
            state.last = now;
            let since = *state.since.get_or_insert(now);
            if !state.told && now.since(since) >= self.setup.policy.contention.told_age {
                state.told = true;
                let detail = format!("here {}; fleet {}", in_words(&own), in_words(&all));
                self.log(Kind::BacklogGrew, detail);
            }
        } else if !state.told {
            state.since = None;
        } else if now.since(state.last) >= settle {
            let lasted = millis(
                state
                    .since
                    .map_or(Duration::ZERO, |at| state.last.since(at)),
            );
            state.since = None;
            state.told = false;
            self.log(Kind::BacklogCleared, format!("it lasted {lasted} ms"));
        }
    }

    /// A job was turned away: what was ahead of it is told to operators if it had not begun.
    pub(super) fn record_rejection(&mut self, job: &Job) {
        if self.is_contention_on() && !job.began {
            self.log_ahead(job);
            self.note_share(job, false);
        }
    }

    fn log_ahead(&mut self, job: &Job) {
        let policy = self.setup.policy.contention;
        let class = self.contention.class(job, &policy);
        let Some(forecast) = self.forecast(job, class) else {
            return;
        };
        let peers = &self.contention.peers;
        let largest = peers.largest(self.now, policy.told_age, job.priority);
        let largest = largest.map_or(String::new(), |(name, cpu)| {
            format!(", most at {name}: {cpu}")
        });
        let slack = job.latest_start().map(|at| millis(self.now.until(at)));
        let detail = format!(
            "{} priority {} needs {} milli-cores, {} free; ahead {} here, {} at peers{largest}; {} come free a \
             second: starts in {} ms, could wait {} ms",
            job.request.number,
            job.priority,
            forecast.need,
            forecast.free,
            forecast.own,
            forecast.peers,
            forecast.rate as u64,
            millis(forecast.wait()),
            slack.unwrap_or_default(),
        );
        self.log(Kind::WorkAhead, detail);
    }
}

/// A backlog for a log line.
fn in_words(backlog: &Backlog) -> String {
    let row = |(priority, w): (u32, Waiting)| {
        format!(
            "{} milli-cores of priority {priority}, oldest {} ms",
            w.cpu_milli,
            millis(w.oldest)
        )
    };
    let rows: Vec<String> = backlog.rows().map(row).collect();
    if rows.is_empty() {
        return "nothing".to_owned();
    }
    rows.join(", ")
}

impl Job {
    fn ready(&self) -> impl Iterator<Item = (Demand, Duration)> {
        let active = self.phase == Phase::Active;
        let ready = self.tasks.iter();
        let ready = ready.filter(move |t| active && t.state == TaskState::Ready);
        ready.map(|t| {
            let step = t.step as usize;
            (self.request.steps[step].demand, self.expected[step])
        })
    }

    /// The room that its tasks need which are to be placed, in thousandths of a core.
    pub(super) fn ready_cpu(&self) -> u64 {
        self.ready().map(|(d, _)| u64::from(d.cpu_milli)).sum()
    }

    /// The work of those tasks, in thousandths of a core-second.
    fn ready_work(&self) -> u64 {
        let work = self
            .ready()
            .map(|(d, expected)| u64::from(d.cpu_milli) * millis(expected));
        work.sum::<u64>() / 1000
    }

    /// The room that the smallest of those tasks needs.
    fn least_cpu(&self) -> u64 {
        let min_cpu = self.ready().map(|(d, _)| u64::from(d.cpu_milli)).min();
        min_cpu.unwrap_or_default()
    }

    /// The room that it needs to begin, in thousandths of a core.
    fn first_cpu(&self) -> u64 {
        let first = self.request.steps.iter().filter(|s| s.after.is_empty());
        let cpu = first.map(|s| u64::from(s.count) * u64::from(s.demand.cpu_milli));
        cpu.sum()
    }
}
