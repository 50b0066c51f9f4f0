//! The figures that decide: when a job begins, where its tasks go, what is waited for and what is
//! given up. They stand here and nowhere else, each with its unit, its range and where it comes
//! from; the `policy` section of the settings overrides them. `docs/POLICY.md` tells what each
//! mechanism was measured to be worth, `docs/SETTINGS.md` lists the fields.
//!
//! A mechanism with a switch is on unless its switch is false, so that anybody can repeat the
//! measurement of what it is worth.

mod balance;
mod contention;
mod figure;
mod preemption;
mod recovery;
mod speeds;

use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Deserializer;
use serde_json::Value;

use crate::dispatch::policy::figure::Figure;
use crate::dispatch::policy::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

pub use crate::dispatch::policy::balance::Balance;
pub use crate::dispatch::policy::contention::Contention;
pub use crate::dispatch::policy::figure::Row;
pub use crate::dispatch::policy::preemption::Preemption;
pub use crate::dispatch::policy::recovery::Recovery;
pub use crate::dispatch::policy::speeds::Speeds;

section! {
    /// When a job begins, and when it is refused or given up.
    Admission ("admission") {
        /// The share of a job's spare time that may pass before it begins. Measured: at 1 jobs that begin late keep others from being in time.
        sure_share: ratio = 0.6, 0.0..=1.0;
        /// How long the slowest ordinary worker takes against the mean one; what is left of `extension` above it is spare time.
        slow_allowance: ratio = 1.25, 1.0..=10.0;
        /// A job is worth something up to this many times its objective. From the users' pages.
        late_factor: ratio = 3.0, 1.0..=10.0;
        /// What of the objective passes on the way from the caller and back to it. Twice the longest way seen.
        travel: ms = 12, 0..=10_000;
        /// A fresh job begins once this share of its tasks finds room; the rest goes before all others.
        begin_share: ratio = 0.6, 0.0..=1.0;
        /// A job that takes more than this share of all workers is placed piece by piece.
        wide_share: ratio = 0.15, 0.0..=1.0;
        /// A late job of which no more than this share waits is finished before others begin: it is worth a fifth of what it was.
        finish_share: ratio = 0.25, 0.0..=1.0;
        /// A late job of which more waits is given up after this long.
        late_wait: ms = 60, 0..=60_000;
        /// Jobs looked at in one round of placing, so that a long queue costs little.
        round_jobs: count = 24, 1..=10_000;
        /// Callers that are refused come back after this long at the earliest.
        retry_base: ms = 400, 0..=60_000;
        /// They are spread over this long.
        retry_spread: ms = 800, 1..=60_000;
        /// The weight of the newest reading in what is learned of the times of a queue's tasks.
        learn_weight: ratio = 0.05, 0.0..=1.0;
    }
}

section! {
    /// Which worker a task goes to. Scores are in thousandths of a free core.
    Placement ("placement") {
        /// What a worker in the own zone is ahead of others.
        own_zone: ratio = 800.0, 0.0..=1_000_000.0;
        /// What a worker near the task's data is ahead of others.
        near_data: ratio = 6000.0, 0.0..=1_000_000.0;
        /// What a worker on trial is behind others.
        trial_penalty: ratio = 2000.0, 0.0..=1_000_000.0;
        /// The choice among workers is spread by this, so that schedulers with the same reports choose differently.
        jitter: ratio = 900.0, 0.0..=1_000_000.0;
        /// A job's tasks go to at least so many workers, if there is room.
        split: count = 4, 1..=10_000;
        /// Reports older than this do not count. Three and a half heartbeats.
        report_age: ms = 350, 1..=60_000;
        /// A start may be this late at least, so that the way to the executor does not use it up.
        least_slack: ms = 25, 0..=60_000;
        /// A task that can't start within this time of its arrival at the executor is handed back, to go where there is room.
        room_wait: ms = 10, 0..=60_000;
    }
}

section! {
    /// How slow, failing and hanging workers are told, and when they are tried again.
    Health ("health") {
        /// A worker that takes this many times as long as the others gets tasks on trial only. Estimates are off by 40 %, the middle of seven by 20 %.
        slow_ratio: ratio = 2.0, 1.0..=100.0;
        /// Such a worker gets a task on trial this often, for each scheduler that is linked: the more there are, the less each tries.
        slow_trial: ms = 200, 1..=60_000;
        /// A worker's pace is the middle of the newest readings of so many jobs, so that one job with a wrong estimate does not make it slow.
        pace_jobs: count = 7, 1..=100;
        /// Older readings do not count while there are newer ones, so that a worker that was slow is soon seen to be well again.
        pace_age: ms = 1000, 1..=60_000;
        /// A run's pace is read from its progress over this long, or a tenth of its estimate if that is longer. Two holds.
        pace_span: ms = 40, 1..=60_000;
        /// A run at a slow worker is stopped and run elsewhere if it would be late here and in time there.
        move_slow: switch = true, ();
        /// How long it takes to stop it and to start it elsewhere. The worker's stop takes up to 50 ms, a few as a rule.
        move_time: ms = 25, 0..=60_000;
        /// So many failures of different jobs in a row make a worker suspect.
        failures: count = 3, 1..=1000;
        /// The shortest wait between tasks on trial at a suspect worker. It doubles with each trial that goes wrong.
        trial_first: ms = 400, 1..=60_000;
        /// The longest wait between them.
        trial_last: ms = 3200, 1..=600_000;
        /// A task without progress for this long, and a tenth of its estimate, hangs.
        stall: ms = 170, 1..=60_000;
    }
}

section! {
    /// When a task is held to take workers down. `lib/src/dispatch/crashes.rs` tells why.
    Crashes ("crashes") {
        /// Runs that began within this time before a worker crashed are suspects. The crashes seen came 10 ms after a start; twenty times that.
        window: ms = 200, 0..=60_000;
        /// A task is given up after so many crashes if it is the only suspect of the last. One crash proves nothing.
        proven: count = 2, 1..=1000;
        /// A task is given up after so many crashes, suspect or not. From the users' pages: two more starts after three are the most.
        most: count = 3, 1..=1000;
        /// The same, counting crashes that met a start without an answer: it may never have arrived. Three crashes, and the two more starts that are allowed.
        most_unsure: count = 5, 1..=1000;
    }
}

section! {
    /// When the tasks of a queue are confined to a part of the workers. `lib/src/dispatch/scheduler/bulkhead.rs` tells why.
    Bulkheads ("bulkheads") {
        /// Whether queues are confined at all.
        on: switch = true, ();
        /// Runs that began within this time before a crash share it. The crashes seen came 10 ms after a start. Measured: with 25 ms two of six runs with 65 workers never confined the queue.
        evidence: ms = 15, 0..=60_000;
        /// Crashes are counted over this long. A worker that has crashed is down for three seconds.
        span: ms = 3000, 1..=600_000;
        /// A queue is confined once so many crashes fall to it. One proves nothing; with 1 crashes that nobody is to blame for confine one.
        crashes: ratio = 2.0, 0.0..=1000.0;
        /// At least this share of all crashes must fall to it.
        most_of: ratio = 0.6, 0.0..=1.0;
        /// And it must have so much of what its part of the starts does not explain: crashes that nobody is to blame for fall to queues by their starts.
        beyond: ratio = 0.3, 0.0..=1.0;
        /// It is not confined where all others together have less than this part of the starts.
        least_others: ratio = 0.02, 0.0..=1.0;
        /// The share of the workers that it is confined to.
        share: ratio = 0.34, 0.0..=1.0;
        /// It is confined until there was no reason to for so long.
        open_after: ms = 3000, 1..=600_000;
    }
}

section! {
    /// What executors ask of their workers, and how often.
    Orders ("orders") {
        /// A hold waits this long at the worker. When its answer is lost, ends go unread for about twice as long.
        hold_wait: ms = 25, 0..=2000;
        /// An order that has got no answer for so long counts as unanswered. The worker is on the same machine and answers within a few.
        answer: ms = 40, 1..=60_000;
        /// How much longer than asked for the answer to a hold may take.
        hold_extra: ms = 20, 0..=60_000;
        /// A start must begin within this time on the worker's clock.
        start_within: ms = 500, 1..=60_000;
        /// A stop that got no answer is sent again after this long.
        stop_again: ms = 40, 1..=60_000;
        /// Single answers can be lost; a worker that gives none for this long counts as silent.
        silent_after: ms = 200, 1..=60_000;
        /// A worker that can't be reached at all for this long is gone.
        gone_after: ms = 150, 1..=60_000;
        /// Nothing is started at a worker that has not said for so many of its heartbeats what room it has. Two and a fifth; from the users' pages, room that has gone counts for two and one more.
        room_beats: ratio = 2.2, 1.0..=1000.0;
        /// A worker that has failed to answer once is asked again after this long.
        ask_soon: ms = 10, 1..=60_000;
        /// A worker that is silent is asked again after this long.
        ask_again: ms = 40, 1..=60_000;
        /// A worker that is silent and keeps nothing of ours alive is asked again after this long.
        ask_seldom: ms = 200, 1..=60_000;
    }
}

section! {
    /// What processes tell each other, and how often.
    Reports ("reports") {
        /// Updates of an executor to one scheduler are at least this far apart, unless they tell of ends.
        gap: ms = 15, 1..=10_000;
        /// The same for each scheduler that is linked, so that reports do not grow with their number.
        gap_each: ms = 3, 0..=1000;
        /// Heartbeats on links are this far apart.
        heartbeat: ms = 100, 10..=10_000;
        /// Claims that go to all executors are gathered for so long.
        claim_gap: ms = 10, 0..=1000;
        /// Announcements of jobs to peers are gathered for so long.
        news_gap: ms = 15, 0..=1000;
        /// The same for each peer that is linked, and no longer than until the next heartbeat, so that their number does not decide how many messages a scheduler takes in.
        news_each: ms = 2, 0..=1000;
    }
}

section! {
    /// At which executors a scheduler places tasks. It is on standby at the others.
    Cells ("cells") {
        /// A scheduler places tasks at so many executors: those of its own zone first. A fleet of no more is one cell. A zone of the largest fleet played has 48.
        size: count = 48, 1..=100_000;
        /// A cell is larger than that where schedulers are few, so that an executor is in the cells of so many on average: with hashes, one in four hundred is then in none.
        cover: count = 6, 1..=1000;
        /// Heartbeats on links on standby are this far apart.
        heartbeat: ms = 1000, 10..=60_000;
        /// A link on standby on which nothing arrives for so long is closed. Two heartbeats and a half.
        silence: ms = 2500, 20..=600_000;
        /// While jobs find no room, a scheduler places tasks at up to so many executors more. A sixth of its cell.
        lent: count = 8, 0..=100_000;
        /// It goes on doing so for this long. Bursts last 4 s; a draw of others each second spreads the load of a cell that is short of room.
        lent_for: ms = 1000, 10..=600_000;
    }
}

section! {
    /// How large a fleet is divided, and how jobs of other partitions are forwarded.
    Partitions ("partitions") {
        /// A fleet is divided until a partition has no more executors than this in the mean. Hashes leave its parts unequal by some of a hundred: the larger they are, the less that matters under load.
        executors: count = 256, 1..=100_000;
        /// It is divided no further than leaves each partition so many schedulers, of which most may be lost at once.
        schedulers: count = 8, 1..=100_000;
        /// A forwarded job is handed to another scheduler this long after the link to the first broke, so that its peers have noticed as well. A caller whose connection broke takes 50 ms; twice that.
        again_broken: ms = 100, 1..=60_000;
        /// It is handed to another this long after it was sent, if nothing comes from the first. Not below `claims.again_after_ms`.
        again_silent: ms = 1300, 1..=60_000;
        /// A scheduler to which jobs are forwarded is heard at least this often meanwhile.
        heartbeat: ms = 200, 10..=10_000;
        /// One that is not heard for so long meanwhile is sent nothing more. Three heartbeats and a half.
        silence: ms = 700, 20..=60_000;
        /// One that could not be reached is tried again after this long.
        avoid: ms = 1000, 1..=60_000;
        /// Of each other partition so many schedulers are remembered, those that come first. Where half of all machines are lost, one in four thousand lists then has nobody left.
        candidates: count = 12, 1..=1000;
        /// A link over which nothing was forwarded for so long is closed.
        idle: ms = 30_000, 100..=3_600_000;
        /// The schedulers of one other partition are read again this often, one partition after the other.
        refresh: ms = 3000, 100..=600_000;
        /// Before a fleet is divided for the first time, its processes have so long to appear.
        appear: ms = 700, 0..=600_000;
        /// They are counted again this often, until two counts agree.
        count_again: ms = 400, 10..=60_000;
    }
}

section! {
    /// How a scheduler comes by the newest configuration.
    Catalogs ("catalog") {
        /// One that hears of a newer configuration leaves the store so long to tell it before it asks a peer: 250 KB take 0.1 s at 25 Mbit/s.
        store_first: ms = 200, 0..=60_000;
        /// It asks another peer after this long. 1 MB, the most that the store holds, takes 0.4 s at 25 Mbit/s.
        ask_again: ms = 800, 10..=60_000;
    }
}

section! {
    /// When a job may be at work elsewhere, and who may decide about it. What they rest on is told in `docs/design/platform.md`.
    Claims ("claims") {
        /// A scheduler places nothing that it has to claim before this time after its start or a long pause.
        meeting: ms = 100, 0..=60_000;
        /// A peer that has not been heard for so long may have jobs that were not announced here.
        unheard: ms = 600, 1..=60_000;
        /// A peer whose link was lost within this time may have taken jobs that it could not announce; a caller whose connection broke with the link comes again within 50 ms. Ten times that.
        link_lost: ms = 500, 0..=60_000;
        /// A job may be handed in again elsewhere after so long at the earliest. Below the users' 1,300 ms.
        again_after: ms = 1200, 1..=60_000;
        /// A scheduler that has started or come back within this time may have had jobs in its life before.
        warm_up: ms = 1300, 1..=60_000;
        /// Claims of two schedulers within this time are at odds; a later one replaces the earlier.
        contest: ms = 2000, 1..=60_000;
        /// Claims and the outcomes of jobs are remembered for this long.
        memory: ms = 20_000, 1..=3_600_000;
        /// A process that has not run for this long was paused.
        pause: ms = 250, 1..=60_000;
        /// A process that has been gone for this long is forgotten.
        forgotten: ms = 30_000, 1..=3_600_000;
    }
}

section! {
    /// How long rights last. A task is placed again elsewhere once `lapse` has passed, so what runs for a scheduler must end by itself before that.
    Leases ("leases") {
        /// A scheduler's lease at an executor, from the reading that it echoes.
        lease: ms = 700, 10..=60_000;
        /// The worker keeps runs alive for so long after a renewal. Its clock may be 2 % slow.
        worker_hold: ms = 550, 10..=60_000;
        /// A link on which nothing arrives for so long is closed.
        silence: ms = 700, 10..=60_000;
        /// So long after an executor was last heard of, nothing runs there any more for this scheduler.
        lapse: ms = 1300, 10..=60_000;
    }
}

section! {
    /// How an entry leaves.
    Leaving ("leaving") {
        /// It goes on taking jobs for so long at least, while the balancer takes note.
        still_open: ms = 2200, 0..=600_000;
        /// After that it ends once no job has come for so long.
        quiet: ms = 500, 0..=600_000;
        /// What it keeps of the time it has to end: for giving up what is left, and as a reserve.
        reserve: ms = 400, 0..=600_000;
        /// How long its last answers take to be sent.
        last_answers: ms = 120, 0..=600_000;
        /// A job that would outlast the process is handed to another scheduler, which runs it.
        hand_on: switch = true, ();
        /// A job that is taken while leaving may take this many times as long as expected. One that takes longer is given up with an answer.
        room_to_end: ratio = 1.35, 1.0..=10.0;
    }
}

section! {
    /// How processes connect to each other.
    Links ("links") {
        /// The shortest wait between tries to reach a process. It doubles with each that fails.
        redial_first: ms = 50, 1..=60_000;
        /// The longest wait between them.
        redial_last: ms = 300, 1..=60_000;
        /// How long the first try to connect may take: a machine that has just come up never sees one that was made before. It doubles with each that fails.
        connect_first: ms = 60, 1..=60_000;
        /// How long the last tries to connect may take, and the exchange of greetings.
        greeting: ms = 400, 1..=60_000;
        /// Of two schedulers that know each other, one has so long to connect first.
        yield_for: ms = 60, 0..=60_000;
    }
}

/// Declares the policy out of its sections.
macro_rules! policy {
    ($( $(#[doc = $doc:literal])* $field:ident: $section:ident ),* $(,)?) => {
        /// All figures that decide.
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        pub struct Policy {
            $( $(#[doc = $doc])* pub $field: $section, )*
        }

        impl Policy {
            /// Reads the `policy` section of a settings file. What is wrong is a finding, and
            /// stays at its default.
            pub fn read(value: &Value, findings: &mut Findings) -> Policy {
                let mut policy = Policy::default();
                let Some(mut fields) = Fields::new(value, "", findings) else {
                    return policy;
                };
                $(
                    if let Some(section) = fields.value(stringify!($field)) {
                        policy.$field = $section::read(section, findings);
                    }
                )*
                fields.finish(findings);
                policy.check(findings);
                policy
            }

            /// All fields, for the reference page.
            pub fn rows() -> Vec<Row> {
                let mut rows = Vec::new();
                $( rows.extend($section::rows()); )*
                rows
            }
        }
    };
}

policy! {
    /// When a job begins, and when it is refused or given up.
    admission: Admission,
    /// Which worker a task goes to.
    placement: Placement,
    /// How slow, failing and hanging workers are told.
    health: Health,
    /// When a task is held to take workers down.
    crashes: Crashes,
    /// When the tasks of a queue are confined to a part of the workers.
    bulkheads: Bulkheads,
    /// What executors ask of their workers.
    orders: Orders,
    /// What processes tell each other.
    reports: Reports,
    /// At which executors a scheduler places tasks.
    cells: Cells,
    /// How a large fleet is divided.
    partitions: Partitions,
    /// How the newest configuration is come by.
    catalog: Catalogs,
    /// Who may decide about a job.
    claims: Claims,
    /// How long rights last.
    leases: Leases,
    /// How an entry leaves.
    leaving: Leaving,
    /// How processes connect.
    links: Links,
    /// Who goes first while jobs compete for room.
    contention: Contention,
    /// When urgent jobs take the room of others.
    preemption: Preemption,
    /// How fast workers are.
    speeds: Speeds,
    /// When an entry hands fresh jobs to another one.
    balance: Balance,
    /// How a fleet that has just come back takes up its work.
    recovery: Recovery,
}

impl Admission {
    /// When a caller that is refused comes back, in milliseconds. Callers are spread, so that they do not all come at once.
    pub fn come_back_ms(&self, rng: &mut impl Rng) -> u32 {
        let [base, spread] = [self.retry_base, self.retry_spread];
        let [base, spread] = [base, spread].map(|span| crate::clock::millis(span) as u32);
        base + rng.random_range(0..spread)
    }
}

/// A worker's clock may be this much slow.
const SLOW_CLOCK: f64 = 1.02;

impl Policy {
    /// What must hold between fields.
    fn check(&self, findings: &mut Findings) {
        let l = &self.leases;
        if l.lease + l.worker_hold.mul_f64(SLOW_CLOCK) >= l.lapse {
            let message = "must be longer than `lease_ms` and 1.02 times `worker_hold_ms` together: \
                           else a task may be placed again while it still runs";
            findings.add("/leases/lapse_ms", message);
        }
        if self.claims.again_after > self.claims.warm_up {
            let message =
                "must not be longer than `warm_up_ms`: a job of a life before may come again";
            findings.add("/claims/again_after_ms", message);
        }
        if self.health.trial_first > self.health.trial_last {
            findings.add(
                "/health/trial_first_ms",
                "must not be above `trial_last_ms`",
            );
        }
        if self.crashes.proven > self.crashes.most {
            findings.add("/crashes/proven", "must not be above `most`");
        }
        if self.crashes.most > self.crashes.most_unsure {
            findings.add("/crashes/most", "must not be above `most_unsure`");
        }
        if self.cells.silence < self.cells.heartbeat * 2 {
            let message = "must be at least twice `heartbeat_ms`: else links on standby are closed";
            findings.add("/cells/silence_ms", message);
        }
        if self.partitions.again_silent < self.claims.again_after {
            let message = "must not be below `again_after_ms` of `claims`: a job that comes again \
                           sooner may not have been announced";
            findings.add("/partitions/again_silent_ms", message);
        }
        if self.partitions.silence < self.partitions.heartbeat * 2 {
            let message = "must be at least twice `heartbeat_ms`: else links in use are given up";
            findings.add("/partitions/silence_ms", message);
        }
        if self.links.connect_first > self.links.greeting {
            findings.add("/links/connect_first_ms", "must not be above `greeting_ms`");
        }
        if self.links.redial_first > self.links.redial_last {
            findings.add(
                "/links/redial_first_ms",
                "must not be above `redial_last_ms`",
            );
        }
    }
}

impl<'de> Deserialize<'de> for Policy {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Policy, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let mut findings = Findings::new("policy");
        let policy = Policy::read(&value, &mut findings);
        let list = findings.into_list();
        if list.is_empty() {
            return Ok(policy);
        }
        let lines: Vec<String> = list
            .iter()
            .map(|f| format!("{}: {}", f.pointer, f.message))
            .collect();
        Err(serde::de::Error::custom(lines.join("; ")))
    }
}

#[cfg(test)]
mod tests;
