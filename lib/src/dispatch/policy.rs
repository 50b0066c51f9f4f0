//! The tunable values of the dispatcher: when a job begins, where its tasks go, which timeouts apply and when
//! work is given up. Each submodule declares the fields of one section, with unit, default, range and
//! meaning; the `policy` section of a settings file overrides the defaults. `docs/SETTINGS.md` lists all
//! fields.
//!
//! A mechanism with an `on` field can be switched off, so that its effect can be measured.

mod admission;
mod balance;
mod bulkheads;
mod catalog;
mod cells;
mod claims;
mod contention;
mod crashes;
mod health;
mod leases;
mod leaving;
mod links;
mod orders;
mod partitions;
mod placement;
mod preemption;
mod recovery;
mod reports;
mod section;
mod speeds;

use serde::Deserialize;
use serde::Deserializer;
use serde_json::Value;

use crate::findings::Fields;
use crate::findings::Findings;

pub use crate::dispatch::policy::admission::Admission;
pub use crate::dispatch::policy::balance::Balance;
pub use crate::dispatch::policy::bulkheads::Bulkheads;
pub use crate::dispatch::policy::catalog::Catalogs;
pub use crate::dispatch::policy::cells::Cells;
pub use crate::dispatch::policy::claims::Claims;
pub use crate::dispatch::policy::contention::Contention;
pub use crate::dispatch::policy::crashes::Crashes;
pub use crate::dispatch::policy::health::Health;
pub use crate::dispatch::policy::leases::Leases;
pub use crate::dispatch::policy::leaving::Leaving;
pub use crate::dispatch::policy::links::Links;
pub use crate::dispatch::policy::orders::Orders;
pub use crate::dispatch::policy::partitions::Partitions;
pub use crate::dispatch::policy::placement::Placement;
pub use crate::dispatch::policy::preemption::Preemption;
pub use crate::dispatch::policy::recovery::Recovery;
pub use crate::dispatch::policy::reports::Reports;
pub use crate::dispatch::policy::section::FieldDoc;
pub use crate::dispatch::policy::speeds::Speeds;

/// Declares [`Policy`] with one field for each of its sections.
macro_rules! policy {
    ($( $(#[doc = $doc:literal])* $field:ident: $section:ident ),* $(,)?) => {
        /// All sections of the policy.
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        pub struct Policy {
            $( $(#[doc = $doc])* pub $field: $section, )*
        }

        impl Policy {
            /// Reads the `policy` section of a settings file. Adds a finding for each invalid value, which
            /// stays at its default.
            pub fn read(value: &Value, findings: &mut Findings) -> Policy {
                let mut policy = Policy::default();
                let Some(mut fields) = Fields::new(value, "", findings) else {
                    return policy;
                };
                $(
                    if let Some(section) = fields.value(stringify!($field)) {
                        policy.$field = $section::read(section, findings);
                    }
                )*
                fields.finish(findings);
                policy.check(findings);
                policy
            }

            /// Returns all fields with their documentation, for the reference page.
            pub fn field_docs() -> Vec<FieldDoc> {
                let mut field_docs = Vec::new();
                $( field_docs.extend($section::field_docs()); )*
                field_docs
            }
        }
    };
}

policy! {
    /// When a job begins, and when it is refused or given up.
    admission: Admission,
    /// Which worker a task goes to.
    placement: Placement,
    /// How slow, failing and stalled workers are detected.
    health: Health,
    /// When a task counts as the cause of worker crashes.
    crashes: Crashes,
    /// When the tasks of a queue are confined to a part of the workers.
    bulkheads: Bulkheads,
    /// What executors ask of their workers, and how often.
    orders: Orders,
    /// What processes report to each other, and how often.
    reports: Reports,
    /// At which executors a scheduler places tasks.
    cells: Cells,
    /// How a large fleet is divided.
    partitions: Partitions,
    /// How a scheduler obtains the newest configuration.
    catalog: Catalogs,
    /// Which scheduler may decide about a job that may already run elsewhere.
    claims: Claims,
    /// How long leases last.
    leases: Leases,
    /// How an entry shuts down.
    leaving: Leaving,
    /// How processes connect to each other.
    links: Links,
    /// Which jobs go first when there is too little room for all.
    contention: Contention,
    /// When urgent jobs take the room of less urgent ones.
    preemption: Preemption,
    /// How the speeds of workers are learned and used.
    speeds: Speeds,
    /// When an entry hands off waiting jobs to another one.
    balance: Balance,
    /// How a fleet that has just restarted resumes its work.
    recovery: Recovery,
}

/// The factor by which time may pass faster than a worker's clock shows.
const MAX_CLOCK_SLOWDOWN: f64 = 1.02;

impl Policy {
    /// Adds a finding for each constraint between fields that is violated.
    fn check(&self, findings: &mut Findings) {
        let l = &self.leases;
        if l.lease + l.worker_hold.mul_f64(MAX_CLOCK_SLOWDOWN) >= l.lapse {
            let message = "must be longer than `lease_ms` plus 1.02 times `worker_hold_ms`: \
                           otherwise a task may be placed again while it still runs";
            findings.add("/leases/lapse_ms", message);
        }
        if self.claims.again_after > self.claims.warm_up {
            let message = "must not be longer than `warm_up_ms`: a job from before a restart may be \
                           submitted again";
            findings.add("/claims/again_after_ms", message);
        }
        if self.health.trial_first > self.health.trial_last {
            findings.add(
                "/health/trial_first_ms",
                "must not be above `trial_last_ms`",
            );
        }
        if self.crashes.proven > self.crashes.most {
            findings.add("/crashes/proven", "must not be above `most`");
        }
        if self.crashes.most > self.crashes.most_unsure {
            findings.add("/crashes/most", "must not be above `most_unsure`");
        }
        if self.cells.silence < self.cells.heartbeat * 2 {
            let message =
                "must be at least twice `heartbeat_ms`: otherwise standby links are closed";
            findings.add("/cells/silence_ms", message);
        }
        if self.partitions.again_silent < self.claims.again_after {
            let message = "must not be below `again_after_ms` of `claims`: a job that is submitted \
                           again sooner may not have been announced";
            findings.add("/partitions/again_silent_ms", message);
        }
        if self.partitions.silence < self.partitions.heartbeat * 2 {
            let message =
                "must be at least twice `heartbeat_ms`: otherwise links in use are dropped";
            findings.add("/partitions/silence_ms", message);
        }
        if self.links.connect_first > self.links.greeting {
            findings.add("/links/connect_first_ms", "must not be above `greeting_ms`");
        }
        if self.links.redial_first > self.links.redial_last {
            findings.add(
                "/links/redial_first_ms",
                "must not be above `redial_last_ms`",
            );
        }
    }
}

impl<'de> Deserialize<'de> for Policy {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Policy, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let mut findings = Findings::new("policy");
        let policy = Policy::read(&value, &mut findings);
        let list = findings.into_list();
        if list.is_empty() {
            return Ok(policy);
        }
        let lines: Vec<String> = list
            .iter()
            .map(|f| format!("{}: {}", f.pointer, f.message))
            .collect();
        Err(serde::de::Error::custom(lines.join("; ")))
    }
}

#[cfg(test)]
mod tests;
