//! A Merkle tree over ranges of entry positions. Two replicas find the entries in which they differ by comparing their trees
//! from the root down. Changing an entry updates one node per level, independent of the table's size.

use serde::{Deserialize, Serialize};

/// The number of children of an inner node.
pub const CHILDREN: usize = 16;
/// The number of position bits that select a node's child.
const BITS_PER_LEVEL: u32 = 4;
/// The number of levels below the root. The nodes of the last level are the leaves.
const LEVELS: u8 = 3;
/// The number of nodes: 1 + 16 + 256 + 4,096.
const NODES: usize = 4369;
/// The index of each level's first node among all nodes.
const LEVEL_OFFSETS: [usize; 4] = [0, 1, 17, 273];

/// Identifies one state of the table. Replicas of a fleet with equal versions have equal roots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    /// The version of the last change, 0 if there was none.
    pub version: u64,
    /// The hash of the tree's root.
    pub root: u64,
}

/// A range of positions, including both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PositionRange {
    /// The first position.
    pub first: u64,
    /// The last position.
    pub last: u64,
}

impl PositionRange {
    /// The range of all positions.
    pub const ALL: PositionRange = PositionRange {
        first: 0,
        last: u64::MAX,
    };

    /// Returns whether the first position is not after the last. A range from another proxy may be invalid.
    pub fn is_valid(self) -> bool {
        self.first <= self.last
    }

    /// Returns whether the range contains the position.
    pub fn contains(self, position: u64) -> bool {
        (self.first..=self.last).contains(&position)
    }
}

/// A node of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// The level, from 0 for the root to 3 for the leaves.
    pub level: u8,
    /// The index within the level, from 0.
    pub index: u16,
}

impl Node {
    /// The root, which covers all positions.
    pub const ROOT: Node = Node { level: 0, index: 0 };

    /// Returns whether the tree has this node. A node from another proxy may not exist.
    pub fn is_valid(self) -> bool {
        self.level <= LEVELS
            && usize::from(self.index) < 1 << (BITS_PER_LEVEL * u32::from(self.level))
    }

    /// Returns whether the node has no children.
    pub fn is_leaf(self) -> bool {
        self.level >= LEVELS
    }

    /// Iterates over the node's children; a leaf has none.
    pub fn children(self) -> impl Iterator<Item = Node> {
        let count = if self.is_leaf() { 0 } else { CHILDREN as u16 };
        (0..count).map(move |child| Node {
            level: self.level + 1,
            index: self.index * CHILDREN as u16 + child,
        })
    }

    /// Returns the range of positions that the node covers.
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

    /// Returns the node of a level that covers a position.
    fn at(level: u8, position: u64) -> Node {
        let index = position
            .checked_shr(64 - BITS_PER_LEVEL * u32::from(level))
            .unwrap_or(0);
        Node {
            level,
            index: index as u16,
        }
    }

    /// Returns the node's index among the nodes of all levels.
    fn offset(self) -> usize {
        LEVEL_OFFSETS[usize::from(self.level)] + usize::from(self.index)
    }
}

/// The hashes of all nodes. A node's hash is the wrapping sum of the hashes of the entries in its range.
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
    /// Replaces the hash `old` of the entry at a position with `new`; 0 stands for no entry.
    pub fn replace(&mut self, position: u64, old: u64, new: u64) {
        for level in 0..=LEVELS {
            let hash = &mut self.hashes[Node::at(level, position).offset()];
            *hash = hash.wrapping_sub(old).wrapping_add(new);
        }
    }

    /// Returns the hash of a [valid](Node::is_valid) node.
    pub fn hash(&self, node: Node) -> u64 {
        self.hashes.get(node.offset()).copied().unwrap_or_default()
    }

    /// Returns the hash of the root, which sums up all entries.
    pub fn root(&self) -> u64 {
        self.hash(Node::ROOT)
    }
}
