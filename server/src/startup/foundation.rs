//! What all parts of the server stand on: timers, resource limits, counters and admission control.

use crate::admin::socket;
use crate::clients::admission_control::AdmissionControl;
use crate::exit_status::{ExitStatus, Failure};
use crate::log;
use crate::runtime::clock::{Clock, Timers};
use crate::runtime::descriptors::available_descriptors;
use crate::runtime::metrics::{install_recorder, Metrics};
use crate::runtime::resource_limits::ResourceLimits;
use crate::runtime::tasks::{stack_size, STACK_BYTES};
use crate::startup::configuration::Configuration;
use metrics_exporter_prometheus::PrometheusHandle;
use operator_config::{JournalMode, OperatorSettings};
use routing::time::TimeDelta;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;

/// Coroutines whose stacks are kept for others.
const POOLED_COROUTINES: usize = 64;
const BYTES_PER_MIB_SHIFT: u32 = 20;

/// What all parts use.
pub struct Foundation {
    pub timers: Arc<Timers>,
    pub resources: Arc<ResourceLimits>,
    pub metrics: Arc<Metrics>,
    /// Renders what is counted, if operators can ask for it.
    pub recorder: Option<PrometheusHandle>,
    pub admission: Option<Arc<AdmissionControl>>,
    /// The names of the methods.
    pub methods: Vec<String>,
}

impl Foundation {
    /// Sets up the coroutine runtime and what goes with it.
    ///
    /// # Errors
    /// The settings contradict the machine's limits.
    pub fn new(clock: Clock, configuration: &Configuration) -> Result<Foundation, Failure> {
        configure_coroutines();
        let timers = Arc::new(Timers::start(clock));
        let resources = resource_limits(configuration);
        let admission = admission_control(configuration, &timers, &resources)?;
        // Counters that are made before the recorder count nothing.
        let recorder = configuration.operators.admin_socket.as_ref().map(|_| install_recorder()).transpose();
        let recorder = recorder.map_err(admin_socket_failure)?;
        let methods = method_names(configuration);
        let metrics = Arc::new(Metrics::new(&methods));
        Ok(Foundation { timers, resources, metrics, recorder, admission, methods })
    }
}

/// What an error of the admin socket means to the start.
pub fn admin_socket_failure(error: impl std::fmt::Display) -> Failure {
    Failure::new(ExitStatus::OsError, format!("operators-socket: {error}"))
}

/// A seed that differs between starts and instances whatever operators set: session ids must.
pub fn unpredictable_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn configure_coroutines() {
    let config = may::config();
    config
        .set_workers(1)
        .set_pool_capacity(POOLED_COROUTINES)
        .set_stack_size(stack_size(STACK_BYTES))
        .set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!(WARN; "{panic}")));
}

fn method_names(configuration: &Configuration) -> Vec<String> {
    configuration.bootstrap.config.classes.iter().map(|method| method.name.clone()).collect()
}

fn resource_limits(configuration: &Configuration) -> Arc<ResourceLimits> {
    let limits = &configuration.bootstrap.limits;
    let operators = &configuration.operators;
    let descriptors = if configuration.has_operator_file() {
        available_descriptors(limits.sockets)
    } else {
        limits.sockets
    };
    let descriptors = descriptors.saturating_sub(descriptors_for_operators(operators));
    let memory_bytes = limits.memory_mb << BYTES_PER_MIB_SHIFT;
    ResourceLimits::new(descriptors, memory_bytes, !operators.admission.clients.classes.is_empty())
}

/// Descriptors that the server itself holds for what operators have set.
fn descriptors_for_operators(operators: &OperatorSettings) -> usize {
    let cache = if operators.storage.state_dir.is_some() { endpoint_cache::DESCRIPTORS } else { 0 };
    let has_journal = operators.storage.journal.mode != JournalMode::Off;
    let journal = if has_journal { write_journal::journal::DESCRIPTORS } else { 0 };
    let admin = if operators.admin_socket.is_some() { socket::DESCRIPTORS } else { 0 };
    cache + journal + admin
}

fn admission_control(
    configuration: &Configuration,
    timers: &Arc<Timers>,
    resources: &Arc<ResourceLimits>,
) -> Result<Option<Arc<AdmissionControl>>, Failure> {
    let clients = configuration.operators.admission.clients.clone();
    if clients.classes.is_empty() {
        return Ok(None);
    }
    // If no Retry-After may be told, it does not matter which.
    let max_retry_after = configuration.bootstrap.settings.max_retry_after.unwrap_or(TimeDelta::ZERO);
    let seed = unpredictable_seed();
    let admission = AdmissionControl::new(clients, max_retry_after, seed, timers.clone(), resources.clone());
    admission.map(Some).map_err(|errors| {
        Failure::all(ExitStatus::ConfigError, errors.iter().map(|error| format!("admit: {error}")))
    })
}
