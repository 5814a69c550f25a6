//! Settings that take the place of others: read as a whole, or entry by entry.

use super::key::{Key, Notes};
use super::lists::{Customer, Route};
use super::names::Names;
use super::read::{customer, route, Read, Settings};
use super::{Change, InForce, Network};
use crate::interface::{
    ClassId, ClassSuccessor, Config, ConfigError, Idempotency, KeyScope, RequestClass, Tenant,
    TenantId, ZoneId,
};
use compact_str::CompactString;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

impl Change {
    /// Gives the places that these settings named first their numbers anew, where lists have named others since they
    /// were read: `now` are the names in force. Costs nothing where none have.
    pub fn place(&mut self, now: &Names) {
        if (now.zones.len(), now.kinds.len()) == self.places {
            return;
        }
        let (mut zones, mut kinds) = (now.zones.clone(), now.kinds.clone());
        let moved: Vec<ZoneId> = self
            .to
            .names
            .zones
            .iter()
            .map(|z| ZoneId(zones.number(z)))
            .collect();
        for kind in self.to.names.kinds.iter() {
            kinds.number(kind);
        }
        let to = |zone: &ZoneId| moved.get(zone.0 as usize).copied().unwrap_or(*zone);
        let config = &self.to.config;
        let regions: BTreeMap<_, _> = config
            .regions
            .iter()
            .map(|(zone, region)| (to(zone), *region))
            .collect();
        let zone = to(&config.zone);
        self.to.config.set_location(zone, regions);
        self.places = (zones.len(), kinds.len());
        (self.to.names.zones, self.to.names.kinds) = (zones, kinds);
    }
}

/// What may be done with a request that came under one effect while another is in force.
fn stricter(came: Idempotency, now: Idempotency) -> Idempotency {
    let reach = |scope| match scope {
        KeyScope::Cell => 0,
        KeyScope::Zone => 1,
        KeyScope::All => 2,
    };
    match (came, now) {
        (came, Idempotency::Idempotent) => came,
        (
            Idempotency::Keyed {
                scope: a,
                window: long,
            },
            Idempotency::Keyed {
                scope: b,
                window: short,
            },
        ) => Idempotency::Keyed {
            scope: if reach(a) <= reach(b) { a } else { b },
            window: long.min(short),
        },
        // One that came as free has no key by which a repeat would be dropped.
        _ => Idempotency::NonIdempotent,
    }
}

/// So many classes are named in the line on a change: it is one line, however many there are.
const TOLD: usize = 50;

/// A change in the making. A class or tenant keeps its number; a class whose rules differ gets a new one.
#[derive(Clone)]
struct Draft {
    /// Numbers of classes and tenants given before.
    classes: usize,
    tenants: usize,
    to: InForce,
    retired: BTreeSet<ClassId>,
    reinstated: BTreeSet<ClassId>,
    successors: Vec<ClassSuccessor>,
    quotas: BTreeMap<TenantId, Tenant>,
    told: Vec<String>,
}

impl Draft {
    fn new(base: &InForce, to: InForce) -> Draft {
        let (classes, tenants) = (base.config.classes.len(), base.config.tenants.len());
        let (retired, reinstated, successors) = Default::default();
        Draft {
            classes,
            tenants,
            to,
            retired,
            reinstated,
            successors,
            quotas: BTreeMap::new(),
            told: Vec::new(),
        }
    }

    fn set_route(&mut self, route: &Route) -> Result<(), ConfigError> {
        let (to, name) = (&mut self.to, route.name.as_str());
        let old = to.names.classes.find(name);
        let (classes, deadlines) = (&to.config.classes, &to.network.deadlines);
        let same = |n: &usize| classes[*n] == route.class && deadlines[*n] == route.deadline;
        let number = match to.names.classes.numbers(name).filter(same).min() {
            Some(number) => {
                to.names.classes.put_in_use(name, Some(number));
                number
            }
            None => {
                let number = to.names.classes.add(name);
                to.config.set_class(ClassId(number), route.class.clone())?;
                to.network.deadlines.push_back(route.deadline);
                self.successors.extend(old.map(|old| ClassSuccessor {
                    class: ClassId(number),
                    predecessor: ClassId(old),
                }));
                number
            }
        };
        // What is still open under an old number obeys the stricter of its rules and those that hold now.
        let old_numbers: Vec<usize> = to
            .names
            .classes
            .numbers(name)
            .filter(|n| *n != number)
            .collect();
        for n in old_numbers {
            let class = &to.config.classes[n];
            let effect = stricter(class.idempotency, route.class.idempotency);
            if effect != class.idempotency {
                let class = RequestClass {
                    idempotency: effect,
                    ..class.clone()
                };
                to.config.set_class(ClassId(n), class)?;
            }
        }
        if old != Some(number) {
            self.told.push(format!(
                "{} {name}",
                if old.is_some() { "changed" } else { "new" }
            ));
            self.retired.extend(old.map(ClassId));
            self.reinstated
                .extend((number < self.classes).then_some(ClassId(number)));
        }
        Ok(())
    }

    /// False where there is none of that name.
    fn remove_route(&mut self, name: &str) -> bool {
        let Some(old) = self.to.names.classes.find(name) else {
            return false;
        };
        self.to.names.classes.put_in_use(name, None);
        self.retired.insert(ClassId(old));
        self.told.push(format!("dropped {name}"));
        true
    }

    /// The customer's number.
    fn set_customer(&mut self, customer: &Customer) -> usize {
        let (tenants, name) = (&mut self.to.names.tenants, customer.name.as_str());
        match tenants.number(name) {
            Some(number) => {
                tenants.put_in_use(name, true);
                let id = TenantId(number);
                if self.quotas.contains_key(&id)
                    || self.to.config.tenants.get(number) != Some(&customer.tenant)
                {
                    self.quotas.insert(id, customer.tenant.clone());
                }
                number
            }
            None => {
                let number = self.tenants;
                self.tenants += 1;
                tenants.add(name, number);
                self.quotas
                    .insert(TenantId(number), customer.tenant.clone());
                number
            }
        }
    }

    fn finish(mut self, base: &InForce) -> Result<Change, ConfigError> {
        self.to.config.set_tenants(self.quotas)?;
        let more = self.told.len().saturating_sub(TOLD);
        self.told.truncate(TOLD);
        let rest = (more > 0).then(|| format!("{more} more"));
        let told: Vec<String> = self.told.into_iter().chain(rest).collect();
        let told = if told.is_empty() {
            "classes as before".into()
        } else {
            told.join(", ")
        };
        Ok(Change {
            to: self.to,
            retired: self.retired.into_iter().collect(),
            reinstated: self.reinstated.into_iter().collect(),
            successors: self.successors,
            told,
            places: (base.names.zones.len(), base.names.kinds.len()),
        })
    }
}

/// The long lists of settings that follow others, put in the place of those entry by entry as they are read: what is
/// equal stays shared, and no second copy of it is ever made.
#[derive(Clone)]
pub(super) struct Reread {
    base: InForce,
    routes: Draft,
    /// By the number of a route's name, and of a tenant: it stands in these settings as well.
    named: Vec<bool>,
    /// Names of routes that break a bound: they got no number.
    unsound: BTreeSet<CompactString>,
    customers: Draft,
    stays: Vec<bool>,
    failed: Option<ConfigError>,
}

/// Marks it; whether it is new there.
fn mark(all: &mut Vec<bool>, at: usize) -> bool {
    if at >= all.len() {
        all.resize(at + 1, false);
    }
    !std::mem::replace(&mut all[at], true)
}

impl Reread {
    pub fn new(base: &InForce) -> Reread {
        let draft = || Draft::new(base, base.clone());
        let (named, unsound, stays, failed) = Default::default();
        Reread {
            base: base.clone(),
            routes: draft(),
            named,
            unsound,
            customers: draft(),
            stays,
            failed,
        }
    }

    /// Of a list that stands twice the last counts.
    pub fn begin_routes(&mut self) {
        (self.routes, self.named) = (Draft::new(&self.base, self.base.clone()), Vec::new());
        self.unsound.clear();
    }

    /// See [`Reread::begin_routes`].
    pub fn begin_customers(&mut self) {
        (self.customers, self.stays) = (Draft::new(&self.base, self.base.clone()), Vec::new());
    }

    /// Whether a route of that name came already.
    pub fn has_route(&self, name: &str) -> bool {
        let number = self.routes.to.names.classes.name_number(name);
        number.is_some_and(|n| self.named.get(n as usize).is_some_and(|named| *named))
            || self.unsound.contains(name)
    }

    /// Takes one; one that breaks a bound is left out, as settings that hold it are not taken.
    pub fn set_route(&mut self, route: &Route) {
        if route.class.validate().is_err() {
            self.unsound.insert(route.name.clone());
            return;
        }
        if let Err(e) = self.routes.set_route(route) {
            self.failed.get_or_insert(e);
        }
        if let Some(n) = self.routes.to.names.classes.name_number(&route.name) {
            mark(&mut self.named, n as usize);
        }
    }

    /// See [`Reread::set_route`].
    pub fn set_customer(&mut self, customer: &Customer) {
        if customer.tenant.validate().is_ok() {
            let number = self.customers.set_customer(customer);
            mark(&mut self.stays, number);
        }
    }

    /// What did not come is dropped; all of it in one draft, under settings whose other values are these.
    fn draft(mut self, rest: InForce) -> Result<Draft, ConfigError> {
        let (base, names) = (self.base.clone(), &self.base.names);
        for name in (0..names.classes.len()).filter_map(|n| base.names.classes.name(n)) {
            if !self.has_route(name) {
                self.routes.remove_route(name);
            }
        }
        let dropped = names
            .tenants
            .in_use()
            .filter(|(n, _)| !self.stays.get(*n).is_some_and(|s| *s));
        let tenants = &mut self.customers.to.names.tenants;
        dropped.for_each(|(_, name)| tenants.put_in_use(name, false));
        let InForce {
            config,
            names,
            network,
        } = self.routes.to;
        let tables = Config {
            classes: config.classes.clone(),
            tenants: base.config.tenants.clone(),
            ..(*rest.config).clone()
        };
        let to = InForce {
            config: tables.validated()?,
            names: Names {
                classes: names.classes,
                tenants: self.customers.to.names.tenants,
                ..rest.names
            },
            network: Network {
                deadlines: network.deadlines,
                ..rest.network
            },
        };
        let (tenants, quotas) = (self.customers.tenants, self.customers.quotas);
        match self.failed {
            Some(e) => Err(e),
            None => Ok(Draft {
                to,
                tenants,
                quotas,
                ..self.routes
            }),
        }
    }
}

/// Settings that follow others as a whole.
pub(super) fn change(settings: &Settings, base: &InForce) -> Result<Change, String> {
    let bound = |e: ConfigError| e.to_string();
    let mut names = Names {
        classes: Default::default(),
        tenants: Default::default(),
        ..base.names.clone()
    };
    let Read {
        config,
        routes,
        customers,
    } = settings.sound(&mut names)?;
    let network = settings.network()?;
    let rest = InForce {
        config: config.validated().map_err(bound)?,
        names,
        network,
    };
    if rest.config.discovery != base.config.discovery {
        return Err("discovery: expected as before, it changes only with a restart".into());
    }
    let reread = settings.reread().cloned().unwrap_or_else(|| {
        let mut reread = Reread::new(base);
        routes.iter().for_each(|route| reread.set_route(&route));
        customers
            .iter()
            .for_each(|customer| reread.set_customer(&customer));
        reread
    });
    reread
        .draft(rest)
        .and_then(|draft| draft.finish(base))
        .map_err(bound)
}

/// One named entry of the settings, as operators change it without saying all the rest again.
#[derive(Clone, Debug, PartialEq)]
pub enum Amendment {
    /// A class of requests with all its keys, as it stands in `profiles`: a new one, or in the place of one of its name.
    SetProfile(Value),
    /// A class is no more; what is open under it ends as it came.
    RemoveProfile(String),
    /// A tenant with its quota, as it stands in `customers`.
    SetCustomer(Value),
    /// A tenant is no more: from now on a stranger.
    RemoveCustomer(String),
}

impl Amendment {
    /// Where the entry stands.
    fn path(&self) -> String {
        let name = |entry: &Value| {
            entry
                .get("name")
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_string()
        };
        match self {
            Amendment::SetProfile(entry) => format!("profiles[{}]", name(entry)),
            Amendment::RemoveProfile(name) => format!("profiles[{name}]"),
            Amendment::SetCustomer(entry) => format!("customers[{}]", name(entry)),
            Amendment::RemoveCustomer(name) => format!("customers[{name}]"),
        }
    }
}

/// A class in use, as it stands in `profiles`.
pub(super) fn profile(of: &InForce, name: &str) -> Option<Value> {
    let ClassId(number) = of.names.class(name)?;
    let (class, deadline) = (
        of.config.classes.get(number)?,
        of.network.deadlines.get(number)?,
    );
    let mut entry = json!({
        "name": name, "aim_us": class.latency_objective.0, "aim_stretch": class.objective_per_work, "deadline_us": deadline.0,
        "gain": class.priority_weight, "late_worth": class.late_weight,
    });
    entry["effect"] = match class.idempotency {
        Idempotency::Idempotent => "free",
        Idempotency::Keyed { .. } => "guarded",
        Idempotency::NonIdempotent => "single_shot",
    }
    .into();
    if let Idempotency::Keyed { scope, window } = class.idempotency {
        let scope = match scope {
            KeyScope::All => "all",
            KeyScope::Zone => "zone",
            KeyScope::Cell => "cell",
        };
        (entry["key_scope"], entry["window_us"]) = (scope.into(), window.0.into());
    }
    Some(entry)
}

/// A tenant in use, as it stands in `customers`.
pub(super) fn customer_entry(of: &InForce, name: &str) -> Option<Value> {
    let TenantId(number) = of.names.tenant(name)?;
    Some(json!({ "name": name, "quota_rps": of.config.tenants.get(number)?.quota_per_s }))
}

/// The settings in force with these entries changed, all or none of them: else every error, each by its key. Costs by
/// what it names: nothing by the size of the tables.
pub(super) fn amend(base: &InForce, amendments: &[Amendment]) -> Result<Change, Vec<String>> {
    let notes = Notes::new(false);
    let mut draft = Draft::new(base, base.clone());
    let mut named = BTreeSet::new();
    for amendment in amendments {
        let path = amendment.path();
        let at = |value| Key::at(path.clone(), value, notes.clone());
        let wrong = |text: &str| at(&Value::Null).wrong(text.into());
        if !named.insert(path.clone()) {
            wrong("the name stands twice");
            continue;
        }
        match amendment {
            Amendment::SetProfile(entry) => {
                let route = route(&at(entry), |_| true);
                if let Err(e) = route
                    .class
                    .validate()
                    .and_then(|()| draft.set_route(&route))
                {
                    wrong(&e.to_string());
                }
            }
            Amendment::SetCustomer(entry) => {
                let customer = customer(&at(entry));
                match customer.tenant.validate() {
                    Ok(()) => drop(draft.set_customer(&customer)),
                    Err(e) => wrong(&e.to_string()),
                }
            }
            Amendment::RemoveProfile(name) => {
                if !draft.remove_route(name) {
                    wrong("there is none of that name");
                }
            }
            Amendment::RemoveCustomer(name) => match draft.to.names.tenants.find(name) {
                Some(_) => draft.to.names.tenants.put_in_use(name, false),
                None => wrong("there is none of that name"),
            },
        }
    }
    let mut texts = notes.texts();
    if draft.to.names.classes.in_use() == 0 {
        texts.push("profiles: expected at least one class".into());
    }
    match texts.is_empty() {
        true => draft.finish(base).map_err(|e| vec![e.to_string()]),
        false => Err(texts),
    }
}
