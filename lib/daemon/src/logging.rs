//! Logging of numbered events to standard error, as lines of text or of JSON.

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;
use serde_json::json;
use stackcourse_lib::event::Event;
use stackcourse_lib::event::Level;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event and line.
    Json,
}

/// Starts logging. Dropping the returned handle stops it.
///
/// # Errors
///
/// Returns an error if a logger was started before or `level` is not a valid level.
pub fn start(level: &str, format: LogFormat) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::try_with_str(level)?;
    let write = match format {
        LogFormat::Text => text_line,
        LogFormat::Json => json_line,
    };
    logger.log_to_stderr().format(write).start()
}

/// Logs an event at the level of its kind.
pub fn log_event(event: &Event) {
    let level = match event.kind.level() {
        Level::Error => log::Level::Error,
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
    };
    log::log!(level, "{event}");
}

fn text_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f%:z");
    write!(out, "{time} {:5} {}", record.level(), record.args())
}

fn json_line(
    out: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let text = record.args().to_string();
    let code = text.split(' ').next().filter(|w| is_event_code(w));
    let line = json!({
        "time": now.format("%Y-%m-%dT%H:%M:%S%.3f%:z").to_string(),
        "level": record.level().as_str(),
        "event": code,
        "text": code.map_or(text.as_str(), |c| text[c.len()..].trim_start()),
    });
    write!(out, "{line}")
}

fn is_event_code(word: &str) -> bool {
    let digits = word.strip_prefix("SC");
    digits.is_some_and(|d| d.len() == 3 && d.bytes().all(|b| b.is_ascii_digit()))
}
