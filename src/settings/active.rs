//! The settings in force ([`ActiveSettings`]), and changes that replace them ([`SettingsChange`]).

use super::entries::{NamedClass, NamedTenant};
use super::names::Names;
use crate::interface::{ClassId, ClassSuccessor, Micros, TenantId, ValidatedConfig, ZoneId};
use imbl::Vector;
use serde_json::Value;
use std::collections::BTreeMap;

/// Settings that only a proxy with real sockets needs; the simulator's adapter ignores them.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// A connection that is not established after this time counts as failed.
    pub connect_timeout: Micros,
    /// The time after which backends close an idle connection.
    pub conn_idle: Micros,
    /// The longest `Retry-After` that a client obeys.
    pub max_retry_after: Micros,
    /// The longest time that a client waits for its response, indexed by class number.
    pub deadlines: Vector<Micros>,
}

/// Complete, valid settings. A clone shares all tables, so that its cost doesn't depend on their size.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveSettings {
    /// The load balancer's configuration.
    pub config: ValidatedConfig,
    /// The names of the classes, tenants, zones and kinds that `config` refers to by number.
    pub names: Names,
    /// The settings of the sockets.
    pub network: NetworkSettings,
}

/// A change that replaces the settings in force while requests are open.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsChange {
    /// The settings that come into force.
    pub to: ActiveSettings,
    /// Class numbers that go out of use.
    pub retired: Vec<ClassId>,
    /// Retired class numbers that come into use again.
    pub reinstated: Vec<ClassId>,
    /// New class numbers of names whose rules changed, each with its predecessor.
    pub successors: Vec<ClassSuccessor>,
    /// Summary of the changed classes for the log.
    pub summary: String,
    /// How many zones and kinds had numbers when these settings were read.
    pub(super) numbered_at_read: ZoneAndKindCounts,
}

/// The number of zones and kinds that have numbers.
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
    /// Returns the class named `name` as an entry of `profiles`, for
    /// [`EntryChange::SetProfile`](super::EntryChange::SetProfile); `None` if no such class is in use.
    pub fn profile(&self, name: &str) -> Option<Value> {
        let ClassId(number) = self.names.class(name)?;
        let class = self.config.classes.get(number)?;
        let deadline = self.network.deadlines.get(number)?;
        Some(NamedClass::write(name, class, *deadline))
    }

    /// Returns the tenant named `name` as an entry of `customers`, for
    /// [`EntryChange::SetCustomer`](super::EntryChange::SetCustomer); `None` if no such tenant is in use.
    pub fn customer(&self, name: &str) -> Option<Value> {
        let TenantId(number) = self.names.tenant(name)?;
        let tenant = self.config.tenants.get(number)?;
        Some(NamedTenant::write(name, tenant))
    }
}

impl SettingsChange {
    /// Renumbers the zones and kinds that these settings introduce, if endpoint lists introduced others after the
    /// settings were read. `current` holds the names in force. Returns immediately if the numbers of zones and
    /// kinds are the same as then.
    pub fn renumber_zones_and_kinds(&mut self, current: &Names) {
        if ZoneAndKindCounts::of(current) == self.numbered_at_read {
            return;
        }
        let mut zones = current.zones.clone();
        let mut kinds = current.kinds.clone();
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
        self.numbered_at_read = ZoneAndKindCounts::of(&self.to.names);
    }
}
