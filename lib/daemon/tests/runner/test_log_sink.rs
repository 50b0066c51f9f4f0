//! Log lines never hold a process up.

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
    /// Whether the reader takes what comes.
    open: bool,
    taken: Vec<u8>,
}

/// A reader that takes nothing until it is let go.
#[derive(Clone, Default)]
struct Stuck {
    pipe: Arc<Mutex<Pipe>>,
    changed: Arc<Condvar>,
}

impl Stuck {
    fn let_go(&self) {
        self.pipe.lock().expect("a lock").open = true;
        self.changed.notify_all();
    }

    /// What it has taken, once that holds `word`.
    fn wait_for(&self, word: &str) -> String {
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let text = self.text();
            if text.contains(word) {
                return text;
            }
            assert!(Instant::now() < end, "{word} does not come");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn text(&self) -> String {
        let bytes = self.pipe.lock().expect("a lock").taken.clone();
        String::from_utf8(bytes).expect("text")
    }
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let pipe = self.pipe.lock().expect("a lock");
        let waited = self.changed.wait_while(pipe, |p| !p.open);
        waited.expect("a lock").taken.extend_from_slice(bytes);
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
fn test_log_sink_drops_and_counts_while_its_reader_stands_still() {
    let stuck = Stuck::default();
    let mut sink = LogSink::new("n", stuck.clone());
    let begun = Instant::now();
    // A second of many events each, so that the queue, not the budget, is what is full.
    for second in 0..60u64 {
        for _ in 0..120 {
            sink.log(Mono(second * 1_000_000), &Event::new(Kind::JobTaken, "x"));
        }
    }
    assert!(begun.elapsed() < Duration::from_secs(2), "nothing waited");
    assert!(sink.dropped() > 0);
    stuck.let_go();
    // The queue empties, so that the last line finds room.
    std::thread::sleep(Duration::from_millis(400));
    let dropped = sink.dropped();
    sink.log(Mono(99_000_000), &Event::new(Kind::JobTaken, "last"));
    let text = stuck.wait_for("\"last\"");
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
fn test_log_sink_leaves_out_what_comes_too_often_and_says_how_much() {
    let stuck = Stuck::default();
    stuck.let_go();
    let mut sink = LogSink::new("n", stuck.clone());
    for _ in 0..500 {
        sink.log(Mono(1), &Event::new(Kind::JobTaken, "often"));
        sink.log(Mono(1), &Event::new(Kind::LeaseOver, "warning"));
    }
    sink.log(Mono(1_500_000), &Event::new(Kind::JobTaken, "later"));
    let text = stuck.wait_for("later");
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
