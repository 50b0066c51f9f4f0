//! Counts which schedulers hold leases at executors, updated as executors' lists change. Scanning all lists
//! at each change would cover some 13,000 names, 240 lists of 55, for each link that comes or goes.

use std::collections::BTreeMap;

/// The number of executors that have granted a lease to a scheduler, by its name.
#[derive(Clone, Debug, Default)]
pub(super) struct Leases(BTreeMap<String, usize>);

impl Leases {
    /// Adds the list of an executor.
    pub fn add(&mut self, names: &[String]) {
        for name in names {
            match self.0.get_mut(name) {
                Some(count) => *count += 1,
                None => {
                    self.0.insert(name.clone(), 1);
                }
            }
        }
    }

    /// Removes the list of an executor.
    pub fn remove(&mut self, names: &[String]) {
        for name in names {
            let Some(count) = self.0.get_mut(name) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                self.0.remove(name);
            }
        }
    }

    /// Returns whether a scheduler holds a lease at any executor.
    pub fn holds(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// Returns the schedulers that hold a lease at any executor.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.0.keys()
    }
}
