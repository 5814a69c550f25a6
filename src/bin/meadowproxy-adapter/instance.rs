//! One simulated proxy: its balancer, and the ids by which the balancer knows the names in the simulator's messages.

use meadowproxy::settings::{self, Names, SettingsError};
use meadowproxy::{BackendId, Balancer};
use serde_json::Value;
use std::collections::HashMap;

/// A simulated proxy.
pub struct Instance {
    /// The balancer, which makes the proxy's decisions.
    pub balancer: Balancer,
    /// The ids of zones, hardware classes, request classes and tenants, by name.
    pub names: Names,
    /// The ids of backends, by address.
    backend_ids: HashMap<String, BackendId>,
    /// The addresses of backends, indexed by id.
    addresses: Vec<String>,
}

impl Instance {
    /// Creates an instance with these settings, or returns the first error in them. `seed` initializes the balancer's
    /// random number generator.
    pub fn new(settings: &Value, seed: u64) -> Result<Instance, SettingsError> {
        let (config, names) = settings::read(settings)?;
        let balancer = Balancer::new(config, seed)?;
        Ok(Instance {
            balancer,
            names,
            backend_ids: HashMap::new(),
            addresses: Vec::new(),
        })
    }

    /// Returns the id of the backend at `address`, and assigns the next one if the address is new.
    pub fn backend_id(&mut self, address: &str) -> BackendId {
        if let Some(id) = self.backend_ids.get(address) {
            return *id;
        }
        let id = BackendId(self.addresses.len() as u32);
        self.backend_ids.insert(address.into(), id);
        self.addresses.push(address.into());
        id
    }

    /// Returns the address of a backend to which [`Instance::backend_id`] assigned this id.
    pub fn backend_address(&self, backend: BackendId) -> &str {
        &self.addresses[backend.0 as usize]
    }
}
