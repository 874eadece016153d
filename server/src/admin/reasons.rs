//! The reasons for rejected connections and shed requests, in both vocabularies.

use crate::runtime::terms::Term;
use admission::concurrency_limiter::ShedReason;
use admission::RejectionReason;

/// A reason for a rejection, on the page of connections. The earlier term is the message that the client receives.
pub(super) fn rejection_term(reason: RejectionReason) -> Term {
    Term::new(reason.message(), reason.standard_label())
}

/// A reason to shed a request, on the page of connections and as a label value of metrics.
pub(super) fn shed_term(reason: ShedReason) -> Term {
    Term::new(reason.label(), reason.standard_label())
}
