//! Changes single classes and tenants of the settings in force without reading the other settings again.

use super::active::{ActiveSettings, SettingsChange};
use super::draft::Draft;
use super::entries::{NamedClass, NamedTenant, CUSTOMERS, PROFILES};
use super::error::SettingsError;
use super::field::{Diagnostics, Field};
use crate::interface::ConfigError;
use serde_json::Value;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A change of one named entry of `profiles` or `customers`.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryChange {
    /// Adds a request class, or replaces the class of the same name. The value is a complete entry of `profiles`.
    SetProfile(Value),
    /// Takes the class of this name out of use. Its open requests keep its rules until they end.
    RemoveProfile(String),
    /// Adds a tenant, or replaces the tenant of the same name. The value is a complete entry of `customers`.
    SetCustomer(Value),
    /// Takes the tenant of this name out of use.
    RemoveCustomer(String),
}

impl EntryChange {
    /// The path of the entry in error messages, such as `profiles[NAME]`.
    fn path(&self) -> String {
        match self {
            EntryChange::SetProfile(entry) => entry_path(PROFILES, name_of(entry)),
            EntryChange::RemoveProfile(name) => entry_path(PROFILES, name),
            EntryChange::SetCustomer(entry) => entry_path(CUSTOMERS, name_of(entry)),
            EntryChange::RemoveCustomer(name) => entry_path(CUSTOMERS, name),
        }
    }
}

fn entry_path(list: &str, name: &str) -> String {
    format!("{list}[{name}]")
}

fn name_of(entry: &Value) -> &str {
    let name = entry.get("name").and_then(Value::as_str);
    name.unwrap_or_default()
}

impl ActiveSettings {
    /// Changes all the entries, or returns every error and changes none. The time depends on the number of entries
    /// and on how often each of them was changed before, not on the size of the tables.
    pub fn change_entries(
        &self,
        changes: &[EntryChange],
    ) -> Result<SettingsChange, Vec<SettingsError>> {
        let diagnostics = Diagnostics::new(false);
        let mut draft = Draft::new(self, self.clone());
        let mut paths = BTreeSet::new();
        for change in changes {
            let path = change.path();
            let is_new = paths.insert(path.clone());
            let problem = if is_new {
                apply(&mut draft, change, &path, &diagnostics)
            } else {
                Some("duplicate name".into())
            };
            if let Some(problem) = problem {
                Field::at(path, &Value::Null, diagnostics.clone()).reject(problem);
            }
        }
        let mut errors = diagnostics.errors();
        if draft.to.names.classes.names_in_use() == 0 {
            errors.push(SettingsError::Invalid {
                path: PROFILES.into(),
                problem: "expected at least one class".into(),
            });
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        let finished = draft.finish(self);
        finished.map_err(|error| vec![error.into()])
    }
}

/// Applies one change to the draft. Returns a problem with the entry as a whole; a problem with one of its keys is
/// added to `diagnostics`.
fn apply(
    draft: &mut Draft,
    change: &EntryChange,
    path: &str,
    diagnostics: &Rc<Diagnostics>,
) -> Option<String> {
    let field = |entry| Field::at(path.into(), entry, diagnostics.clone());
    match change {
        EntryChange::SetProfile(entry) => {
            let class = NamedClass::read(&field(entry), |_| true);
            error_text(set_class(draft, &class))
        }
        EntryChange::SetCustomer(entry) => {
            let tenant = NamedTenant::read(&field(entry));
            error_text(set_tenant(draft, &tenant))
        }
        EntryChange::RemoveProfile(name) => error_if_missing(draft.remove_class(name)),
        EntryChange::RemoveCustomer(name) => error_if_missing(remove_tenant(draft, name)),
    }
}

fn set_class(draft: &mut Draft, class: &NamedClass) -> Result<(), ConfigError> {
    class.class.validate()?;
    draft.set_class(class)
}

fn set_tenant(draft: &mut Draft, tenant: &NamedTenant) -> Result<(), ConfigError> {
    tenant.tenant.validate()?;
    draft.set_tenant(tenant);
    Ok(())
}

/// Takes the tenant of this name out of use; returns false if there is none.
fn remove_tenant(draft: &mut Draft, name: &str) -> bool {
    let names = &mut draft.to.names.tenants;
    let exists = names.get(name).is_some();
    names.set_in_use(name, false);
    exists
}

fn error_text(result: Result<(), ConfigError>) -> Option<String> {
    result.err().map(|error| error.to_string())
}

fn error_if_missing(existed: bool) -> Option<String> {
    let text = "no entry of this name exists";
    (!existed).then(|| text.into())
}
