//! Reload on SIGHUP: both configuration files are read again. If a file is invalid, its errors are logged, and the
//! settings that were read from it earlier stay in effect.

use crate::clients::session_tokens::read_keys;
use crate::config::bootstrap::{Bootstrap, BootstrapError, ReadAt};
use crate::config::operator_file::{self, OperatorFileError};
use crate::log;
use crate::messages::control::ControlMessage;
use crate::startup::configuration::read_bootstrap;
use crate::startup::server::{queue_limits, Server};
use admission::ClassError;
use operator_config::OperatorSettings;
use std::fmt::Display;

impl Server {
    /// Reads both files again and applies the settings that can be changed while the server runs. Changes to other
    /// settings are logged.
    pub fn reload(&self) {
        match read_bootstrap(ReadAt::Reload) {
            Ok(newer) => self.apply_bootstrap(&newer),
            Err(errors) => log_bootstrap_errors(&errors),
        }
        if !self.configuration.has_operator_file() {
            return;
        }
        match operator_file::read(self.configuration.operator_file.as_deref()) {
            Ok(newer) => self.apply_operator_settings(&newer),
            Err(errors) => log_operator_errors(&errors),
        }
    }

    /// Applies the address of discovery from a newer bootstrap file.
    fn apply_bootstrap(&self, newer: &Bootstrap) {
        for key in self.configuration.bootstrap.changed_keys(newer) {
            log_needs_restart(&key);
        }
        let changed = self.discovery_address.set(newer.discovery);
        log!(INFO, discovery = newer.discovery, changed = changed; "bootstrap file reloaded");
    }

    /// Applies the save interval, the client classes and the limits on requests from a newer operators' file, and
    /// reads the session keys again.
    fn apply_operator_settings(&self, newer: &OperatorSettings) {
        for keyword in self.configuration.operators.changed_start_keywords(newer) {
            log_needs_restart(keyword);
        }
        if let Some(cache) = &self.endpoint_cache {
            cache.set_min_interval(newer.storage.min_save_interval);
        }
        match self.apply_classes(newer) {
            Ok(()) => {
                let limits = queue_limits(newer);
                let _ = self.control.send(ControlMessage::SetQueueLimits(limits));
            }
            Err(errors) => log_class_errors(&errors),
        }
        self.apply_session_keys();
    }

    /// Replaces the client classes. Has no effect if no classes were configured at the start, because admission
    /// control is created only then, or if the newer file configures none.
    ///
    /// # Errors
    /// All problems of the classes.
    fn apply_classes(&self, newer: &OperatorSettings) -> Result<(), Vec<ClassError>> {
        let clients = &newer.admission.clients;
        let Some(admission) = self.admission.as_ref().filter(|_| !clients.classes.is_empty()) else {
            return Ok(());
        };
        admission.set_classes(clients.clone())?;
        log!(INFO; "client classes reloaded: {}", admission.summary());
        Ok(())
    }

    /// Reads the session keys again, from the path that was configured at the start.
    fn apply_session_keys(&self) {
        let path = self.configuration.operators.sessions.keys_path.as_ref();
        let (Some(tokens), Some(path)) = (&self.session_tokens, path) else { return };
        match read_keys(path) {
            Ok(keys) => tokens.set_keys(keys),
            Err(error) => {
                log!(WARN, reason = error; "reload: session-keys file cannot be used, keys unchanged");
            }
        }
    }
}

fn log_needs_restart(setting: &str) {
    log!(INFO, setting = setting; "reload: changed setting takes effect at the next start");
}

fn log_bootstrap_errors(errors: &[BootstrapError]) {
    log!(WARN, reason = join(errors); "reload: bootstrap file cannot be used, its settings are unchanged");
}

fn log_operator_errors(errors: &[OperatorFileError]) {
    log!(WARN, reason = join(errors); "reload: operators' file cannot be used, its settings are unchanged");
}

fn log_class_errors(errors: &[ClassError]) {
    for error in errors {
        log!(WARN, reason = error; "reload: client classes are invalid, classes unchanged");
    }
}

/// Joins the texts of errors into one line, separated by semicolons.
fn join(errors: &[impl Display]) -> String {
    let errors: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
    errors.join("; ")
}
