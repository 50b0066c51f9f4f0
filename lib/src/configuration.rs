//! The declarative configuration that operators write: which services exist, where their tasks may run, how
//! much capacity each may use, and which teams share it.
//!
//! A document is accepted or rejected as a whole: [`Configuration::parse`] returns either the configuration
//! or all findings about it.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::findings::Fields;
use crate::findings::Finding;
use crate::findings::Findings;
use crate::findings::escape;
use crate::findings::kind;
use crate::room::Room;

/// The maximum size of a document, in bytes. The store holds values of up to one MiB, and the other fields of
/// the stored version need some of it.
pub const MAX_BYTES: usize = 1_000_000;

/// The team of services that don't name one. It has no quota.
pub const DEFAULT_TEAM: &str = "default";

/// Matches every hall or availability zone in the lists of a service.
pub const ANYWHERE: &str = "*";

/// Whether requests to a service may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// The guarantees that apply to every job suffice.
    #[default]
    Safe,
    /// In addition, a claim is written to the store before any task of a job starts.
    Never,
}

/// What a deployment optimizes for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Favour {
    /// Response time: queues are kept short. A job that would wait too long is refused at once, with the time
    /// after which to retry.
    #[default]
    Time,
    /// Few wasted messages: a job waits for as long as its deadline allows, so that few requests are refused
    /// and sent again.
    Messages,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The halls in which its tasks may run; `*` for all.
    pub halls: Vec<String>,
    /// The availability zones in which its tasks may run; `*` for all.
    pub zones: Vec<String>,
    /// The backend servers on which its tasks may run, by the names of their agents; all if empty.
    #[serde(default)]
    pub backends: Vec<String>,
    /// The resources of a backend server that one task takes.
    #[serde(default)]
    pub need: Room,
    /// Whether requests to it may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// The team whose quota its tasks use.
    pub team: String,
    /// The maximum number of its tasks that run at once; 0 for no limit.
    #[serde(default)]
    pub capacity: u32,
}

/// The configuration of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The maximum number of its tasks that run at once.
    pub quota: u32,
    /// Its weight relative to other teams when tasks have to wait for a slot.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// Limits for the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of tasks that may wait at one entry.
    pub queue: u32,
    /// The number of entries that own shards; 0 for all entries. With fewer owners, each sees more of the
    /// load and places tasks better; more owners can handle more requests.
    pub owners: u32,
    /// The deadline of jobs that don't state one, in milliseconds.
    pub deadline_ms: u64,
    /// The longest deadline that a job may state, in milliseconds.
    pub longest_ms: u64,
    /// What the system optimizes for.
    pub favour: Favour,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue: 20_000,
            owners: 1,
            deadline_ms: 10_000,
            longest_ms: 60_000,
            favour: Favour::Time,
        }
    }
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The teams by name.
    #[serde(default)]
    pub teams: BTreeMap<String, Team>,
    /// Limits for the whole system.
    #[serde(default)]
    pub limits: Limits,
}

/// The location of a worker, which decides the services that may run there.
#[derive(Clone, Copy, Debug)]
pub struct Site<'a> {
    /// The name of its agent.
    pub name: &'a str,
    /// The hall it is in.
    pub hall: &'a str,
    /// The availability zone it is in.
    pub zone: &'a str,
}

impl Service {
    /// Returns whether its tasks may run at a worker.
    pub fn permits(&self, site: Site<'_>) -> bool {
        let within = |list: &[String], word: &str| list.iter().any(|l| l == ANYWHERE || l == word);
        within(&self.halls, site.hall)
            && within(&self.zones, site.zone)
            && (self.backends.is_empty() || within(&self.backends, site.name))
    }

    /// Returns the resources that one task takes; at least one slot.
    pub fn task_room(&self) -> Room {
        Room {
            slots: self.need.slots.max(1),
            ..self.need
        }
    }
}

impl Configuration {
    /// Parses a document. `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(file: &str, text: &[u8]) -> Result<Configuration, Vec<Finding>> {
        let mut findings = Findings::new(file);
        if text.len() > MAX_BYTES {
            let message = format!("has {} bytes; the maximum is {MAX_BYTES}", text.len());
            findings.add("", message);
            return Err(findings.into_list());
        }
        let Some(value) = findings.parse(text) else {
            return Err(findings.into_list());
        };
        let configuration = read(&value, &mut findings);
        if findings.is_empty() {
            Ok(configuration)
        } else {
            Err(findings.into_list())
        }
    }

    /// Returns the JSON schema of a document.
    pub fn schema() -> Value {
        schemars::schema_for!(Configuration).to_value()
    }

    /// Returns the part that applies to one agent.
    pub fn part(&self, version: u64, site: Site<'_>) -> AgentPart {
        let permitted = self.services.iter().filter(|(_, s)| s.permits(site));
        AgentPart {
            version,
            services: permitted
                .map(|(name, s)| (name.clone(), s.task_room()))
                .collect(),
        }
    }

    /// Returns the changes from this configuration to `next`, one line each.
    pub fn diff(&self, next: &Configuration) -> Vec<String> {
        let old = serde_json::to_value(self).unwrap_or_default();
        let new = serde_json::to_value(next).unwrap_or_default();
        let mut lines = Vec::new();
        diff_values("", &old, &new, &mut lines);
        lines
    }
}

fn diff_values(pointer: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    if old == new {
        return;
    }
    let (Value::Object(a), Value::Object(b)) = (old, new) else {
        lines.push(format!("~ {pointer}: {old} -> {new}"));
        return;
    };
    for (name, before) in a {
        let place = format!("{pointer}/{}", escape(name));
        match b.get(name) {
            Some(after) => diff_values(&place, before, after, lines),
            None => lines.push(format!("- {place}: {before}")),
        }
    }
    for (name, after) in b.iter().filter(|(n, _)| !a.contains_key(*n)) {
        lines.push(format!("+ {pointer}/{}: {after}", escape(name)));
    }
}

fn read(value: &Value, findings: &mut Findings) -> Configuration {
    let Some(mut fields) = Fields::new(value, "", findings) else {
        return Configuration::default();
    };
    let teams = match fields.value("teams") {
        Some(v) => read_map(v, "/teams", findings, read_team),
        None => BTreeMap::new(),
    };
    let services = match fields.value("services") {
        Some(v) => read_map(v, "/services", findings, read_service),
        None => {
            findings.add("/services", "is required");
            BTreeMap::new()
        }
    };
    let limits = match fields.value("limits") {
        Some(v) => read_limits(v, findings),
        None => Limits::default(),
    };
    fields.finish(findings);
    for (name, service) in &services {
        let known = service.team == DEFAULT_TEAM || teams.contains_key(&service.team);
        if !known {
            let place = format!("/services/{}/team", escape(name));
            let message = format!("team `{}` is not defined under /teams", service.team);
            findings.add(&place, message);
        }
    }
    Configuration {
        services,
        teams,
        limits,
    }
}

fn read_map<T>(
    value: &Value,
    pointer: &str,
    findings: &mut Findings,
    item: fn(&Value, &str, &mut Findings) -> Option<T>,
) -> BTreeMap<String, T> {
    let Value::Object(map) = value else {
        findings.add(pointer, format!("must be an object, is {}", kind(value)));
        return BTreeMap::new();
    };
    let mut read = BTreeMap::new();
    for (name, value) in map {
        let place = format!("{pointer}/{}", escape(name));
        if !good_name(name) {
            let message = "a name has 1 to 64 of the characters a-z, A-Z, 0-9, `-`, `_` and `.`";
            findings.add(&place, message);
        }
        if let Some(t) = item(value, &place, findings) {
            read.insert(name.clone(), t);
        }
    }
    read
}

/// Returns whether a name is valid, that is, usable in URL paths and metric labels.
pub fn good_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=64).contains(&name.len()) && name.chars().all(is_allowed)
}

fn read_team(value: &Value, pointer: &str, findings: &mut Findings) -> Option<Team> {
    let mut fields = Fields::new(value, pointer, findings)?;
    if fields.value("quota").is_none() {
        findings.add(&fields.at("quota"), "is required");
    }
    let team = Team {
        quota: fields.number("quota", 0, 0..=1_000_000, findings) as u32,
        weight: fields.number("weight", 1, 1..=1_000, findings) as u32,
    };
    fields.finish(findings);
    Some(team)
}

fn read_service(value: &Value, pointer: &str, findings: &mut Findings) -> Option<Service> {
    let mut fields = Fields::new(value, pointer, findings)?;
    let halls = read_places(&mut fields, "halls", findings);
    let zones = read_places(&mut fields, "zones", findings);
    let repeats = [("safe", Repeat::Safe), ("never", Repeat::Never)];
    let service = Service {
        halls,
        zones,
        backends: fields.texts("backends", findings).unwrap_or_default(),
        need: match fields.value("need") {
            Some(v) => read_room(v, &fields.at("need"), findings),
            None => Room::TASK,
        },
        repeat: fields.word("repeat", &repeats, findings),
        team: fields.text("team", Some(DEFAULT_TEAM), findings),
        capacity: fields.number("capacity", 0, 0..=1_000_000, findings) as u32,
    };
    fields.finish(findings);
    Some(service)
}

/// Reads a list of halls or zones. It is required, so that running anywhere is an explicit choice.
fn read_places(
    fields: &mut Fields<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Vec<String> {
    let places = fields.texts(name, findings);
    if places.as_ref().is_none_or(Vec::is_empty) {
        let message = "must list at least one place; `[\"*\"]` permits all";
        findings.add(&fields.at(name), message);
    }
    places.unwrap_or_default()
}

/// Reads resources, of a service's tasks or in the settings of an agent.
pub fn read_room(value: &Value, pointer: &str, findings: &mut Findings) -> Room {
    let Some(mut fields) = Fields::new(value, pointer, findings) else {
        return Room::TASK;
    };
    let room = Room {
        slots: fields.number("slots", 1, 1..=10_000, findings) as u32,
        accelerators: fields.number("accelerators", 0, 0..=1_000, findings) as u32,
        cores: fields.number("cores", 0, 0..=10_000, findings) as u32,
        memory_mb: fields.number("memory_mb", 0, 0..=100_000_000, findings) as u32,
    };
    fields.finish(findings);
    room
}

fn read_limits(value: &Value, findings: &mut Findings) -> Limits {
    let default = Limits::default();
    let Some(mut fields) = Fields::new(value, "/limits", findings) else {
        return default;
    };
    let favours = [("time", Favour::Time), ("messages", Favour::Messages)];
    let queue = u64::from(default.queue);
    let owners = u64::from(default.owners);
    let limits = Limits {
        queue: fields.number("queue", queue, 1..=1_000_000, findings) as u32,
        owners: fields.number("owners", owners, 0..=10_000, findings) as u32,
        deadline_ms: fields.number("deadline_ms", default.deadline_ms, 1..=600_000, findings),
        longest_ms: fields.number("longest_ms", default.longest_ms, 1..=600_000, findings),
        favour: fields.word("favour", &favours, findings),
    };
    if limits.deadline_ms > limits.longest_ms {
        let place = fields.at("deadline_ms");
        findings.add(&place, "must not be above `longest_ms`");
    }
    fields.finish(findings);
    limits
}

/// The part of a configuration that applies to one agent: the services that may run there, and the resources
/// that their tasks take.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentPart {
    /// The configuration version; 0 before the first.
    #[serde(skip)]
    pub version: u64,
    /// The resources that one task takes, by permitted service.
    pub services: BTreeMap<String, Room>,
}

impl AgentPart {
    /// Parses a part that was received from an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not the JSON that [`AgentPart::json`] returns.
    pub fn parse(version: u64, json: &[u8]) -> Result<AgentPart, serde_json::Error> {
        let part: AgentPart = serde_json::from_slice(json)?;
        Ok(AgentPart { version, ..part })
    }

    /// Returns the JSON in which an entry sends the part.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a map of numbers is JSON")
    }

    /// Returns whether the service may run at this agent.
    pub fn permits(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the resources that one task of the service takes; one slot if the service is unknown.
    pub fn need(&self, service: &str) -> Room {
        self.services.get(service).copied().unwrap_or(Room::TASK)
    }
}

#[cfg(test)]
mod tests;
