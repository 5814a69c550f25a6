//! Reads the long lists of the settings, `profiles` and `customers`, item by item ([`LongLists`]). The JSON value of
//! each item is dropped once it is converted, which bounds the memory that a large document takes.

use super::active::ActiveSettings;
use super::entries::{NamedClass, NamedTenant, CUSTOMERS, PROFILES};
use super::field::{collect_leaf_paths, Diagnostics, Field};
use super::list_stream::ListSink;
use super::name_table::NameTable;
use super::replacement::ListReplacement;
use crate::interface::{Micros, RequestClass, Tenant};
use imbl::Vector;
use serde_json::Value;
use std::fmt::Write;
use std::rc::Rc;

/// Capacity of a chunk of list text, in bytes. The allocator maps blocks of this size one by one and returns them to
/// the system when they are freed; it would keep smaller blocks.
const TEXT_CHUNK_BYTES: usize = 1 << 20;
/// Free space that a chunk must have for another item to be appended, in bytes.
const TEXT_CHUNK_RESERVE_BYTES: usize = 16 * 1024;

/// The request classes in `profiles`. The vectors are indexed by the number of the class's name.
#[derive(Clone, Default)]
pub(super) struct ListedClasses {
    pub names: NameTable,
    pub classes: Vector<RequestClass>,
    pub deadlines: Vector<Micros>,
}

impl ListedClasses {
    /// Adds a class. The caller must have added its name to `names`.
    fn push(&mut self, class: NamedClass) {
        self.classes.push_back(class.class);
        self.deadlines.push_back(class.deadline);
    }

    /// Adds the class if it is the first or out of range: these are enough to validate the settings.
    fn push_for_validation(&mut self, class: NamedClass) {
        if self.classes.is_empty() || class.class.validate().is_err() {
            self.names.get_or_insert(&class.name);
            self.push(class);
        }
    }

    /// Iterates over the classes with their names, each of which occurs once.
    pub fn iter(&self) -> impl Iterator<Item = NamedClass> + '_ {
        let all = self.names.iter().zip(&self.classes).zip(&self.deadlines);
        all.map(|((name, class), deadline)| NamedClass {
            name: name.into(),
            class: class.clone(),
            deadline: *deadline,
        })
    }
}

/// The tenants in `customers`, in the order of the list.
#[derive(Clone, Default)]
pub(super) struct ListedTenants {
    pub names: NameTable,
    /// The number of each tenant's name. Several tenants may have the same name.
    pub name_numbers: Vector<u32>,
    pub tenants: Vector<Tenant>,
}

impl ListedTenants {
    fn push(&mut self, tenant: NamedTenant) {
        let name = self.names.get_or_insert(&tenant.name);
        self.name_numbers.push_back(name);
        self.tenants.push_back(tenant.tenant);
    }

    /// Adds the tenant if it is out of range, so that validation of the settings finds it.
    fn push_for_validation(&mut self, tenant: NamedTenant) {
        if tenant.tenant.validate().is_err() {
            self.push(tenant);
        }
    }

    /// Iterates over the tenants with their names.
    pub fn iter(&self) -> impl Iterator<Item = NamedTenant> + '_ {
        let all = self.name_numbers.iter().zip(&self.tenants);
        all.map(|(name, tenant)| NamedTenant {
            name: self.names.name(*name).unwrap_or_default().into(),
            tenant: tenant.clone(),
        })
    }
}

/// What is recorded about a list while its items are read.
pub(super) struct ListNotes {
    /// The list's key.
    pub name: &'static str,
    item_count: usize,
    pub diagnostics: Rc<Diagnostics>,
    /// Paths of values inside the list that have no meaning as settings.
    pub unread_paths: Vec<String>,
    /// The list's items as comma-separated JSON, for the digest of the settings.
    pub text_chunks: Vec<String>,
}

impl ListNotes {
    fn new(name: &'static str, options: ReadOptions) -> ListNotes {
        ListNotes {
            name,
            item_count: 0,
            diagnostics: Diagnostics::new(options.strict),
            unread_paths: Vec::new(),
            text_chunks: Vec::new(),
        }
    }

    fn read_item<T>(
        &mut self,
        value: &Value,
        options: ReadOptions,
        read: impl FnOnce(&Field) -> T,
    ) -> T {
        let path = format!("{}[{}]", self.name, self.item_count);
        let field = Field::at(path.clone(), value, self.diagnostics.clone());
        let item = read(&field);
        if self.diagnostics.tracks_reads() {
            self.note_unread(&path, value);
        }
        if options.compute_digest {
            self.append_text(value);
        }
        self.item_count += 1;
        item
    }

    fn note_unread(&mut self, path: &str, value: &Value) {
        let mut paths = Vec::new();
        collect_leaf_paths(path, value, &mut paths);
        self.unread_paths
            .extend(self.diagnostics.retain_unread(paths));
        self.diagnostics.clear_read_paths();
    }

    fn append_text(&mut self, value: &Value) {
        let is_full = |chunk: &String| chunk.len() > TEXT_CHUNK_BYTES - TEXT_CHUNK_RESERVE_BYTES;
        if self.text_chunks.last().is_none_or(is_full) {
            let chunk = String::with_capacity(TEXT_CHUNK_BYTES);
            self.text_chunks.push(chunk);
        }
        let comma = if self.item_count > 0 { "," } else { "" };
        if let Some(chunk) = self.text_chunks.last_mut() {
            let written = write!(chunk, "{comma}{value}");
            debug_assert!(written.is_ok(), "writing to memory does not fail");
        }
    }
}

/// What to record while settings are read, besides the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadOptions {
    /// Record the paths of unknown values, for [`Settings::unknown_paths`](super::Settings::unknown_paths).
    pub strict: bool,
    /// Record the text of the long lists, for [`Settings::digest`](super::Settings::digest).
    pub compute_digest: bool,
}

/// Converts the items of the long lists while a settings document is read.
pub struct LongLists {
    pub(super) options: ReadOptions,
    pub(super) class_notes: ListNotes,
    pub(super) classes: ListedClasses,
    pub(super) tenant_notes: ListNotes,
    pub(super) tenants: ListedTenants,
    /// Receives the entries if the document replaces settings in force. The tables above then hold only the first
    /// class and the entries that are out of range.
    pub(super) replacement: Option<Box<ListReplacement>>,
}

impl LongLists {
    /// The paths of the lists inside the settings.
    pub const PATHS: [&'static str; 2] = [PROFILES, CUSTOMERS];

    /// Creates the reader of a document that replaces nothing.
    pub fn new(options: ReadOptions) -> LongLists {
        LongLists {
            options,
            class_notes: ListNotes::new(PROFILES, options),
            classes: ListedClasses::default(),
            tenant_notes: ListNotes::new(CUSTOMERS, options),
            tenants: ListedTenants::default(),
            replacement: None,
        }
    }

    /// Creates the reader of a document that replaces settings in force, for [`ActiveSettings::change_to`] of the same
    /// `base`.
    pub fn replacing(options: ReadOptions, base: &ActiveSettings) -> LongLists {
        LongLists {
            replacement: Some(Box::new(ListReplacement::new(base))),
            ..LongLists::new(options)
        }
    }

    /// Begins one of [`LongLists::PATHS`]. If the document has the list twice, this discards the items of the earlier
    /// one.
    pub fn begin(&mut self, list: &str) {
        if list == PROFILES {
            self.class_notes = ListNotes::new(PROFILES, self.options);
            self.classes = ListedClasses::default();
            if let Some(replacement) = &mut self.replacement {
                replacement.begin_classes();
            }
        } else {
            self.tenant_notes = ListNotes::new(CUSTOMERS, self.options);
            self.tenants = ListedTenants::default();
            if let Some(replacement) = &mut self.replacement {
                replacement.begin_tenants();
            }
        }
    }

    /// Reads the next item of a list.
    pub fn item(&mut self, list: &str, value: &Value) {
        if list == PROFILES {
            self.read_class(value);
        } else {
            self.read_tenant(value);
        }
    }

    fn read_class(&mut self, value: &Value) {
        let notes = &mut self.class_notes;
        if let Some(replacement) = &mut self.replacement {
            let class = notes.read_item(value, self.options, |entry| {
                NamedClass::read(entry, |name| !replacement.has_class(name))
            });
            replacement.set_class(&class);
            self.classes.push_for_validation(class);
            return;
        }
        let names = &mut self.classes.names;
        let is_new = |name: &str| names.len() == names.get_or_insert(name) as usize;
        let class = notes.read_item(value, self.options, |entry| NamedClass::read(entry, is_new));
        self.classes.push(class);
    }

    fn read_tenant(&mut self, value: &Value) {
        let notes = &mut self.tenant_notes;
        let tenant = notes.read_item(value, self.options, NamedTenant::read);
        match &mut self.replacement {
            Some(replacement) => {
                replacement.set_tenant(&tenant);
                self.tenants.push_for_validation(tenant);
            }
            None => self.tenants.push(tenant),
        }
    }
}

impl ListSink for LongLists {
    fn list_paths(&self) -> &[&'static str] {
        &LongLists::PATHS
    }

    fn begin(&mut self, list: &'static str) {
        LongLists::begin(self, list);
    }

    fn item(&mut self, list: &'static str, item: Value) {
        LongLists::item(self, list, &item);
    }
}
