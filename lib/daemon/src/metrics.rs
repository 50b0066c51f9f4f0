//! Metrics in Prometheus' text format, made from the state machines' counters when asked for.

use prometheus::Encoder;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use stackcourse_lib::agent::Agent;
use stackcourse_lib::entry::Entry;
use stackcourse_lib::outcome::Outcome;

use crate::link::TRAFFIC;

/// A registry that is filled once and written out.
struct Sheet {
    registry: Registry,
}

impl Sheet {
    fn new() -> Sheet {
        Sheet {
            registry: Registry::new(),
        }
    }

    fn counters(&self, name: &str, help: &str, label: &str, values: &[(&str, u64)]) {
        let opts = Opts::new(format!("stackcourse_{name}"), help);
        let counter = IntCounterVec::new(opts, &[label]).expect("a constant name");
        for (value, n) in values {
            counter.with_label_values(&[*value]).inc_by(*n);
        }
        let registered = self.registry.register(Box::new(counter));
        registered.expect("each name is used once");
    }

    fn gauges(&self, name: &str, help: &str, label: &str, values: &[(&str, i64)]) {
        let opts = Opts::new(format!("stackcourse_{name}"), help);
        let gauge = IntGaugeVec::new(opts, &[label]).expect("a constant name");
        for (value, n) in values {
            gauge.with_label_values(&[*value]).set(*n);
        }
        let registered = self.registry.register(Box::new(gauge));
        registered.expect("each name is used once");
    }

    /// How far clocks are from the time of day that this process carries on.
    fn clocks(&self, [own, widest]: [i64; 2]) {
        let gaps = [("box", own), ("others", widest)];
        let help = "How far the box's clock, and the one of another process that differs most, \
                    are ahead of the time of day that this process carries on, in milliseconds.";
        self.gauges("clock_ahead_ms", help, "clock", &gaps);
    }

    /// What this process has sent and received on links.
    fn traffic(&self) {
        let read = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
        let frames = [
            ("task", read(&TRAFFIC.task_frames)),
            ("control", read(&TRAFFIC.control_frames)),
        ];
        let bytes = [
            ("task", read(&TRAFFIC.task_bytes)),
            ("control", read(&TRAFFIC.control_bytes)),
        ];
        let help = "Frames on links, both ways.";
        self.counters("link_frames_total", help, "kind", &frames);
        let help = "Bytes of frames on links, both ways.";
        self.counters("link_bytes_total", help, "kind", &bytes);
    }

    fn text(&self) -> String {
        let mut out = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        written.expect("writing to memory");
        String::from_utf8(out).expect("the text format is UTF-8")
    }
}

/// The metrics of an entry.
pub fn of_entry(entry: &Entry) -> String {
    let sheet = Sheet::new();
    let counts = entry.counts();
    let (owned, served) = entry.shard_counts();
    let (jobs, bytes, waiting) = entry.job_counts();
    let outcome = |o: Outcome| (o.word(), counts.outcomes[o.code() as usize]);
    let outcomes = [
        outcome(Outcome::Complete),
        outcome(Outcome::Failed),
        outcome(Outcome::NotRun),
        outcome(Outcome::Unknown),
    ];
    sheet.counters("jobs_total", "Jobs ended.", "outcome", &outcomes);
    let decisions = [
        ("request", counts.requests),
        ("forward", counts.forwards),
        ("start", counts.starts),
        ("answer", counts.answers),
        ("takeover", counts.takeovers),
        ("handover", counts.handovers),
    ];
    sheet.counters("decisions_total", "Decisions made.", "kind", &decisions);
    let refusals: Vec<(&str, u64)> = counts.refusals.iter().map(|(k, v)| (*k, *v)).collect();
    sheet.counters("refusals_total", "Refusals by cause.", "cause", &refusals);
    let wasted: Vec<(&str, u64)> = counts.wasted.iter().map(|(k, v)| (*k, *v)).collect();
    sheet.counters("wasted_total", "Wasted messages by kind.", "kind", &wasted);
    let waited = [("all", counts.queue_time_us)];
    let help = "Time that started tasks had waited here, in microseconds.";
    sheet.counters("waited_microseconds_total", help, "tasks", &waited);
    let gauges = [
        ("shards_owned", owned as i64),
        ("shards_served", served as i64),
        ("jobs_held", jobs as i64),
        ("bytes_held", bytes as i64),
        ("tasks_waiting", waiting as i64),
        ("tasks_placed", entry.placed_tasks() as i64),
        ("requests_open", entry.open_requests() as i64),
        ("config_version", entry.follower().version() as i64),
        ("leaving", i64::from(entry.is_leaving())),
    ];
    sheet.gauges("state", "What the entry holds now.", "of", &gauges);
    let shares = entry.held_shares();
    let held: Vec<(&str, i64)> = shares.iter().map(|(n, s)| (&**n, i64::from(*s))).collect();
    sheet.gauges("share", "Shares of quotas held now.", "name", &held);
    sheet.clocks(entry.clock_offsets_ms());
    sheet.traffic();
    sheet.text()
}

/// The metrics of an agent.
pub fn of_agent(agent: &Agent) -> String {
    let sheet = Sheet::new();
    let counts = agent.counts();
    let tasks = [
        ("started", counts.started),
        ("answered", counts.answered),
        ("failed", counts.failed),
        ("fenced", counts.fenced),
        ("refused", counts.refused),
        ("sealed", counts.sealed),
    ];
    sheet.counters("agent_total", "What the agent did.", "kind", &tasks);
    let (jobs, tasks, bytes) = agent.record().size();
    let (running, waiting) = agent.task_counts();
    let gauges = [
        ("jobs_remembered", jobs as i64),
        ("tasks_remembered", tasks as i64),
        ("answer_bytes", bytes as i64),
        ("tasks_running", running as i64),
        ("tasks_waiting", waiting as i64),
        ("config_version", agent.config() as i64),
    ];
    sheet.gauges("agent_state", "What the agent holds now.", "of", &gauges);
    sheet.clocks(agent.clock_offsets_ms());
    sheet.traffic();
    sheet.text()
}
