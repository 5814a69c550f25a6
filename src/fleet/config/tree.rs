//! A tree of hashes over ranges of positions: what two copies differ in is found in a few steps, and a change touches one
//! node a level, whatever the table's size.

use serde::{Deserialize, Serialize};

/// Children of a node.
pub const CHILDREN: usize = 16;
/// Bits of a position that one level divides by.
const BITS: u32 = 4;
/// Levels below the root; the ranges of the last one are the leaves.
const LEVELS: u8 = 3;
/// All nodes: 1 + 16 + 256 + 4,096.
const NODES: usize = 4369;

/// A range of positions: the root is level 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// 0 to 3.
    pub level: u8,
    /// Which of its level, from 0.
    pub index: u16,
}

impl Node {
    /// All positions.
    pub const ROOT: Node = Node { level: 0, index: 0 };

    /// Whether there is such a node.
    pub fn is_sound(self) -> bool {
        self.level <= LEVELS && usize::from(self.index) < 1 << (BITS * u32::from(self.level))
    }

    /// Its children, none for a leaf.
    pub fn children(self) -> impl Iterator<Item = Node> {
        let count = if self.level < LEVELS {
            CHILDREN as u16
        } else {
            0
        };
        (0..count).map(move |n| Node {
            level: self.level + 1,
            index: self.index * CHILDREN as u16 + n,
        })
    }

    /// Its first and its last position.
    pub fn span(self) -> (u64, u64) {
        let bits = BITS * u32::from(self.level);
        let from = if bits == 0 {
            0
        } else {
            u64::from(self.index) << (64 - bits)
        };
        (from, from | u64::MAX.checked_shr(bits).unwrap_or(0))
    }

    fn of(level: u8, position: u64) -> Node {
        let index = position
            .checked_shr(64 - BITS * u32::from(level))
            .unwrap_or(0);
        Node {
            level,
            index: index as u16,
        }
    }

    /// Where it is kept.
    fn place(self) -> usize {
        let before = [0, 1, 17, 273];
        before[usize::from(self.level)] + usize::from(self.index)
    }
}

/// Each node's hash is the sum of the hashes of what lies in its range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Tree {
    hashes: Vec<u64>,
}

impl Default for Tree {
    fn default() -> Tree {
        Tree {
            hashes: vec![0; NODES],
        }
    }
}

impl Tree {
    /// What stands at a position has this hash instead of that; 0 for nothing.
    pub fn replace(&mut self, position: u64, old: u64, new: u64) {
        for level in 0..=LEVELS {
            let hash = &mut self.hashes[Node::of(level, position).place()];
            *hash = hash.wrapping_sub(old).wrapping_add(new);
        }
    }

    /// A sound node's hash.
    pub fn hash(&self, node: Node) -> u64 {
        self.hashes.get(node.place()).copied().unwrap_or_default()
    }

    /// The hash of all.
    pub fn root(&self) -> u64 {
        self.hash(Node::ROOT)
    }
}
