//! The components of the server whose state the pages of the admin socket show.

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

/// The timeout of each of the three steps in serving a page: reading the page's name, getting the control loop's
/// snapshot, writing the page.
pub const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// The classes of descriptors, and their names on the pages and in metrics.
pub(super) const DESCRIPTOR_CLASSES: [(Term, DescriptorClass); 4] = [
    (Term::same("clients"), DescriptorClass::Clients),
    (Term::new("stores", "endpoints"), DescriptorClass::Endpoints),
    (Term::same("discovery"), DescriptorClass::Discovery),
    (Term::new("turned away", "rejected_clients"), DescriptorClass::RejectedClients),
];

/// The components from which the pages are rendered.
pub struct AdminView {
    /// The name of the instance, which heads the page `endpoints`.
    pub name: String,
    /// The channel by which snapshots are requested from the control loop.
    pub control: Sender<ControlMessage>,
    /// The use and the limits of descriptors and buffer memory.
    pub resources: Arc<ResourceLimits>,
    /// The counts of connections by class and address; `None` if no client classes are configured.
    pub admission: Option<Arc<AdmissionControl>>,
    /// The graceful shutdown, which counts the open connections.
    pub shutdown: Arc<GracefulShutdown>,
    /// The name of each method, at the method's index.
    pub methods: Vec<String>,
}

/// Why a page cannot be rendered.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PageError {
    /// The control loop has ended.
    #[error("the control loop has ended")]
    ControlLoopEnded,
    /// The control loop did not answer within [`PAGE_TIMEOUT`].
    #[error("the control loop did not answer within a second")]
    TimedOut,
}

impl AdminView {
    /// Requests a snapshot from the control loop.
    ///
    /// # Errors
    /// The control loop has ended, or did not reply within [`PAGE_TIMEOUT`].
    pub fn snapshot(&self) -> Result<ServerSnapshot, PageError> {
        let (reply, snapshot) = mpsc::channel();
        let sent = self.control.send(ControlMessage::Snapshot { reply });
        sent.map_err(|_| PageError::ControlLoopEnded)?;
        snapshot.recv_timeout(PAGE_TIMEOUT).map_err(|_| PageError::TimedOut)
    }
}
