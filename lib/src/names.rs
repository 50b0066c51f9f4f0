//! Interns names, such as those of services and teams, so that records share them instead of holding copies.

use std::collections::HashSet;
use std::sync::Arc;

/// An interner: holds each distinct name once.
#[derive(Clone, Debug, Default)]
pub struct Names {
    set: HashSet<Arc<str>>,
}

impl Names {
    /// Returns the shared copy of a name, and stores the name if it is new.
    pub fn get(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.set.get(name) {
            return known.clone();
        }
        let new: Arc<str> = Arc::from(name);
        self.set.insert(new.clone());
        new
    }
}
