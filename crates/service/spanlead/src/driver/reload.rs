//! The configuration file, read again at SIGHUP.
use super::Driver;
use super::startup::vocabulary;
use crate::config::Config;
use spanlead_engine::{Input, SettingsChange};
use spanlead_inventory::service::InventoryService;
use std::sync::Arc;

impl Driver {
    /// The file was replaced. A faulty one must not stop a scheduler that serves.
    pub(super) fn reload(&mut self) {
        match Config::reload(&self.keys) {
            Ok(config) => self.apply_config(config),
            Err(error) => {
                tracing::error!("configuration not used: {error}");
                self.step(Input::ReloadFailed);
                self.inventories.iter().for_each(InventoryService::reload);
            }
        }
    }

    fn apply_config(&mut self, config: Config) {
        let (discovery, pool_config) = (config.discovery, config.pool_config());
        let mut settings = None;
        let mut names = self.names.borrow().clone();
        self.keys = config.keys;
        if config.deployment != self.deployment {
            self.deployment = config.deployment.clone();
            let succession = config.deployment.succeed(&self.names.borrow());
            let (new, continued_classes) = (succession.deployment, succession.continues);
            settings = Some(SettingsChange { settings: Box::new(new.settings), continued_classes });
            self.report_mapping = new.report_mapping;
            self.pool.set_config(pool_config);
            // Who reads by them is heard only after the engine knows the new numbers.
            names = Arc::new(new.names);
            self.names.send_replace(names.clone());
        }
        tracing::info!(%discovery, settings = settings.is_some(), "configuration reloaded");
        self.step(Input::ConfigurationReloaded { discovery, settings, names });
        if let Some(inventories) = &self.inventories {
            inventories.set_vocabulary(vocabulary(&self.names.borrow()));
        }
    }
}
