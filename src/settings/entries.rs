//! Converts entries of the long lists `profiles` and `customers` to request classes and tenants, and back.

use super::field::Field;
use crate::interface::{Idempotency, KeyScope, Micros, RequestClass, Tenant};
use compact_str::CompactString;
use serde_json::{json, Value};

/// The key of the list of request classes.
pub(super) const PROFILES: &str = "profiles";
/// The key of the list of tenants.
pub(super) const CUSTOMERS: &str = "customers";

/// A request class, its name and its deadline.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NamedClass {
    pub name: CompactString,
    pub class: RequestClass,
    /// The longest time that a client waits for its response.
    pub deadline: Micros,
}

/// A tenant and its name.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct NamedTenant {
    pub name: CompactString,
    pub tenant: Tenant,
}

impl NamedClass {
    /// Reads an entry of `profiles`. `is_new` tells whether no earlier entry of the list has the name.
    pub fn read(entry: &Field, is_new: impl FnOnce(&str) -> bool) -> NamedClass {
        let name = entry.get("name");
        if !is_new(name.text()) {
            name.reject("duplicate name");
        }
        let idempotency = read_idempotency(entry);
        let deadline = read_deadline(entry);
        NamedClass {
            name: name.text().into(),
            class: RequestClass {
                latency_objective: entry.get("aim_us").micros(),
                objective_per_work: read_objective_per_work(entry),
                idempotency,
                priority_weight: entry.get("gain").number(),
                late_weight: entry.get("late_worth").number(),
            },
            deadline,
        }
    }

    /// Returns the class as an entry of `profiles`.
    pub fn write(name: &str, class: &RequestClass, deadline: Micros) -> Value {
        let mut entry = json!({
            "name": name,
            "aim_us": class.latency_objective.0,
            "aim_stretch": class.objective_per_work,
            "deadline_us": deadline.0,
            "gain": class.priority_weight,
            "late_worth": class.late_weight,
            "effect": idempotency_name(class.idempotency),
        });
        if let Idempotency::Keyed { scope, window } = class.idempotency {
            entry["key_scope"] = scope_name(scope).into();
            entry["window_us"] = window.0.into();
        }
        entry
    }
}

impl NamedTenant {
    /// Reads an entry of `customers`.
    pub fn read(entry: &Field) -> NamedTenant {
        NamedTenant {
            name: entry.get("name").text().into(),
            tenant: Tenant {
                quota_per_s: entry.get("quota_rps").number(),
            },
        }
    }

    /// Returns the tenant as an entry of `customers`.
    pub fn write(name: &str, tenant: &Tenant) -> Value {
        json!({ "name": name, "quota_rps": tenant.quota_per_s })
    }
}

fn read_idempotency(entry: &Field) -> Idempotency {
    let scope = entry.get("key_scope");
    let window = entry.get("window_us");
    let effect = entry.get("effect");
    match effect.text() {
        "free" => Idempotency::Idempotent,
        "guarded" => Idempotency::Keyed {
            scope: read_scope(&scope),
            window: window.micros(),
        },
        "single_shot" => Idempotency::NonIdempotent,
        _ => effect.or_default(
            None,
            "free, guarded or single_shot",
            Idempotency::Idempotent,
        ),
    }
}

fn read_scope(scope: &Field) -> KeyScope {
    match scope.text() {
        "all" => KeyScope::All,
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => scope.or_default(None, "all, zone or cell", KeyScope::All),
    }
}

/// Reads `aim_stretch`, which is optional.
fn read_objective_per_work(entry: &Field) -> f64 {
    let stretch = entry.get("aim_stretch");
    if stretch.value.is_some() {
        stretch.number()
    } else {
        0.0
    }
}

fn read_deadline(entry: &Field) -> Micros {
    let objective = entry.get("aim_us");
    let deadline = entry.get("deadline_us");
    let both = objective.integer().zip(deadline.integer());
    if deadline.micros().0 == 0 {
        deadline.or_default(None, "a time above 0", ());
    } else if both.is_some_and(|(objective_us, deadline_us)| objective_us > deadline_us) {
        objective.reject("expected no more than deadline_us");
    }
    deadline.micros()
}

fn idempotency_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "free",
        Idempotency::Keyed { .. } => "guarded",
        Idempotency::NonIdempotent => "single_shot",
    }
}

fn scope_name(scope: KeyScope) -> &'static str {
    match scope {
        KeyScope::All => "all",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    }
}
