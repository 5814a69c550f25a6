//! A Merkle tree over ranges of positions. Two replicas find the entries that they differ in by comparing it from the root
//! down; a change updates one node a level, whatever the table's size.

use serde::{Deserialize, Serialize};

/// Children of an inner node.
pub const CHILDREN: usize = 16;
/// Bits of a position that one level divides by.
const BITS_PER_LEVEL: u32 = 4;
/// Levels below the root; the ranges of the last one are the leaves.
const LEVELS: u8 = 3;
/// All nodes: 1 + 16 + 256 + 4,096.
const NODES: usize = 4369;
/// The index of each level's first node among all nodes.
const LEVEL_OFFSETS: [usize; 4] = [0, 1, 17, 273];

/// Identifies one state of the table: equal versions of one fleet have equal roots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// The version of the last change, 0 for none.
    pub version: u64,
    /// The hash of all entries.
    pub root: u64,
}

/// A range of positions, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PositionRange {
    /// The first position.
    pub first: u64,
    /// The last position.
    pub last: u64,
}

impl PositionRange {
    /// All positions.
    pub const ALL: PositionRange = PositionRange {
        first: 0,
        last: u64::MAX,
    };

    /// Whether the first position is not behind the last. A range from another proxy may be none.
    pub fn is_valid(self) -> bool {
        self.first <= self.last
    }

    /// Whether the position lies in it.
    pub fn contains(self, position: u64) -> bool {
        (self.first..=self.last).contains(&position)
    }
}

/// A node of the tree: the root is level 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// 0 to 3.
    pub level: u8,
    /// Which of its level, from 0.
    pub index: u16,
}

impl Node {
    /// The node over all positions.
    pub const ROOT: Node = Node { level: 0, index: 0 };

    /// Whether the tree has such a node. One from another proxy may not exist.
    pub fn is_valid(self) -> bool {
        self.level <= LEVELS
            && usize::from(self.index) < 1 << (BITS_PER_LEVEL * u32::from(self.level))
    }

    /// Whether it has no children.
    pub fn is_leaf(self) -> bool {
        self.level >= LEVELS
    }

    /// Its children, none for a leaf.
    pub fn children(self) -> impl Iterator<Item = Node> {
        let count = if self.is_leaf() { 0 } else { CHILDREN as u16 };
        (0..count).map(move |child| Node {
            level: self.level + 1,
            index: self.index * CHILDREN as u16 + child,
        })
    }

    /// The positions below it.
    pub fn range(self) -> PositionRange {
        let bits = BITS_PER_LEVEL * u32::from(self.level);
        let first = if bits == 0 {
            0
        } else {
            u64::from(self.index) << (64 - bits)
        };
        PositionRange {
            first,
            last: first | u64::MAX.checked_shr(bits).unwrap_or(0),
        }
    }

    /// The node of a level that a position lies below.
    fn at(level: u8, position: u64) -> Node {
        let index = position
            .checked_shr(64 - BITS_PER_LEVEL * u32::from(level))
            .unwrap_or(0);
        Node {
            level,
            index: index as u16,
        }
    }

    /// Its index among all nodes.
    fn offset(self) -> usize {
        LEVEL_OFFSETS[usize::from(self.level)] + usize::from(self.index)
    }
}

/// The tree's hashes. A node's hash is the wrapping sum of the hashes of the entries below it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MerkleTree {
    hashes: Vec<u64>,
}

impl Default for MerkleTree {
    fn default() -> MerkleTree {
        MerkleTree {
            hashes: vec![0; NODES],
        }
    }
}

impl MerkleTree {
    /// Replaces the hash of the entry at a position; 0 for no entry.
    pub fn replace(&mut self, position: u64, old: u64, new: u64) {
        for level in 0..=LEVELS {
            let hash = &mut self.hashes[Node::at(level, position).offset()];
            *hash = hash.wrapping_sub(old).wrapping_add(new);
        }
    }

    /// The hash of a [valid](Node::is_valid) node.
    pub fn hash(&self, node: Node) -> u64 {
        self.hashes.get(node.offset()).copied().unwrap_or_default()
    }

    /// The hash of all entries.
    pub fn root(&self) -> u64 {
        self.hash(Node::ROOT)
    }
}
