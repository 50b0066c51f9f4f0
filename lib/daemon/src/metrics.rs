//! Metrics of entries and agents in the Prometheus text format, built from the state machines' counters on
//! request.

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

/// A registry that is filled and encoded once per request for metrics.
struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    fn new() -> MetricSet {
        MetricSet {
            registry: Registry::new(),
        }
    }

    fn add_counters(&self, name: &str, help: &str, label: &str, values: &[(&str, u64)]) {
        let opts = Opts::new(format!("stackcourse_{name}"), help);
        let counter = IntCounterVec::new(opts, &[label]).expect("a constant name");
        for (value, n) in values {
            counter.with_label_values(&[*value]).inc_by(*n);
        }
        let registered = self.registry.register(Box::new(counter));
        registered.expect("each name is used once");
    }

    fn add_gauges(&self, name: &str, help: &str, label: &str, values: &[(&str, i64)]) {
        let opts = Opts::new(format!("stackcourse_{name}"), help);
        let gauge = IntGaugeVec::new(opts, &[label]).expect("a constant name");
        for (value, n) in values {
            gauge.with_label_values(&[*value]).set(*n);
        }
        let registered = self.registry.register(Box::new(gauge));
        registered.expect("each name is used once");
    }

    /// Adds the offsets of the box's clock, and of the most deviating other process, from this process's wall
    /// clock.
    fn add_clocks(&self, [own, largest]: [i64; 2]) {
        let offsets = [("box", own), ("others", largest)];
        let help = "How far the box's clock, and the one of another process that differs most, \
                    are ahead of the time of day that this process carries on, in milliseconds.";
        self.add_gauges("clock_ahead_ms", help, "clock", &offsets);
    }

    /// Adds the traffic counters of this process's links.
    fn add_traffic(&self) {
        let load = |n: &std::sync::atomic::AtomicU64| n.load(std::sync::atomic::Ordering::Relaxed);
        let frames = [
            ("task", load(&TRAFFIC.task_frames)),
            ("control", load(&TRAFFIC.control_frames)),
        ];
        let bytes = [
            ("task", load(&TRAFFIC.task_bytes)),
            ("control", load(&TRAFFIC.control_bytes)),
        ];
        let help = "Frames on links, both ways.";
        self.add_counters("link_frames_total", help, "kind", &frames);
        let help = "Bytes of frames on links, both ways.";
        self.add_counters("link_bytes_total", help, "kind", &bytes);
    }

    fn encode(&self) -> String {
        let mut out = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        written.expect("writing to memory");
        String::from_utf8(out).expect("the text format is UTF-8")
    }
}

/// Returns the metrics of an entry in the Prometheus text format.
pub fn encode_entry(entry: &Entry) -> String {
    let metrics = MetricSet::new();
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
    metrics.add_counters("jobs_total", "Jobs ended.", "outcome", &outcomes);
    let decisions = [
        ("request", counts.requests),
        ("forward", counts.forwards),
        ("start", counts.starts),
        ("answer", counts.answers),
        ("takeover", counts.takeovers),
        ("handover", counts.handovers),
    ];
    metrics.add_counters("decisions_total", "Decisions made.", "kind", &decisions);
    let refusals: Vec<(&str, u64)> = counts.refusals.iter().map(|(k, v)| (*k, *v)).collect();
    metrics.add_counters("refusals_total", "Refusals by cause.", "cause", &refusals);
    let wasted: Vec<(&str, u64)> = counts.wasted.iter().map(|(k, v)| (*k, *v)).collect();
    metrics.add_counters("wasted_total", "Wasted messages by kind.", "kind", &wasted);
    let waited = [("all", counts.queue_time_us)];
    let help = "Time that started tasks had waited here, in microseconds.";
    metrics.add_counters("waited_microseconds_total", help, "tasks", &waited);
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
    metrics.add_gauges("state", "What the entry holds now.", "of", &gauges);
    let shares = entry.used_shares();
    let held: Vec<(&str, i64)> = shares.iter().map(|(n, s)| (&**n, i64::from(*s))).collect();
    metrics.add_gauges("share", "Shares of quotas held now.", "name", &held);
    metrics.add_clocks(entry.clock_offsets_ms());
    metrics.add_traffic();
    metrics.encode()
}

/// Returns the metrics of an agent in the Prometheus text format.
pub fn encode_agent(agent: &Agent) -> String {
    let metrics = MetricSet::new();
    let counts = agent.counts();
    let tasks = [
        ("started", counts.started),
        ("answered", counts.answered),
        ("failed", counts.failed),
        ("fenced", counts.fenced),
        ("refused", counts.refused),
        ("sealed", counts.sealed),
    ];
    metrics.add_counters("agent_total", "What the agent did.", "kind", &tasks);
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
    metrics.add_gauges("agent_state", "What the agent holds now.", "of", &gauges);
    metrics.add_clocks(agent.clock_offsets_ms());
    metrics.add_traffic();
    metrics.encode()
}
