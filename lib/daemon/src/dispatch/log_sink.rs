//! A log sink that never blocks the process.
//!
//! Lines go through a bounded queue to a thread that writes them. Lines that find the queue full or exceed
//! the budget of their event for one second are left out and counted; a later line carries the count. Errors
//! and warnings have a larger budget than informational events.

use std::collections::HashMap;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use serde_json::json;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Kind;
use stackcourse_lib::event::Level;
use stackcourse_lib::prelude::Mono;

use crate::system_clock;

/// The number of lines that may wait to be written.
const QUEUE_LINES: usize = 4096;
/// The maximum number of lines of one informational event within a second.
const INFO_BUDGET: u32 = 120;
/// The maximum number of lines of one warning or error within a second.
const WARN_BUDGET: u32 = 300;
/// The time for which lines are collected before they are written.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of lines in one batch, a quarter of the queue. Without this limit the writer could
/// collect lines for as long as they arrive without writing any, and none would be counted as left out.
const MAX_BATCH_LINES: usize = QUEUE_LINES / 4;

/// The lines of one event in the present second.
#[derive(Debug, Default)]
struct Budget {
    second: u64,
    used: u32,
    left_out: u64,
}

/// Writes log lines from a thread of its own.
pub struct LogSink {
    node: String,
    lines: SyncSender<String>,
    budgets: HashMap<Kind, Budget>,
    /// Lines left out because the queue was full.
    dropped: u64,
    sequence: u64,
}

impl LogSink {
    /// Creates a sink that writes to standard output.
    pub fn stdout(node: &str) -> LogSink {
        LogSink::new(node, std::io::stdout())
    }

    /// Creates a sink that writes to `out` on a thread of its own.
    pub fn new(node: &str, out: impl Write + Send + 'static) -> LogSink {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write(queue, out));
        LogSink {
            node: node.to_owned(),
            lines,
            budgets: HashMap::new(),
            dropped: 0,
            sequence: 0,
        }
    }

    /// Writes an event, unless the budget of its kind for this second is used up.
    pub fn log(&mut self, now: Mono, event: &Event) {
        let second = now.0 / 1_000_000;
        let budget = self.budgets.entry(event.kind).or_default();
        let mut left_out = 0;
        if budget.second != second {
            budget.second = second;
            budget.used = 0;
            left_out = std::mem::take(&mut budget.left_out);
        }
        let limit = match event.kind.level() {
            Level::Info => INFO_BUDGET,
            Level::Warn | Level::Error => WARN_BUDGET,
        };
        if budget.used >= limit {
            budget.left_out += 1;
            return;
        }
        budget.used += 1;
        self.write(now, event, left_out);
    }

    /// Returns the number of lines that were left out because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn write(&mut self, now: Mono, event: &Event, left_out: u64) {
        self.sequence += 1;
        let mut line = json!({
            "time_ms": system_clock::unix_ms(),
            "mono_us": now.0,
            "node": self.node,
            "line": self.sequence,
            "level": level_word(event.kind.level()),
            "event": format!("SC{:03}", event.kind.number()),
            "text": event.kind.text(),
            "detail": event.detail,
        });
        if left_out > 0 {
            line["left_out"] = json!(left_out);
        }
        if self.dropped > 0 {
            line["dropped"] = json!(self.dropped);
        }
        if self.lines.try_send(format!("{line}\n")).is_err() {
            self.dropped += 1;
        }
    }
}

fn level_word(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
    }
}

fn write(queue: Receiver<String>, mut out: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut text = first;
        std::thread::sleep(BATCH_DELAY);
        for more in queue.try_iter().take(MAX_BATCH_LINES - 1) {
            text.push_str(&more);
        }
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
        let _ = out.flush();
    }
}
