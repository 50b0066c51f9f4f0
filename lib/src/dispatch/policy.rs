//! The figures that decide: when a job begins, where its tasks go, what is waited for and what is
//! given up. They stand here and nowhere else, each with its unit, its range and its meaning, in a
//! module a decision; the `policy` section of the settings overrides them. `docs/SETTINGS.md` lists
//! the fields.
//!
//! A mechanism with a switch can be switched off, so that anybody can measure what it is worth.

mod admission;
mod balance;
mod bulkheads;
mod catalog;
mod cells;
mod claims;
mod contention;
mod crashes;
mod figure;
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
pub use crate::dispatch::policy::figure::Row;
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
pub use crate::dispatch::policy::speeds::Speeds;

/// Declares the policy out of its sections.
macro_rules! policy {
    ($( $(#[doc = $doc:literal])* $field:ident: $section:ident ),* $(,)?) => {
        /// All figures that decide.
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        pub struct Policy {
            $( $(#[doc = $doc])* pub $field: $section, )*
        }

        impl Policy {
            /// Reads the `policy` section of a settings file. What is wrong is a finding, and
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

            /// All fields, for the reference page.
            pub fn rows() -> Vec<Row> {
                let mut rows = Vec::new();
                $( rows.extend($section::rows()); )*
                rows
            }
        }
    };
}

policy! {
    /// When a job begins, and when it is refused or given up.
    admission: Admission,
    /// Which worker a task goes to.
    placement: Placement,
    /// How slow, failing and hanging workers are told.
    health: Health,
    /// When a task is held to take workers down.
    crashes: Crashes,
    /// When the tasks of a queue are confined to a part of the workers.
    bulkheads: Bulkheads,
    /// What executors ask of their workers.
    orders: Orders,
    /// What processes tell each other.
    reports: Reports,
    /// At which executors a scheduler places tasks.
    cells: Cells,
    /// How a large fleet is divided.
    partitions: Partitions,
    /// How the newest configuration is come by.
    catalog: Catalogs,
    /// Who may decide about a job.
    claims: Claims,
    /// How long rights last.
    leases: Leases,
    /// How an entry leaves.
    leaving: Leaving,
    /// How processes connect.
    links: Links,
    /// Who goes first while jobs compete for room.
    contention: Contention,
    /// When urgent jobs take the room of others.
    preemption: Preemption,
    /// How fast workers are.
    speeds: Speeds,
    /// When an entry hands fresh jobs to another one.
    balance: Balance,
    /// How a fleet that has just come back takes up its work.
    recovery: Recovery,
}

/// A worker's clock may be this much slow.
const SLOW_CLOCK: f64 = 1.02;

impl Policy {
    /// What must hold between fields.
    fn check(&self, findings: &mut Findings) {
        let l = &self.leases;
        if l.lease + l.worker_hold.mul_f64(SLOW_CLOCK) >= l.lapse {
            let message = "must be longer than `lease_ms` and 1.02 times `worker_hold_ms` together: \
                           else a task may be placed again while it still runs";
            findings.add("/leases/lapse_ms", message);
        }
        if self.claims.again_after > self.claims.warm_up {
            let message =
                "must not be longer than `warm_up_ms`: a job of a life before may come again";
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
            let message = "must be at least twice `heartbeat_ms`: else links on standby are closed";
            findings.add("/cells/silence_ms", message);
        }
        if self.partitions.again_silent < self.claims.again_after {
            let message = "must not be below `again_after_ms` of `claims`: a job that comes again \
                           sooner may not have been announced";
            findings.add("/partitions/again_silent_ms", message);
        }
        if self.partitions.silence < self.partitions.heartbeat * 2 {
            let message = "must be at least twice `heartbeat_ms`: else links in use are given up";
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
