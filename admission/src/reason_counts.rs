//! Counts of rejected connections or requests, by client class and reason.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How often connections or requests of one class were rejected for one reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReasonCount<Reason> {
    /// Name of the class.
    pub class: Arc<str>,
    /// Why they were rejected.
    pub reason: Reason,
    /// Their number since the start.
    pub count: u64,
}

/// The counts of a limiter since the start.
#[derive(Debug)]
pub(crate) struct ReasonCounts<Reason>(BTreeMap<(Arc<str>, Reason), u64>);

impl<Reason> Default for ReasonCounts<Reason> {
    fn default() -> ReasonCounts<Reason> {
        ReasonCounts(BTreeMap::new())
    }
}

impl<Reason: Copy + Ord> ReasonCounts<Reason> {
    /// Counts one more connection or request.
    pub(crate) fn increment(&mut self, class: Arc<str>, reason: Reason) {
        *self.0.entry((class, reason)).or_default() += 1;
    }

    /// All counts, in the order of the classes and then of the reasons.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ReasonCount<Reason>> + '_ {
        let count = |((class, reason), count): (&(Arc<str>, Reason), &u64)| ReasonCount {
            class: class.clone(),
            reason: *reason,
            count: *count,
        };
        self.0.iter().map(count)
    }
}
