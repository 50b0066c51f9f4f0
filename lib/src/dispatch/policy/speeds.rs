//! Settings of how the speeds of workers are learned and used.

use std::time::Duration;

use serde_json::Value;

use super::section::FieldDoc;
use super::section::FieldType;
use super::section::section;
use crate::findings::Fields;
use crate::findings::Findings;

section! {
    /// How the speeds of workers are learned, and how they affect where tasks go.
    Speeds ("speeds") {
        /// Whether the speed of each worker is learned, and tasks are placed by when they would end there.
        on: switch = false, ();
        /// How many times as long a task takes at a worker outside the rack of its data; 1 if that makes no
        /// difference.
        far_factor: ratio = 1.0, 1.0..=100.0;
        /// A worker's slowness is the mean over about this many runs. Expected times are rough, but their
        /// mean over some tens of runs is not.
        readings: count = 32, 1..=10_000;
        /// A worker's speed has changed permanently if its runs keep differing by more than this factor,
        /// which is well above the error of the mean over some tens of runs.
        change: ratio = 1.3, 1.01..=10.0;
        /// The sum of differences beyond `change`, as natural logarithms, that proves such a change. Higher
        /// values detect a change later, lower ones mistake chance for one.
        proof: ratio = 2.5, 0.1..=100.0;
        /// The maximum number of runs that a worker's earlier estimate counts as after the worker has
        /// restarted.
        prior_runs: count = 4, 0..=10_000;
        /// The share by which expected times are wrong. A task goes to a slow worker only if it is in time
        /// there in spite of that.
        error: ratio = 0.4, 0.0..=10.0;
        /// How many thousandths of a core less a slow worker may have free, for each time that it is slower
        /// than the mean, and still get the tasks that are in time there. This keeps fast workers free for
        /// the tasks that need them.
        keep_fast: ratio = 4000.0, 0.0..=1_000_000.0;
        /// A worker that is this many times slower than usual gets trial tasks only. One that has always been
        /// slow does not.
        sick_ratio: ratio = 2.0, 1.0..=100.0;
        /// A worker's usual slowness follows its present one within this time: longer than a fault goes
        /// unrepaired, shorter than a machine is in service.
        usual: ms = 20000, 1..=3_600_000;
    }
}
