//! The parts of the server that the pages of the admin socket show.

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

/// The timeout of each step of a page: reading the request, the control loop's snapshot, and writing the page.
pub const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// The classes of descriptors, and their names on the pages and in metrics.
pub(super) const DESCRIPTOR_CLASSES: [(Term, DescriptorClass); 4] = [
    (Term::same("clients"), DescriptorClass::Clients),
    (Term::new("stores", "endpoints"), DescriptorClass::Endpoints),
    (Term::same("discovery"), DescriptorClass::Discovery),
    (Term::new("turned away", "rejected_clients"), DescriptorClass::RejectedClients),
];

/// The sources of the pages.
pub struct AdminView {
    /// The name of the instance.
    pub name: String,
    /// The channel to the control loop, for snapshots.
    pub control: Sender<ControlMessage>,
    /// The limits on descriptors and buffer memory.
    pub resources: Arc<ResourceLimits>,
    /// Admission control, if client classes are configured.
    pub admission: Option<Arc<AdmissionControl>>,
    /// The graceful shutdown, which counts the open connections.
    pub shutdown: Arc<GracefulShutdown>,
    /// The names of the methods, by index.
    pub methods: Vec<String>,
}

/// Why a page cannot be rendered.
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
    /// Requests a snapshot from the control loop.
    ///
    /// # Errors
    /// The control loop has ended, or did not reply in time.
    pub fn snapshot(&self) -> Result<ServerSnapshot, PageError> {
        let (reply, snapshot) = mpsc::channel();
        let sent = self.control.send(ControlMessage::Snapshot { reply });
        sent.map_err(|_| PageError::ControlLoopEnded)?;
        snapshot.recv_timeout(PAGE_TIMEOUT).map_err(|_| PageError::TimedOut)
    }
}
