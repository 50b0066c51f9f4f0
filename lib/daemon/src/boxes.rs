//! The platform's list of boxes.
//!
//! The list lags behind, so it is only a hint: a box that it marks as leaving gets no new tasks, and no other
//! decision depends on it.

use std::collections::HashSet;
use std::future::Future;
use std::time::Duration;

use crate::store::StoreError;

/// The contents of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoxList {
    /// The names of the agents whose boxes are leaving.
    pub leaving: HashSet<String>,
}

/// A source of the list of boxes.
pub trait BoxSource {
    /// Waits until the list has changed since `seen`, at most for `wait`. Returns the list and the index to
    /// pass as `seen` to the next call.
    fn list(
        &self,
        seen: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<(BoxList, u64), StoreError>>;
}

/// A source on whose list no box is ever leaving, for `dev`.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaticBoxSource;

impl BoxSource for StaticBoxSource {
    async fn list(&self, seen: u64, wait: Duration) -> Result<(BoxList, u64), StoreError> {
        actix_rt::time::sleep(wait).await;
        Ok((BoxList::default(), seen))
    }
}
