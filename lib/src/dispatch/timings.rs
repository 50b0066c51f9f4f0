//! Durations of jobs and runs, collected in histograms for the metrics page.
//!
//! The names of the histograms and their labels are read by operators and do not change.

use std::time::Duration;

use prometheus::HistogramOpts;
use prometheus::HistogramVec;

/// Upper bounds of the buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
];

/// The stages of a job whose delay is measured, from when the job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The first of its tasks was sent to an executor.
    Placed,
    /// It was complete.
    Completed,
    /// It was refused or given up.
    Rejected,
}

impl Stage {
    fn label(self) -> &'static str {
        match self {
            Stage::Placed => "placed",
            Stage::Completed => "completed",
            Stage::Rejected => "turned-away",
        }
    }
}

/// Histograms of the delays of jobs, by queue and stage.
#[derive(Clone, Debug)]
pub struct JobTimings {
    seconds: HistogramVec,
}

impl Default for JobTimings {
    fn default() -> JobTimings {
        let help = "Seconds from when a job was taken, by queue and stage.";
        JobTimings {
            seconds: histogram("stackcourse_job_seconds", help, &["queue", "stage"]),
        }
    }
}

impl JobTimings {
    /// Records that a job of a queue has reached a stage `span` after it was accepted.
    pub fn record(&self, queue: &str, stage: Stage, span: Duration) {
        let labels = [queue, stage.label()];
        let histogram = self.seconds.with_label_values(&labels);
        histogram.observe(span.as_secs_f64());
    }

    /// Returns the collector to register for the metrics page.
    pub fn collector(&self) -> HistogramVec {
        self.seconds.clone()
    }
}

/// Histograms of the durations of runs at a worker, by how they ended.
#[derive(Clone, Debug)]
pub struct RunTimings {
    seconds: HistogramVec,
}

impl Default for RunTimings {
    fn default() -> RunTimings {
        let help = "Seconds from the start of a run to its end, by how it ended.";
        RunTimings {
            seconds: histogram("stackcourse_run_seconds", help, &["end"]),
        }
    }
}

impl RunTimings {
    /// Records a run that ended after `span`, where `end` is the label of how it ended.
    pub fn record(&self, end: &str, span: Duration) {
        let histogram = self.seconds.with_label_values(&[end]);
        histogram.observe(span.as_secs_f64());
    }

    /// Returns the collector to register for the metrics page.
    pub fn collector(&self) -> HistogramVec {
        self.seconds.clone()
    }
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    HistogramVec::new(opts, labels).expect("the names are valid and the bounds ascend")
}
