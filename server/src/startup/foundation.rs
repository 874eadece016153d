//! The shared services of the server, which are created first: timers, resource limits, counters and admission control.

use crate::admin::socket;
use crate::clients::admission_control::AdmissionControl;
use crate::exit_status::{ExitStatus, Failure};
use crate::log;
use crate::runtime::clock::{Clock, Timers};
use crate::runtime::descriptors::raise_descriptor_limit;
use crate::runtime::metrics::{install_recorder, Metrics};
use crate::runtime::resource_limits::ResourceLimits;
use crate::runtime::tasks::{stack_size, STACK_BYTES};
use crate::startup::configuration::Configuration;
use metrics_exporter_prometheus::PrometheusHandle;
use operator_config::{JournalMode, OperatorSettings};
use routing::time::TimeDelta;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;

/// The number of finished coroutines whose stacks are kept for reuse.
const POOLED_COROUTINES: usize = 64;
/// Worker threads of the coroutine runtime: with one, coroutines never run in parallel.
const WORKERS: usize = 1;
/// A MiB is 1 shifted left by this.
const BYTES_PER_MIB_SHIFT: u32 = 20;

/// The services that all parts of the server share.
pub struct Foundation {
    /// The timers of the process.
    pub timers: Arc<Timers>,
    /// The limits on descriptors and buffer memory.
    pub resources: Arc<ResourceLimits>,
    /// The counters of the process.
    pub metrics: Arc<Metrics>,
    /// Renders the counters for the admin socket, if there is one.
    pub recorder: Option<PrometheusHandle>,
    /// Admission control, if client classes are configured.
    pub admission: Option<Arc<AdmissionControl>>,
    /// The names of the methods, by index.
    pub methods: Vec<String>,
}

impl Foundation {
    /// Configures the coroutine runtime and creates the shared services.
    ///
    /// # Errors
    /// The client classes are invalid, or the recorder of the counters could not be installed.
    pub fn new(clock: Clock, configuration: &Configuration) -> Result<Foundation, Failure> {
        configure_coroutines();
        let timers = Arc::new(Timers::start(clock));
        let resources = resource_limits(configuration);
        let admission = admission_control(configuration, &timers, &resources)?;
        // The recorder comes before the counters: those created earlier would not be recorded.
        let recorder = configuration.operators.admin_socket.as_ref().map(|_| install_recorder()).transpose();
        let recorder = recorder.map_err(admin_socket_failure)?;
        let methods = method_names(configuration);
        let metrics = Arc::new(Metrics::new(&methods));
        Ok(Foundation { timers, resources, metrics, recorder, admission, methods })
    }
}

/// The failure of a start whose admin socket could not be created.
pub fn admin_socket_failure(error: impl std::fmt::Display) -> Failure {
    Failure::new(ExitStatus::OsError, format!("operators-socket: {error}"))
}

/// A random seed, independent of the configured one. Session ids must differ between starts and between instances.
pub fn unpredictable_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Configures the coroutine runtime, and logs panics.
fn configure_coroutines() {
    let config = may::config();
    config
        .set_workers(WORKERS)
        .set_pool_capacity(POOLED_COROUTINES)
        .set_stack_size(stack_size(STACK_BYTES))
        .set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!(WARN; "{panic}")));
}

/// The names of the methods, by index.
fn method_names(configuration: &Configuration) -> Vec<String> {
    configuration.bootstrap.config.methods.iter().map(|method| method.name.clone()).collect()
}

/// The limits on descriptors and buffer memory. With an operators' file, the process's own limit is raised first.
fn resource_limits(configuration: &Configuration) -> Arc<ResourceLimits> {
    let limits = &configuration.bootstrap.limits;
    let operators = &configuration.operators;
    let descriptors = if configuration.has_operator_file() {
        raise_descriptor_limit(limits.sockets)
    } else {
        limits.sockets
    };
    let descriptors = descriptors.saturating_sub(descriptors_for_operators(operators));
    let memory_bytes = limits.memory_mb << BYTES_PER_MIB_SHIFT;
    ResourceLimits::new(descriptors, memory_bytes, !operators.admission.clients.classes.is_empty())
}

/// The descriptors that features of the operators' file hold: the endpoint cache, the write journal and the admin
/// socket.
fn descriptors_for_operators(operators: &OperatorSettings) -> usize {
    let cache = if operators.storage.state_dir.is_some() { endpoint_cache::MAX_DESCRIPTORS } else { 0 };
    let has_journal = operators.storage.journal.mode != JournalMode::Off;
    let journal = if has_journal { write_journal::journal::MAX_DESCRIPTORS } else { 0 };
    let admin = if operators.admin_socket.is_some() { socket::DESCRIPTORS } else { 0 };
    cache + journal + admin
}

/// Creates admission control, if client classes are configured.
///
/// # Errors
/// Every fault of the client classes.
fn admission_control(
    configuration: &Configuration,
    timers: &Arc<Timers>,
    resources: &Arc<ResourceLimits>,
) -> Result<Option<Arc<AdmissionControl>>, Failure> {
    let clients = configuration.operators.admission.clients.clone();
    if clients.classes.is_empty() {
        return Ok(None);
    }
    // Without a limit, rejections carry no Retry-After, so the value is not used.
    let max_retry_after = configuration.bootstrap.settings.max_retry_after.unwrap_or(TimeDelta::ZERO);
    let seed = unpredictable_seed();
    let admission = AdmissionControl::new(clients, max_retry_after, seed, timers.clone(), resources.clone());
    admission.map(Some).map_err(|errors| {
        Failure::all(ExitStatus::ConfigError, errors.iter().map(|error| format!("admit: {error}")))
    })
}
