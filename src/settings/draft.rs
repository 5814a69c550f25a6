//! Builds a [`SettingsChange`] entry by entry. A class whose rules stay and every tenant keep their numbers.

use super::active::{ActiveSettings, SettingsChange, ZoneAndKindCounts};
use super::entries::{NamedClass, NamedTenant};
use crate::interface::{
    ClassId, ClassSuccessor, ConfigError, Idempotency, KeyScope, RequestClass, Tenant, TenantId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The most changed classes that a summary names: it is one log line, however many classes changed.
const MAX_CLASSES_IN_SUMMARY: usize = 50;

/// A change of settings to which entries are still added.
#[derive(Clone)]
pub(super) struct Draft {
    /// The number of class numbers assigned before this change.
    class_count: usize,
    /// The number of tenant numbers assigned so far, those of this change included.
    pub tenant_count: usize,
    /// The settings with the changes so far, except those of tenants' quotas, which [`Draft::finish`] applies.
    pub to: ActiveSettings,
    retired: BTreeSet<ClassId>,
    reinstated: BTreeSet<ClassId>,
    successors: Vec<ClassSuccessor>,
    /// Tenants that are new or whose quota changed.
    pub tenants: BTreeMap<TenantId, Tenant>,
    /// One text for each changed class, such as `changed NAME`.
    summary: Vec<String>,
}

impl Draft {
    /// Creates a draft from the settings `base` to `to`, with no entry changed yet.
    pub fn new(base: &ActiveSettings, to: ActiveSettings) -> Draft {
        Draft {
            class_count: base.config.classes.len(),
            tenant_count: base.config.tenants.len(),
            to,
            retired: BTreeSet::new(),
            reinstated: BTreeSet::new(),
            successors: Vec::new(),
            tenants: BTreeMap::new(),
            summary: Vec::new(),
        }
    }

    /// Adds or replaces a class. It gets a number that its name had before with the same rules, or a new one.
    pub fn set_class(&mut self, new: &NamedClass) -> Result<(), ConfigError> {
        let name = new.name.as_str();
        let before = self.to.names.classes.get(name);
        let number = match self.number_with_same_rules(new) {
            Some(number) => {
                self.to.names.classes.set_in_use(name, Some(number));
                number
            }
            None => self.add_class(new, before)?,
        };
        self.restrict_older_classes(new, number)?;
        if before != Some(number) {
            self.note_class_change(name, before, number);
        }
        Ok(())
    }

    /// Returns the lowest number that the name has had with the same rules and deadline.
    fn number_with_same_rules(&self, new: &NamedClass) -> Option<usize> {
        let classes = &self.to.config.classes;
        let deadlines = &self.to.network.deadlines;
        let is_same = |n: &usize| classes[*n] == new.class && deadlines[*n] == new.deadline;
        let history = self.to.names.classes.history(&new.name);
        history.filter(is_same).min()
    }

    fn add_class(&mut self, new: &NamedClass, before: Option<usize>) -> Result<usize, ConfigError> {
        let number = self.to.names.classes.add(&new.name);
        let class = ClassId(number);
        self.to.config.set_class(class, new.class.clone())?;
        self.to.network.deadlines.push_back(new.deadline);
        if let Some(before) = before {
            self.successors.push(ClassSuccessor {
                class,
                predecessor: ClassId(before),
            });
        }
        Ok(number)
    }

    /// Gives each older number of the name the stricter of its own idempotency and the new one: requests may still
    /// be open under that number.
    fn restrict_older_classes(
        &mut self,
        new: &NamedClass,
        number: usize,
    ) -> Result<(), ConfigError> {
        let history = self.to.names.classes.history(&new.name);
        let older: Vec<usize> = history.filter(|other| *other != number).collect();
        for number in older {
            let class = &self.to.config.classes[number];
            let idempotency = stricter(class.idempotency, new.class.idempotency);
            if idempotency == class.idempotency {
                continue;
            }
            let restricted = RequestClass {
                idempotency,
                ..class.clone()
            };
            self.to.config.set_class(ClassId(number), restricted)?;
        }
        Ok(())
    }

    fn note_class_change(&mut self, name: &str, before: Option<usize>, number: usize) {
        let what = if before.is_some() { "changed" } else { "new" };
        self.summary.push(format!("{what} {name}"));
        self.retired.extend(before.map(ClassId));
        if number < self.class_count {
            self.reinstated.insert(ClassId(number));
        }
    }

    /// Takes the class of this name out of use; returns false if there is none.
    pub fn remove_class(&mut self, name: &str) -> bool {
        let Some(number) = self.to.names.classes.get(name) else {
            return false;
        };
        self.to.names.classes.set_in_use(name, None);
        self.retired.insert(ClassId(number));
        self.summary.push(format!("dropped {name}"));
        true
    }

    /// Adds or replaces a tenant, and returns its number.
    pub fn set_tenant(&mut self, new: &NamedTenant) -> usize {
        let names = &mut self.to.names.tenants;
        let Some(number) = names.get_any(&new.name) else {
            return self.add_tenant(new);
        };
        names.set_in_use(&new.name, true);
        let id = TenantId(number);
        let is_same = self.to.config.tenants.get(number) == Some(&new.tenant);
        if !is_same || self.tenants.contains_key(&id) {
            self.tenants.insert(id, new.tenant.clone());
        }
        number
    }

    fn add_tenant(&mut self, new: &NamedTenant) -> usize {
        let number = self.tenant_count;
        self.tenant_count += 1;
        self.to.names.tenants.add(&new.name, number);
        self.tenants.insert(TenantId(number), new.tenant.clone());
        number
    }

    /// Completes the change; `base` are the settings that it replaces.
    pub fn finish(mut self, base: &ActiveSettings) -> Result<SettingsChange, ConfigError> {
        let summary = self.summarize();
        self.to.config.set_tenants(self.tenants)?;
        Ok(SettingsChange {
            to: self.to,
            retired: self.retired.into_iter().collect(),
            reinstated: self.reinstated.into_iter().collect(),
            successors: self.successors,
            summary,
            numbered_at_read: ZoneAndKindCounts::of(&base.names),
        })
    }

    fn summarize(&self) -> String {
        if self.summary.is_empty() {
            return "classes unchanged".into();
        }
        let named = self.summary.len().min(MAX_CLASSES_IN_SUMMARY);
        let mut summary = self.summary[..named].join(", ");
        let more = self.summary.len() - named;
        if more > 0 {
            summary += &format!(", {more} more");
        }
        summary
    }
}

/// Returns the idempotency that is safe for a request received under one rule while another is in force.
fn stricter(at_receipt: Idempotency, in_force: Idempotency) -> Idempotency {
    match (at_receipt, in_force) {
        (at_receipt, Idempotency::Idempotent) => at_receipt,
        (
            Idempotency::Keyed { scope, window },
            Idempotency::Keyed {
                scope: scope_in_force,
                window: window_in_force,
            },
        ) => Idempotency::Keyed {
            scope: narrower(scope, scope_in_force),
            window: window.min(window_in_force),
        },
        // A request received under a rule without keys has no key by which the backend could discard a repeat.
        _ => Idempotency::NonIdempotent,
    }
}

fn narrower(one: KeyScope, other: KeyScope) -> KeyScope {
    let rank = |scope: KeyScope| match scope {
        KeyScope::Cell => 0,
        KeyScope::Zone => 1,
        KeyScope::All => 2,
    };
    if rank(one) <= rank(other) {
        one
    } else {
        other
    }
}
