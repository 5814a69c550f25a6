//! The backends as a proxy holds them: a record of each, and what every look over all of them reads, in the order
//! of their numbers and close together. What is added up is added in that order, as rounding tells on decisions.
//! No decisions.

use super as rules;
use super::state::{Dice, Record};
use crate::interface::{Backend, BackendId, BackendState, Config, KindId, Micros, Time, ZoneId};
use std::collections::BTreeSet;

/// What each look over all backends reads of one: what its record says, and what was last solved for it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Load {
    pub kind: KindId,
    pub zone: ZoneId,
    /// Which of [`Backends::groups`] and which of [`Backends::zones`] it is in.
    pub group: u32,
    pub place: u32,
    /// Its place among its group's weights.
    weigh_at: u32,
    /// How many attempts of this proxy it holds.
    pub out: u32,
    /// ... and how many of those crowd the others.
    counted: u32,
    /// Listed as ready, and not taken out by hand.
    pub offered: bool,
    pub silent: bool,
    pub ejected: bool,
    /// The part of its answers that were none of its errors.
    pub health: f64,
    /// Its ramp is over from then on.
    pub warm_at: Time,
    /// From then on it is neither full nor was it cold in the fall window.
    plain_at: Time,
    odd: bool,
    /// From 0 (send nothing) to 1 (healthy and warm).
    pub ready: f64,
    /// How many attempts of this proxy it may hold.
    pub room: f64,
    /// This proxy's part of what all proxies send it.
    pub due: f64,
    /// Its place in the turns that proxies take where a part is less than one: evenly from 0 to 1 over all.
    pub coin: f64,
}

/// The backends of one kind.
pub(crate) struct Group {
    pub kind: KindId,
    /// Those of the kind, by their places in the order of numbers.
    members: Vec<u32>,
    /// The weight of each in a draw; 0 for what may not be drawn.
    weights: Vec<f64>,
    /// How many have one.
    open: usize,
}

/// All backends, by number.
#[derive(Default)]
pub(crate) struct Backends {
    ids: Vec<BackendId>,
    records: Vec<Record>,
    pub loads: Vec<Load>,
    /// Each one's part of this proxy's traffic.
    pub pull: Vec<f64>,
    /// Its part of this proxy's slice of its kind.
    pub slice: Vec<f64>,
    marks: Vec<u64>,
    /// All by mark, an order that all proxies share.
    pub order: Vec<u32>,
    /// By kind, those that have backends.
    pub groups: Vec<Group>,
    /// Zones that have backends, in their order.
    pub zones: Vec<ZoneId>,
    /// Taken out by hand: no list, trial or last resort changes that.
    withdrawn: BTreeSet<BackendId>,
    /// Records that may have changed since their load was read from them.
    stale: Vec<u32>,
    /// Those that hold attempts.
    pub busy: BTreeSet<u32>,
    pub ejected: BTreeSet<u32>,
    /// Those that each draw has to look at anew, as time alone may change their weight: cold or full of late.
    pub odd: BTreeSet<u32>,
    /// Backends that were silent at the last look.
    silent: Vec<BackendId>,
    /// Gone from the list, but still weighing.
    gone: Vec<BackendId>,
    /// Attempts out on backends in use.
    in_use: u64,
    /// The position, and of how many, that coins were given for.
    seated: (u32, u32),
}

impl Backends {
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Its place in the order of numbers.
    pub fn find(&self, id: BackendId) -> Option<usize> {
        self.ids.binary_search(&id).ok()
    }

    pub fn id(&self, at: usize) -> BackendId {
        self.ids[at]
    }

    pub fn record(&self, at: usize) -> &Record {
        &self.records[at]
    }

    pub fn get(&self, id: BackendId) -> Option<&Record> {
        self.find(id).map(|at| &self.records[at])
    }

    /// To change; its load follows.
    pub fn get_mut(&mut self, id: BackendId) -> Option<&mut Record> {
        self.find(id).map(|at| self.record_mut(at))
    }

    pub fn record_mut(&mut self, at: usize) -> &mut Record {
        self.stale.push(at as u32);
        &mut self.records[at]
    }

    pub fn records(&self) -> impl Iterator<Item = (BackendId, &Record)> {
        self.ids.iter().copied().zip(self.records.iter())
    }

    /// Nothing more for it until shares are solved anew.
    pub fn rest(&mut self, id: BackendId) {
        if let Some(at) = self.find(id) {
            self.loads[at].ready = 0.0;
            self.stale.push(at as u32);
        }
    }

    /// Forgets what was known of it but its line, what it holds and what it was sent.
    pub fn renew(&mut self, id: BackendId, back: Option<Time>) {
        let Some(at) = self.find(id) else { return };
        let p = self.record_mut(at);
        let (entry, spent, out) = (
            std::mem::take(&mut p.entry),
            std::mem::take(&mut p.spent),
            p.out,
        );
        *p = Record {
            entry,
            spent,
            out,
            ..Record::default()
        };
        back.into_iter().for_each(|back| p.back = Some(back));
        let l = &mut self.loads[at];
        (l.ready, l.room, l.due, l.coin) = (0.0, 0.0, 0.0, 0.0);
        (self.pull[at], self.slice[at]) = (0.0, 0.0);
    }

    pub fn withdraw(&mut self, id: BackendId) {
        self.withdrawn.insert(id);
        self.rest(id);
    }

    pub fn restore(&mut self, id: BackendId, since: Time) {
        self.withdrawn.remove(&id);
        self.renew(id, Some(since));
    }

    /// Listed as ready, and not taken out by hand.
    pub fn offered(&self, p: &Record) -> bool {
        p.entry.state == BackendState::Ready && !self.withdrawn.contains(&p.entry.id)
    }

    /// Which group has the kind, if any does.
    pub fn group(&self, kind: KindId) -> Option<usize> {
        self.groups.binary_search_by_key(&kind, |g| g.kind).ok()
    }

    /// All, with what is kept of each.
    pub fn each(&mut self) -> impl Iterator<Item = (&mut Load, &Record)> {
        self.loads.iter_mut().zip(self.records.iter())
    }

    /// Attempts out on those in use; what drains, is gone or out of use crowds none of the others.
    pub fn in_use(&mut self, now: Time, cfg: &Config) -> f64 {
        self.settle(now, cfg);
        self.in_use as f64
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
    pub fn settle(&mut self, now: Time, cfg: &Config) {
        while let Some(at) = self.stale.pop() {
            self.read(at as usize, cfg);
            self.reckon(at as usize, now);
        }
    }

    /// The rules changed, on which loads depend.
    pub fn retune(&mut self) {
        self.stale = (0..self.len() as u32).collect();
    }

    /// Gives those their coins that have none of this position yet.
    pub fn seat(&mut self, position: u32, proxies: u32) {
        let anew = self.seated != (position, proxies);
        self.seated = (position, proxies);
        for (l, mark) in self
            .loads
            .iter_mut()
            .zip(&self.marks)
            .filter(|(l, _)| anew || l.coin == 0.0)
        {
            l.coin = rules::coin(*mark, position, proxies);
        }
    }

    /// Reckons anew what follows from shares that were solved.
    pub fn reckon_all(&mut self, now: Time) {
        (0..self.len()).for_each(|at| self.reckon(at, now));
    }

    /// What its record says.
    fn read(&mut self, at: usize, cfg: &Config) {
        let offered = self.offered(&self.records[at]);
        let (p, l) = (&self.records[at], &mut self.loads[at]);
        l.health = 1.0 - p.errors;
        l.silent = p.silent;
        l.offered = offered;
        let boot = p.entry.started_at.max(p.back);
        l.warm_at = boot.map_or(Time(0), |boot| boot + Micros(cfg.slow_start.0.max(1)));
        let warm_before = boot.map_or(Time(0), |_| l.warm_at + cfg.overload_window);
        l.plain_at = p.full_until.max(warm_before);
        let (n, ejected) = (at as u32, p.ejected.is_some());
        member(&mut self.busy, n, l.out > 0, p.out > 0);
        member(&mut self.ejected, n, l.ejected, ejected);
        (l.out, l.ejected) = (p.out, ejected);
    }

    /// What follows from its load.
    fn reckon(&mut self, at: usize, now: Time) {
        let l = &mut self.loads[at];
        let used = rules::crowding(l);
        self.in_use = self.in_use + u64::from(used) - u64::from(l.counted);
        l.counted = used;
        let odd = now < l.plain_at;
        member(&mut self.odd, at as u32, l.odd, odd);
        l.odd = odd;
        let weight = if !odd && self.fits(at, false) {
            self.weight(at)
        } else {
            0.0
        };
        self.weigh(at, weight);
    }

    /// Whether it may hold one more, of half of its room or all.
    pub fn fits(&self, at: usize, half: bool) -> bool {
        rules::fits(&self.loads[at], half)
    }

    /// What it weighs in a draw: its slice, and for the rest a last resort.
    pub fn weight(&self, at: usize) -> f64 {
        rules::weight(self.slice[at], self.pull[at])
    }

    /// Lets it weigh so much.
    fn weigh(&mut self, at: usize, weight: f64) {
        let l = &self.loads[at];
        let g = &mut self.groups[l.group as usize];
        let old = &mut g.weights[l.weigh_at as usize];
        g.open = g.open + usize::from(weight > 0.0) - usize::from(*old > 0.0);
        *old = weight;
    }

    /// Lets it weigh so much in the next draw only.
    pub fn weigh_once(&mut self, at: usize, weight: f64) {
        self.weigh(at, weight);
        self.stale.push(at as u32);
    }

    /// Whether what is kept beside the records says what they do, but for those that are to be read again.
    pub fn sound(&self) -> bool {
        let stale: BTreeSet<u32> = self.stale.iter().copied().collect();
        let mut all = self.records.iter().zip(&self.loads).enumerate();
        let same = all.all(|(at, (p, l))| {
            let (n, g) = (at as u32, &self.groups[l.group as usize]);
            let placed = p.entry.id == self.ids[at]
                && (p.entry.kind, p.entry.zone, p.entry.address_hash)
                    == (l.kind, l.zone, self.marks[at])
                && (g.kind, self.zones[l.place as usize]) == (l.kind, l.zone)
                && g.members[l.weigh_at as usize] == n;
            let read = (
                p.out,
                p.silent,
                p.ejected.is_some(),
                self.offered(p),
                1.0 - p.errors,
            ) == (l.out, l.silent, l.ejected, l.offered, l.health)
                && l.counted == rules::crowding(l)
                && g.weights[l.weigh_at as usize]
                    == if !l.odd && self.fits(at, false) {
                        self.weight(at)
                    } else {
                        0.0
                    };
            let sets = (l.out > 0, l.ejected, l.odd)
                == (
                    self.busy.contains(&n),
                    self.ejected.contains(&n),
                    self.odd.contains(&n),
                );
            placed && sets && (read || stale.contains(&n))
        });
        let counted: u64 = self.loads.iter().map(|l| u64::from(l.counted)).sum();
        let open = |g: &Group| g.open == g.weights.iter().filter(|w| **w > 0.0).count();
        let marks = self.order.iter().map(|at| (self.marks[*at as usize], *at));
        same && counted == self.in_use && self.groups.iter().all(open) && marks.is_sorted()
    }

    /// Which kinds have one to draw.
    pub fn open_kinds(&self) -> impl Iterator<Item = (usize, KindId)> + '_ {
        self.groups
            .iter()
            .enumerate()
            .filter(|(_, g)| g.open > 0)
            .map(|(n, g)| (n, g.kind))
    }

    /// One of the group's, each with its weight.
    pub fn pick(&self, group: usize, dice: &mut Dice) -> Option<BackendId> {
        let g = &self.groups[group];
        let at = dice.pick_weight(&g.weights)?;
        Some(self.ids[g.members[at] as usize])
    }

    /// Takes lines of a list; `whole`: what it does not hold is gone. Then drops what is gone, unless it is `kept`.
    pub fn take(&mut self, whole: bool, list: Vec<Backend>, kept: impl Fn(&Record) -> bool) {
        if whole {
            self.drop_absent(&list);
        }
        let (mut fresh, mut moved) = (Vec::new(), false);
        let mut next = 0; // lists mostly stand in the order of numbers
        for entry in list {
            let at = match self.ids.get(next) {
                Some(id) if *id == entry.id => Some(next),
                _ => self.find(entry.id),
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
        let gone: Vec<BackendId> = std::mem::take(&mut self.gone);
        let (mut left, mut out) = (Vec::new(), Vec::new());
        for id in gone {
            match self.find(id).map(|at| (at, &self.records[at])) {
                Some((_, p)) if p.entry.state == BackendState::Removed && kept(p) => left.push(id),
                Some((at, p)) if p.entry.state == BackendState::Removed => out.push(at),
                _ => {}
            }
        }
        left.sort_unstable();
        left.dedup();
        self.gone = left;
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
                self.record_mut(at).entry.state = BackendState::Removed;
                self.gone.push(id);
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
            self.renew(entry.id, None);
        }
        if entry.state == BackendState::Removed {
            self.gone.push(entry.id);
        }
        let l = &mut self.loads[at];
        let moved =
            (l.kind, l.zone, self.marks[at]) != (entry.kind, entry.zone, entry.address_hash);
        if self.marks[at] != entry.address_hash {
            l.coin = 0.0;
        }
        (l.kind, l.zone, self.marks[at]) = (entry.kind, entry.zone, entry.address_hash);
        self.record_mut(at).entry = entry;
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
        sift(&mut self.pull, &stay);
        sift(&mut self.slice, &stay);
        sift(&mut self.marks, &stay);
        self.order.retain(|at| stay[*at as usize]);
        self.order
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
        self.pull.reserve(more);
        self.slice.reserve(more);
        self.marks.reserve(more);
        self.order.reserve(more);
        for entry in fresh {
            let (id, kind, zone) = (entry.id, entry.kind, entry.zone);
            self.order.push(self.ids.len() as u32);
            self.ids.push(id);
            self.marks.push(entry.address_hash);
            self.loads.push(Load {
                kind,
                zone,
                ..Load::default()
            });
            self.pull.push(0.0);
            self.slice.push(0.0);
            self.records.push(Record {
                entry,
                ..Record::default()
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
        let mut records: Vec<Option<Record>> = std::mem::take(&mut self.records)
            .into_iter()
            .map(Some)
            .collect();
        self.records = from.iter().filter_map(|at| records[*at].take()).collect();
        fn sorted<T: Copy>(all: &mut Vec<T>, from: &[usize]) {
            *all = from.iter().map(|at| all[*at]).collect();
        }
        sorted(&mut self.ids, &from);
        sorted(&mut self.loads, &from);
        sorted(&mut self.pull, &from);
        sorted(&mut self.slice, &from);
        sorted(&mut self.marks, &from);
        self.order = (0..self.len() as u32).collect();
    }

    /// Finds the groups, zones and order anew, after places changed.
    fn regroup(&mut self) {
        let (marks, ids) = (&self.marks, &self.ids);
        self.order
            .sort_by_key(|at| (marks[*at as usize], ids[*at as usize]));
        let group = |kind| Group {
            kind,
            members: Vec::new(),
            weights: Vec::new(),
            open: 0,
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
            (l.group, l.place, l.weigh_at) = (group as u32, zone as u32, g.members.len() as u32);
            (l.counted, l.out, l.ejected, l.odd) = (0, 0, false, false);
            g.members.push(at as u32);
            g.weights.push(0.0);
        }
        self.in_use = 0;
        self.busy.clear();
        self.ejected.clear();
        self.odd.clear();
        self.stale = (0..self.len() as u32).collect();
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
