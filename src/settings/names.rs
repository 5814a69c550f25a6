//! Numbers by name and names by number. Every table is persistent: a clone shares all of it, and a change copies only
//! what leads to the entry that it names.

use super::numbered::Numbered;
use crate::interface::{Backend, BackendId, ClassId, KindId, TenantId, ZoneId};
use compact_str::CompactString;
use imbl::Vector;

/// The names that go with a [`Config`]. Places and kinds met first in a list are numbered then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub(super) zones: Numbered,
    pub(super) kinds: Numbered,
    pub(super) classes: Classes,
    pub(super) tenants: Tenants,
}

/// Classes by name. One whose rules change goes on under a new number, and the old one stays for what is still open
/// under it: a name may have had many, of which one at most is in use.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Classes {
    names: Numbered,
    /// By the name's number.
    of_name: Vector<OfName>,
    /// By the class's number.
    given: Vector<Given>,
    in_use: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct OfName {
    newest: u32,
    in_use: Option<u32>,
}

#[derive(Clone, Debug, PartialEq)]
struct Given {
    name: u32,
    /// The class's number that this name had before.
    older: Option<u32>,
}

impl Classes {
    /// Each name with the class of its own number.
    pub fn first(names: Numbered) -> Classes {
        let numbers = 0..names.len() as u32;
        let of_name = numbers
            .clone()
            .map(|n| OfName {
                newest: n,
                in_use: Some(n),
            })
            .collect();
        let given = numbers.map(|name| Given { name, older: None }).collect();
        Classes {
            in_use: names.len(),
            names,
            of_name,
            given,
        }
    }

    /// How many numbers were given.
    pub fn len(&self) -> usize {
        self.given.len()
    }

    /// How many names are in use.
    pub fn in_use(&self) -> usize {
        self.in_use
    }

    fn of(&self, name: &str) -> Option<&OfName> {
        self.of_name.get(self.names.get(name)? as usize)
    }

    /// The number of the name itself, whatever classes it has had.
    pub fn name_number(&self, name: &str) -> Option<u32> {
        self.names.get(name)
    }

    /// The number in use under that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.of(name)?.in_use.map(|n| n as usize)
    }

    /// The name of a number in use.
    pub fn name(&self, number: usize) -> Option<&str> {
        let name = self.given.get(number)?.name;
        let in_use = self.of_name.get(name as usize)?.in_use;
        self.names
            .name(name)
            .filter(|_| in_use == Some(number as u32))
    }

    /// Every number that the name has had, the newest first.
    pub fn numbers(&self, name: &str) -> impl Iterator<Item = usize> + '_ {
        let older = |n: &u32| self.given.get(*n as usize).and_then(|g| g.older);
        std::iter::successors(self.of(name).map(|of| of.newest), older).map(|n| n as usize)
    }

    /// Gives the name the next number, and puts that in use.
    pub fn add(&mut self, name: &str) -> usize {
        let number = self.given.len() as u32;
        let name = self.names.number(name);
        let now = OfName {
            newest: number,
            in_use: Some(number),
        };
        let before = match (name as usize) < self.of_name.len() {
            true => Some(self.of_name.set(name as usize, now)),
            false => {
                self.of_name.push_back(now);
                None
            }
        };
        self.in_use += usize::from(before.as_ref().is_none_or(|of| of.in_use.is_none()));
        self.given.push_back(Given {
            name,
            older: before.map(|of| of.newest),
        });
        number as usize
    }

    /// Puts another number of that name in use, or none.
    pub fn put_in_use(&mut self, name: &str, number: Option<usize>) {
        let (Some(at), Some(of)) = (self.names.get(name), self.of(name).cloned()) else {
            return;
        };
        let in_use = number.map(|n| n as u32);
        if of.in_use != in_use {
            self.in_use =
                self.in_use + usize::from(in_use.is_some()) - usize::from(of.in_use.is_some());
            self.of_name.set(at as usize, OfName { in_use, ..of });
        }
    }
}

/// Tenants by name. One that the settings dropped keeps its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Tenants {
    names: Numbered,
    /// By the name's number: the tenant's, and whether it is in use. At the start a name may stand twice, and then only
    /// the first is found, so that the numbers of names and of tenants part.
    of_name: Vector<(u32, bool)>,
}

impl Tenants {
    /// Each name with the first tenant of that name; `names_of` has the name's number of each tenant.
    pub fn first(names: Numbered, names_of: &Vector<u32>) -> Tenants {
        let mut of_name = Vector::new();
        for (tenant, name) in names_of.iter().enumerate() {
            if *name as usize == of_name.len() {
                of_name.push_back((tenant as u32, true));
            }
        }
        Tenants { names, of_name }
    }

    fn of(&self, name: &str) -> Option<(u32, bool)> {
        self.of_name.get(self.names.get(name)? as usize).copied()
    }

    /// The number in use under that name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.of(name).filter(|of| of.1).map(|of| of.0 as usize)
    }

    /// The number that it has or had.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.of(name).map(|of| of.0 as usize)
    }

    /// Numbers in use with their names.
    pub fn in_use(&self) -> impl Iterator<Item = (usize, &str)> {
        let all = self.of_name.iter().zip(self.names.iter());
        all.filter(|(of, _)| of.1)
            .map(|(of, name)| (of.0 as usize, name))
    }

    /// Puts a number in use under the name; one that it has already stays its own.
    pub fn add(&mut self, name: &str, number: usize) {
        if self.names.number(name) as usize == self.of_name.len() {
            self.of_name.push_back((number as u32, true));
        }
    }

    pub fn put_in_use(&mut self, name: &str, in_use: bool) {
        let Some((at, of)) = self.names.get(name).zip(self.of(name)) else {
            return;
        };
        if of.1 != in_use {
            self.of_name.set(at as usize, (of.0, in_use));
        }
    }
}

/// An entry of a backend list under its plain names; each proxy has numbers of its own for these.
#[derive(Clone, Debug)]
pub struct Row {
    zone: CompactString,
    kind: CompactString,
    entry: Backend,
}

impl Row {
    /// `same` is what every proxy calls the backend: the order that they share is drawn from it.
    pub fn new(same: &str, zone: &str, kind: &str, entry: Backend) -> Row {
        let fold = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3); // FNV-1a
        let mark = same.bytes().fold(0xcbf2_9ce4_8422_2325, fold) >> 20;
        let entry = Backend {
            address_hash: mark,
            ..entry
        };
        Row {
            zone: zone.into(),
            kind: kind.into(),
            entry,
        }
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
        Backend {
            id,
            zone,
            kind,
            ..row.entry.clone()
        }
    }
}
