//! Counts of rejected connections or requests, by client class and reason.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of connections or requests of one class that were rejected for one reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReasonCount<Reason> {
    /// Name of the class.
    pub class: Arc<str>,
    /// Reason of the rejections.
    pub reason: Reason,
    /// Number of rejections since the start of the process.
    pub count: u64,
}

/// The rejections by one limiter since the start of the process, by class and reason.
#[derive(Debug)]
pub(crate) struct ReasonCounts<Reason>(BTreeMap<(Arc<str>, Reason), u64>);

impl<Reason> Default for ReasonCounts<Reason> {
    fn default() -> ReasonCounts<Reason> {
        ReasonCounts(BTreeMap::new())
    }
}

impl<Reason: Copy + Ord> ReasonCounts<Reason> {
    /// Counts one rejected connection or request.
    pub(crate) fn increment(&mut self, class: Arc<str>, reason: Reason) {
        *self.0.entry((class, reason)).or_default() += 1;
    }

    /// All counts, ordered by class and then by reason.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ReasonCount<Reason>> + '_ {
        let count = |((class, reason), count): (&(Arc<str>, Reason), &u64)| ReasonCount {
            class: class.clone(),
            reason: *reason,
            count: *count,
        };
        self.0.iter().map(count)
    }
}
