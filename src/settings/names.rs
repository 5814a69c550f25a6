//! Numbers by name and names by number. Every table is persistent: a clone shares all of it, and a change copies only
//! what leads to the entry that it names.

use crate::interface::*;
use compact_str::CompactString;
use imbl::{HashMap, Vector};
use std::sync::Arc;

/// The names that go with a [`Config`]. Places and kinds met first in a list are numbered then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub(super) zones: Numbered,
    pub(super) kinds: Numbered,
    pub(super) classes: Classes,
    pub(super) tenants: Tenants,
}

/// Names in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Numbered {
    names: Vector<Arc<str>>,
    numbers: HashMap<Arc<str>, u32>,
}

impl Numbered {
    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(|name| &**name)
    }

    pub fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, number: u32) -> Option<&str> {
        self.names.get(number as usize).map(|name| &**name)
    }

    /// Its number: the next one where it has none yet.
    pub fn number(&mut self, name: &str) -> u32 {
        self.get(name).unwrap_or_else(|| {
            let (number, name) = (self.names.len() as u32, Arc::<str>::from(name));
            self.names.push_back(name.clone());
            self.numbers.insert(name, number);
            number
        })
    }
}

/// Classes by name. One whose rules change goes on under a new number, and the old one stays for what is still open
/// under it: a name may have had many, of which one at most is in use.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Classes {
    /// By number.
    given: Vector<Given>,
    by_name: HashMap<Arc<str>, OfName>,
    in_use: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct Given {
    name: Arc<str>,
    /// The number that this name had before.
    older: Option<u32>,
}

#[derive(Clone, Debug, PartialEq)]
struct OfName {
    newest: u32,
    in_use: Option<u32>,
}

impl Classes {
    /// How many numbers were given.
    pub fn len(&self) -> usize {
        self.given.len()
    }

    /// How many names are in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    /// The number in use under that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).and_then(|of| of.in_use).map(|n| n as usize)
    }

    /// The name of a number in use.
    pub fn name(&self, number: usize) -> Option<&str> {
        self.given.get(number).map(|g| &*g.name).filter(|name| self.find(name) == Some(number))
    }

    /// Every number that the name has had, the newest first.
    pub fn numbers(&self, name: &str) -> impl Iterator<Item = usize> + '_ {
        let newest = self.by_name.get(name).map(|of| of.newest);
        let older = |n: &u32| self.given.get(*n as usize).and_then(|g| g.older);
        std::iter::successors(newest, older).map(|n| n as usize)
    }

    /// Gives the name the next number, and puts that in use.
    pub fn add(&mut self, name: &str) -> usize {
        let number = self.given.len() as u32;
        self.in_use += usize::from(self.find(name).is_none());
        let held = self.by_name.get_key_value(name).map(|(name, of)| (name.clone(), of.newest));
        let (name, older) = held.map_or_else(|| (name.into(), None), |(name, newest)| (name, Some(newest)));
        self.given.push_back(Given { name: name.clone(), older });
        self.by_name.insert(name, OfName { newest: number, in_use: Some(number) });
        number as usize
    }

    /// Puts another number of that name in use, or none.
    pub fn put_in_use(&mut self, name: &str, number: Option<usize>) {
        let before = self.find(name);
        if before != number && self.by_name.contains_key(name) {
            self.in_use = self.in_use + usize::from(number.is_some()) - usize::from(before.is_some());
            let of = self.by_name.get_mut(name);
            of.into_iter().for_each(|of| of.in_use = number.map(|n| n as u32));
        }
    }
}

/// Tenants by name: the name is stored here and nowhere else. One that the settings dropped keeps its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Tenants {
    /// With the number whether it is in use.
    by_name: HashMap<CompactString, (u32, bool)>,
}

impl Tenants {
    /// The number in use under that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).filter(|of| of.1).map(|of| of.0 as usize)
    }

    /// The number that it has or had.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).map(|of| of.0 as usize)
    }

    /// Numbers in use with their names, in no order.
    pub fn in_use(&self) -> impl Iterator<Item = (usize, &CompactString)> {
        self.by_name.iter().filter(|(_, of)| of.1).map(|(name, of)| (of.0 as usize, name))
    }

    /// Puts a number in use under the name; one that it has already stays its own.
    pub fn add(&mut self, name: &str, number: usize) {
        if self.number(name).is_none() {
            self.by_name.insert(name.into(), (number as u32, true));
        }
    }

    pub fn put_in_use(&mut self, name: &str, in_use: bool) {
        if self.by_name.get(name).is_some_and(|of| of.1 != in_use) {
            self.by_name.get_mut(name).into_iter().for_each(|of| of.1 = in_use);
        }
    }
}

/// An entry of a backend list under its plain names; each proxy has numbers of its own for these.
#[derive(Clone, Debug)]
pub struct Row {
    /// Where it listens.
    pub address: String,
    zone: String,
    kind: String,
    entry: Backend,
}

impl Row {
    /// `same` is what every proxy calls the backend: the order that they share is drawn from it.
    pub fn new(same: &str, address: &str, zone: &str, kind: &str, entry: Backend) -> Row {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3); // FNV-1a
        let mark = same.bytes().fold(0xcbf2_9ce4_8422_2325, fold) >> 20;
        let entry = Backend { mark, ..entry };
        Row { address: address.into(), zone: zone.into(), kind: kind.into(), entry }
    }
}

impl Names {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.find(name).map(ClassId)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.find(name).map(TenantId)
    }

    /// The kind of that name, if a list or the settings named it.
    pub fn kind(&self, name: &str) -> Option<KindId> {
        self.kinds.get(name).map(KindId)
    }

    /// The name of a kind.
    pub fn kind_name(&self, kind: KindId) -> Option<&str> {
        self.kinds.name(kind.0)
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.name(zone.0)
    }

    /// The name of a class in use.
    pub fn class_name(&self, class: ClassId) -> Option<&str> {
        self.classes.name(class.0)
    }

    /// The row as this instance numbers it.
    pub fn entry(&mut self, row: &Row, id: BackendId) -> Backend {
        let zone = ZoneId(self.zones.number(&row.zone));
        let kind = KindId(self.kinds.number(&row.kind));
        Backend { id, zone, kind, ..row.entry.clone() }
    }
}
