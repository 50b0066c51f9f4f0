//! Settings of the entry and agent processes, read from JSON files.
//!
//! A file is checked completely: all findings are reported together, and settings with a finding are never
//! used.

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use stackcourse_lib::agent::AgentSetup;
use stackcourse_lib::configuration::good_name;
use stackcourse_lib::configuration::read_room;
use stackcourse_lib::dispatch::connections::Budget;
use stackcourse_lib::dispatch::connections::LimitSettings;
use stackcourse_lib::entry::EntrySetup;
use stackcourse_lib::findings::Fields;
use stackcourse_lib::findings::Finding;
use stackcourse_lib::findings::Findings;
use stackcourse_lib::placement::Policy;
use stackcourse_lib::room::Room;
use thiserror::Error;

use crate::logging::LogFormat;
use crate::process_limits;

/// The reason why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file} can't be read")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file has findings.
    #[error("the settings have {} findings", .0.len())]
    Findings(Vec<Finding>),
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The settings that the state machine's decisions depend on.
    pub setup: EntrySetup,
    /// The address at which callers are served.
    pub http: SocketAddr,
    /// The address at which links from peers and agents are accepted.
    pub listen: SocketAddr,
    /// The base URL of the store.
    pub store: String,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The least time for which a leaving entry goes on answering, even if it is drained sooner.
    pub linger: Duration,
    /// What the process may use and clients may make it hold.
    pub limits: LimitSettings,
    /// How logs are written.
    pub log: LogSettings,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The settings that the state machine's decisions depend on.
    pub setup: AgentSetup,
    /// The addresses of the entries to link first. These announce the other entries.
    pub entries: Vec<SocketAddr>,
    /// The base URL of the backend server.
    pub backend: String,
    /// The largest number of connections to the backend server.
    pub connections: usize,
    /// The time for which an idle connection to the backend server is kept. It must be shorter than the
    /// backend server's own idle timeout.
    pub keepalive: Duration,
    /// The largest answer of the backend server, in bytes.
    pub answer_bytes: usize,
    /// The address at which metrics and health are served, if any.
    pub http: Option<SocketAddr>,
    /// What the process may use and clients may make it hold.
    pub limits: LimitSettings,
    /// How logs are written.
    pub log: LogSettings,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogSettings {
    /// The lowest level that is logged: `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// The format of the log lines.
    pub format: LogFormat,
}

/// Settings that are read from a JSON file.
pub trait Settings: Sized {
    /// Reads the settings from a document and adds what is wrong with it to `findings`. The returned settings
    /// are ignored if there is a finding.
    fn read(value: &Value, findings: &mut Findings) -> Option<Self>;

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or all findings in the file.
    fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(source) => Err(SettingsError::Unreadable { file, source }),
        }
    }

    /// Reads settings from the text of a file. `file` names the file in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings in the text.
    fn parse(file: &str, text: &[u8]) -> Result<Self, SettingsError> {
        let mut findings = Findings::new(file);
        let read = findings
            .parse(text)
            .and_then(|value| Self::read(&value, &mut findings));
        into_result(read, findings)
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

fn into_result<T>(read: Option<T>, findings: Findings) -> Result<T, SettingsError> {
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
    let http = read_address(&mut f, "http", None, findings);
    let listen = read_address(&mut f, "listen", None, findings);
    setup.address = read_advertised_address(&mut f, "advertise", listen, findings);
    setup.http = read_advertised_address(&mut f, "advertise_http", http, findings);
    let store = f.text("store", None, findings);
    setup.shards = f.number("shards", u64::from(setup.shards), 1..=4_096, findings) as u32;
    let tenure = &mut setup.tenure;
    read_duration(
        &mut f,
        "lease_ms",
        &mut tenure.lease,
        500..=60_000,
        findings,
    );
    read_duration(
        &mut f,
        "ride_ms",
        &mut tenure.max_extension,
        1_000..=3_600_000,
        findings,
    );
    read_duration(
        &mut f,
        "promise_ms",
        &mut tenure.promise,
        300..=60_000,
        findings,
    );
    read_duration(
        &mut f,
        "confirm_ms",
        &mut setup.read_interval,
        50..=30_000,
        findings,
    );
    read_duration(
        &mut f,
        "beat_ms",
        &mut setup.heartbeat_interval,
        50..=10_000,
        findings,
    );
    read_duration(
        &mut f,
        "suspect_ms",
        &mut setup.suspect_timeout,
        200..=60_000,
        findings,
    );
    read_duration(
        &mut f,
        "strike_ms",
        &mut setup.removal_timeout,
        5_000..=3_600_000,
        findings,
    );
    read_duration(&mut f, "grace_ms", &mut setup.grace, 100..=60_000, findings);
    read_duration(
        &mut f,
        "horizon_ms",
        &mut setup.horizon,
        60_000..=86_400_000,
        findings,
    );
    read_duration(
        &mut f,
        "ahead_ms",
        &mut setup.max_ahead,
        0..=600_000,
        findings,
    );
    read_duration(&mut f, "skew_ms", &mut setup.skew, 0..=60_000, findings);
    read_duration(
        &mut f,
        "wait_ms",
        &mut setup.max_wait,
        10..=600_000,
        findings,
    );
    read_duration(
        &mut f,
        "park_ms",
        &mut setup.owner_timeout,
        100..=600_000,
        findings,
    );
    let budget = setup.budget as u64;
    setup.budget = f.number("budget_bytes", budget, 1 << 20..=1 << 40, findings) as usize;
    setup.policy = f.word("policy", &PLACEMENT_POLICIES, findings);
    let settings = EntrySettings {
        http,
        listen,
        store,
        body_bytes: f.number("body_bytes", 4 << 20, 1_024..=12 << 20, findings) as usize,
        linger: Duration::from_millis(f.number("linger_ms", 3_000, 0..=600_000, findings)),
        limits: read_limits(&mut f, findings),
        log: read_log(&mut f, findings),
        setup,
    };
    f.finish(findings);
    check_durations(&settings.setup, findings);
    check_body_bytes(&settings, findings);
    Some(settings)
}

const PLACEMENT_POLICIES: [(&str, Policy); 5] = [
    ("least-fill", Policy::LeastFill),
    ("two-choices", Policy::TwoChoices),
    ("least-own", Policy::LeastOwn),
    ("round-robin", Policy::RoundRobin),
    ("random", Policy::Random),
];

/// Adds a finding if a body of the largest size can't be held on this box.
fn check_body_bytes(settings: &EntrySettings, findings: &mut Findings) {
    let budget = Budget::new(process_limits::read(), &settings.limits);
    let largest = budget.largest_body();
    if settings.body_bytes > largest {
        let message =
            format!("must be at most {largest}, which clients may make this process hold");
        findings.add("/body_bytes", &message);
    }
}

/// Adds a finding for each duration that does not fit another one.
fn check_durations(setup: &EntrySetup, findings: &mut Findings) {
    if setup.read_interval * 2 > setup.tenure.lease {
        let message =
            "must be at most half of `lease_ms`, or the right to act expires between reads";
        findings.add("/confirm_ms", message);
    }
    if setup.heartbeat_interval * 3 > setup.suspect_timeout {
        let message = "must be at most a third of `suspect_ms`, or healthy peers are suspected";
        findings.add("/beat_ms", message);
    }
    if setup.heartbeat_interval * 3 > setup.tenure.promise {
        let message =
            "must be at most a third of `promise_ms`, or promises expire between heartbeats";
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
            findings.add("/room", "is required: the capacity of the backend server");
            Room::TASK
        }
    };
    let mut setup = AgentSetup::new(&name, rand::random(), room);
    setup.zone = f.text("zone", None, findings);
    setup.hall = f.text("hall", None, findings);
    let entries = read_addresses(&mut f, "entries", findings);
    let backend = f.text("backend", None, findings);
    if !backend.starts_with("http://") && !backend.is_empty() {
        findings.add("/backend", "must be a URL that begins with `http://`");
    }
    let queue = setup.queue as u64;
    setup.queue = f.number("queue", queue, 1..=100_000, findings) as usize;
    read_duration(
        &mut f,
        "horizon_ms",
        &mut setup.horizon,
        60_000..=86_400_000,
        findings,
    );
    read_duration(&mut f, "skew_ms", &mut setup.skew, 0..=60_000, findings);
    let budget = setup.budget as u64;
    setup.budget = f.number("budget_bytes", budget, 0..=1 << 40, findings) as usize;
    read_duration(&mut f, "renew_ms", &mut setup.renew, 50..=2_000, findings);
    read_duration(&mut f, "idle_ms", &mut setup.idle, 50..=2_500, findings);
    read_duration(
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
        http: http.then(|| read_address(&mut f, "http", None, findings)),
        limits: read_limits(&mut f, findings),
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

fn read_limits(f: &mut Fields<'_>, findings: &mut Findings) -> LimitSettings {
    let limits = LimitSettings {
        memory_mb: read_limit(f, "memory_mb", findings),
        descriptors: read_limit(f, "descriptors", findings),
        client_memory_mb: read_limit(f, "client_memory_mb", findings),
        client_connections: read_limit(f, "client_connections", findings),
    };
    for conflict in limits.conflicts() {
        findings.add("", conflict.to_string());
    }
    limits
}

/// Reads a limit. Without it the process finds out by itself.
fn read_limit(
    f: &mut Fields<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Option<NonZeroU32> {
    f.value(name)?;
    let number = f.number(name, 1, 1..=u64::from(u32::MAX), findings);
    NonZeroU32::new(u32::try_from(number).ok()?)
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

fn read_duration(
    f: &mut Fields<'_>,
    name: &'static str,
    value: &mut Duration,
    range: std::ops::RangeInclusive<u64>,
    findings: &mut Findings,
) {
    let default = value.as_millis() as u64;
    *value = Duration::from_millis(f.number(name, default, range, findings));
}

fn read_address(
    f: &mut Fields<'_>,
    name: &'static str,
    default: Option<&str>,
    findings: &mut Findings,
) -> SocketAddr {
    let text = f.text(name, default, findings);
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    if text.is_empty() {
        return placeholder;
    }
    text.parse().unwrap_or_else(|_| {
        let message = format!("must be an IP address and port, is `{text}`");
        findings.add(&f.at(name), message);
        placeholder
    })
}

/// Reads the address at which other processes reach this one. Defaults to `listen`.
fn read_advertised_address(
    f: &mut Fields<'_>,
    name: &'static str,
    listen: SocketAddr,
    findings: &mut Findings,
) -> String {
    let default = listen.to_string();
    read_address(f, name, Some(&default), findings).to_string()
}

fn read_addresses(
    f: &mut Fields<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Vec<SocketAddr> {
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
