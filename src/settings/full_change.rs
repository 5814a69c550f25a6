//! Settings that replace those in force as a whole.

use super::active::{ActiveSettings, SettingsChange};
use super::document::{ParsedSettings, Settings};
use super::error::SettingsError;
use super::names::{ClassNames, Names, TenantNames};
use super::replacement::ListReplacement;

impl ActiveSettings {
    /// These settings in the place of `self`. A class or tenant keeps its number; a class whose rules differ gets a new
    /// one. Takes time by the size of all tables: not for the request loop.
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
                problem: "expected as before, it changes only with a restart".into(),
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
