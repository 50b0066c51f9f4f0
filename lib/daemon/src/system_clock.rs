//! The box's wall clock.
//!
//! It may be set ahead or back at any moment, so no duration that a guarantee depends on is measured with it.
//! See [`crate::process_clock`] for the time that state machines receive.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use stackcourse_lib::clock::millis;

/// Returns the time of the box's wall clock in milliseconds since the Unix epoch, or 0 if it is before the
/// epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, millis)
}
