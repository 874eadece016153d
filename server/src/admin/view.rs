//! The parts of an instance that operators may look at.

use crate::clients::admission_control::AdmissionControl;
use crate::clients::graceful_shutdown::GracefulShutdown;
use crate::messages::control::ControlMessage;
use crate::messages::snapshot::ServerSnapshot;
use crate::runtime::resource_limits::{DescriptorClass, ResourceLimits};
use crate::runtime::terms::Term;
use may::sync::mpsc::Sender;
use std::sync::{mpsc, Arc};
use std::time::Duration;
use thiserror::Error;

/// How long a page may take.
pub const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Descriptors by what they are for, under the names that operators see.
pub(super) const DESCRIPTOR_CLASSES: [(Term, DescriptorClass); 4] = [
    (Term::same("clients"), DescriptorClass::Clients),
    (Term::new("stores", "endpoints"), DescriptorClass::Endpoints),
    (Term::same("discovery"), DescriptorClass::Discovery),
    (Term::new("turned away", "rejected_clients"), DescriptorClass::RejectedClients),
];

/// What pages are made from.
pub struct AdminView {
    /// The name of the instance.
    pub name: String,
    /// The control loop.
    pub control: Sender<ControlMessage>,
    /// Descriptors and memory.
    pub resources: Arc<ResourceLimits>,
    /// Admission control, if clients have classes.
    pub admission: Option<Arc<AdmissionControl>>,
    /// The shutdown, which knows all connections.
    pub shutdown: Arc<GracefulShutdown>,
    /// The names of the methods.
    pub methods: Vec<String>,
}

/// Why there is no page.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PageError {
    /// The control loop has ended.
    #[error("the control loop has ended")]
    ControlLoopEnded,
    /// The control loop did not answer in time.
    #[error("the control loop did not answer within a second")]
    TimedOut,
}

impl AdminView {
    /// The control loop's own account of itself.
    ///
    /// # Errors
    /// It gives none.
    pub fn snapshot(&self) -> Result<ServerSnapshot, PageError> {
        let (reply, snapshot) = mpsc::channel();
        let sent = self.control.send(ControlMessage::Snapshot { reply });
        sent.map_err(|_| PageError::ControlLoopEnded)?;
        snapshot.recv_timeout(PAGE_TIMEOUT).map_err(|_| PageError::TimedOut)
    }
}
