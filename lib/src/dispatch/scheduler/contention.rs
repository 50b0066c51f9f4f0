//! Placement and admission while jobs compete for capacity.
//!
//! Collects the inputs of the decisions in [`crate::dispatch::contention`] from the scheduler's state, and
//! applies their results. Capacity and demand are CPU in thousandths of a core.

use std::time::Duration;

use super::Scheduler;
use super::jobs::Job;
use super::jobs::Phase;
use super::jobs::TaskState;
use super::placement::BEGUN;
use super::placement::LATE;
use super::placement::UNDERSERVED;
use crate::clock::millis;
use crate::dispatch::contention::admission;
use crate::dispatch::contention::admission::AdmissionDecision;
use crate::dispatch::contention::backlog::Backlog;
use crate::dispatch::contention::backlog::PeerBacklogs;
use crate::dispatch::contention::backlog::Waiting;
use crate::dispatch::contention::release::Forecast;
use crate::dispatch::contention::release::ReleaseRate;
use crate::dispatch::contention::retry::RetrySchedule;
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

/// The cause for refusing a job at arrival because the work ahead of it leaves no capacity in time.
pub(super) const BACKLOG: &str = "backlog";

/// The class of unstarted jobs of the most urgent priority. Each lower priority has the next class.
const FIRST_PRIORITY_CLASS: u8 = UNDERSERVED + 1;
/// Priorities from this one on share one class.
const LAST_PRIORITY: u32 = 200;
/// The minimum interval between sums of the local backlog for peers. Summing takes time that the entry needs
/// to answer requests.
const SUM_INTERVAL: Duration = Duration::from_millis(10);
/// The weight of the newest job in the moving mean of the capacity that jobs need.
const NEED_WEIGHT: f64 = 0.05;

/// The contention state of a scheduler: backlogs, the rate at which capacity is released, and served shares.
#[derive(Clone, Debug, Default)]
pub(super) struct Contention {
    peers: PeerBacklogs,
    /// The local backlog, as of `summed_at`.
    own: Backlog,
    summed_at: Mono,
    release_rate: ReleaseRate,
    shares: Shares,
    retry_schedule: RetrySchedule,
    /// The moving mean of the CPU that a job needs to begin.
    mean_need: f64,
    /// Since when work has been waiting, here or at a peer. Cleared once the backlog counts as cleared.
    waiting_since: Option<Mono>,
    /// When work was last waiting, here or at a peer.
    last_waiting: Mono,
    /// Whether the present backlog was logged.
    logged: bool,
}

impl Contention {
    /// Returns the class of a job that has not begun.
    pub fn class(&self, job: &Job, policy: &policy::Contention) -> u8 {
        let kind = self.shares.kind(job.priority, job.first_steps_cpu());
        if self.shares.is_underserved(kind, policy) {
            return UNDERSERVED;
        }
        FIRST_PRIORITY_CLASS + job.priority.min(LAST_PRIORITY) as u8
    }

    /// Records a run that has ended by itself.
    pub fn record_run(&mut self, cpu_milli: u32, ran: Duration) {
        self.release_rate.record(cpu_milli, ran);
    }

    /// Drops the backlog of a peer whose link is lost.
    pub fn forget(&mut self, peer: &str) {
        self.peers.forget(peer);
    }
}

/// Free and used CPU of the executors, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct CpuUsage {
    /// What is free at the executors of the cell where tasks may be placed now.
    free: u64,
    /// What is in use at all linked executors that are ready and not evacuated.
    used: u64,
}

impl Scheduler {
    /// Returns whether jobs are placed and admitted by contention, which counts the backlogs of peers.
    pub(super) fn is_contention_on(&self) -> bool {
        self.setup.policy.contention.on
    }

    /// Places waiting jobs in the order of their classes, for as long as the round lasts. A job that does not
    /// fit does not end the round.
    pub(super) fn place_by_class(&mut self) {
        let policy = self.setup.policy;
        let most = policy.admission.round_jobs as usize;
        let numbers: Vec<JobNumber> = self.waiting.iter().take(most).map(|w| w.2).collect();
        self.record_unheard_peers();
        self.refresh_cell();
        self.allowed_executors = None;
        let free = self.free_cell_cpu();
        let mut round = Round::new(self.now, free, policy.contention.round_misses);
        // Summed once a round, because summing takes time that the entry needs to answer requests.
        let backlog = self.competing_backlog();
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
            self.place_or_yield(number, &mut round, &backlog);
        }
    }

    /// Tries to place a job, unless it yields to others. `backlog` is what waits at peers.
    fn place_or_yield(&mut self, number: JobNumber, round: &mut Round, backlog: &Backlog) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let pending_job = self.pending_job(job);
        let elsewhere = backlog.before(job.priority);
        if let Some(pending_job) = &pending_job
            && round.decide(pending_job, elsewhere) == RoundDecision::Yield
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
        if let Some(pending_job) = &pending_job
            && !confined
        {
            match after < before {
                true => round.record_partial(),
                // The job is held back for better workers. The jobs behind it may use only the others.
                false if self.reserve_executors(number) => {}
                false => round.record_miss(pending_job),
            }
        }
    }

    /// Returns the round's view of a job that has not begun; `None` for a job that has. The work of a begun
    /// job is lost unless it is finished, so it yields to no other job.
    fn pending_job(&self, job: &Job) -> Option<PendingJob> {
        let (class, latest) = job.waiting_key?;
        if class == BEGUN || class == LATE {
            return None;
        }
        let policy = &self.setup.policy;
        let patience = job.arrived.until(latest);
        Some(PendingJob {
            class,
            underserved: class == UNDERSERVED,
            min_cpu: self.min_start_cpu(job),
            total_cpu: job.ready_cpu(),
            yields_until: job.arrived + patience.mul_f64(policy.contention.pass_share),
        })
    }

    /// Returns the CPU that must be free for a job to begin.
    fn min_start_cpu(&self, job: &Job) -> u64 {
        if self.is_wide(job) {
            return job.min_task_cpu();
        }
        (job.ready_cpu() as f64 * self.setup.policy.admission.begin_share) as u64
    }

    /// Returns the backlog of peers that competes for the executors of this scheduler.
    fn competing_backlog(&self) -> Backlog {
        if self.contention.peers.is_empty() || !self.has_single_service() {
            return Backlog::default();
        }
        self.peer_backlog()
    }

    /// Returns the backlog of peers by their recent reports, less what is estimated to have been placed
    /// since.
    fn peer_backlog(&self) -> Backlog {
        let age = self.setup.policy.contention.told_age;
        let rate = self.contention.release_rate.rate(self.cpu_usage().used);
        let peers = &self.contention.peers;
        peers.estimate_at(self.now, age, rate.unwrap_or_default())
    }

    /// Returns whether all linked executors run the same service. If not, the backlog of a peer may wait for
    /// other executors than a job here, so it does not count.
    fn has_single_service(&self) -> bool {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let mut services = linked.map(|e| &e.profile.service).filter(|s| !s.is_empty());
        let Some(first) = services.next() else {
            return false;
        };
        services.all(|s| s == first)
    }

    /// Returns the free CPU in the cell at executors where tasks may be placed now.
    fn free_cell_cpu(&self) -> u64 {
        let cell = self.cell.executors.iter().map(|key| &self.executors[*key]);
        let open = cell.filter(|e| e.accepts_tasks(self.now, &e.profile.service));
        open.map(|e| e.free.cpu_milli.max(0) as u64).sum()
    }

    /// Returns the free CPU in the cell, and the CPU in use at all linked executors that are ready.
    fn cpu_usage(&self) -> CpuUsage {
        let linked = self.executors.values().filter(|e| e.link.is_some());
        let ready = linked.filter(|e| e.report.ready && !e.evacuated);
        let used = ready.map(|e| i64::from(e.capacity.cpu_milli) - e.free.cpu_milli.max(0));
        CpuUsage {
            free: self.free_cell_cpu(),
            used: used.map(|cpu| cpu.max(0) as u64).sum(),
        }
    }

    /// Returns whether an arriving job would start so late, by a margin, that it has to be refused. A job
    /// that may have run before, here or at a peer, is never refused for that: a refusal would state that
    /// nothing of it has run. Underserved kinds of jobs are not refused either.
    pub(super) fn would_start_late(&self, job: &Job) -> bool {
        let may_have_run = self.ended.get(&job.request.number).is_some_and(|e| e.began);
        if !self.is_contention_on() || may_have_run || !self.has_single_service() {
            return false;
        }
        let policy = &self.setup.policy.contention;
        let class = self.contention.class(job, policy);
        let (Some(forecast), Some(latest)) = (self.forecast(job, class), job.latest_start()) else {
            return false;
        };
        let slack = self.now.until(latest);
        class != UNDERSERVED
            && admission::decide_admission(&forecast, slack, policy) == AdmissionDecision::Refuse
    }

    /// Returns the forecast of when a job of a class would start; `None` while too little is known.
    fn forecast(&self, job: &Job, class: u8) -> Option<Forecast> {
        let usage = self.cpu_usage();
        let latest = job.latest_start()?;
        let waiting_key = (class, latest, job.request.number);
        let ahead = self.waiting.range(..waiting_key).map(|w| w.2);
        let ahead = ahead.filter_map(|number| self.jobs.get(&number));
        Some(Forecast {
            own: ahead.map(Job::ready_cpu).sum(),
            peers: self.peer_backlog().up_to(job.priority),
            need: self.min_start_cpu(job),
            free: usage.free,
            rate: self.contention.release_rate.rate(usage.used)?,
        })
    }

    /// Records that a job has begun (`served`), or was refused or given up before it did.
    pub(super) fn record_share(&mut self, job: &Job, served: bool) {
        if !self.is_contention_on() {
            return;
        }
        let need = job.first_steps_cpu();
        let state = &mut self.contention;
        let weight = if state.mean_need == 0.0 {
            1.0
        } else {
            NEED_WEIGHT
        };
        state.mean_need += weight * (need as f64 - state.mean_need);
        let policy = &self.setup.policy.contention;
        let shares = &mut state.shares;
        shares.record(self.now, job.priority, need, served, policy);
    }

    /// Returns the retry delay of a caller that is refused, in milliseconds. Under contention it covers the
    /// time that the present backlog takes, and spreads the callers by the rate at which capacity is
    /// released.
    pub(super) fn retry_delay_ms(&mut self) -> u32 {
        let admission = self.setup.policy.admission;
        let base = admission.retry_delay_ms(&mut self.rng);
        if !self.is_contention_on() {
            return base;
        }
        let policy = self.setup.policy.contention;
        let Some(rate) = self.contention.release_rate.rate(self.cpu_usage().used) else {
            return base;
        };
        let own = self.contention.own.cpu_milli();
        let waiting = self.peer_backlog().cpu_milli().saturating_add(own);
        let wait = Duration::from_secs_f64((waiting as f64 / rate).min(60.0));
        let linked = self.peers.values().filter(|p| p.link.is_some()).count();
        let part = rate * policy.return_share / (1 + linked) as f64;
        let gap = Duration::from_secs_f64((self.contention.mean_need / part).min(60.0));
        let base = Duration::from_millis(u64::from(base));
        let retry_schedule = &mut self.contention.retry_schedule;
        millis(retry_schedule.schedule_retry(self.now, wait, gap, base, &policy)) as u32
    }

    /// Sums up the local backlog, without jobs that are late.
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
        self.contention.summed_at = self.now;
    }

    /// Returns the local backlog as it is sent to peers; empty if neither contention nor balancing is on.
    pub(super) fn backlog_update(&mut self) -> Vec<proto::Backlog> {
        if !self.is_contention_on() && !self.setup.policy.balance.on {
            return Vec::new();
        }
        if self.now.since(self.contention.summed_at) >= SUM_INTERVAL {
            self.sum_backlog();
        }
        self.contention.own.proto()
    }

    /// Records the backlog that a peer has reported, if contention is on.
    pub(super) fn record_peer_backlog(&mut self, peer: &str, rows: &[proto::Backlog]) {
        if self.is_contention_on() {
            let backlog = Backlog::from_proto(rows);
            self.contention.peers.record(self.now, peer, backlog);
        }
    }

    /// Returns the local backlog and that of all schedulers together, for metrics.
    pub fn backlogs(&self) -> [Backlog; 2] {
        let own = self.contention.own.clone();
        let mut all = self.peer_backlog();
        all.add_all(&own);
        [own, all]
    }

    /// Logs when work has been waiting for longer than a moment, and when the backlog has been cleared for
    /// good.
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
            state.last_waiting = now;
            let since = *state.waiting_since.get_or_insert(now);
            if !state.logged && now.since(since) >= self.setup.policy.contention.told_age {
                state.logged = true;
                let detail = format!(
                    "here {}; fleet {}",
                    format_backlog(&own),
                    format_backlog(&all)
                );
                self.log(Kind::BacklogGrew, detail);
            }
        } else if !state.logged {
            state.waiting_since = None;
        } else if now.since(state.last_waiting) >= settle {
            let lasted = millis(
                state
                    .waiting_since
                    .map_or(Duration::ZERO, |at| state.last_waiting.since(at)),
            );
            state.waiting_since = None;
            state.logged = false;
            self.log(Kind::BacklogCleared, format!("it lasted {lasted} ms"));
        }
    }

    /// Records that a job was refused or given up. If it had not begun, logs what was ahead of it.
    pub(super) fn record_rejection(&mut self, job: &Job) {
        if self.is_contention_on() && !job.began {
            self.log_work_ahead(job);
            self.record_share(job, false);
        }
    }

    /// Logs the work ahead of a job, and when the job would have started.
    fn log_work_ahead(&mut self, job: &Job) {
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

/// Formats a backlog for a log line.
fn format_backlog(backlog: &Backlog) -> String {
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
    /// Returns the demand and the expected time of each task that is ready to be placed.
    fn ready_tasks(&self) -> impl Iterator<Item = (Demand, Duration)> {
        let active = self.phase == Phase::Active;
        let ready = self.tasks.iter();
        let ready = ready.filter(move |t| active && t.state == TaskState::Ready);
        ready.map(|t| {
            let step = t.step as usize;
            (self.request.steps[step].demand, self.expected[step])
        })
    }

    /// Returns the CPU that its ready tasks need, in thousandths of a core.
    pub(super) fn ready_cpu(&self) -> u64 {
        self.ready_tasks()
            .map(|(d, _)| u64::from(d.cpu_milli))
            .sum()
    }

    /// Returns the work of its ready tasks, in thousandths of a core-second. The values come from the caller, so
    /// the sum saturates.
    fn ready_work(&self) -> u64 {
        let work = self
            .ready_tasks()
            .map(|(d, expected)| u64::from(d.cpu_milli).saturating_mul(millis(expected)));
        work.fold(0, u64::saturating_add) / 1000
    }

    /// Returns the CPU that the smallest of its ready tasks needs.
    fn min_task_cpu(&self) -> u64 {
        let min_cpu = self
            .ready_tasks()
            .map(|(d, _)| u64::from(d.cpu_milli))
            .min();
        min_cpu.unwrap_or_default()
    }

    /// Returns the CPU that its first steps need, in thousandths of a core.
    fn first_steps_cpu(&self) -> u64 {
        let first = self.request.steps.iter().filter(|s| s.after.is_empty());
        let cpu = first.map(|s| u64::from(s.count) * u64::from(s.demand.cpu_milli));
        cpu.sum()
    }
}
