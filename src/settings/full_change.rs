//! Replaces all settings in force by a document that was read.

use super::active::{ActiveSettings, SettingsChange};
use super::document::{ParsedSettings, Settings};
use super::error::SettingsError;
use super::names::{ClassNames, Names, TenantNames};
use super::replacement::ListReplacement;

impl ActiveSettings {
    /// Returns the change that replaces `self` by `settings`. Classes and tenants keep their numbers, except that a
    /// class whose rules changed gets a new one. The time grows with the size of all tables: don't call it on the
    /// request loop.
    pub fn change_to(&self, settings: &Settings) -> Result<SettingsChange, SettingsError> {
        let mut names = Names {
            classes: ClassNames::default(),
            tenants: TenantNames::default(),
            ..self.names.clone()
        };
        let parsed = settings.parse(&mut names)?;
        let network = settings.network()?;
        let replacement = match settings.replacement() {
            Some(replacement) => replacement.clone(),
            None => replacement_from(&parsed, self),
        };
        let rest = ActiveSettings {
            config: parsed.config.validated()?,
            names,
            network,
        };
        if rest.config.discovery != self.config.discovery {
            return Err(SettingsError::Invalid {
                path: "discovery".into(),
                problem: "cannot change without a restart".into(),
            });
        }
        let draft = replacement.into_draft(rest)?;
        Ok(draft.finish(self)?)
    }
}

fn replacement_from(parsed: &ParsedSettings, base: &ActiveSettings) -> ListReplacement {
    let mut replacement = ListReplacement::new(base);
    for class in parsed.classes.iter() {
        replacement.set_class(&class);
    }
    for tenant in parsed.tenants.iter() {
        replacement.set_tenant(&tenant);
    }
    replacement
}
