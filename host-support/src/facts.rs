//! The start facts as the operators word them, read, given defaults and checked here for every host.

use routing::iface::{Effect, Facts, Lagging, Method, Need};
use routing::time::Span;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct BootInfo {
    pub n_instances: u32,
    pub classes: Vec<Class>,
    pub membership_mode: String,
    pub family_info: FamilyInfo,
    pub allowed: Allowed,
    pub report: Report,
    pub rules: Rules,
    pub resolution_ns: i64,
    #[serde(default)]
    pub zone: usize,
    #[serde(default)]
    pub azs: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Class {
    #[serde(default)]
    pub name: String,
    pub aim_ns: i64,
    pub deadline_ns: i64,
    pub effect: String,
    #[serde(default)]
    pub key_scope: String,
    #[serde(default)]
    pub late_value: f64,
    #[serde(default)]
    pub memory_span_ns: i64,
    #[serde(default)]
    pub gain: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct FamilyInfo {
    pub guards: String,
    #[serde(default)]
    pub lag_allowed_ns: Vec<i64>,
    pub class_read: Vec<String>,
    #[serde(default)]
    pub session_marks: String,
    #[serde(default)]
    pub patience_ns: i64,
    #[serde(default)]
    pub counted_from_ns: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Allowed {
    pub max_attempts: u32,
    #[serde(default)]
    pub may_cancel: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ns: i64,
    #[serde(default = "twenty_thousand")]
    pub most_held: usize,
    #[serde(default = "a_quarter_second")]
    pub dial_timeout_ns: i64,
    #[serde(default = "half_a_minute")]
    pub conn_idle_ns: i64,
}

fn twenty_thousand() -> usize {
    20_000
}

fn a_quarter_second() -> i64 {
    250_000_000
}

fn half_a_minute() -> i64 {
    30_000_000_000
}

#[derive(Deserialize)]
pub struct Report {
    #[serde(default)]
    pub names: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    #[serde(default)]
    pub ask_within_ns: i64,
    #[serde(default)]
    pub cold_from: f64,
    #[serde(default)]
    pub cold_ns: i64,
    #[serde(default)]
    pub fall_multiple: f64,
    #[serde(default)]
    pub overload_for_ns: i64,
    #[serde(default)]
    pub dropped_stay_open: bool,
    #[serde(default)]
    pub stop_sending_within_ns: i64,
}

impl Rules {
    /// Within which sends to a draining store must cease, where that is said.
    pub fn grace(&self) -> Option<Span> {
        Some(Span(self.stop_sending_within_ns)).filter(|grace| grace.0 > 0)
    }
}

/// Checks them and puts them in the decisions' own words; a fault names its key.
pub fn facts(boot: &BootInfo) -> Result<Facts, String> {
    let family = &boot.family_info;
    let wrong = |field: &str, word: &str| format!("{field}: {word:?} is not known");
    if boot.n_instances == 0 || boot.resolution_ns <= 0 {
        return Err("nInstances and resolutionNs must be above 0".into());
    }
    for (key, span) in
        [("dialTimeoutNs", boot.allowed.dial_timeout_ns), ("connIdleNs", boot.allowed.conn_idle_ns)]
    {
        if span <= 0 {
            return Err(format!("allowed.{key}: must be above 0"));
        }
    }
    if family.class_read.len() != boot.classes.len() {
        return Err("familyInfo.classRead: not one entry a class".into());
    }
    let mut methods = Vec::with_capacity(boot.classes.len());
    for (ix, class) in boot.classes.iter().enumerate() {
        let bound = Span(family.lag_allowed_ns.get(ix).copied().unwrap_or(0));
        if class.aim_ns <= 0 || class.deadline_ns < class.aim_ns {
            return Err(format!("classes[{ix}].aimNs: not between 0 and deadlineNs"));
        }
        methods.push(Method {
            need: match family.class_read[ix].as_str() {
                "update" => Need::Write,
                "latest" => Need::Current,
                "own_writes" => Need::Session,
                "recent" => Need::Bounded(bound),
                "loose" => Need::Any,
                other => return Err(wrong("familyInfo.classRead", other)),
            },
            effect: match (class.effect.as_str(), class.key_scope.as_str()) {
                ("read_like", _) => Effect::Idempotent,
                ("idempotency_key", scope @ ("all" | "cell")) => {
                    Effect::Tokened { everywhere: scope == "all", memory: Span(class.memory_span_ns) }
                }
                // A zone that drops repeats is no group of stores here: nobody is known to remember.
                ("idempotency_key", _) => Effect::Tokened { everywhere: false, memory: Span::ZERO },
                ("non_idempotent", _) => Effect::NonIdempotent,
                (other, _) => return Err(wrong("classes[].effect", other)),
            },
            soft_deadline: Span(class.aim_ns),
            deadline: Span(class.deadline_ns),
            utility: class.gain,
            late_share: class.late_value,
        });
    }
    Ok(Facts {
        methods,
        instances: boot.n_instances,
        zone: boot.zone,
        tick: Span(boot.resolution_ns),
        lagging: match family.guards.as_str() {
            "off" => Lagging::AnswersAnyway,
            "reject" => Lagging::Refuses,
            "hold" => Lagging::Holds(Span(family.patience_ns)),
            other => return Err(wrong("familyInfo.guards", other)),
        },
        marks_carried: family.session_marks == "client",
        ask_within: match boot.membership_mode.as_str() {
            "push" => None,
            "ask" => Some(Span(boot.rules.ask_within_ns)),
            other => return Err(wrong("membershipMode", other)),
        },
        max_call_outs: boot.allowed.max_attempts,
        may_withdraw: boot.allowed.may_cancel,
        may_probe: boot.allowed.probes,
        max_come_back: boot.allowed.retry_after.then_some(Span(boot.allowed.max_retry_after_ns)),
        cold_from: boot.rules.cold_from,
        cold_for: Span(boot.rules.cold_ns),
        fall_multiple: boot.rules.fall_multiple,
        fall_window: Span(boot.rules.overload_for_ns),
        gone_stays_open: boot.rules.dropped_stay_open,
    })
}
