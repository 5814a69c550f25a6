//! Settings in force, and changes of them.

use super::entries::{NamedClass, NamedTenant};
use super::names::Names;
use crate::interface::{ClassId, ClassSuccessor, Micros, TenantId, ValidatedConfig, ZoneId};
use imbl::Vector;
use serde_json::Value;
use std::collections::BTreeMap;

/// What only a proxy on real sockets needs of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// A connection that is not up after this time counts as failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub conn_idle: Micros,
    /// The longest `Retry-After` that a client follows.
    pub max_retry_after: Micros,
    /// How long a client waits at most, by class.
    pub deadlines: Vector<Micros>,
}

/// Complete settings. A clone shares all tables and costs nothing by their size.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveSettings {
    /// The configuration of the decisions.
    pub config: ValidatedConfig,
    /// Names for all its numbers.
    pub names: Names,
    /// The sockets' part.
    pub network: NetworkSettings,
}

/// Settings that replace others while requests are open.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// What is in force from then on.
    pub to: ActiveSettings,
    /// Classes that are no longer in use.
    pub retired: Vec<ClassId>,
    /// Retired classes that are in use again.
    pub reinstated: Vec<ClassId>,
    /// New classes whose name had other rules before.
    pub successors: Vec<ClassSuccessor>,
    /// What became of the classes, for the log.
    pub summary: String,
    /// The zones and kinds that had numbers when these settings were read.
    pub(super) numbered: ZoneAndKindCounts,
}

/// How many zones and kinds have numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ZoneAndKindCounts {
    zones: usize,
    kinds: usize,
}

impl ZoneAndKindCounts {
    pub fn of(names: &Names) -> ZoneAndKindCounts {
        ZoneAndKindCounts {
            zones: names.zones.len(),
            kinds: names.kinds.len(),
        }
    }
}

impl ActiveSettings {
    /// The class of that name as it stands in `profiles`, for [`EntryChange::SetProfile`](super::EntryChange::SetProfile); `None` if there is none.
    pub fn profile(&self, name: &str) -> Option<Value> {
        let ClassId(number) = self.names.class(name)?;
        let class = self.config.classes.get(number)?;
        let deadline = self.network.deadlines.get(number)?;
        Some(NamedClass::write(name, class, *deadline))
    }

    /// The tenant of that name as it stands in `customers`, for [`EntryChange::SetCustomer`](super::EntryChange::SetCustomer); `None` if there is none.
    pub fn customer(&self, name: &str) -> Option<Value> {
        let TenantId(number) = self.names.tenant(name)?;
        let tenant = self.config.tenants.get(number)?;
        Some(NamedTenant::write(name, tenant))
    }
}

impl SettingsChange {
    /// Renumbers the zones and kinds that these settings named first, if endpoint lists have named others since they
    /// were read: `now` are the names in force. Costs nothing if none have.
    pub fn renumber_zones_and_kinds(&mut self, now: &Names) {
        if ZoneAndKindCounts::of(now) == self.numbered {
            return;
        }
        let mut zones = now.zones.clone();
        let mut kinds = now.kinds.clone();
        let names = self.to.names.zones.iter();
        let renumbered: Vec<ZoneId> = names
            .map(|name| ZoneId(zones.get_or_insert(name)))
            .collect();
        for name in self.to.names.kinds.iter() {
            kinds.get_or_insert(name);
        }
        let new_zone = |old: &ZoneId| renumbered.get(old.0 as usize).copied().unwrap_or(*old);
        let config = &self.to.config;
        let zone = new_zone(&config.zone);
        let regions = config.regions.iter();
        let regions: BTreeMap<_, _> = regions
            .map(|(zone, region)| (new_zone(zone), *region))
            .collect();
        self.to.config.set_location(zone, regions);
        self.to.names.zones = zones;
        self.to.names.kinds = kinds;
        self.numbered = ZoneAndKindCounts::of(&self.to.names);
    }
}
