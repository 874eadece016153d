//! Why connections are rejected and requests shed, in both vocabularies.

use crate::runtime::terms::Term;
use admission::concurrency_limiter::ShedReason;
use admission::RejectionReason;

/// A rejection on the page of connections. The earlier term is what the client is told.
pub(super) fn rejection_term(reason: RejectionReason) -> Term {
    Term::new(reason.message(), reason.standard_label())
}

/// A reason to shed a request, on the page of connections and as a label of metrics.
pub(super) fn shed_term(reason: ShedReason) -> Term {
    Term::new(reason.label(), reason.standard_label())
}
