//! The services that all components of the server share and that are created before them: timers, resource limits,
//! metrics and admission control.

use crate::admin::socket;
use crate::clients::admission_control::AdmissionControl;
use crate::exit_status::{ExitStatus, Failure};
use crate::log;
use crate::runtime::clock::{Clock, Timers};
use crate::runtime::descriptors::raise_descriptor_limit;
use crate::runtime::event_loop;
use crate::runtime::metrics::{install_recorder, Metrics};
use crate::runtime::resource_limits::ResourceLimits;
use crate::runtime::tasks::{stack_size, STACK_BYTES};
use crate::startup::configuration::Configuration;
use metrics_exporter_prometheus::PrometheusHandle;
use operator_config::{JournalMode, OperatorSettings};
use routing::time::TimeDelta;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;

/// The maximum number of finished coroutines whose stacks are kept for reuse.
const POOLED_COROUTINES: usize = 64;
/// The worker threads of the coroutine runtime. With a single worker, coroutines never run in parallel.
const WORKERS: usize = 1;
/// The base-2 logarithm of the bytes in a MiB.
const BYTES_PER_MIB_SHIFT: u32 = 20;

/// The services that all components of the server share.
pub struct SharedServices {
    /// The timers of the process, on one thread.
    pub timers: Arc<Timers>,
    /// The limits on descriptors and buffer memory.
    pub resources: Arc<ResourceLimits>,
    /// The counters and histograms of the process.
    pub metrics: Arc<Metrics>,
    /// Renders the metrics page of the admin socket; `None` without an admin socket.
    pub recorder: Option<PrometheusHandle>,
    /// Admits and rejects connections; `None` if no client classes are configured.
    pub admission: Option<Arc<AdmissionControl>>,
    /// The name of each method, at the method's index.
    pub methods: Vec<String>,
}

impl SharedServices {
    /// Configures the coroutine runtime and creates the shared services.
    ///
    /// # Errors
    /// The client classes are invalid, the metrics recorder could not be installed, or the operating system refuses a
    /// descriptor.
    pub fn new(clock: Clock, configuration: &Configuration) -> Result<SharedServices, Failure> {
        configure_coroutines();
        let timers = Arc::new(Timers::start(clock));
        event_loop::start(timers.clone()).map_err(event_loop_failure)?;
        let resources = resource_limits(configuration);
        let admission = admission_control(configuration, &timers, &resources)?;
        // The recorder is installed before the metrics are created, because it does not record earlier ones.
        let recorder = configuration.operators.admin_socket.as_ref().map(|_| install_recorder()).transpose();
        let recorder = recorder.map_err(admin_socket_failure)?;
        let methods = method_names(configuration);
        let metrics = Arc::new(Metrics::new(&methods));
        Ok(SharedServices { timers, resources, metrics, recorder, admission, methods })
    }
}

/// The failure of a start whose admin socket could not be created.
pub fn admin_socket_failure(error: impl std::fmt::Display) -> Failure {
    Failure::new(ExitStatus::OsError, format!("operators-socket: {error}"))
}

fn event_loop_failure(error: std::io::Error) -> Failure {
    Failure::new(ExitStatus::OsError, format!("cannot open an event descriptor: {error}"))
}

/// A random seed, independent of the configured one, for ids and jitter that must differ between starts and between
/// instances.
pub fn unpredictable_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Configures the coroutine runtime, and logs panics instead of printing them.
fn configure_coroutines() {
    let config = may::config();
    config
        .set_workers(WORKERS)
        .set_pool_capacity(POOLED_COROUTINES)
        .set_stack_size(stack_size(STACK_BYTES))
        .set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!(WARN; "{panic}")));
}

/// The name of each method, at the method's index.
fn method_names(configuration: &Configuration) -> Vec<String> {
    configuration.bootstrap.config.methods.iter().map(|method| method.name.clone()).collect()
}

/// Creates the limits on descriptors and buffer memory. With an operators' file, the process's own limit on
/// descriptors is raised first.
fn resource_limits(configuration: &Configuration) -> Arc<ResourceLimits> {
    let limits = &configuration.bootstrap.limits;
    let operators = &configuration.operators;
    let descriptors = if configuration.has_operator_file() {
        raise_descriptor_limit(limits.sockets)
    } else {
        limits.sockets
    };
    let descriptors = descriptors.saturating_sub(operator_feature_descriptors(operators));
    let memory_bytes = limits.memory_mb << BYTES_PER_MIB_SHIFT;
    let has_classes = !operators.admission.clients.classes.is_empty();
    let resources = ResourceLimits::new(descriptors, memory_bytes, has_classes);
    if has_journal(operators) {
        resources.set_storage_bytes(write_journal::journal::MAX_MEMORY_BYTES);
    }
    resources
}

fn has_journal(operators: &OperatorSettings) -> bool {
    operators.storage.journal.mode != JournalMode::Off
}

/// The number of descriptors that the features in the operators' file use: the endpoint cache, the write journal
/// and the admin socket.
fn operator_feature_descriptors(operators: &OperatorSettings) -> usize {
    let cache = if operators.storage.state_dir.is_some() { endpoint_cache::MAX_DESCRIPTORS } else { 0 };
    let journal = if has_journal(operators) { write_journal::journal::MAX_DESCRIPTORS } else { 0 };
    let admin = if operators.admin_socket.is_some() { socket::DESCRIPTORS } else { 0 };
    cache + journal + admin
}

/// Creates admission control, if client classes are configured.
///
/// # Errors
/// All problems of the client classes.
fn admission_control(
    configuration: &Configuration,
    timers: &Arc<Timers>,
    resources: &Arc<ResourceLimits>,
) -> Result<Option<Arc<AdmissionControl>>, Failure> {
    let clients = configuration.operators.admission.clients.clone();
    if clients.classes.is_empty() {
        return Ok(None);
    }
    // Without a maximum, rejections carry no Retry-After, and this value is not used.
    let max_retry_after = configuration.bootstrap.settings.max_retry_after.unwrap_or(TimeDelta::ZERO);
    let seed = unpredictable_seed();
    let admission = AdmissionControl::new(clients, max_retry_after, seed, timers.clone(), resources.clone());
    admission.map(Some).map_err(|errors| {
        Failure::all(ExitStatus::ConfigError, errors.iter().map(|error| format!("admit: {error}")))
    })
}
