//! Settings of the processes, read from JSON files. All findings are reported together.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use stackcourse_lib::agent::AgentSetup;
use stackcourse_lib::configuration::good_name;
use stackcourse_lib::configuration::read_room;
use stackcourse_lib::entry::EntrySetup;
use stackcourse_lib::findings::Fields;
use stackcourse_lib::findings::Finding;
use stackcourse_lib::findings::Findings;
use stackcourse_lib::placement::Policy;
use stackcourse_lib::room::Room;
use thiserror::Error;

use crate::logging::LogFormat;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file} can't be read")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file has findings.
    #[error("the settings have {} findings", .0.len())]
    Findings(Vec<Finding>),
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// What concerns decisions.
    pub setup: EntrySetup,
    /// Where callers are served.
    pub http: SocketAddr,
    /// Where peers and agents are served.
    pub listen: SocketAddr,
    /// The store's base URL.
    pub store: String,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// For how long a leaving entry goes on answering after it has nothing left to do.
    pub linger: Duration,
    /// How logs are written.
    pub log: LogSettings,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// What concerns decisions.
    pub setup: AgentSetup,
    /// Entries to begin with; they tell of the others.
    pub entries: Vec<SocketAddr>,
    /// The back end's base URL.
    pub backend: String,
    /// The most connections to the back end.
    pub connections: usize,
    /// How long an idle connection to the back end is kept; to be below the back end's own bound.
    pub keepalive: Duration,
    /// The largest answer of the back end, in bytes.
    pub answer_bytes: usize,
    /// Where metrics and health are served, if anywhere.
    pub http: Option<SocketAddr>,
    /// How logs are written.
    pub log: LogSettings,
}

/// How logs are written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The least level: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// Text or JSON lines.
    pub format: LogFormat,
}

/// Settings that are read from a JSON file.
pub trait Settings: Sized {
    /// Reads them from a document, reporting what is wrong with it. What is returned beside a
    /// finding is not used.
    fn read(value: &Value, findings: &mut Findings) -> Option<Self>;

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// When the file can't be read, or every finding about it.
    fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(source) => Err(SettingsError::Unreadable { file, source }),
        }
    }

    /// Reads settings from the text of a file.
    ///
    /// # Errors
    ///
    /// Every finding.
    fn parse(file: &str, text: &[u8]) -> Result<Self, SettingsError> {
        let mut findings = Findings::new(file);
        let read = findings
            .parse(text)
            .and_then(|value| Self::read(&value, &mut findings));
        finish(read, findings)
    }
}

impl Settings for EntrySettings {
    fn read(value: &Value, findings: &mut Findings) -> Option<EntrySettings> {
        read_entry(value, findings)
    }
}

impl Settings for AgentSettings {
    fn read(value: &Value, findings: &mut Findings) -> Option<AgentSettings> {
        read_agent(value, findings)
    }
}

fn finish<T>(read: Option<T>, findings: Findings) -> Result<T, SettingsError> {
    match read {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(SettingsError::Findings(findings.into_list())),
    }
}

fn read_entry(value: &Value, findings: &mut Findings) -> Option<EntrySettings> {
    let mut f = Fields::new(value, "", findings)?;
    let name = read_name(&mut f, findings);
    let mut setup = EntrySetup::new(&name, rand::random());
    setup.zone = f.text("zone", None, findings);
    let http = address(&mut f, "http", None, findings);
    let listen = address(&mut f, "listen", None, findings);
    setup.address = advertised(&mut f, "advertise", listen, findings);
    setup.http = advertised(&mut f, "advertise_http", http, findings);
    let store = f.text("store", None, findings);
    setup.shards = f.number("shards", u64::from(setup.shards), 1..=4_096, findings) as u32;
    let tenure = &mut setup.tenure;
    span(
        &mut f,
        "lease_ms",
        &mut tenure.lease,
        500..=60_000,
        findings,
    );
    span(
        &mut f,
        "ride_ms",
        &mut tenure.max_extension,
        1_000..=3_600_000,
        findings,
    );
    span(
        &mut f,
        "promise_ms",
        &mut tenure.promise,
        300..=60_000,
        findings,
    );
    span(
        &mut f,
        "confirm_ms",
        &mut setup.read_interval,
        50..=30_000,
        findings,
    );
    span(
        &mut f,
        "beat_ms",
        &mut setup.heartbeat_interval,
        50..=10_000,
        findings,
    );
    span(
        &mut f,
        "suspect_ms",
        &mut setup.suspect_timeout,
        200..=60_000,
        findings,
    );
    span(
        &mut f,
        "strike_ms",
        &mut setup.removal_timeout,
        5_000..=3_600_000,
        findings,
    );
    span(&mut f, "grace_ms", &mut setup.grace, 100..=60_000, findings);
    span(
        &mut f,
        "horizon_ms",
        &mut setup.horizon,
        60_000..=86_400_000,
        findings,
    );
    span(
        &mut f,
        "ahead_ms",
        &mut setup.max_ahead,
        0..=600_000,
        findings,
    );
    span(&mut f, "skew_ms", &mut setup.skew, 0..=60_000, findings);
    span(
        &mut f,
        "wait_ms",
        &mut setup.max_wait,
        10..=600_000,
        findings,
    );
    span(
        &mut f,
        "park_ms",
        &mut setup.owner_timeout,
        100..=600_000,
        findings,
    );
    let budget = setup.budget as u64;
    setup.budget = f.number("budget_bytes", budget, 1 << 20..=1 << 40, findings) as usize;
    setup.policy = f.word("policy", &POLICIES, findings);
    let settings = EntrySettings {
        http,
        listen,
        store,
        body_bytes: f.number("body_bytes", 4 << 20, 1_024..=12 << 20, findings) as usize,
        linger: Duration::from_millis(f.number("linger_ms", 3_000, 0..=600_000, findings)),
        log: read_log(&mut f, findings),
        setup,
    };
    f.finish(findings);
    check_spans(&settings.setup, findings);
    Some(settings)
}

const POLICIES: [(&str, Policy); 5] = [
    ("least-fill", Policy::LeastFill),
    ("two-choices", Policy::TwoChoices),
    ("least-own", Policy::LeastOwn),
    ("round-robin", Policy::RoundRobin),
    ("random", Policy::Random),
];

/// Spans that only work together.
fn check_spans(setup: &EntrySetup, findings: &mut Findings) {
    if setup.read_interval * 2 > setup.tenure.lease {
        let message = "must be at most half of `lease_ms`, or the right lapses between reads";
        findings.add("/confirm_ms", message);
    }
    if setup.heartbeat_interval * 3 > setup.suspect_timeout {
        let message = "must be at most a third of `suspect_ms`, or healthy peers are suspected";
        findings.add("/beat_ms", message);
    }
    if setup.heartbeat_interval * 3 > setup.tenure.promise {
        let message = "must be at most a third of `promise_ms`, or promises lapse between beats";
        findings.add("/beat_ms", message);
    }
    if setup.tenure.max_extension < setup.tenure.lease {
        findings.add("/ride_ms", "must be at least `lease_ms`");
    }
}

fn read_agent(value: &Value, findings: &mut Findings) -> Option<AgentSettings> {
    let mut f = Fields::new(value, "", findings)?;
    let name = read_name(&mut f, findings);
    let room = match f.value("room") {
        Some(value) => read_room(value, "/room", findings),
        None => {
            findings.add("/room", "is required: what the backend server has to give");
            Room::TASK
        }
    };
    let mut setup = AgentSetup::new(&name, rand::random(), room);
    setup.zone = f.text("zone", None, findings);
    setup.hall = f.text("hall", None, findings);
    let entries = addresses(&mut f, "entries", findings);
    let backend = f.text("backend", None, findings);
    if !backend.starts_with("http://") && !backend.is_empty() {
        findings.add("/backend", "must be a URL that begins with `http://`");
    }
    let queue = setup.queue as u64;
    setup.queue = f.number("queue", queue, 1..=100_000, findings) as usize;
    span(
        &mut f,
        "horizon_ms",
        &mut setup.horizon,
        60_000..=86_400_000,
        findings,
    );
    span(&mut f, "skew_ms", &mut setup.skew, 0..=60_000, findings);
    let budget = setup.budget as u64;
    setup.budget = f.number("budget_bytes", budget, 0..=1 << 40, findings) as usize;
    span(&mut f, "renew_ms", &mut setup.renew, 50..=2_000, findings);
    span(&mut f, "idle_ms", &mut setup.idle, 50..=2_500, findings);
    span(
        &mut f,
        "standby_ms",
        &mut setup.standby,
        50..=18_000,
        findings,
    );
    let http = f.value("http").is_some();
    let settings = AgentSettings {
        entries,
        backend,
        connections: f.number("connections", 60, 1..=10_000, findings) as usize,
        keepalive: Duration::from_millis(f.number("keepalive_ms", 2_000, 0..=600_000, findings)),
        answer_bytes: f.number("answer_bytes", 1 << 20, 64..=8 << 20, findings) as usize,
        http: http.then(|| address(&mut f, "http", None, findings)),
        log: read_log(&mut f, findings),
        setup,
    };
    f.finish(findings);
    Some(settings)
}

fn read_name(f: &mut Fields<'_>, findings: &mut Findings) -> String {
    let name = f.text("name", None, findings);
    if !name.is_empty() && !good_name(&name) {
        let message = "a name has 1 to 64 of the characters a-z, A-Z, 0-9, `-`, `_` and `.`";
        findings.add("/name", message);
    }
    name
}

fn read_log(f: &mut Fields<'_>, findings: &mut Findings) -> LogSettings {
    let levels = [
        ("info", "info"),
        ("error", "error"),
        ("warn", "warn"),
        ("debug", "debug"),
    ];
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    LogSettings {
        level: f.word("log_level", &levels, findings).to_owned(),
        format: f.word("log_format", &formats, findings),
    }
}

fn span(
    f: &mut Fields<'_>,
    name: &'static str,
    value: &mut Duration,
    range: std::ops::RangeInclusive<u64>,
    findings: &mut Findings,
) {
    let default = value.as_millis() as u64;
    *value = Duration::from_millis(f.number(name, default, range, findings));
}

fn address(
    f: &mut Fields<'_>,
    name: &'static str,
    default: Option<&str>,
    findings: &mut Findings,
) -> SocketAddr {
    let text = f.text(name, default, findings);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    if text.is_empty() {
        return nowhere;
    }
    text.parse().unwrap_or_else(|_| {
        let message = format!("must be an IP address and port, is `{text}`");
        findings.add(&f.at(name), message);
        nowhere
    })
}

/// Where others reach this process, if not where it listens.
fn advertised(
    f: &mut Fields<'_>,
    name: &'static str,
    listen: SocketAddr,
    findings: &mut Findings,
) -> String {
    let default = listen.to_string();
    address(f, name, Some(&default), findings).to_string()
}

fn addresses(f: &mut Fields<'_>, name: &'static str, findings: &mut Findings) -> Vec<SocketAddr> {
    let texts = f.texts(name, findings).unwrap_or_default();
    if texts.is_empty() {
        findings.add(&f.at(name), "must list at least one IP address and port");
    }
    let mut addresses = Vec::new();
    for (i, text) in texts.iter().enumerate() {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => {
                let place = format!("{}/{i}", f.at(name));
                let message = format!("must be an IP address and port, is `{text}`");
                findings.add(&place, message);
            }
        }
    }
    addresses
}

#[cfg(test)]
mod tests;
