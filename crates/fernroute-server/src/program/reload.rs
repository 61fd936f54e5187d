//! Changes settings while the program runs. The balancer's own file is reloaded on SIGHUP, and the coordinators of a fleet
//! provide layers that are applied over it. Both are applied by the same code, completely or not at all: a partially written
//! file, for example, changes nothing. If several signals arrive together, the last content of the file is used. Reloads
//! continue during a drain and next to a successor, and end with the shutdown of the program.

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
    /// The file is invalid, by itself or with the layers.
    #[error(transparent)]
    Config(#[from] InstanceConfigError),
    /// The decisions reject a setting.
    #[error(transparent)]
    Setting(#[from] SettingError),
}

/// Installs a handler for SIGHUP, which would end the program otherwise.
///
/// # Errors
/// When the handler can't be installed.
pub fn signals() -> Result<Signal, StartError> {
    signal(SignalKind::hangup()).map_err(StartError::Signals)
}

/// Reloads the file at each SIGHUP until the program ends. `on_reload` is called after each successful reload.
pub async fn reload_on_signal(
    mut signals: Signal,
    running: &RunningInstance,
    active: &ActiveConfiguration,
    on_reload: impl Fn(),
) {
    while signals.recv().await.is_some() {
        match active.reload(running) {
            Ok(()) => on_reload(),
            Err(error) => tracing::error!("reload rejected, nothing has changed: {error}"),
        }
    }
}

/// The active configuration: the balancer's own file as last read, the fleet's layers over it, and the result of merging
/// both.
pub struct ActiveConfiguration {
    path: PathBuf,
    /// The text of the file. Empty until the first reload where there is no fleet. Written by each reload.
    file_text: RefCell<String>,
    /// The fleet's layers. Written by each change of the fleet's configuration.
    layers: RefCell<Vec<Layer>>,
    /// The result of merging both. Written with either.
    instance: RefCell<InstanceConfig>,
}

impl ActiveConfiguration {
    /// Called at a start, with the `instance` that was read from the file at `path`.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn new(path: &Path, instance: InstanceConfig) -> Result<Self, InstanceConfigError> {
        // The file is read a second time: an operator who changes it in between sends SIGHUP anyway.
        let file_text =
            if instance.fleet.is_some() { InstanceConfig::read_text(path)? } else { String::new() };
        Ok(ActiveConfiguration {
            path: path.to_owned(),
            file_text: RefCell::new(file_text),
            layers: RefCell::default(),
            instance: RefCell::new(instance),
        })
    }

    /// The result of merging the file and the layers.
    pub fn instance(&self) -> InstanceConfig {
        self.instance.borrow().clone()
    }

    /// Called at a start, before any task runs: applies these layers over the file.
    ///
    /// # Errors
    /// When a balancer can't start with the result; nothing changes then.
    pub fn apply_initial_layers(&self, layers: Vec<Layer>) -> Result<(), ReloadError> {
        let new = self.decode(&self.file_text.borrow(), &layers)?;
        new.check()?;
        self.instance.replace(new);
        self.layers.replace(layers);
        Ok(())
    }

    /// Reloads the file and applies the active layers over it.
    fn reload(&self, running: &RunningInstance) -> Result<(), ReloadError> {
        let file_text = InstanceConfig::read_text(&self.path)?;
        let old_discovery = self.instance.borrow().discovery;
        let layers = self.layers.borrow().clone();
        for name in self.activate(running, file_text, layers)? {
            tracing::warn!("{name} has changed, which requires a restart");
        }
        let discovery = self.instance.borrow().discovery;
        if discovery == old_discovery {
            tracing::info!("reloaded, discovery is still at {discovery}");
        } else {
            tracing::info!("reloaded, discovery is now at {discovery}");
        }
        Ok(())
    }

    /// Applies other layers over the file as last read. Layers contain no values that require a restart, and a change of such
    /// a value in the file was logged when it was read.
    ///
    /// # Errors
    /// When the result can't be used; nothing changes then.
    pub fn apply_layers(&self, running: &RunningInstance, layers: Vec<Layer>) -> Result<(), ReloadError> {
        let file_text = self.file_text.borrow().clone();
        self.activate(running, file_text, layers)?;
        Ok(())
    }

    /// Applies new settings to a running balancer; all changes of settings go through here. Returns the names of changed
    /// values that require a restart.
    fn activate(
        &self,
        running: &RunningInstance,
        file_text: String,
        layers: Vec<Layer>,
    ) -> Result<Vec<String>, ReloadError> {
        let new = self.decode(&file_text, &layers)?;
        running.update_settings(&new.settings)?;
        let mut instance = self.instance.borrow_mut();
        let restart_required = instance.changes_needing_restart(&new);
        if new.settings != instance.settings {
            tracing::info!("new settings are in effect");
        }
        if new.discovery != instance.discovery {
            running.set_discovery(new.discovery);
        }
        instance.settings = new.settings;
        instance.discovery = new.discovery;
        self.file_text.replace(file_text);
        self.layers.replace(layers);
        Ok(restart_required)
    }

    fn decode(&self, file_text: &str, layers: &[Layer]) -> Result<InstanceConfig, InstanceConfigError> {
        InstanceConfig::from_text(&self.path, file_text, layers)
    }
}
