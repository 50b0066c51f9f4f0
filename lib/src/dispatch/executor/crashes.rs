//! Lives of a worker that are over while something ran there.

use super::Executor;
use crate::event::Kind;
use crate::prelude::*;

/// At most so many runs are listed in one log line.
const LISTED: usize = 12;

impl Executor {
    /// When the worker was last known to live: before it first failed to answer, if it does not
    /// answer now.
    fn alive_until(&self, now: Mono) -> Mono {
        let silent = self.worker.as_ref().and_then(|w| w.silent_since);
        silent.unwrap_or(now)
    }

    /// Writes down what was at the worker when its life, or what was kept alive in it, ended, and for how
    /// long each run had been there: a run that began just before, again and again, is the likely cause.
    pub(super) fn log_lost(&mut self, now: Mono, cause: &str) {
        if self.runs.is_empty() {
            return;
        }
        let ended = self.alive_until(now);
        let mut runs: Vec<_> = self.runs.iter().collect();
        runs.sort_by_key(|(_, run)| ended.since(run.began));
        let age = |run: &super::Run| crate::clock::millis(ended.since(run.began));
        let lines = runs.iter().take(LISTED);
        let lines = lines.map(|(task, run)| format!("{task} run {} {} ms", run.run, age(run)));
        let lines: Vec<String> = lines.collect();
        let detail = format!(
            "{}: {cause}, silent for {} ms; {} runs, the youngest first: {}",
            self.life(),
            crate::clock::millis(now.since(ended)),
            runs.len(),
            lines.join(", "),
        );
        self.log(Kind::RunsLost, detail);
    }
}
