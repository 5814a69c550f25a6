//! [`Names`] maps the names in the settings and the endpoint list to the numbers that the load balancer uses, and back.
//! [`EndpointRow`] is an endpoint before its names are numbered.
//!
//! Every table is persistent: a clone shares all its data, and a change copies only the path to the changed entry.

use super::name_table::NameTable;
use crate::interface::{Backend, BackendId, ClassId, HardwareClassId, TenantId, ZoneId};
use compact_str::CompactString;
use imbl::Vector;

/// The names of the zones, kinds, classes and tenants in a [`Config`](crate::Config). Zones and kinds that first occur
/// in an endpoint list get their numbers when the list is read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub(super) zones: NameTable,
    pub(super) kinds: NameTable,
    pub(super) classes: ClassNames,
    pub(super) tenants: TenantNames,
}

/// Request classes by name.
///
/// A class whose rules change gets a new number, and the old number remains valid for requests that are still open
/// under it. A name may thus have many numbers, of which at most one is in use.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct ClassNames {
    names: NameTable,
    /// The class numbers of each name, indexed by the number of the name.
    by_name: Vector<NumbersOfName>,
    /// The name of each class, indexed by the number of the class.
    by_class: Vector<ClassNumber>,
    names_in_use: usize,
}

/// The class numbers of a name.
#[derive(Clone, Debug, PartialEq)]
struct NumbersOfName {
    newest: u32,
    in_use: Option<u32>,
}

/// The name that a class number belongs to.
#[derive(Clone, Debug, PartialEq)]
struct ClassNumber {
    /// The number of the class's name.
    name: u32,
    /// The class number that the name got before this one.
    previous: Option<u32>,
}

impl ClassNames {
    /// Creates the table of the first settings, in which a class has the number of its name.
    pub fn from_names(names: NameTable) -> ClassNames {
        let numbers = 0..names.len() as u32;
        let by_name = numbers.clone().map(|number| NumbersOfName {
            newest: number,
            in_use: Some(number),
        });
        let by_class = numbers.map(|name| ClassNumber {
            name,
            previous: None,
        });
        ClassNames {
            by_name: by_name.collect(),
            by_class: by_class.collect(),
            names_in_use: names.len(),
            names,
        }
    }

    /// Returns the number of class numbers assigned so far, in use or not.
    pub fn class_count(&self) -> usize {
        self.by_class.len()
    }

    /// Returns the number of names that have a class in use.
    pub fn names_in_use(&self) -> usize {
        self.names_in_use
    }

    fn numbers_of(&self, name: &str) -> Option<&NumbersOfName> {
        self.by_name.get(self.names.get(name)? as usize)
    }

    /// Returns the number of the name itself, as opposed to that of its class.
    pub fn name_number(&self, name: &str) -> Option<u32> {
        self.names.get(name)
    }

    /// Returns the class in use under this name.
    pub fn get(&self, name: &str) -> Option<usize> {
        let in_use = self.numbers_of(name)?.in_use?;
        Some(in_use as usize)
    }

    /// Returns the name of a class, `None` if the class is not in use.
    pub fn name(&self, class: usize) -> Option<&str> {
        let name = self.by_class.get(class)?.name;
        let in_use = self.by_name.get(name as usize)?.in_use;
        let is_in_use = in_use == Some(class as u32);
        self.names.name(name).filter(|_| is_in_use)
    }

    /// Iterates over all classes that the name has had, newest first.
    pub fn history(&self, name: &str) -> impl Iterator<Item = usize> + '_ {
        let newest = self.numbers_of(name).map(|numbers| numbers.newest);
        let previous = |class: &u32| self.by_class.get(*class as usize)?.previous;
        std::iter::successors(newest, previous).map(|class| class as usize)
    }

    /// Assigns the next class number to the name, puts it in use and returns it.
    pub fn add(&mut self, name: &str) -> usize {
        let class = self.by_class.len() as u32;
        let name = self.names.get_or_insert(name);
        let numbers = NumbersOfName {
            newest: class,
            in_use: Some(class),
        };
        let is_known = (name as usize) < self.by_name.len();
        let before = if is_known {
            Some(self.by_name.set(name as usize, numbers))
        } else {
            self.by_name.push_back(numbers);
            None
        };
        let was_in_use = before.as_ref().is_some_and(|old| old.in_use.is_some());
        self.names_in_use += usize::from(!was_in_use);
        self.by_class.push_back(ClassNumber {
            name,
            previous: before.map(|old| old.newest),
        });
        class as usize
    }

    /// Puts another class of the name in use, or none. Does nothing if the name is unknown.
    pub fn set_in_use(&mut self, name: &str, class: Option<usize>) {
        let numbers = self.numbers_of(name).cloned();
        let Some((name, numbers)) = self.names.get(name).zip(numbers) else {
            return;
        };
        let in_use = class.map(|class| class as u32);
        if numbers.in_use == in_use {
            return;
        }
        self.names_in_use += usize::from(in_use.is_some());
        self.names_in_use -= usize::from(numbers.in_use.is_some());
        let changed = NumbersOfName { in_use, ..numbers };
        self.by_name.set(name as usize, changed);
    }
}

/// Tenants by name. A tenant that is removed from the settings keeps its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct TenantNames {
    names: NameTable,
    /// The tenant of each name, indexed by the number of the name. The first settings may list a name twice; then only
    /// the first of its tenants is found by name, and the numbers of names and tenants differ.
    by_name: Vector<TenantOfName>,
}

/// The tenant that a name refers to.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TenantOfName {
    tenant: u32,
    in_use: bool,
}

impl TenantNames {
    /// Creates the table of the first settings, in which a name refers to the first tenant of that name.
    /// `name_of_tenant` holds the number of each tenant's name, indexed by tenant.
    pub fn from_names(names: NameTable, name_of_tenant: &Vector<u32>) -> TenantNames {
        let mut by_name = Vector::new();
        for (tenant, name) in name_of_tenant.iter().enumerate() {
            let is_first = *name as usize == by_name.len();
            if is_first {
                by_name.push_back(TenantOfName {
                    tenant: tenant as u32,
                    in_use: true,
                });
            }
        }
        TenantNames { names, by_name }
    }

    fn entry(&self, name: &str) -> Option<TenantOfName> {
        self.by_name.get(self.names.get(name)? as usize).copied()
    }

    /// Returns the tenant in use under this name.
    pub fn get(&self, name: &str) -> Option<usize> {
        let entry = self.entry(name).filter(|entry| entry.in_use)?;
        Some(entry.tenant as usize)
    }

    /// Returns the tenant of this name, in use or not.
    pub fn get_any(&self, name: &str) -> Option<usize> {
        self.entry(name).map(|entry| entry.tenant as usize)
    }

    /// Iterates over the tenants in use, with their names.
    pub fn in_use(&self) -> impl Iterator<Item = (usize, &str)> {
        let all = self.by_name.iter().zip(self.names.iter());
        let in_use = all.filter(|(entry, _)| entry.in_use);
        in_use.map(|(entry, name)| (entry.tenant as usize, name))
    }

    /// Adds a tenant in use under a new name. Does nothing if the name has a tenant already.
    pub fn add(&mut self, name: &str, tenant: usize) {
        let is_new = self.names.get_or_insert(name) as usize == self.by_name.len();
        if is_new {
            self.by_name.push_back(TenantOfName {
                tenant: tenant as u32,
                in_use: true,
            });
        }
    }

    /// Puts the tenant of this name in use or out of use. Does nothing if the name is unknown.
    pub fn set_in_use(&mut self, name: &str, in_use: bool) {
        let Some((name, entry)) = self.names.get(name).zip(self.entry(name)) else {
            return;
        };
        if entry.in_use != in_use {
            let changed = TenantOfName { in_use, ..entry };
            self.by_name.set(name as usize, changed);
        }
    }
}

/// An entry of an endpoint list, with the names of its zone and kind. Each process numbers these names by itself, see
/// [`Names::backend_for`].
#[derive(Clone, Debug)]
pub struct EndpointRow {
    zone: CompactString,
    kind: CompactString,
    backend: Backend,
}

impl EndpointRow {
    /// Creates a row. `address` must be the same at every proxy: its hash determines the order of the backends that all
    /// proxies share.
    pub fn new(address: &str, zone: &str, kind: &str, backend: Backend) -> EndpointRow {
        EndpointRow {
            zone: zone.into(),
            kind: kind.into(),
            backend: Backend {
                address_hash: hash_address(address),
                ..backend
            },
        }
    }
}

/// Returns the upper 44 bits of the address's 64-bit FNV-1a hash.
fn hash_address(address: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const DROPPED_BITS: u32 = 20;
    let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    address.bytes().fold(OFFSET_BASIS, add_byte) >> DROPPED_BITS
}

impl Names {
    /// Returns the class in use under this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).map(ClassId)
    }

    /// Returns the tenant in use under this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).map(TenantId)
    }

    /// Returns the kind of this name, if the settings or an endpoint list have it.
    pub fn kind(&self, name: &str) -> Option<HardwareClassId> {
        self.kinds.get(name).map(HardwareClassId)
    }

    /// Returns the name of a kind.
    pub fn kind_name(&self, kind: HardwareClassId) -> Option<&str> {
        self.kinds.name(kind.0)
    }

    /// Returns the name of a zone.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.name(zone.0)
    }

    /// Returns the name of a class, `None` if the class is not in use.
    pub fn class_name(&self, class: ClassId) -> Option<&str> {
        self.classes.name(class.0)
    }

    /// Returns the row as a backend with this process's numbers. New zones and kinds get their numbers here.
    pub fn backend_for(&mut self, row: &EndpointRow, id: BackendId) -> Backend {
        let zone = self.zones.get_or_insert(&row.zone);
        let kind = self.kinds.get_or_insert(&row.kind);
        Backend {
            id,
            zone: ZoneId(zone),
            hardware_class: HardwareClassId(kind),
            ..row.backend.clone()
        }
    }
}
