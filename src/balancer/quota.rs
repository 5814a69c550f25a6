//! Tenants' quotas.

use crate::interface::{TenantId, Time};
use std::collections::HashMap;

/// The tenants' quotas, of those that had traffic: each holds what it is due over `memory` seconds, and starts
/// with that; where that is less than `least` it may gather so much, as chance alone brings a few at once. One that
/// is full again stays: a small quota's fresh start holds less.
pub(crate) struct TenantQuotas {
    memory: f64,
    least: f64,
    /// By tenant: what is left, and when that was.
    used: HashMap<TenantId, (f64, Time)>,
}

impl TenantQuotas {
    pub fn new(memory: f64, least: f64) -> TenantQuotas {
        TenantQuotas {
            memory,
            least,
            used: HashMap::new(),
        }
    }

    /// Takes a tenant's token if there is one, at so many a second.
    pub fn take(&mut self, tenant: TenantId, now: Time, rate: f64) -> bool {
        let due = rate * self.memory;
        let left = match self.used.get(&tenant) {
            None => due.max(1.0),
            Some((left, at)) => (left + rate * (now - *at).as_secs_f64()).min(due.max(self.least)),
        };
        let within = left >= 1.0;
        self.used.insert(tenant, (left - f64::from(within), now));
        within
    }
}
