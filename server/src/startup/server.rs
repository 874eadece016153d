//! Creation of the server's components, and the running server.

use crate::admin::socket;
use crate::admin::view::AdminView;
use crate::clients::acceptor::{self, ListenerQueue};
use crate::clients::admission_control::AdmissionControl;
use crate::clients::context::ClientContext;
use crate::clients::graceful_shutdown::GracefulShutdown;
use crate::clients::memory_guard::MemoryGuard;
use crate::clients::session_tokens::SessionTokens;
use crate::control::control_loop::{ControlLoop, ControlSetup, RouterConfig};
use crate::control::recovery_options::RecoveryOptions;
use crate::discovery::watch::{DiscoveryAddress, DiscoveryWatch, WatchProgress};
use crate::endpoints::dispatcher::EndpointDispatcher;
use crate::endpoints::pool::ConnectionPool;
use crate::exit_status::{ExitStatus, Failure};
use crate::log;
use crate::messages::control::{ControlMessage, QueueLimits};
use crate::messages::request::MethodTable;
use crate::runtime::clock::{Clock, Timers};
use crate::runtime::descriptors::ReserveDescriptor;
use crate::runtime::resource_limits::DescriptorClass;
use crate::runtime::tasks::{spawn, spawn_long_lived};
use crate::startup::configuration::Configuration;
use crate::startup::initial_list::{EndpointCache, InitialList};
use crate::startup::shared_services::{admin_socket_failure, unpredictable_seed, SharedServices};
use crate::storage::endpoint_cache_writer::EndpointCacheWriter;
use crate::storage::journal::WriteJournal;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpListener;
use may::sync::mpsc::{channel, Receiver, Sender};
use operator_config::{EndpointIdentity, JournalMode, OperatorSettings, StorageSettings};
use recovery::discovery_incarnation::IncarnationTracker;
use recovery::watch_schedule::WatchSchedule;
use routing::rng::Mwc;
use routing::time::TimeDelta;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use write_journal::journal::{Durability, Retention};

/// The interval at which expired idle connections to endpoints are closed.
const POOL_CLEANUP_INTERVAL: TimeDelta = TimeDelta::from_millis(1_000);
/// How long the start tries to bind the listener while the system has no resources for it.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before the listener is bound again.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long the shutdown waits at its beginning for the last save of the endpoint list. Clients are still served
/// during the wait.
const LAST_SAVE_TIMEOUT: Duration = Duration::from_millis(50);
/// The subdirectory of the state directory in which the write journal is stored.
const JOURNAL_DIRECTORY: &str = "writes";
/// The value of `membershipMode` in the bootstrap file if an agent on the same machine sends each change of the
/// endpoint list.
const LOCAL_AGENT_MODE: &str = "push";
/// The process-internal id of the first request.
const FIRST_REQUEST: u64 = 0;
/// The id of the first client connection, sent to the client in BackendKeyData.
const FIRST_CONNECTION: u64 = 1;

/// A handle that stops the accept loop.
struct AcceptLoopHandle {
    stopping: Arc<AtomicBool>,
    /// Wakes the accept loop while it waits for a connection.
    listener_waker: WaitIoWaker,
}

impl AcceptLoopHandle {
    fn stop(self) {
        self.stopping.store(true, Ordering::Release);
        self.listener_waker.wakeup();
    }
}

/// A running server. The thread that handles signals owns it, to reload the configuration and to begin the
/// shutdown.
pub struct Server {
    pub(super) configuration: Configuration,
    pub(super) discovery_address: Arc<DiscoveryAddress>,
    pub(super) endpoint_cache: Option<Arc<EndpointCacheWriter>>,
    pub(super) session_tokens: Option<Arc<SessionTokens>>,
    pub(super) admission: Option<Arc<AdmissionControl>>,
    pub(super) control: Sender<ControlMessage>,
    timers: Arc<Timers>,
    shutdown: Arc<GracefulShutdown>,
    /// `None` once the shutdown has begun.
    accept_loop: Option<AcceptLoopHandle>,
}

/// Creates and starts the components of a server.
struct Builder {
    clock: Clock,
    configuration: Configuration,
    services: SharedServices,
    control: Sender<ControlMessage>,
    journal: Option<Arc<WriteJournal>>,
    cache: Option<EndpointCache>,
}

impl Server {
    /// Creates all components and starts accepting connections.
    ///
    /// # Errors
    /// The client classes are invalid, the listen address cannot be bound, the write journal cannot be opened, or the
    /// operating system refuses a resource.
    pub fn start(clock: Clock, configuration: Configuration) -> Result<Server, Failure> {
        let services = SharedServices::new(clock, &configuration)?;
        let listener = bind_listener(configuration.bootstrap.listen)?;
        let journal = open_journal(&configuration.operators.storage)?;
        let storage = &configuration.operators.storage;
        let open_cache =
            |path: &std::path::PathBuf| EndpointCache::open(path, clock, storage.min_save_interval);
        let cache = storage.state_dir.as_ref().map(open_cache);
        let (control, messages) = channel();
        let builder = Builder { clock, configuration, services, control, journal, cache };
        builder.start(listener, messages)
    }

    /// Begins the graceful shutdown; later calls have no effect.
    pub fn shut_down(&mut self) {
        let Some(accept_loop) = self.accept_loop.take() else { return };
        if let Some(cache) = &self.endpoint_cache {
            cache.stop(LAST_SAVE_TIMEOUT);
        }
        self.shutdown.begin(&self.timers, move || accept_loop.stop());
    }
}

impl Builder {
    /// Starts all components, the accept loop last.
    fn start(mut self, listener: TcpListener, messages: Receiver<ControlMessage>) -> Result<Server, Failure> {
        let initial_list = self.choose_initial_list();
        let incarnation = initial_list.incarnation();
        self.start_control_loop(messages, initial_list)?;
        let discovery_address = self.start_discovery(incarnation)?;
        let shutdown = GracefulShutdown::new(self.longest_timeout(), exit_process);
        let session_tokens = self.session_tokens();
        self.serve_admin_socket(&shutdown)?;
        self.start_memory_guard(&shutdown);
        let accept_loop = self.accept_connections(listener, &shutdown, session_tokens.clone());
        let bootstrap = &self.configuration.bootstrap;
        log!(INFO, name = bootstrap.name, listen = bootstrap.listen; "serving");
        Ok(Server {
            discovery_address,
            endpoint_cache: self.cache_writer(),
            session_tokens,
            admission: self.services.admission,
            control: self.control,
            timers: self.services.timers,
            shutdown,
            accept_loop: Some(accept_loop),
            configuration: self.configuration,
        })
    }

    /// The longest timeout of a request, by the methods' settings.
    fn longest_timeout(&self) -> TimeDelta {
        let methods = &self.configuration.bootstrap.config.methods;
        TimeDelta(methods.iter().map(|method| method.deadline_ns).max().unwrap_or(0))
    }

    fn cache_writer(&self) -> Option<Arc<EndpointCacheWriter>> {
        self.cache.as_ref().and_then(|cache| cache.writer.clone())
    }

    /// Takes the endpoint list to start with from the cache and the bootstrap file.
    fn choose_initial_list(&mut self) -> InitialList {
        let bootstrap = self.configuration.bootstrap.known_endpoints.take();
        match &mut self.cache {
            Some(cache) => cache.initial_list(bootstrap, self.clock),
            None => bootstrap.map_or(InitialList::Unknown, InitialList::Bootstrap),
        }
    }

    /// Starts the control loop, whose first messages are the initial endpoint list and the limits on requests.
    fn start_control_loop(
        &self,
        messages: Receiver<ControlMessage>,
        initial_list: InitialList,
    ) -> Result<(), Failure> {
        let bootstrap = &self.configuration.bootstrap;
        let allowed = &bootstrap.config.allowed;
        let pool = self.create_connection_pool();
        let dispatcher = EndpointDispatcher {
            pool: pool.clone(),
            control: self.control.clone(),
            health_check_timeout: TimeDelta(allowed.connect_timeout_ns),
            journal: self.journal.clone(),
            metrics: self.services.metrics.clone(),
        };
        let control_loop = ControlLoop::new(ControlSetup {
            config: RouterConfig {
                settings: bootstrap.settings.clone(),
                seed: bootstrap.seed,
                zones: bootstrap.config.zones.clone(),
                max_open_requests: allowed.max_open_requests,
            },
            dispatcher,
            messages,
            recovery: self.recovery_options(&initial_list),
        });
        if let Some(message) = initial_list.into_message() {
            let _ = self.control.send(message);
        }
        if let Some(limits) = queue_limits(&self.configuration.operators) {
            let _ = self.control.send(ControlMessage::SetQueueLimits(Some(limits)));
        }
        spawn_component(move || control_loop.run())?;
        spawn_pool_cleanup(self.services.timers.clone(), pool);
        Ok(())
    }

    /// Creates the pool of connections to endpoints, which is empty at first.
    fn create_connection_pool(&self) -> Arc<ConnectionPool> {
        let SharedServices { timers, resources, .. } = &self.services;
        let allowed = &self.configuration.bootstrap.config.allowed;
        let connect_timeout = TimeDelta(allowed.connect_timeout_ns);
        let idle_timeout = TimeDelta(allowed.idle_timeout_ns);
        Arc::new(ConnectionPool::new(timers.clone(), resources.clone(), connect_timeout, idle_timeout))
    }

    /// The options of primary discovery; `None` if the endpoint list is not cached.
    fn recovery_options(&self, initial_list: &InitialList) -> Option<RecoveryOptions> {
        let cache = self.cache.as_ref()?;
        Some(RecoveryOptions {
            cache_times: initial_list.cache_times(),
            queries_identity: self.configuration.operators.endpoint_identity == EndpointIdentity::Postgres,
            descriptors: self.services.resources.limit(DescriptorClass::Endpoints),
            cache: cache.writer.clone(),
        })
    }

    /// Starts the watch on the discovery service.
    fn start_discovery(&self, incarnation: IncarnationTracker) -> Result<Arc<DiscoveryAddress>, Failure> {
        let bootstrap = &self.configuration.bootstrap;
        let config = &bootstrap.config;
        let from_local_agent = config.membership_mode == LOCAL_AGENT_MODE;
        let address = Arc::new(DiscoveryAddress::new(bootstrap.discovery));
        let watch = DiscoveryWatch {
            address: address.clone(),
            timers: self.services.timers.clone(),
            resources: self.services.resources.clone(),
            control: self.control.clone(),
            progress: WatchProgress {
                incarnation,
                schedule: WatchSchedule::new(from_local_agent, config.rules.drain_grace()),
                needs_complete_list: self.cache.is_some(),
            },
            cache: self.cache_writer(),
            rng: Mwc::new(bootstrap.seed),
        };
        spawn_component(move || watch.run())?;
        Ok(address)
    }

    /// Creates the issuer of session tokens, if session keys are configured.
    fn session_tokens(&mut self) -> Option<Arc<SessionTokens>> {
        let keys = self.configuration.session_keys.take()?;
        let lifetime = TimeDelta(self.configuration.operators.sessions.lifetime.as_nanos() as i64);
        Some(Arc::new(SessionTokens::new(keys, lifetime, unpredictable_seed())))
    }

    /// Serves the admin socket, if one is configured.
    fn serve_admin_socket(&mut self, shutdown: &Arc<GracefulShutdown>) -> Result<(), Failure> {
        let path = self.configuration.operators.admin_socket.as_deref();
        let (Some(path), Some(recorder)) = (path, self.services.recorder.take()) else { return Ok(()) };
        let view = AdminView {
            name: self.configuration.bootstrap.name.clone(),
            control: self.control.clone(),
            resources: self.services.resources.clone(),
            admission: self.services.admission.clone(),
            shutdown: shutdown.clone(),
            methods: self.services.methods.clone(),
        };
        socket::serve(path, recorder, view).map_err(admin_socket_failure)
    }

    /// Starts the coroutine that watches the process's memory.
    fn start_memory_guard(&self, shutdown: &Arc<GracefulShutdown>) {
        let guard = MemoryGuard {
            timers: self.services.timers.clone(),
            resources: self.services.resources.clone(),
            connections: shutdown.clone(),
        };
        spawn(move || guard.run());
    }

    /// Starts the accept loop. When the loop has ended, its coroutine closes the server, so that no further queries
    /// are read.
    fn accept_connections(
        &self,
        listener: TcpListener,
        shutdown: &Arc<GracefulShutdown>,
        session_tokens: Option<Arc<SessionTokens>>,
    ) -> AcceptLoopHandle {
        let context = Arc::new(self.client_context(shutdown, session_tokens));
        let accept_loop =
            AcceptLoopHandle { stopping: Arc::new(AtomicBool::new(false)), listener_waker: listener.waker() };
        let has_operator_file = self.configuration.has_operator_file();
        let reserve =
            if has_operator_file { ReserveDescriptor::open() } else { ReserveDescriptor::default() };
        let timers = self.services.timers.clone();
        let mut queue = ListenerQueue {
            listener,
            reserve,
            timers,
            stopping: accept_loop.stopping.clone(),
            shutdown: shutdown.clone(),
        };
        spawn(move || {
            acceptor::run(&mut queue, |accepted| acceptor::spawn_connection(&context, accepted));
            drop(queue);
            context.shutdown.close();
        });
        accept_loop
    }

    /// Creates the context that all client connections share.
    fn client_context(
        &self,
        shutdown: &Arc<GracefulShutdown>,
        session_tokens: Option<Arc<SessionTokens>>,
    ) -> ClientContext {
        let SharedServices { timers, resources, admission, methods, .. } = &self.services;
        let settings = &self.configuration.bootstrap.settings;
        let prefixes = self.configuration.operators.admission.clients.prefixes;
        ClientContext {
            timers: timers.clone(),
            resources: resources.clone(),
            control: self.control.clone(),
            methods: MethodTable::new(methods.clone(), settings),
            max_retry_after: settings.max_retry_after,
            shutdown: shutdown.clone(),
            session_tokens,
            admission: admission.clone(),
            client_prefixes: self.configuration.has_operator_file().then_some(prefixes),
            journal: self.journal.clone(),
            next_request: AtomicU64::new(FIRST_REQUEST),
            turns: Arc::default(),
            next_connection: AtomicU64::new(FIRST_CONNECTION),
        }
    }
}

/// Binds the listener. While the system has no descriptor or memory for it, tries again.
///
/// # Errors
/// The address cannot be used, or the system has had no resources for [`BIND_TIMEOUT`].
fn bind_listener(listen: SocketAddr) -> Result<TcpListener, Failure> {
    let started = Instant::now();
    loop {
        match TcpListener::bind(listen) {
            Err(error) if is_lack_of_resources(&error) && started.elapsed() < BIND_TIMEOUT => {
                log!(WARN, reason = error; "cannot listen yet");
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            result => {
                let message = |error| format!("ROUTER_LISTEN: cannot listen on {listen}: {error}");
                return result.map_err(|error| Failure::new(ExitStatus::OsError, message(error)));
            }
        }
    }
}

/// Whether an error says that the system or the process has no descriptor or memory, which may be free again soon.
fn is_lack_of_resources(error: &std::io::Error) -> bool {
    let codes = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    error.raw_os_error().is_some_and(|code| codes.contains(&code))
}

/// Spawns the coroutine of a component that runs until the process exits.
fn spawn_component(run: impl FnOnce() + Send + 'static) -> Result<(), Failure> {
    spawn_long_lived(run).map_err(|error| {
        Failure::new(ExitStatus::OsError, format!("cannot allocate the stack of a coroutine: {error}"))
    })
}

/// Spawns the coroutine that closes expired idle connections to endpoints.
fn spawn_pool_cleanup(timers: Arc<Timers>, pool: Arc<ConnectionPool>) {
    spawn(move || loop {
        timers.sleep(POOL_CLEANUP_INTERVAL);
        pool.close_expired();
    });
}

/// Exits the process at the end of the graceful shutdown.
fn exit_process() {
    log!(INFO; "shutdown complete, all connections closed");
    crate::runtime::log::flush();
    std::process::exit(ExitStatus::Success as i32);
}

/// Opens the write journal, if one is configured. If the journal cannot be opened, the start fails, because the
/// guarantees for writes depend on the journal.
fn open_journal(settings: &StorageSettings) -> Result<Option<Arc<WriteJournal>>, Failure> {
    let durability = match settings.journal.mode {
        JournalMode::Off => return Ok(None),
        JournalMode::System => Durability::System,
        JournalMode::Disk => Durability::Disk,
    };
    let failure =
        |problem: String| Failure::new(ExitStatus::ConfigError, format!("write-journal: {problem}"));
    let state_dir =
        settings.state_dir.as_ref().ok_or_else(|| failure("requires state-dir, which is not set".into()))?;
    let retention = Retention {
        max_records: settings.journal.max_records,
        max_age_ms: settings.journal.max_age.as_millis() as i64,
    };
    let path = state_dir.join(JOURNAL_DIRECTORY);
    let journal = WriteJournal::start(&path, durability, retention, unpredictable_seed());
    journal.map(Some).map_err(|error| failure(format!("{}: {error}", path.display())))
}

/// The limits on requests and the client classes that share them; `None` if the operators' file sets no limits.
pub(super) fn queue_limits(operators: &OperatorSettings) -> Option<QueueLimits> {
    let limits = operators.concurrency_limits()?;
    Some(QueueLimits { limits, classes: operators.admission.clients.classes.clone() })
}
