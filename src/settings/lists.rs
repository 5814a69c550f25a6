//! The long lists of the settings on their way in, item by item.

use super::change::Reread;
use super::key::{Key, Notes};
use super::numbered::Numbered;
use super::read::{customer, route};
use super::sift::Sink;
use super::InForce;
use crate::interface::{Micros, RequestClass, Tenant};
use compact_str::CompactString;
use imbl::Vector;
use serde_json::Value;
use std::fmt::Write;
use std::rc::Rc;

pub(super) const PROFILES: &str = "profiles";
pub(super) const CUSTOMERS: &str = "customers";

/// One of `profiles` as it was read.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Route {
    pub name: CompactString,
    pub class: RequestClass,
    pub deadline: Micros,
}

/// One of `customers` as it was read.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Customer {
    pub name: CompactString,
    pub tenant: Tenant,
}

/// All of `profiles`, in the form in which they come into force: what is read once is neither moved nor copied again.
#[derive(Clone, Default)]
pub(super) struct Routes {
    pub names: Numbered,
    pub classes: Vector<RequestClass>,
    pub deadlines: Vector<Micros>,
}

impl Routes {
    /// Keeps the first, and what breaks a bound: by these the whole is checked.
    fn sample(&mut self, route: Route) {
        if self.classes.is_empty() || route.class.validate().is_err() {
            self.names.number(&route.name);
            self.classes.push_back(route.class);
            self.deadlines.push_back(route.deadline);
        }
    }

    /// Where no name stands twice.
    pub fn iter(&self) -> impl Iterator<Item = Route> + '_ {
        let each = self.names.iter().zip(&self.classes).zip(&self.deadlines);
        each.map(|((name, class), deadline)| Route {
            name: name.into(),
            class: class.clone(),
            deadline: *deadline,
        })
    }
}

/// All of `customers`.
#[derive(Clone, Default)]
pub(super) struct Customers {
    pub names: Numbered,
    /// The number of each one's name: a name may stand twice.
    pub of: Vector<u32>,
    pub tenants: Vector<Tenant>,
}

impl Customers {
    /// Keeps what breaks a bound.
    fn sample(&mut self, customer: Customer) {
        if customer.tenant.validate().is_err() {
            self.of.push_back(self.names.number(&customer.name));
            self.tenants.push_back(customer.tenant);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = Customer> + '_ {
        let name = |of: &u32| self.names.name(*of).unwrap_or_default().into();
        self.of
            .iter()
            .zip(&self.tenants)
            .map(move |(of, t)| Customer {
                name: name(of),
                tenant: t.clone(),
            })
    }
}

/// What is noted of a long list that is read item by item.
pub(super) struct Long {
    pub name: &'static str,
    /// Items so far, sound or not.
    count: usize,
    pub notes: Rc<Notes>,
    /// Paths inside it that nothing reads.
    pub unread: Vec<String>,
    /// Its items as JSON, for the settings' digest.
    pub text: Vec<String>,
}

/// Bytes of a piece of text: so large that the allocator takes each from the system, and gives it back, by itself, and
/// all of one size, as it keeps whatever is smaller than the largest that it gave back.
const PIECE: usize = 1 << 20;
const ROOM_FOR_ONE: usize = 16 * 1024;

impl Long {
    fn new(name: &'static str, strict: bool) -> Long {
        Long {
            name,
            count: 0,
            notes: Notes::new(strict),
            unread: Vec::new(),
            text: Vec::new(),
        }
    }

    fn take<T>(&mut self, value: &Value, digested: bool, read: impl FnOnce(&Key) -> T) -> T {
        let path = format!("{}[{}]", self.name, self.count);
        let item = read(&Key::at(path.clone(), value, self.notes.clone()));
        if self.notes.strict() {
            let mut paths = Vec::new();
            leaves(&path, value, &mut paths);
            self.unread.extend(self.notes.unread(paths));
            self.notes.forget_seen();
        }
        if digested {
            if self
                .text
                .last()
                .is_none_or(|piece| piece.len() > PIECE - ROOM_FOR_ONE)
            {
                self.text.push(String::with_capacity(PIECE));
            }
            let comma = if self.count > 0 { "," } else { "" };
            if let Some(piece) = self.text.last_mut() {
                let _ = write!(piece, "{comma}{value}"); // to a string, which does not fail
            }
        }
        self.count += 1;
        item
    }
}

/// How much of the settings is wanted beside their meaning.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Which values nothing reads ([`Settings::unknown`](super::Settings::unknown)).
    pub strict: bool,
    /// Their digest ([`Settings::digest`](super::Settings::digest)).
    pub digested: bool,
}

/// The long lists of settings on their way in: each item is read as it comes, and its value is not kept.
pub struct Lists {
    pub(super) reading: Reading,
    pub(super) profiles: Long,
    pub(super) routes: Routes,
    pub(super) customers: Long,
    pub(super) tenants: Customers,
    /// Where they go if others are in force: then of the tables above only what breaks a bound is kept, and one entry.
    pub(super) over: Option<Box<Reread>>,
}

impl Lists {
    /// Their paths inside the settings.
    pub const PATHS: [&'static str; 2] = [PROFILES, CUSTOMERS];

    /// Lists of which nothing has come yet.
    pub fn new(reading: Reading) -> Lists {
        let (profiles, customers) = (
            Long::new(PROFILES, reading.strict),
            Long::new(CUSTOMERS, reading.strict),
        );
        let (routes, tenants) = (Routes::default(), Customers::default());
        Lists {
            reading,
            profiles,
            routes,
            customers,
            tenants,
            over: None,
        }
    }

    /// The same of settings that are to follow those in force, for [`InForce::change`] of the same `base`.
    pub fn over(reading: Reading, base: &InForce) -> Lists {
        Lists {
            over: Some(Box::new(Reread::new(base))),
            ..Lists::new(reading)
        }
    }

    /// One of [`Lists::PATHS`] begins; of one that stands twice the last counts.
    pub fn begin(&mut self, list: &str) {
        let new = Lists::new(self.reading);
        match list {
            PROFILES => {
                (self.profiles, self.routes) = (new.profiles, new.routes);
                self.over.iter_mut().for_each(|over| over.begin_routes());
            }
            _ => {
                (self.customers, self.tenants) = (new.customers, new.tenants);
                self.over.iter_mut().for_each(|over| over.begin_customers());
            }
        }
    }

    /// The next item of a list.
    pub fn item(&mut self, list: &str, value: &Value) {
        let digested = self.reading.digested;
        if let Some(over) = &mut self.over {
            match list {
                PROFILES => {
                    let route = self.profiles.take(value, digested, |key| {
                        route(key, |name| !over.has_route(name))
                    });
                    over.set_route(&route);
                    self.routes.sample(route);
                }
                _ => {
                    let customer = self.customers.take(value, digested, customer);
                    over.set_customer(&customer);
                    self.tenants.sample(customer);
                }
            }
            return;
        }
        match list {
            PROFILES => {
                let names = &mut self.routes.names;
                let new = |name: &str| names.len() == names.number(name) as usize;
                let route = self.profiles.take(value, digested, |key| route(key, new));
                self.routes.classes.push_back(route.class);
                self.routes.deadlines.push_back(route.deadline);
            }
            _ => {
                let customer = self.customers.take(value, digested, customer);
                self.tenants
                    .of
                    .push_back(self.tenants.names.number(&customer.name));
                self.tenants.tenants.push_back(customer.tenant);
            }
        }
    }
}

impl Sink for Lists {
    fn lists(&self) -> &[&'static str] {
        &Lists::PATHS
    }
    fn begin(&mut self, list: &'static str) {
        Lists::begin(self, list);
    }
    fn item(&mut self, list: &'static str, item: Value) {
        Lists::item(self, list, &item);
    }
}

/// Paths of the values inside; a list of plain values is one.
pub(super) fn leaves(path: &str, value: &Value, all: &mut Vec<String>) {
    match value {
        Value::Object(keys) if !keys.is_empty() => keys.iter().for_each(|(name, inner)| {
            leaves(&format!("{path}.{name}"), inner, all);
        }),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items
                .iter()
                .enumerate()
                .for_each(|(i, v)| leaves(&format!("{path}[{i}]"), v, all));
        }
        _ => all.push(path.into()),
    }
}
