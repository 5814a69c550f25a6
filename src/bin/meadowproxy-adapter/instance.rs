//! One simulated proxy: its decisions, and its numbers for the names on the wire.

use meadowproxy::settings::{self, Names, SettingsError};
use meadowproxy::{BackendId, Balancer};
use serde_json::Value;
use std::collections::HashMap;

/// A proxy of the simulation.
pub struct Instance {
    /// Its decisions.
    pub balancer: Balancer,
    /// Its numbers for zones, kinds, classes and tenants.
    pub names: Names,
    backends: HashMap<String, BackendId>,
    addresses: Vec<String>,
}

impl Instance {
    /// An instance under these settings, or the first error in them.
    pub fn new(settings: &Value, seed: u64) -> Result<Instance, SettingsError> {
        let (config, names) = settings::read(settings)?;
        let balancer = Balancer::new(config, seed)?;
        Ok(Instance {
            balancer,
            names,
            backends: HashMap::new(),
            addresses: Vec::new(),
        })
    }

    /// The number of the backend at `address`, a new one if it has none yet.
    pub fn backend_id(&mut self, address: &str) -> BackendId {
        if let Some(id) = self.backends.get(address) {
            return *id;
        }
        let id = BackendId(self.addresses.len() as u32);
        self.backends.insert(address.into(), id);
        self.addresses.push(address.into());
        id
    }

    /// The address of a backend that has a number.
    pub fn backend_address(&self, backend: BackendId) -> &str {
        &self.addresses[backend.0 as usize]
    }
}
