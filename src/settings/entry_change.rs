//! Single entries of the settings in force, changed without the rest being read again.

use super::active::{ActiveSettings, SettingsChange};
use super::draft::Draft;
use super::entries::{NamedClass, NamedTenant, CUSTOMERS, PROFILES};
use super::error::SettingsError;
use super::field::{Diagnostics, Field};
use crate::interface::ConfigError;
use serde_json::Value;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A change of one named entry of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryChange {
    /// Adds a request class, or replaces the one of its name: an entry with all its keys, as it stands in `profiles`.
    SetProfile(Value),
    /// Takes a request class out of use; open requests end as they came.
    RemoveProfile(String),
    /// Adds a tenant, or replaces the one of its name: an entry as it stands in `customers`.
    SetCustomer(Value),
    /// Takes a tenant out of use.
    RemoveCustomer(String),
}

impl EntryChange {
    /// Where the entry stands in the settings.
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
    /// The settings in force with these entries changed, all or none of them: else every error. Takes time by the
    /// entries, and by how often these were changed before.
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
                Some("the name stands twice".into())
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

/// Carries out one change; a problem with the entry as a whole is returned, one inside it noted.
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
            problem(set_class(draft, &class))
        }
        EntryChange::SetCustomer(entry) => {
            let tenant = NamedTenant::read(&field(entry));
            problem(set_tenant(draft, &tenant))
        }
        EntryChange::RemoveProfile(name) => missing(draft.remove_class(name)),
        EntryChange::RemoveCustomer(name) => missing(remove_tenant(draft, name)),
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

fn remove_tenant(draft: &mut Draft, name: &str) -> bool {
    let names = &mut draft.to.names.tenants;
    let exists = names.get(name).is_some();
    names.set_in_use(name, false);
    exists
}

fn problem(result: Result<(), ConfigError>) -> Option<String> {
    result.err().map(|error| error.to_string())
}

fn missing(existed: bool) -> Option<String> {
    let text = "there is none of that name";
    (!existed).then(|| text.into())
}
