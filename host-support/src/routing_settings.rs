//! Validation of the bootstrap configuration and its conversion to the settings of the routing policy.

use crate::bootstrap_config::{BootstrapConfig, MethodConfig};
use routing::time::TimeDelta;
use routing::{Access, Idempotency, LagHandling, MethodSettings, RoutingSettings};
use thiserror::Error;

/// Why a bootstrap configuration is invalid. Every message begins with the key in the file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A value that must be positive is not.
    #[error("{key}: {value} is not greater than 0")]
    NotPositive {
        /// Path of the key that has the value, such as `allowed.dialTimeoutNs`.
        key: &'static str,
        /// The value as the configuration has it.
        value: i64,
    },
    /// A value is not one of the allowed words.
    #[error("{key}: {value:?} is not one of {allowed}")]
    NotOneOf {
        /// Path of the key that has the value, such as `allowed.dialTimeoutNs`.
        key: &'static str,
        /// The value as the configuration has it.
        value: String,
        /// The allowed words, separated by commas.
        allowed: &'static str,
    },
    /// A list does not have one entry per method.
    #[error("{key}: expected {methods} entries, one for each entry of classes, found {entries}")]
    NotOnePerMethod {
        /// Path of the key that has the list, such as `familyInfo.classRead`.
        key: &'static str,
        /// Number of entries of the list.
        entries: usize,
        /// Number of methods.
        methods: usize,
    },
    /// The latency objective of a method is not positive, or exceeds the method's deadline.
    #[error("classes[{method}].aimNs: {objective_ns} is not between 1 and deadlineNs ({deadline_ns})")]
    ObjectiveOutOfRange {
        /// Index of the method.
        method: usize,
        /// Latency objective in nanoseconds.
        objective_ns: i64,
        /// Deadline in nanoseconds.
        deadline_ns: i64,
    },
}

fn not_one_of(key: &'static str, value: &str, allowed: &'static str) -> SettingsError {
    SettingsError::NotOneOf { key, value: value.to_string(), allowed }
}

/// Validates and converts a bootstrap configuration.
///
/// # Errors
/// The first error that is found.
pub fn routing_settings(config: &BootstrapConfig) -> Result<RoutingSettings, SettingsError> {
    check_positive(config)?;
    let replication = &config.replication;
    let (entries, methods) = (replication.method_access.len(), config.methods.len());
    if entries != methods {
        return Err(SettingsError::NotOnePerMethod { key: "familyInfo.classRead", entries, methods });
    }
    let methods = (0..config.methods.len()).map(|index| method_settings(config, index));
    Ok(RoutingSettings {
        methods: methods.collect::<Result<_, _>>()?,
        instances: config.n_instances,
        zone: config.zone,
        clock_resolution: TimeDelta(config.clock_resolution_ns),
        lag_handling: lag_handling(config)?,
        clients_send_last_write: replication.session_positions == "client",
        max_list_poll_interval: max_list_poll_interval(config)?,
        max_attempts: config.allowed.max_attempts,
        may_cancel: config.allowed.may_cancel,
        may_check_health: config.allowed.may_check_health,
        max_retry_after: config
            .allowed
            .may_send_retry_after
            .then_some(TimeDelta(config.allowed.max_retry_after_ns)),
        slow_start_fraction: config.rules.slow_start_fraction,
        slow_start_duration: TimeDelta(config.rules.slow_start_duration_ns),
        overload_multiple: config.rules.overload_multiple,
        overload_window: TimeDelta(config.rules.overload_window_ns),
        unlisted_stay_usable: config.rules.unlisted_stay_usable,
    })
}

fn check_positive(config: &BootstrapConfig) -> Result<(), SettingsError> {
    let values = [
        ("nInstances", i64::from(config.n_instances)),
        ("resolutionNs", config.clock_resolution_ns),
        ("allowed.dialTimeoutNs", config.allowed.connect_timeout_ns),
        ("allowed.connIdleNs", config.allowed.idle_timeout_ns),
    ];
    match values.iter().find(|(_, value)| *value <= 0) {
        Some(&(key, value)) => Err(SettingsError::NotPositive { key, value }),
        None => Ok(()),
    }
}

fn method_settings(config: &BootstrapConfig, index: usize) -> Result<MethodSettings, SettingsError> {
    let method = &config.methods[index];
    let (objective_ns, deadline_ns) = (method.latency_objective_ns, method.deadline_ns);
    if objective_ns <= 0 || deadline_ns < objective_ns {
        return Err(SettingsError::ObjectiveOutOfRange { method: index, objective_ns, deadline_ns });
    }
    let bound_ns = config.replication.staleness_bounds_ns.get(index).copied().unwrap_or(0);
    Ok(MethodSettings {
        access: access(&config.replication.method_access[index], TimeDelta(bound_ns))?,
        idempotency: idempotency(method)?,
        latency_objective: TimeDelta(objective_ns),
        deadline: TimeDelta(deadline_ns),
        priority_weight: method.priority_weight,
        late_value_fraction: method.late_value_fraction,
    })
}

fn access(value: &str, bound: TimeDelta) -> Result<Access, SettingsError> {
    match value {
        "update" => Ok(Access::Write),
        "latest" => Ok(Access::StrongRead),
        "own_writes" => Ok(Access::SessionRead),
        "recent" => Ok(Access::BoundedRead(bound)),
        "loose" => Ok(Access::AnyRead),
        other => Err(not_one_of("familyInfo.classRead", other, "update, latest, own_writes, recent, loose")),
    }
}

fn idempotency(method: &MethodConfig) -> Result<Idempotency, SettingsError> {
    let dedup_window = TimeDelta(method.dedup_window_ns);
    match (method.idempotency.as_str(), method.dedup_scope.as_str()) {
        ("read_like", _) => Ok(Idempotency::Idempotent),
        ("idempotency_key", "all") => Ok(Idempotency::Keyed { all_groups: true, dedup_window }),
        ("idempotency_key", "cell") => Ok(Idempotency::Keyed { all_groups: false, dedup_window }),
        // Any other scope, such as a zone, is not a group of endpoints, so no endpoint is relied on to drop duplicates.
        ("idempotency_key", _) => Ok(Idempotency::Keyed { all_groups: false, dedup_window: TimeDelta::ZERO }),
        ("non_idempotent", _) => Ok(Idempotency::NonIdempotent),
        (other, _) => {
            Err(not_one_of("classes[].effect", other, "read_like, idempotency_key, non_idempotent"))
        }
    }
}

fn lag_handling(config: &BootstrapConfig) -> Result<LagHandling, SettingsError> {
    match config.replication.lag_handling.as_str() {
        "off" => Ok(LagHandling::ServeStale),
        "reject" => Ok(LagHandling::Reject),
        "hold" => Ok(LagHandling::Wait(TimeDelta(config.replication.max_catch_up_wait_ns))),
        other => Err(not_one_of("familyInfo.guards", other, "off, reject, hold")),
    }
}

fn max_list_poll_interval(config: &BootstrapConfig) -> Result<Option<TimeDelta>, SettingsError> {
    match config.membership_mode.as_str() {
        "push" => Ok(None),
        "ask" => Ok(Some(TimeDelta(config.rules.max_list_poll_interval_ns))),
        other => Err(not_one_of("membershipMode", other, "push, ask")),
    }
}
