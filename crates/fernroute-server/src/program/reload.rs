//! New settings while the program runs. The balancer's own file is read again on SIGHUP, and the coordinators of a fleet
//! hand out layers that are applied over it. Both take the same path, completely or not at all: a file that is half
//! written, for example, changes nothing. Of signals that arrive together the last file counts. Reloads go on in a drain
//! and beside a successor, and end once the program is told to stop.

use super::instance::{InstanceConfig, InstanceConfigError, Layer, SettingError};
use super::running::RunningInstance;
use super::start_error::StartError;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use thiserror::Error;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Why new settings or layers were rejected.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file, by itself or with the layers, can't be used.
    #[error(transparent)]
    Config(#[from] InstanceConfigError),
    /// The decisions reject a setting.
    #[error(transparent)]
    Setting(#[from] SettingError),
}

/// Handles SIGHUP from now on, which ends the program no more.
///
/// # Errors
/// When the system refuses the handler.
pub fn signals() -> Result<Signal, StartError> {
    signal(SignalKind::hangup()).map_err(StartError::Signals)
}

/// Reads the file again at each SIGHUP, for as long as the program runs. `on_reload` is called after each reload that
/// took effect.
pub async fn reload_on_signal(
    mut signals: Signal,
    running: &RunningInstance,
    active: &ActiveConfiguration,
    on_reload: impl Fn(),
) {
    while signals.recv().await.is_some() {
        match active.reload(running) {
            Ok(()) => on_reload(),
            Err(error) => tracing::error!("not taken over, all stays as it was: {error}"),
        }
    }
}

/// The configuration in effect: the balancer's own file as it was read last, the fleet's layers over it, and the outcome
/// of both.
pub struct ActiveConfiguration {
    path: PathBuf,
    /// The text of the file. Empty without a fleet, until the first reload. Written by each reload.
    file_text: RefCell<String>,
    /// Written by each change of the fleet's configuration.
    layers: RefCell<Vec<Layer>>,
    /// The outcome of the two. Written with either.
    instance: RefCell<InstanceConfig>,
}

impl ActiveConfiguration {
    /// At a start: `instance` was read from the file at `path`.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn new(path: &Path, instance: InstanceConfig) -> Result<Self, InstanceConfigError> {
        // Read a second time: an operator who changes the file in between sends SIGHUP anyway.
        let file_text =
            if instance.fleet.is_some() { InstanceConfig::read_text(path)? } else { String::new() };
        Ok(ActiveConfiguration {
            path: path.to_owned(),
            file_text: RefCell::new(file_text),
            layers: RefCell::default(),
            instance: RefCell::new(instance),
        })
    }

    /// The outcome of the file and the layers.
    pub fn instance(&self) -> InstanceConfig {
        self.instance.borrow().clone()
    }

    /// At a start, before anything runs: applies these layers over the file.
    ///
    /// # Errors
    /// When a balancer can't start with the outcome; nothing changes then.
    pub fn apply_initial_layers(&self, layers: Vec<Layer>) -> Result<(), ReloadError> {
        let new = self.decode(&self.file_text.borrow(), &layers)?;
        new.check()?;
        self.instance.replace(new);
        self.layers.replace(layers);
        Ok(())
    }

    /// Reads the file again and applies the layers in effect over it.
    fn reload(&self, running: &RunningInstance) -> Result<(), ReloadError> {
        let file_text = InstanceConfig::read_text(&self.path)?;
        let old_discovery = self.instance.borrow().discovery;
        let layers = self.layers.borrow().clone();
        for name in self.activate(running, file_text, layers)? {
            tracing::warn!("{name} has changed: that needs a restart");
        }
        let discovery = self.instance.borrow().discovery;
        if discovery == old_discovery {
            tracing::info!("read again, discovery is still at {discovery}");
        } else {
            tracing::info!("read again, discovery is at {discovery} from now on");
        }
        Ok(())
    }

    /// Applies other layers over the file as it was read last. No layer names what needs a restart, and a change of that
    /// kind in the file was logged when it was read.
    ///
    /// # Errors
    /// When the outcome can't be used; nothing changes then.
    pub fn apply_layers(&self, running: &RunningInstance, layers: Vec<Layer>) -> Result<(), ReloadError> {
        let file_text = self.file_text.borrow().clone();
        self.activate(running, file_text, layers)?;
        Ok(())
    }

    /// The one path on which new settings reach a running balancer. Returns the names of changed values that need a
    /// restart.
    fn activate(
        &self,
        running: &RunningInstance,
        file_text: String,
        layers: Vec<Layer>,
    ) -> Result<Vec<String>, ReloadError> {
        let new = self.decode(&file_text, &layers)?;
        running.update_settings(&new.settings)?;
        let mut instance = self.instance.borrow_mut();
        let need_restart = instance.changes_needing_restart(&new);
        if new.settings != instance.settings {
            tracing::info!("new settings from now on");
        }
        if new.discovery != instance.discovery {
            running.set_discovery(new.discovery);
        }
        instance.settings = new.settings;
        instance.discovery = new.discovery;
        self.file_text.replace(file_text);
        self.layers.replace(layers);
        Ok(need_restart)
    }

    fn decode(&self, file_text: &str, layers: &[Layer]) -> Result<InstanceConfig, InstanceConfigError> {
        InstanceConfig::from_text(&self.path, file_text, layers)
    }
}
