//! How long things take, as histograms for the metrics page.

use std::time::Duration;

use prometheus::HistogramOpts;
use prometheus::HistogramVec;

/// Upper bounds of the buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
];

/// What is timed of a job, from when it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Until the first of its tasks was sent to an executor.
    Placed,
    /// Until it was complete.
    Completed,
    /// Until it was refused or given up.
    TurnedAway,
}

impl Stage {
    fn word(self) -> &'static str {
        match self {
            Stage::Placed => "placed",
            Stage::Completed => "completed",
            Stage::TurnedAway => "turned-away",
        }
    }
}

/// Times of jobs, by queue and stage.
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
    /// Notes that a job of a queue has reached a stage.
    pub fn note(&self, queue: &str, stage: Stage, span: Duration) {
        let labels = [queue, stage.word()];
        let one = self.seconds.with_label_values(&labels);
        one.observe(span.as_secs_f64());
    }

    /// For the metrics page.
    pub fn collector(&self) -> HistogramVec {
        self.seconds.clone()
    }
}

/// Times of runs at a worker, by how they ended.
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
    /// Notes that a run has ended.
    pub fn note(&self, end: &str, span: Duration) {
        let one = self.seconds.with_label_values(&[end]);
        one.observe(span.as_secs_f64());
    }

    /// For the metrics page.
    pub fn collector(&self) -> HistogramVec {
        self.seconds.clone()
    }
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    HistogramVec::new(opts, labels).expect("constant names and rising bounds")
}
