//! Metrics of the dispatch plane in the Prometheus text format, built on request from the counters of the
//! state machines.

use prometheus::Encoder;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use stackcourse_lib::clock;
use stackcourse_lib::dispatch::connections::Connections;
use stackcourse_lib::dispatch::executor::Executor;
use stackcourse_lib::dispatch::forwarder::Forwarder;
use stackcourse_lib::dispatch::scheduler::Scheduler;
use stackcourse_lib::prelude::Mono;

use crate::dispatch::clock_watch::ClockWatch;
use crate::dispatch::lag::LoopLag;
use crate::dispatch::traffic::Traffic;

/// A page of metrics under construction.
struct Page {
    registry: Registry,
}

impl Page {
    fn counters<'a>(
        &self,
        name: &str,
        help: &str,
        label: &str,
        values: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let opts = Opts::new(format!("stackcourse_{name}"), help);
        let counter = IntCounterVec::new(opts, &[label]).expect("a constant name");
        for (value, n) in values {
            counter.with_label_values(&[value]).inc_by(n);
        }
        let registered = self.registry.register(Box::new(counter));
        registered.expect("each name is used once");
    }

    fn gauges(&self, name: &str, help: &str, values: &[(&str, i64)]) {
        let opts = Opts::new(format!("stackcourse_{name}"), help);
        let gauge = IntGaugeVec::new(opts, &["of"]).expect("a constant name");
        for (value, n) in values {
            gauge.with_label_values(&[*value]).set(*n);
        }
        let registered = self.registry.register(Box::new(gauge));
        registered.expect("each name is used once");
    }

    fn histogram(&self, histogram: HistogramVec) {
        let registered = self.registry.register(Box::new(histogram));
        registered.expect("each name is used once");
    }

    fn text(&self) -> String {
        let mut out = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut out);
        written.expect("writing to memory");
        String::from_utf8(out).expect("the text format is UTF-8")
    }
}

/// The metrics that are common to processes of both roles.
pub struct ProcessGauges<'a> {
    /// The delay of the event loop.
    pub lag: &'a LoopLag,
    /// The watch of the box's clock.
    pub clock_watch: &'a ClockWatch,
    /// The traffic on all links.
    pub traffic: &'a Traffic,
    /// The number of log lines that were left out because the queue of the log sink was full.
    pub dropped: u64,
}

impl ProcessGauges<'_> {
    fn add_to(&self, page: &Page) {
        let [last, longest] = self.lag.take().map(|d| clock::millis(d) as i64);
        let lag = [("last", last), ("longest", longest)];
        let help = "The delay of the process's event loop in milliseconds, the newest and the \
                    longest since the last reading.";
        page.gauges("loop_lag_ms", help, &lag);
        let ahead = [("box", self.clock_watch.ahead_ms())];
        let help = "How far the box's clock is ahead of the time of day at the process's start, \
                    carried on by a clock that never steps; in milliseconds.";
        page.gauges("clock_ahead_ms", help, &ahead);
        let help = "Frames sent on links, by kind.";
        page.counters("frames_sent_total", help, "kind", self.traffic.sent());
        let help = "Frames received on links, by kind.";
        page.counters(
            "frames_received_total",
            help,
            "kind",
            self.traffic.received(),
        );
        let [sent, received] = self.traffic.bytes();
        let bytes = [("sent", sent), ("received", received)];
        let help = "Bytes of frames on links, by direction.";
        page.counters("link_bytes_total", help, "direction", bytes.into_iter());
        let [frames, bytes] = self.traffic.waiting().map(|n| n as i64);
        let longest = clock::millis(self.traffic.take_longest_wait()) as i64;
        let queues = [
            ("frames", frames),
            ("bytes", bytes),
            ("longest_wait_ms", longest),
        ];
        let help = "What waits in the send queues of all links, and the longest wait since the \
                    last reading.";
        page.gauges("send_queue", help, &queues);
    }
}

/// Returns the metrics page of a scheduler.
pub fn scheduler_page(scheduler: &Scheduler, now: Mono, process: &ProcessGauges<'_>) -> String {
    let page = Page {
        registry: Registry::new(),
    };
    process.add_to(&page);
    let counts = scheduler.counts();
    let words = |map: &std::collections::BTreeMap<&'static str, u64>| -> Vec<(&str, u64)> {
        map.iter().map(|(k, v)| (*k, *v)).collect()
    };
    let outcomes = words(&counts.outcomes).into_iter();
    page.counters("jobs_total", "Jobs ended.", "outcome", outcomes);
    let causes = words(&counts.causes).into_iter();
    let help = "Jobs refused or failed, by cause.";
    page.counters("causes_total", help, "cause", causes);
    let again = words(&counts.unfinished_attempts).into_iter();
    let help = "Tasks placed again, by why the earlier try ended.";
    page.counters("tasks_again_total", help, "cause", again);
    let decisions = [
        ("submitted", counts.submitted),
        ("joined", counts.joined),
        ("claimed", counts.claims),
        ("cancels_dropped", counts.dropped_cancels),
        ("placed", counts.placed),
        ("handed", counts.handoffs_sent),
        ("taken_handed", counts.handoffs_accepted),
        ("held_back", counts.held_back),
        ("log_lines_dropped", process.dropped),
    ];
    let help = "Decisions made.";
    page.counters("decisions_total", help, "kind", decisions.into_iter());
    let [jobs, waiting, executors, peers] = scheduler.gauges().map(|n| n as i64);
    let cell = scheduler.cell_sizes();
    let (busy, waiting_cpu) = scheduler.own_load();
    let held = [
        ("jobs", jobs),
        ("jobs_waiting", waiting),
        ("waiting_milli_cores", waiting_cpu as i64),
        ("busy_percent", i64::from(busy)),
        ("executors_linked", executors),
        ("executors_in_cell", cell[0] as i64),
        ("executors_lent", cell[1] as i64),
        ("schedulers_linked", peers),
        ("config_version", scheduler.version() as i64),
        ("ready", i64::from(scheduler.is_ready())),
        ("zones_evacuated", scheduler.evacuated().count() as i64),
    ];
    page.gauges("state", "What the scheduler holds now.", &held);
    let [own, fleet] = scheduler.backlogs();
    let places = [("here", own), ("fleet", fleet)];
    let waiting: Vec<(String, i64)> = places
        .iter()
        .flat_map(|(place, backlog)| {
            let name = move |priority| format!("{place}, priority {priority}");
            backlog
                .rows()
                .map(move |(priority, w)| (name(priority), w.cpu_milli as i64))
        })
        .collect();
    let waiting: Vec<(&str, i64)> = waiting.iter().map(|(of, n)| (of.as_str(), *n)).collect();
    let help = "Room that waiting work needs, in thousandths of a core, by priority.";
    page.gauges("backlog_milli_cores", help, &waiting);
    let ages = scheduler.ages(now);
    let ages = [
        ("configuration", clock::millis(ages.catalog) as i64),
        (
            "configuration_checked",
            clock::millis(ages.catalog_checked) as i64,
        ),
        ("executor_report", clock::millis(ages.executors) as i64),
        ("peer_update", clock::millis(ages.peers) as i64),
    ];
    let help = "How old what the scheduler believes is at most, in milliseconds.";
    page.gauges("belief_age_ms", help, &ages);
    page.histogram(scheduler.timings().collector());
    page.text()
}

/// Returns the metrics page of an executor.
pub fn executor_page(executor: &Executor, process: &ProcessGauges<'_>) -> String {
    let page = Page {
        registry: Registry::new(),
    };
    process.add_to(&page);
    let counts = executor.counts();
    let runs = [
        ("started", counts.starts),
        ("unanswered", counts.unanswered_starts),
        ("stops", counts.stops),
        ("done", counts.done),
        ("failed", counts.failed),
        ("lost", counts.lost),
        ("crashed", counts.crashed),
        ("stalled", counts.stalled),
        ("returned", counts.returned),
        ("leases_over", counts.expired_leases),
        ("renewals_withheld", counts.withheld_renewals),
        ("strangers", counts.unknown_runs),
        ("ends_passed", counts.skipped_ends),
        ("heartbeats_rejected", counts.rejected_heartbeats),
        ("preempted", counts.preempted),
        ("preempted_core_ms", counts.wasted_core_ms),
        ("speed_changes", counts.speed_changes),
        ("cancelled", counts.cancelled_tasks),
        ("cancels_dropped", counts.dropped_cancels),
        ("log_lines_dropped", process.dropped),
    ];
    let help = "What the executor did.";
    page.counters("executor_total", help, "kind", runs.into_iter());
    let (running, waiting) = executor.task_counts();
    let evacuated = i64::from(executor.is_evacuated());
    let held = [
        ("tasks_running", running as i64),
        ("tasks_waiting", waiting as i64),
        ("schedulers_linked", executor.linked_schedulers() as i64),
        ("zone_evacuated", evacuated),
        (
            "worker_slowness_percent",
            i64::from(executor.slowness_percent()),
        ),
    ];
    page.gauges("executor_state", "What the executor holds now.", &held);
    page.histogram(executor.timings().collector());
    page.text()
}

/// Returns the metrics page of the connections of clients.
pub fn clients_page(connections: &Connections) -> String {
    let page = Page {
        registry: Registry::new(),
    };
    let [open, most, held] = connections.gauges().map(|n| n as i64);
    let budget = connections.budget();
    let values = [
        ("connections", open),
        ("most_connections", most),
        ("connection_limit", budget.connections as i64),
        ("bytes", held),
        ("byte_limit", budget.memory as i64),
    ];
    let help =
        "What clients make the process hold now, the most connections so far, and the limits.";
    page.gauges("clients", help, &values);
    let help = "Requests refused and connections closed because of their clients, by cause.";
    let counts = connections.counts();
    page.counters("clients_limited_total", help, "cause", counts);
    page.text()
}

/// Returns the metrics page of a forwarder.
pub fn forwarder_page(forwarder: &Forwarder) -> String {
    let page = Page {
        registry: Registry::new(),
    };
    let counts = forwarder.counts();
    let forwarded = [
        ("requests", counts.requests),
        ("frames", counts.frames),
        ("again", counts.resent),
        ("unplaced", counts.unplaced),
    ];
    let help = "Requests of other partitions: how many came, the frames that took them there, how \
                many were sent again and how many nobody could be found for.";
    page.counters("forward_total", help, "kind", forwarded.into_iter());
    let [open, links, partitions] = forwarder.gauges().map(|n| n as i64);
    let held = [
        ("open", open),
        ("links", links),
        ("partitions", partitions),
        ("partition", forwarder.own().number() as i64),
    ];
    page.gauges("forward_state", "What the forwarder holds now.", &held);
    page.text()
}

/// Creates a counter of calls to the store, by kind and result.
pub fn call_counter() -> IntCounterVec {
    let help = "Calls to the store, by kind and result.";
    let opts = Opts::new("stackcourse_store_calls_total", help);
    IntCounterVec::new(opts, &["kind", "result"]).expect("a constant name")
}

/// Returns the metrics page of a counter of calls to the store.
pub fn store_calls_page(calls: &IntCounterVec) -> String {
    let page = Page {
        registry: Registry::new(),
    };
    let registered = page.registry.register(Box::new(calls.clone()));
    registered.expect("each name is used once");
    page.text()
}
