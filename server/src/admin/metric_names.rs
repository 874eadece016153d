//! The standard names of metrics and labels. Metrics are recorded only under their earlier names. When the page is
//! rendered, each sample is repeated under its standard name. So both names always show the same value, and
//! handling a request costs nothing extra.

use crate::admin::reasons::shed_term;
use crate::admin::view::DESCRIPTOR_CLASSES;
use crate::runtime::metrics::{ATTEMPT_OUTCOMES, RESPONSE_KINDS};
use crate::runtime::terms::Term;
use admission::concurrency_limiter::ShedReason;
use admission::RejectionReason;

/// The key of the label for the reason of a rejection.
const REASON: Term = Term::new("why", "reason");
/// The start of the line that declares a metric's type.
const TYPE_PREFIX: &str = "# TYPE ";
/// The separator between metric families: an empty line.
const FAMILY_SEPARATOR: &str = "\n\n";

/// A label whose key or values differ between earlier and standard terms.
struct LabelNames {
    key: Term,
    /// The values that are translated; other values are the same in both vocabularies.
    values: Vec<Term>,
}

/// A metric whose name differs between earlier and standard terms.
pub(super) struct MetricNames {
    name: Term,
    label: Option<LabelNames>,
}

/// A line of a metric, such as `gingerwick_rpcs_total{method="view",answer="ok"} 7`, without the metric's name.
struct Sample<'a> {
    /// The suffix of the metric's name, such as `_bucket` of a histogram; otherwise empty.
    suffix: &'a str,
    /// Keys and values of the labels; the values stay escaped as in the text format.
    labels: Vec<(&'a str, &'a str)>,
    value: &'a str,
}

/// The earlier and the standard name of each metric for which they differ.
pub(super) fn metric_names() -> Vec<MetricNames> {
    vec![
        MetricNames::new("gingerwick_rpcs_total", "gingerwick_requests_total").label(response_names()),
        MetricNames::new("gingerwick_rpc_seconds", "gingerwick_request_seconds"),
        MetricNames::new("gingerwick_rpcs_open", "gingerwick_requests_open"),
        MetricNames::new("gingerwick_rpcs_under_way", "gingerwick_requests_in_flight"),
        MetricNames::new("gingerwick_rpcs_waiting", "gingerwick_requests_queued"),
        MetricNames::new("gingerwick_rpcs_shed_total", "gingerwick_requests_shed_total").label(shed_names()),
        MetricNames::new("gingerwick_turn_seconds", "gingerwick_queue_wait_seconds"),
        MetricNames::new("gingerwick_call_outs_total", "gingerwick_attempts_total").label(outcome_names()),
        MetricNames::new("gingerwick_call_out_seconds", "gingerwick_attempt_seconds"),
        MetricNames::new("gingerwick_probes_total", "gingerwick_health_checks_total").label(outcome_names()),
        MetricNames::new("gingerwick_sessions", "gingerwick_connections_open"),
        MetricNames::new("gingerwick_connections_refused_total", "gingerwick_connections_rejected_total")
            .label(rejection_names()),
        MetricNames::new("gingerwick_descriptors", "gingerwick_descriptors_in_use").label(descriptor_names()),
    ]
}

fn response_names() -> LabelNames {
    let values = RESPONSE_KINDS.iter().map(|(_, term)| *term);
    LabelNames { key: Term::new("answer", "outcome"), values: values.collect() }
}

fn outcome_names() -> LabelNames {
    let values = ATTEMPT_OUTCOMES.iter().map(|(_, term)| *term);
    LabelNames { key: Term::same("outcome"), values: values.collect() }
}

fn shed_names() -> LabelNames {
    let values = ShedReason::ALL.into_iter().map(shed_term);
    LabelNames { key: REASON, values: values.collect() }
}

fn rejection_names() -> LabelNames {
    let values = RejectionReason::ALL.iter().map(|reason| Term::new(reason.label(), reason.standard_label()));
    LabelNames { key: REASON, values: values.collect() }
}

fn descriptor_names() -> LabelNames {
    let values = DESCRIPTOR_CLASSES.iter().map(|(term, _)| *term);
    LabelNames { key: Term::new("share", "use"), values: values.collect() }
}

/// Returns a page in the text format of Prometheus, followed by each metric of `names` under its standard name.
pub(super) fn with_standard_names(page: &str, names: &[MetricNames]) -> String {
    let mut text = page.to_string();
    for family in page.split_terminator(FAMILY_SEPARATOR) {
        let metric =
            family_name(family).and_then(|name| names.iter().find(|metric| metric.name.earlier == name));
        if let Some(metric) = metric {
            text += &metric.standard_family(family);
        }
    }
    text
}

/// The name of a metric family, from its line `# TYPE name kind`.
fn family_name(family: &str) -> Option<&str> {
    let mut types = family.lines().filter_map(|line| line.strip_prefix(TYPE_PREFIX));
    types.next()?.split(' ').next()
}

impl MetricNames {
    fn new(earlier: &'static str, standard: &'static str) -> MetricNames {
        MetricNames { name: Term::new(earlier, standard), label: None }
    }

    fn label(self, names: LabelNames) -> MetricNames {
        MetricNames { label: Some(names), ..self }
    }

    /// Translates a metric family to the standard names.
    fn standard_family(&self, family: &str) -> String {
        let lines = family.lines().filter_map(|line| self.standard_line(line));
        lines.map(|line| line + "\n").chain(["\n".to_string()]).collect()
    }

    /// Translates a line to the standard names; `None` if it does not belong to this metric.
    fn standard_line(&self, line: &str) -> Option<String> {
        let Term { earlier, standard } = self.name;
        if let Some(rest) = line.strip_prefix(TYPE_PREFIX) {
            let kind = rest.strip_prefix(earlier)?;
            return Some(format!("{TYPE_PREFIX}{standard}{kind}"));
        }
        let sample = Sample::parse(line.strip_prefix(earlier)?)?;
        let labels = sample.labels.iter().map(|(key, value)| self.standard_label(key, value));
        let labels = labels.collect::<Vec<String>>().join(",");
        let labels = if labels.is_empty() { labels } else { format!("{{{labels}}}") };
        Some(format!("{standard}{}{labels} {}", sample.suffix, sample.value))
    }

    /// Translates a label to the standard names.
    fn standard_label(&self, key: &str, value: &str) -> String {
        let names = self.label.as_ref().filter(|label| label.key.earlier == key);
        let Some(names) = names else { return format!("{key}=\"{value}\"") };
        let term = names.values.iter().find(|term| term.earlier == value);
        let value = term.map_or(value, |term| term.standard);
        format!("{}=\"{value}\"", names.key.standard)
    }
}

impl<'a> Sample<'a> {
    /// Parses a line without the metric's name; `None` if it is malformed.
    fn parse(text: &'a str) -> Option<Sample<'a>> {
        // Label values may contain spaces, but the sample's value does not.
        let (start, value) = text.rsplit_once(' ')?;
        let Some((suffix, mut rest)) = start.split_once('{') else {
            return Some(Sample { suffix: start, labels: Vec::new(), value });
        };
        let mut labels = Vec::new();
        while let Some((key, quoted)) = rest.split_once("=\"") {
            let (value, after) = quoted.split_at(value_length(quoted)?);
            labels.push((key.trim_start_matches(','), value));
            rest = &after[1..];
        }
        Some(Sample { suffix, labels, value })
    }
}

/// The length of a label's value, which ends before the first unescaped quote; `None` if there is no such quote.
fn value_length(quoted: &str) -> Option<usize> {
    let mut escaped = false;
    quoted.bytes().position(|byte| {
        let ends = byte == b'"' && !escaped;
        escaped = byte == b'\\' && !escaped;
        ends
    })
}
