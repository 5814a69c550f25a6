//! Configurations that are sound by their type, and how they are amended entry by entry.

use crate::interface::*;
use imbl::Vector;
use std::collections::{BTreeMap, BTreeSet};

/// A configuration with every field in its range, and what follows from it as a whole. Made by [`Config::checked`]; an
/// amended one looks only at what was amended. A clone shares the tables.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    config: Config,
    quotas: Quotas,
}

impl Config {
    /// This configuration as one that is sound, or the first field that is out of its range. Looks at every class and
    /// tenant.
    pub fn checked(self) -> Result<Checked, ConfigError> {
        match self.errors().into_iter().next() {
            Some(error) => Err(error),
            None => Ok(Checked {
                quotas: Quotas::of(&self.tenants),
                config: self,
            }),
        }
    }
}

impl std::ops::Deref for Checked {
    type Target = Config;
    fn deref(&self) -> &Config {
        &self.config
    }
}

impl Checked {
    /// Requests a second that all tenants' quotas come to.
    pub fn quota_sum(&self) -> f64 {
        self.quotas.sum
    }

    /// Puts a class in the place of another, or behind the last under the next number.
    pub fn put_class(&mut self, id: ClassId, class: Class) -> Result<(), ConfigError> {
        class.validate()?;
        put(&mut self.config.classes, id.0, class, "classes")
    }

    /// Puts tenants in the places of others, or behind the last under the next numbers: all of them or none.
    pub fn put_tenants(
        &mut self,
        tenants: impl IntoIterator<Item = (TenantId, Tenant)>,
    ) -> Result<(), ConfigError> {
        let (mut table, mut parts) = (self.config.tenants.clone(), BTreeSet::new());
        for (id, tenant) in tenants {
            tenant.validate()?;
            put(&mut table, id.0, tenant, "tenants")?;
            parts.insert(id.0 / Quotas::PART);
        }
        self.config.tenants = table;
        parts
            .into_iter()
            .for_each(|part| self.quotas.renew(&self.config.tenants, part));
        Ok(())
    }

    /// Puts this proxy, and regions, into other zones.
    pub fn place(&mut self, zone: ZoneId, regions: BTreeMap<ZoneId, RegionId>) {
        (self.config.zone, self.config.regions) = (zone, regions);
    }
}

/// Sets the item there, or adds it behind the last.
fn put<T: Clone>(
    table: &mut Vector<T>,
    at: usize,
    item: T,
    field: &'static str,
) -> Result<(), ConfigError> {
    match table.len() {
        length if at < length => drop(table.set(at, item)),
        length if at == length => table.push_back(item),
        _ => {
            return Err(ConfigError {
                field,
                expected: "a number in use, or the next",
            })
        }
    }
    Ok(())
}

/// The sum of all quotas, added up part by part: a change of one adds up its own part anew and not the whole, and the
/// same tenants give the same sum to the last bit, whichever way they came about. Up to one part's length that is also
/// the plain sum in the order of their numbers, and beyond it wherever quotas are whole numbers.
#[derive(Clone, Debug, PartialEq)]
struct Quotas {
    parts: Vec<f64>,
    sum: f64,
}

impl Quotas {
    /// Tenants in a part.
    const PART: usize = 4096;

    fn of(tenants: &Vector<Tenant>) -> Quotas {
        let mut quotas = Quotas {
            parts: Vec::new(),
            sum: 0.0,
        };
        (0..tenants.len().div_ceil(Quotas::PART)).for_each(|part| quotas.renew(tenants, part));
        quotas
    }

    /// Adds up one part.
    fn renew(&mut self, tenants: &Vector<Tenant>, part: usize) {
        let (from, to) = (
            part * Quotas::PART,
            tenants.len().min((part + 1) * Quotas::PART),
        );
        let sum = tenants
            .focus()
            .narrow(from..to)
            .into_iter()
            .map(|t| t.quota_per_s)
            .sum();
        match self.parts.get_mut(part) {
            Some(old) => *old = sum,
            None => self.parts.push(sum),
        }
        self.sum = self.parts.iter().sum();
    }
}
