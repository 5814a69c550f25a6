//! The backends as a proxy holds them: a record of each, and what every look over all of them reads, in the order
//! of their numbers and close together. What is added up is added in that order, as rounding tells on decisions.
//! No decisions.

use super as rules;
use super::state::{EndpointRecord, RandomSource};
use crate::interface::{Backend, BackendId, BackendState, Config, KindId, Micros, Time, ZoneId};
use std::collections::BTreeSet;

/// What each look over all backends reads of one: what its record says, and what was last solved for it.
#[derive(Clone, Copy, Default)]
pub(crate) struct EndpointLoad {
    pub kind: KindId,
    pub zone: ZoneId,
    /// Which of [`EndpointTable::groups`] and which of [`EndpointTable::zones`] it is in.
    pub group_index: u32,
    pub zone_index: u32,
    /// Its place among its group's weights.
    weight_index: u32,
    /// How many attempts of this proxy it holds.
    pub in_flight: u32,
    /// ... and how many of those crowd the others.
    counted_in_flight: u32,
    /// Listed as ready, and not taken out by hand.
    pub available: bool,
    pub silent: bool,
    pub ejected: bool,
    /// The part of its answers that were none of its errors.
    pub success_share: f64,
    /// Its ramp is over from then on.
    pub slow_start_ends_at: Time,
    /// From then on it is neither full nor was it cold in the fall window.
    unrestricted_at: Time,
    restricted: bool,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub readiness: f64,
    /// How many attempts of this proxy it may hold.
    pub capacity: f64,
    /// This proxy's part of what all proxies send it.
    pub proxy_share: f64,
    /// Its place in the turns that proxies take where a part is less than one: evenly from 0 to 1 over all.
    pub rotation_offset: f64,
}

/// The backends of one kind.
pub(crate) struct ClassGroup {
    pub kind: KindId,
    /// Those of the kind, by their places in the order of numbers.
    members: Vec<u32>,
    /// The weight of each in a draw; 0 for what may not be drawn.
    weights: Vec<f64>,
    /// How many have one.
    drawable: usize,
}

/// All backends, by number.
#[derive(Default)]
pub(crate) struct EndpointTable {
    ids: Vec<BackendId>,
    records: Vec<EndpointRecord>,
    pub loads: Vec<EndpointLoad>,
    /// Each one's part of this proxy's traffic.
    pub traffic_share: Vec<f64>,
    /// Its part of this proxy's slice of its kind.
    pub subset_share: Vec<f64>,
    address_hashes: Vec<u64>,
    /// All by mark, an order that all proxies share.
    pub by_address_hash: Vec<u32>,
    /// By kind, those that have backends.
    pub groups: Vec<ClassGroup>,
    /// Zones that have backends, in their order.
    pub zones: Vec<ZoneId>,
    /// Taken out by hand: no list, trial or last resort changes that.
    disabled: BTreeSet<BackendId>,
    /// Records that may have changed since their load was read from them.
    outdated: Vec<u32>,
    /// Those that hold attempts.
    pub with_in_flight: BTreeSet<u32>,
    pub ejected: BTreeSet<u32>,
    /// Those that each draw has to look at anew, as time alone may change their weight: cold or full of late.
    pub restricted: BTreeSet<u32>,
    /// Backends that were silent at the last look.
    silent: Vec<BackendId>,
    /// Gone from the list, but still weighing.
    removed: Vec<BackendId>,
    /// Attempts out on backends in use.
    in_flight: u64,
    /// The position, and of how many, that coins were given for.
    offsets_assigned_for: (u32, u32),
}

impl EndpointTable {
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Its place in the order of numbers.
    pub fn position(&self, id: BackendId) -> Option<usize> {
        self.ids.binary_search(&id).ok()
    }

    pub fn id(&self, at: usize) -> BackendId {
        self.ids[at]
    }

    pub fn record_at(&self, at: usize) -> &EndpointRecord {
        &self.records[at]
    }

    pub fn get(&self, id: BackendId) -> Option<&EndpointRecord> {
        self.position(id).map(|at| &self.records[at])
    }

    /// To change; its load follows.
    pub fn get_mut(&mut self, id: BackendId) -> Option<&mut EndpointRecord> {
        self.position(id).map(|at| self.record_at_mut(at))
    }

    pub fn record_at_mut(&mut self, at: usize) -> &mut EndpointRecord {
        self.outdated.push(at as u32);
        &mut self.records[at]
    }

    pub fn records(&self) -> impl Iterator<Item = (BackendId, &EndpointRecord)> {
        self.ids.iter().copied().zip(self.records.iter())
    }

    /// Nothing more for it until shares are solved anew.
    pub fn suspend(&mut self, id: BackendId) {
        if let Some(at) = self.position(id) {
            self.loads[at].readiness = 0.0;
            self.outdated.push(at as u32);
        }
    }

    /// Forgets what was known of it but its line, what it holds and what it was sent.
    pub fn reset(&mut self, id: BackendId, back: Option<Time>) {
        let Some(at) = self.position(id) else { return };
        let p = self.record_at_mut(at);
        let (entry, spent, out) = (
            std::mem::take(&mut p.entry),
            std::mem::take(&mut p.recent_work),
            p.in_flight,
        );
        *p = EndpointRecord {
            entry,
            recent_work: spent,
            in_flight: out,
            ..EndpointRecord::default()
        };
        back.into_iter().for_each(|back| p.enabled_at = Some(back));
        let l = &mut self.loads[at];
        (l.readiness, l.capacity, l.proxy_share, l.rotation_offset) = (0.0, 0.0, 0.0, 0.0);
        (self.traffic_share[at], self.subset_share[at]) = (0.0, 0.0);
    }

    pub fn disable(&mut self, id: BackendId) {
        self.disabled.insert(id);
        self.suspend(id);
    }

    pub fn enable(&mut self, id: BackendId, since: Time) {
        self.disabled.remove(&id);
        self.reset(id, Some(since));
    }

    /// Listed as ready, and not taken out by hand.
    pub fn is_available(&self, p: &EndpointRecord) -> bool {
        p.entry.state == BackendState::Ready && !self.disabled.contains(&p.entry.id)
    }

    /// Which group has the kind, if any does.
    pub fn group_index(&self, kind: KindId) -> Option<usize> {
        self.groups.binary_search_by_key(&kind, |g| g.kind).ok()
    }

    /// All, with what is kept of each.
    pub fn loads_and_records(
        &mut self,
    ) -> impl Iterator<Item = (&mut EndpointLoad, &EndpointRecord)> {
        self.loads.iter_mut().zip(self.records.iter())
    }

    /// Attempts out on those in use; what drains, is gone or out of use crowds none of the others.
    pub fn in_flight(&mut self, now: Time, cfg: &Config) -> f64 {
        self.refresh(now, cfg);
        self.in_flight as f64
    }

    /// These are silent from now on, and no others.
    pub fn set_silent(&mut self, silent: Vec<BackendId>) {
        for id in std::mem::take(&mut self.silent) {
            self.get_mut(id).into_iter().for_each(|p| p.silent = false);
        }
        for id in &silent {
            self.get_mut(*id).into_iter().for_each(|p| p.silent = true);
        }
        self.silent = silent;
    }

    /// Reads the loads of what may have changed.
    pub fn refresh(&mut self, now: Time, cfg: &Config) {
        while let Some(at) = self.outdated.pop() {
            self.refresh_load(at as usize, cfg);
            self.update_weight(at as usize, now);
        }
    }

    /// The rules changed, on which loads depend.
    pub fn mark_all_outdated(&mut self) {
        self.outdated = (0..self.len() as u32).collect();
    }

    /// Gives those their coins that have none of this position yet.
    pub fn assign_rotation_offsets(&mut self, position: u32, proxies: u32) {
        let anew = self.offsets_assigned_for != (position, proxies);
        self.offsets_assigned_for = (position, proxies);
        for (l, mark) in self
            .loads
            .iter_mut()
            .zip(&self.address_hashes)
            .filter(|(l, _)| anew || l.rotation_offset == 0.0)
        {
            l.rotation_offset = rules::coin(*mark, position, proxies);
        }
    }

    /// Reckons anew what follows from shares that were solved.
    pub fn update_weights(&mut self, now: Time) {
        (0..self.len()).for_each(|at| self.update_weight(at, now));
    }

    /// What its record says.
    fn refresh_load(&mut self, at: usize, cfg: &Config) {
        let offered = self.is_available(&self.records[at]);
        let (p, l) = (&self.records[at], &mut self.loads[at]);
        l.success_share = 1.0 - p.error_share;
        l.silent = p.silent;
        l.available = offered;
        let boot = p.entry.started_at.max(p.enabled_at);
        l.slow_start_ends_at = boot.map_or(Time(0), |boot| boot + Micros(cfg.slow_start.0.max(1)));
        let warm_before = boot.map_or(Time(0), |_| l.slow_start_ends_at + cfg.overload_window);
        l.unrestricted_at = p.overloaded_until.max(warm_before);
        let (n, ejected) = (at as u32, p.ejected_until.is_some());
        member(
            &mut self.with_in_flight,
            n,
            l.in_flight > 0,
            p.in_flight > 0,
        );
        member(&mut self.ejected, n, l.ejected, ejected);
        (l.in_flight, l.ejected) = (p.in_flight, ejected);
    }

    /// What follows from its load.
    fn update_weight(&mut self, at: usize, now: Time) {
        let l = &mut self.loads[at];
        let used = rules::crowding(l);
        self.in_flight = self.in_flight + u64::from(used) - u64::from(l.counted_in_flight);
        l.counted_in_flight = used;
        let odd = now < l.unrestricted_at;
        member(&mut self.restricted, at as u32, l.restricted, odd);
        l.restricted = odd;
        let weight = if !odd && self.fits(at, false) {
            self.weight(at)
        } else {
            0.0
        };
        self.set_weight(at, weight);
    }

    /// Whether it may hold one more, of half of its room or all.
    pub fn fits(&self, at: usize, half: bool) -> bool {
        rules::fits(&self.loads[at], half)
    }

    /// What it weighs in a draw: its slice, and for the rest a last resort.
    pub fn weight(&self, at: usize) -> f64 {
        rules::weight(self.subset_share[at], self.traffic_share[at])
    }

    /// Lets it weigh so much.
    fn set_weight(&mut self, at: usize, weight: f64) {
        let l = &self.loads[at];
        let g = &mut self.groups[l.group_index as usize];
        let old = &mut g.weights[l.weight_index as usize];
        g.drawable = g.drawable + usize::from(weight > 0.0) - usize::from(*old > 0.0);
        *old = weight;
    }

    /// Lets it weigh so much in the next draw only.
    pub fn override_weight(&mut self, at: usize, weight: f64) {
        self.set_weight(at, weight);
        self.outdated.push(at as u32);
    }

    /// Whether what is kept beside the records says what they do, but for those that are to be read again.
    pub fn is_consistent(&self) -> bool {
        let stale: BTreeSet<u32> = self.outdated.iter().copied().collect();
        let mut all = self.records.iter().zip(&self.loads).enumerate();
        let same = all.all(|(at, (p, l))| {
            let (n, g) = (at as u32, &self.groups[l.group_index as usize]);
            let placed = p.entry.id == self.ids[at]
                && (p.entry.kind, p.entry.zone, p.entry.address_hash)
                    == (l.kind, l.zone, self.address_hashes[at])
                && (g.kind, self.zones[l.zone_index as usize]) == (l.kind, l.zone)
                && g.members[l.weight_index as usize] == n;
            let read = (
                p.in_flight,
                p.silent,
                p.ejected_until.is_some(),
                self.is_available(p),
                1.0 - p.error_share,
            ) == (
                l.in_flight,
                l.silent,
                l.ejected,
                l.available,
                l.success_share,
            ) && l.counted_in_flight == rules::crowding(l)
                && g.weights[l.weight_index as usize]
                    == if !l.restricted && self.fits(at, false) {
                        self.weight(at)
                    } else {
                        0.0
                    };
            let sets = (l.in_flight > 0, l.ejected, l.restricted)
                == (
                    self.with_in_flight.contains(&n),
                    self.ejected.contains(&n),
                    self.restricted.contains(&n),
                );
            placed && sets && (read || stale.contains(&n))
        });
        let counted: u64 = self
            .loads
            .iter()
            .map(|l| u64::from(l.counted_in_flight))
            .sum();
        let open = |g: &ClassGroup| g.drawable == g.weights.iter().filter(|w| **w > 0.0).count();
        let marks = self
            .by_address_hash
            .iter()
            .map(|at| (self.address_hashes[*at as usize], *at));
        same && counted == self.in_flight && self.groups.iter().all(open) && marks.is_sorted()
    }

    /// Which kinds have one to draw.
    pub fn drawable_kinds(&self) -> impl Iterator<Item = (usize, KindId)> + '_ {
        self.groups
            .iter()
            .enumerate()
            .filter(|(_, g)| g.drawable > 0)
            .map(|(n, g)| (n, g.kind))
    }

    /// One of the group's, each with its weight.
    pub fn draw(&self, group: usize, dice: &mut RandomSource) -> Option<BackendId> {
        let g = &self.groups[group];
        let at = dice.pick_weight(&g.weights)?;
        Some(self.ids[g.members[at] as usize])
    }

    /// Takes lines of a list; `whole`: what it does not hold is gone. Then drops what is gone, unless it is `kept`.
    pub fn apply_update(
        &mut self,
        whole: bool,
        list: Vec<Backend>,
        kept: impl Fn(&EndpointRecord) -> bool,
    ) {
        if whole {
            self.drop_absent(&list);
        }
        let (mut fresh, mut moved) = (Vec::new(), false);
        let mut next = 0; // lists mostly stand in the order of numbers
        for entry in list {
            let at = match self.ids.get(next) {
                Some(id) if *id == entry.id => Some(next),
                _ => self.position(entry.id),
            };
            match at {
                Some(at) => {
                    moved |= self.update(at, entry);
                    next = at + 1;
                }
                None => fresh.push(entry),
            }
        }
        fresh.sort_by_key(|entry| entry.id);
        fresh.dedup_by(|later, kept| {
            let same = later.id == kept.id;
            if same {
                std::mem::swap(later, kept); // of several on one backend the last counts
            }
            same
        });
        fresh.retain(|entry| entry.state != BackendState::Removed);
        let gone: Vec<BackendId> = std::mem::take(&mut self.removed);
        let (mut left, mut out) = (Vec::new(), Vec::new());
        for id in gone {
            match self.position(id).map(|at| (at, &self.records[at])) {
                Some((_, p)) if p.entry.state == BackendState::Removed && kept(p) => left.push(id),
                Some((at, p)) if p.entry.state == BackendState::Removed => out.push(at),
                _ => {}
            }
        }
        left.sort_unstable();
        left.dedup();
        self.removed = left;
        if moved || !out.is_empty() || !fresh.is_empty() {
            self.remove(&out);
            self.add(fresh);
            self.regroup();
        }
    }

    fn drop_absent(&mut self, list: &[Backend]) {
        let mut named: Vec<BackendId> = list.iter().map(|b| b.id).collect();
        named.sort_unstable();
        let mut named = named.into_iter().peekable();
        for at in 0..self.len() {
            let id = self.ids[at];
            while named.next_if(|n| *n < id).is_some() {}
            if named.peek() != Some(&id) && self.records[at].entry.state != BackendState::Removed {
                self.record_at_mut(at).entry.state = BackendState::Removed;
                self.removed.push(id);
            }
        }
    }

    /// Takes a line of one that is known; whether it now stands elsewhere.
    fn update(&mut self, at: usize, entry: Backend) -> bool {
        if self.records[at].entry == entry {
            return false;
        }
        if self.records[at].entry.started_at != entry.started_at {
            // A restarted process has nothing in common with the old one but its address.
            self.reset(entry.id, None);
        }
        if entry.state == BackendState::Removed {
            self.removed.push(entry.id);
        }
        let l = &mut self.loads[at];
        let moved = (l.kind, l.zone, self.address_hashes[at])
            != (entry.kind, entry.zone, entry.address_hash);
        if self.address_hashes[at] != entry.address_hash {
            l.rotation_offset = 0.0;
        }
        (l.kind, l.zone, self.address_hashes[at]) = (entry.kind, entry.zone, entry.address_hash);
        self.record_at_mut(at).entry = entry;
        moved
    }

    fn remove(&mut self, out: &[usize]) {
        if out.is_empty() {
            return;
        }
        let mut stay = vec![true; self.len()];
        out.iter().for_each(|at| stay[*at] = false);
        // By old place: the new one.
        let before = stay.iter().scan(0, |to, stay| {
            Some(std::mem::replace(to, *to + u32::from(*stay)))
        });
        let moved: Vec<u32> = before.collect();
        fn sift<T>(all: &mut Vec<T>, stay: &[bool]) {
            let mut stay = stay.iter();
            all.retain(|_| stay.next().is_some_and(|s| *s));
        }
        sift(&mut self.ids, &stay);
        sift(&mut self.records, &stay);
        sift(&mut self.loads, &stay);
        sift(&mut self.traffic_share, &stay);
        sift(&mut self.subset_share, &stay);
        sift(&mut self.address_hashes, &stay);
        self.by_address_hash.retain(|at| stay[*at as usize]);
        self.by_address_hash
            .iter_mut()
            .for_each(|at| *at = moved[*at as usize]);
    }

    fn add(&mut self, fresh: Vec<Backend>) {
        let last = self.ids.last().copied();
        let behind = fresh.first().map(|entry| entry.id) > last;
        // A whole fleet comes at once: room for it and not for twice as many.
        let more = fresh.len();
        self.ids.reserve(more);
        self.records.reserve(more);
        self.loads.reserve(more);
        self.traffic_share.reserve(more);
        self.subset_share.reserve(more);
        self.address_hashes.reserve(more);
        self.by_address_hash.reserve(more);
        for entry in fresh {
            let (id, kind, zone) = (entry.id, entry.kind, entry.zone);
            self.by_address_hash.push(self.ids.len() as u32);
            self.ids.push(id);
            self.address_hashes.push(entry.address_hash);
            self.loads.push(EndpointLoad {
                kind,
                zone,
                ..EndpointLoad::default()
            });
            self.traffic_share.push(0.0);
            self.subset_share.push(0.0);
            self.records.push(EndpointRecord {
                entry,
                ..EndpointRecord::default()
            });
        }
        if !behind {
            self.sort();
        }
    }

    /// Puts all in the order of their numbers.
    fn sort(&mut self) {
        let mut from: Vec<usize> = (0..self.len()).collect();
        from.sort_by_key(|at| self.ids[*at]);
        let mut records: Vec<Option<EndpointRecord>> = std::mem::take(&mut self.records)
            .into_iter()
            .map(Some)
            .collect();
        self.records = from.iter().filter_map(|at| records[*at].take()).collect();
        fn sorted<T: Copy>(all: &mut Vec<T>, from: &[usize]) {
            *all = from.iter().map(|at| all[*at]).collect();
        }
        sorted(&mut self.ids, &from);
        sorted(&mut self.loads, &from);
        sorted(&mut self.traffic_share, &from);
        sorted(&mut self.subset_share, &from);
        sorted(&mut self.address_hashes, &from);
        self.by_address_hash = (0..self.len() as u32).collect();
    }

    /// Finds the groups, zones and order anew, after places changed.
    fn regroup(&mut self) {
        let (marks, ids) = (&self.address_hashes, &self.ids);
        self.by_address_hash
            .sort_by_key(|at| (marks[*at as usize], ids[*at as usize]));
        let group = |kind| ClassGroup {
            kind,
            members: Vec::new(),
            weights: Vec::new(),
            drawable: 0,
        };
        self.groups = distinct(self.loads.iter().map(|l| l.kind))
            .into_iter()
            .map(group)
            .collect();
        self.zones = distinct(self.loads.iter().map(|l| l.zone));
        let (mut group, mut zone) = (0, 0);
        for (at, l) in self.loads.iter_mut().enumerate() {
            if self.groups[group].kind != l.kind {
                group = self.groups.partition_point(|g| g.kind < l.kind);
            }
            if self.zones[zone] != l.zone {
                zone = self.zones.partition_point(|z| *z < l.zone);
            }
            let g = &mut self.groups[group];
            (l.group_index, l.zone_index, l.weight_index) =
                (group as u32, zone as u32, g.members.len() as u32);
            (l.counted_in_flight, l.in_flight, l.ejected, l.restricted) = (0, 0, false, false);
            g.members.push(at as u32);
            g.weights.push(0.0);
        }
        self.in_flight = 0;
        self.with_in_flight.clear();
        self.ejected.clear();
        self.restricted.clear();
        self.outdated = (0..self.len() as u32).collect();
    }
}

/// Puts it into the set or takes it out, where that changes.
fn member(set: &mut BTreeSet<u32>, n: u32, was: bool, is: bool) {
    if is && !was {
        set.insert(n);
    } else if was && !is {
        set.remove(&n);
    }
}

/// Each that there is, in order.
fn distinct<T: Ord>(all: impl Iterator<Item = T>) -> Vec<T> {
    let mut each: Vec<T> = all.collect();
    each.sort_unstable();
    each.dedup();
    each
}
