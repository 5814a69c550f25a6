//! A configuration whose type guarantees that every field is valid, and changes to single entries of it.

use super::config::{Config, ConfigError, RequestClass, Tenant};
use super::ids::{ClassId, RegionId, TenantId, ZoneId};
use imbl::Vector;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;

/// A configuration in which every field is within its range, with the sum of all tenant quotas.
///
/// Created by [`Config::validated`]. Changes check only the entries that they replace. Clones share the tables of
/// classes and tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidatedConfig {
    config: Config,
    quotas: QuotaSum,
}

impl Config {
    /// Validates the configuration, including every class and tenant. Returns the first field that is out of range as
    /// an error.
    pub fn validated(self) -> Result<ValidatedConfig, ConfigError> {
        match self.errors().into_iter().next() {
            Some(error) => Err(error),
            None => Ok(ValidatedConfig {
                quotas: QuotaSum::of(&self.tenants),
                config: self,
            }),
        }
    }
}

impl Deref for ValidatedConfig {
    type Target = Config;

    fn deref(&self) -> &Config {
        &self.config
    }
}

impl ValidatedConfig {
    /// Sum of all tenant quotas, in requests per second.
    pub fn quota_sum_per_s(&self) -> f64 {
        self.quotas.sum_per_s
    }

    /// Replaces a class, or appends it if `id` is the next free number.
    pub fn set_class(&mut self, id: ClassId, class: RequestClass) -> Result<(), ConfigError> {
        class.validate()?;
        set_or_append(&mut self.config.classes, id.0, class, "classes")
    }

    /// Replaces tenants, or appends those whose ids are the next free numbers. On an error nothing is changed.
    pub fn set_tenants(
        &mut self,
        tenants: impl IntoIterator<Item = (TenantId, Tenant)>,
    ) -> Result<(), ConfigError> {
        let mut table = self.config.tenants.clone();
        let mut chunks = BTreeSet::new();
        for (id, tenant) in tenants {
            tenant.validate()?;
            set_or_append(&mut table, id.0, tenant, "tenants")?;
            chunks.insert(id.0 / QuotaSum::CHUNK_TENANTS);
        }
        self.config.tenants = table;
        for chunk in chunks {
            self.quotas.update_chunk(&self.config.tenants, chunk);
        }
        Ok(())
    }

    /// Sets the zone of this proxy and the regions of all zones.
    pub fn set_location(&mut self, zone: ZoneId, regions: BTreeMap<ZoneId, RegionId>) {
        self.config.zone = zone;
        self.config.regions = regions;
    }
}

/// Replaces the item at `index`, or appends it if `index` is the table's length.
fn set_or_append<T: Clone>(
    table: &mut Vector<T>,
    index: usize,
    item: T,
    field: &'static str,
) -> Result<(), ConfigError> {
    match table.len() {
        length if index < length => drop(table.set(index, item)),
        length if index == length => table.push_back(item),
        _ => {
            return Err(ConfigError {
                field,
                expected: "an existing number or the next free one",
            })
        }
    }
    Ok(())
}

/// The sum of all tenant quotas, kept as sums over chunks of tenants. A change recomputes only its own chunk.
///
/// The same tenants always give the same sum, to the last bit, regardless of the order of changes.
#[derive(Clone, Debug, PartialEq)]
struct QuotaSum {
    chunk_sums_per_s: Vec<f64>,
    sum_per_s: f64,
}

impl QuotaSum {
    const CHUNK_TENANTS: usize = 4096;

    fn of(tenants: &Vector<Tenant>) -> QuotaSum {
        let mut quotas = QuotaSum {
            chunk_sums_per_s: Vec::new(),
            sum_per_s: 0.0,
        };
        for chunk in 0..tenants.len().div_ceil(QuotaSum::CHUNK_TENANTS) {
            quotas.update_chunk(tenants, chunk);
        }
        quotas
    }

    fn update_chunk(&mut self, tenants: &Vector<Tenant>, chunk: usize) {
        let start = chunk * QuotaSum::CHUNK_TENANTS;
        let end = tenants.len().min(start + QuotaSum::CHUNK_TENANTS);
        let members = tenants.focus().narrow(start..end);
        let sum = members.into_iter().map(|tenant| tenant.quota_per_s).sum();
        match self.chunk_sums_per_s.get_mut(chunk) {
            Some(previous) => *previous = sum,
            None => self.chunk_sums_per_s.push(sum),
        }
        self.sum_per_s = self.chunk_sums_per_s.iter().sum();
    }
}
