//! Log lines on standard output that never hold a process up.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full, or an
//! event comes too often within a second, lines are left out and counted; the count is written
//! when there is room again. Failures and warnings have a larger share than the rest.

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

/// Lines that may wait to be written.
const QUEUE: usize = 4096;
/// Lines of one informational event within a second.
const INFO_BUDGET: u32 = 120;
/// Lines of one warning or error within a second.
const WARN_BUDGET: u32 = 300;
/// Lines are gathered for this long before they are written.
const GATHER: Duration = Duration::from_millis(100);
/// At most so many lines are gathered, a quarter of the queue. Without a bound the writer took lines for as long as
/// they came, before it had written any, and none was counted as left out.
const GATHERED: usize = QUEUE / 4;

#[derive(Debug, Default)]
struct Budget {
    second: u64,
    used: u32,
    left_out: u64,
}

/// The sink.
pub struct LogSink {
    node: String,
    lines: SyncSender<String>,
    budgets: HashMap<Kind, Budget>,
    /// Lines left out because the queue was full.
    dropped: u64,
    sequence: u64,
}

impl LogSink {
    /// A sink that writes to standard output.
    pub fn stdout(node: &str) -> LogSink {
        LogSink::new(node, std::io::stdout())
    }

    /// A sink that writes to `out`, on a thread of its own.
    pub fn new(node: &str, out: impl Write + Send + 'static) -> LogSink {
        let (lines, queue) = sync_channel(QUEUE);
        std::thread::spawn(move || write(queue, out));
        LogSink {
            node: node.to_owned(),
            lines,
            budgets: HashMap::new(),
            dropped: 0,
            sequence: 0,
        }
    }

    /// Writes an event, unless there are too many of its kind.
    pub fn log(&mut self, now: Mono, event: &Event) {
        let second = now.0 / 1_000_000;
        let budget = self.budgets.entry(event.kind).or_default();
        let mut left_out = 0;
        if budget.second != second {
            budget.second = second;
            budget.used = 0;
            left_out = std::mem::take(&mut budget.left_out);
        }
        let most = match event.kind.level() {
            Level::Info => INFO_BUDGET,
            Level::Warn | Level::Error => WARN_BUDGET,
        };
        if budget.used >= most {
            budget.left_out += 1;
            return;
        }
        budget.used += 1;
        self.write(now, event, left_out);
    }

    /// Lines that were left out because the reader was too slow.
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
        std::thread::sleep(GATHER);
        for more in queue.try_iter().take(GATHERED - 1) {
            text.push_str(&more);
        }
        if out.write_all(text.as_bytes()).is_err() {
            return;
        }
        let _ = out.flush();
    }
}
