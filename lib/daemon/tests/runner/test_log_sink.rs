//! The log sink: it never blocks the process, and counts the lines that it leaves out.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use stackcourse_daemon::dispatch::log_sink::LogSink;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Kind;
use stackcourse_lib::prelude::Mono;

#[derive(Default)]
struct Pipe {
    /// Whether the reader accepts data.
    open: bool,
    received: Vec<u8>,
}

/// A reader that blocks until it is released.
#[derive(Clone, Default)]
struct BlockingReader {
    pipe: Arc<Mutex<Pipe>>,
    changed: Arc<Condvar>,
}

impl BlockingReader {
    fn release(&self) {
        self.pipe.lock().expect("an unpoisoned lock").open = true;
        self.changed.notify_all();
    }

    /// Waits until the reader has received `word` and returns all that it has received.
    fn wait_for(&self, word: &str) -> String {
        let deadline = Instant::now() + Duration::from_secs(20);
        loop {
            let text = self.text();
            if text.contains(word) {
                return text;
            }
            assert!(Instant::now() < deadline, "{word} is not written");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn text(&self) -> String {
        let bytes = self
            .pipe
            .lock()
            .expect("an unpoisoned lock")
            .received
            .clone();
        String::from_utf8(bytes).expect("text")
    }
}

impl Write for BlockingReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let pipe = self.pipe.lock().expect("an unpoisoned lock");
        let waited = self.changed.wait_while(pipe, |p| !p.open);
        waited
            .expect("an unpoisoned lock")
            .received
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn lines_with(text: &str, word: &str) -> usize {
    text.lines().filter(|l| l.contains(word)).count()
}

#[test]
fn test_log_sink_blocked_reader() {
    let reader = BlockingReader::default();
    let mut sink = LogSink::new("n", reader.clone());
    let start = Instant::now();
    // The events are spread over many seconds, so that the queue is exhausted rather than the budget of a
    // second.
    for second in 0..60u64 {
        for _ in 0..120 {
            sink.log(Mono(second * 1_000_000), &Event::new(Kind::JobTaken, "x"));
        }
    }
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "logging does not block"
    );
    assert!(sink.dropped() > 0);
    reader.release();
    // The queue drains, so that the last line fits.
    std::thread::sleep(Duration::from_millis(400));
    let dropped = sink.dropped();
    sink.log(Mono(99_000_000), &Event::new(Kind::JobTaken, "last"));
    let text = reader.wait_for("\"last\"");
    let last = text.lines().last().expect("a line");
    assert!(last.contains(&format!("\"dropped\":{dropped}")), "{last}");
    let written = text.lines().count() as u64;
    assert_eq!(
        written + dropped,
        60 * 120 + 1,
        "each line is written or counted"
    );
}

#[test]
fn test_log_sink_rate_limit() {
    let reader = BlockingReader::default();
    reader.release();
    let mut sink = LogSink::new("n", reader.clone());
    for _ in 0..500 {
        sink.log(Mono(1), &Event::new(Kind::JobTaken, "often"));
        sink.log(Mono(1), &Event::new(Kind::LeaseOver, "warning"));
    }
    sink.log(Mono(1_500_000), &Event::new(Kind::JobTaken, "later"));
    let text = reader.wait_for("later");
    let (often, warnings) = (lines_with(&text, "often"), lines_with(&text, "\"warning\""));
    assert!(
        often < warnings,
        "{often} informational lines, {warnings} warnings"
    );
    assert!(
        text.contains(&format!("\"left_out\":{}", 500 - often)),
        "{text}"
    );
}
