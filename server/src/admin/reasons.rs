//! The reasons for rejected connections and shed requests, in earlier and standard terms.

use crate::runtime::terms::Term;
use admission::concurrency_limiter::ShedReason;
use admission::RejectionReason;

/// The reason for rejecting a connection, for the page `connections`. The earlier term is the error message that the
/// client receives.
pub(super) fn rejection_term(reason: RejectionReason) -> Term {
    Term::new(reason.message(), reason.standard_label())
}

/// The reason for shedding a request, for the page `connections` and as the value of a metric's label.
pub(super) fn shed_term(reason: ShedReason) -> Term {
    Term::new(reason.label(), reason.standard_label())
}
