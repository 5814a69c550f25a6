//! The long lists of settings that replace those in force, put in their place entry by entry as they are read: what is
//! equal stays shared, and no second copy of it is ever made.

use super::active::{ActiveSettings, NetworkSettings};
use super::draft::Draft;
use super::entries::{NamedClass, NamedTenant};
use super::names::Names;
use crate::interface::{Config, ConfigError};
use compact_str::CompactString;
use std::collections::BTreeSet;

/// The lists read so far.
#[derive(Clone)]
pub(super) struct ListReplacement {
    base: ActiveSettings,
    classes: Draft,
    /// By the number of a class's name: whether the new settings have it.
    listed_class_names: Flags,
    /// Names of classes that are out of their range: they got no number.
    invalid_class_names: BTreeSet<CompactString>,
    tenants: Draft,
    /// By the number of a tenant: whether the new settings have it.
    listed_tenants: Flags,
    error: Option<ConfigError>,
}

/// One flag a number, all unset at first.
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

    /// A list of classes begins: one that came before does not count.
    pub fn begin_classes(&mut self) {
        self.classes = Draft::new(&self.base, self.base.clone());
        self.listed_class_names = Flags::default();
        self.invalid_class_names.clear();
    }

    /// A list of tenants begins: one that came before does not count.
    pub fn begin_tenants(&mut self) {
        self.tenants = Draft::new(&self.base, self.base.clone());
        self.listed_tenants = Flags::default();
    }

    /// Whether a class of that name came already.
    pub fn has_class(&self, name: &str) -> bool {
        let number = self.classes.to.names.classes.name_number(name);
        let is_listed = number.is_some_and(|n| self.listed_class_names.is_set(n as usize));
        is_listed || self.invalid_class_names.contains(name)
    }

    /// Takes a class. One that is out of its range is left out, as settings that hold it do not come into force.
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

    /// Takes a tenant. One that is out of its range is left out, as settings that hold it do not come into force.
    pub fn set_tenant(&mut self, tenant: &NamedTenant) {
        if tenant.tenant.validate().is_ok() {
            let number = self.tenants.set_tenant(tenant);
            self.listed_tenants.set(number);
        }
    }

    /// The change in one draft, under settings whose other values are those of `rest`. What did not come is dropped.
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
