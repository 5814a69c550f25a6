//! Compares the long lists of a new document with those in force entry by entry while they are read
//! ([`ListReplacement`]). Equal entries stay shared with the tables in force and are never copied.

use super::active::{ActiveSettings, NetworkSettings};
use super::draft::Draft;
use super::entries::{NamedClass, NamedTenant};
use super::names::Names;
use crate::interface::{Config, ConfigError};
use compact_str::CompactString;
use std::collections::BTreeSet;

/// Collects the entries of the new lists, and yields a [`Draft`] with the differences.
#[derive(Clone)]
pub(super) struct ListReplacement {
    base: ActiveSettings,
    classes: Draft,
    /// Whether the new lists have a class, indexed by the number of its name.
    listed_class_names: Flags,
    /// The names of classes that are out of range. Such classes get no number.
    invalid_class_names: BTreeSet<CompactString>,
    tenants: Draft,
    /// Whether the new lists have a tenant, indexed by its number.
    listed_tenants: Flags,
    error: Option<ConfigError>,
}

/// One flag per number, initially unset.
#[derive(Clone, Default)]
struct Flags(Vec<bool>);

impl Flags {
    fn set(&mut self, number: usize) {
        if number >= self.0.len() {
            self.0.resize(number + 1, false);
        }
        self.0[number] = true;
    }

    fn is_set(&self, number: usize) -> bool {
        self.0.get(number).is_some_and(|set| *set)
    }
}

impl ListReplacement {
    pub fn new(base: &ActiveSettings) -> ListReplacement {
        ListReplacement {
            base: base.clone(),
            classes: Draft::new(base, base.clone()),
            listed_class_names: Flags::default(),
            invalid_class_names: BTreeSet::new(),
            tenants: Draft::new(base, base.clone()),
            listed_tenants: Flags::default(),
            error: None,
        }
    }

    /// Begins the list of classes, and discards an earlier one.
    pub fn begin_classes(&mut self) {
        self.classes = Draft::new(&self.base, self.base.clone());
        self.listed_class_names = Flags::default();
        self.invalid_class_names.clear();
    }

    /// Begins the list of tenants, and discards an earlier one.
    pub fn begin_tenants(&mut self) {
        self.tenants = Draft::new(&self.base, self.base.clone());
        self.listed_tenants = Flags::default();
    }

    /// Returns whether the list has had a class of this name.
    pub fn has_class(&self, name: &str) -> bool {
        let number = self.classes.to.names.classes.name_number(name);
        let is_listed = number.is_some_and(|n| self.listed_class_names.is_set(n as usize));
        is_listed || self.invalid_class_names.contains(name)
    }

    /// Adds a class. A class that is out of range is left out, since settings with one don't come into force.
    pub fn set_class(&mut self, class: &NamedClass) {
        if class.class.validate().is_err() {
            self.invalid_class_names.insert(class.name.clone());
            return;
        }
        if let Err(error) = self.classes.set_class(class) {
            self.error.get_or_insert(error);
        }
        let number = self.classes.to.names.classes.name_number(&class.name);
        if let Some(number) = number {
            self.listed_class_names.set(number as usize);
        }
    }

    /// Adds a tenant. A tenant that is out of range is left out, since settings with one don't come into force.
    pub fn set_tenant(&mut self, tenant: &NamedTenant) {
        if tenant.tenant.validate().is_ok() {
            let number = self.tenants.set_tenant(tenant);
            self.listed_tenants.set(number);
        }
    }

    /// Joins both lists in one draft, with all other settings from `rest`. Classes and tenants that were not added go
    /// out of use.
    pub fn into_draft(mut self, rest: ActiveSettings) -> Result<Draft, ConfigError> {
        self.drop_unlisted_classes();
        self.drop_unlisted_tenants();
        if let Some(error) = self.error {
            return Err(error);
        }
        let classes = &self.classes.to;
        let config = Config {
            classes: classes.config.classes.clone(),
            tenants: self.base.config.tenants.clone(),
            ..(*rest.config).clone()
        };
        let to = ActiveSettings {
            config: config.validated()?,
            names: Names {
                classes: classes.names.classes.clone(),
                tenants: self.tenants.to.names.tenants,
                ..rest.names
            },
            network: NetworkSettings {
                deadlines: classes.network.deadlines.clone(),
                ..rest.network
            },
        };
        let mut draft = self.classes;
        draft.to = to;
        draft.tenant_count = self.tenants.tenant_count;
        draft.tenants = self.tenants.tenants;
        Ok(draft)
    }

    fn drop_unlisted_classes(&mut self) {
        let base = self.base.names.classes.clone();
        let numbers = 0..base.class_count();
        for name in numbers.filter_map(|number| base.name(number)) {
            if !self.has_class(name) {
                self.classes.remove_class(name);
            }
        }
    }

    fn drop_unlisted_tenants(&mut self) {
        let names = &mut self.tenants.to.names.tenants;
        for (number, name) in self.base.names.tenants.in_use() {
            if !self.listed_tenants.is_set(number) {
                names.set_in_use(name, false);
            }
        }
    }
}
