//! The policy of workers that are not alike.

use std::time::Duration;

use serde_json::Value;

use super::figure::Figure;
use super::figure::Row;
use super::figure::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How fast workers are, and what follows for where tasks go.
    Speeds ("speeds") {
        /// Whether tasks are placed by when they would end at each worker, and each worker's speed is learned.
        on: switch = false, ();
        /// How many times as long a task takes at a worker that is not in the rack of its data; 1 if that makes no difference.
        far_factor: ratio = 1.0, 1.0..=100.0;
        /// A worker's slowness is the mean over about so many runs. Expected times are rough; their mean over some tens of runs is not.
        readings: count = 32, 1..=10_000;
        /// A worker's speed has changed for good if its runs go on to differ by more than this factor. Well above what the mean of some tens of runs is off by.
        change: ratio = 1.3, 1.01..=10.0;
        /// How far runs must differ beyond `change` in sum, as a natural logarithm, before that is believed. Higher values notice a change later, lower ones take chance for one.
        proof: ratio = 2.5, 0.1..=100.0;
        /// In a new life of a worker what it was before counts as so many runs.
        prior_runs: count = 4, 0..=10_000;
        /// The share by which expected times are wrong. A task goes to a slow worker only if it is in time there even so.
        error: ratio = 0.4, 0.0..=10.0;
        /// Tasks that are in time at a slow worker go there while it has no more than so many thousandths of a core less free, for each time that it is slower than the mean: fast ones stay free for tasks that need them.
        keep_fast: ratio = 4000.0, 0.0..=1_000_000.0;
        /// A worker that is so many times slower than it is used to be gets tasks on trial only. One that has always been slow does not.
        sick_ratio: ratio = 2.0, 1.0..=100.0;
        /// What a worker is used to follows its present speed within this time: longer than a fault is left alone, shorter than a machine is in service.
        usual: ms = 20000, 1..=3_600_000;
    }
}
