//! Which schedulers hold leases at executors, counted as lists come and go. Going through all lists at each
//! change would be 240 lists of 55 names, some 13,000 names, for each link that comes or goes.

use std::collections::BTreeMap;

/// How many executors have granted a lease to a scheduler, by its name.
#[derive(Clone, Debug, Default)]
pub(super) struct Leases(BTreeMap<String, usize>);

impl Leases {
    /// Counts the list of an executor in.
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

    /// Takes the list of an executor out again.
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

    /// Whether a scheduler holds a lease somewhere.
    pub fn holds(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// The schedulers that hold a lease somewhere.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.0.keys()
    }
}
