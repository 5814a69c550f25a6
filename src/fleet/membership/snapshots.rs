//! The snapshot that a new proxy asks of a live one: who is asked, and the parts it comes in. What is in it is the
//! host's.

use super::wire::{Body, Refused, MOST_BODY};
use super::{Membership, News, Out, Output};
use crate::interface::Micros;
use std::net::SocketAddr;

/// How long one member has for its snapshot, and how many are asked.
pub(super) const ASK_FOR: Micros = Micros(500_000);
const ASKED: u32 = 3;
/// Parts of a snapshot at most: what is kept of two hundred backends fits into a tenth.
const PARTS: usize = 128;
const PART: usize = 1200;

/// The snapshot that this proxy asked for.
pub(super) struct Asking {
    nonce: u64,
    left: u32,
    parts: Vec<Option<Vec<u8>>>,
}

impl Asking {
    pub fn new(nonce: u64) -> Asking {
        Asking {
            nonce,
            left: ASKED,
            parts: Vec::new(),
        }
    }
}

/// A snapshot of so many bytes is too large for a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge(pub usize);

impl std::fmt::Display for TooLarge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} bytes, over the {} allowed", self.0, PARTS * PART)
    }
}

impl std::error::Error for TooLarge {}

impl Membership {
    /// Asks another live member for its snapshot, while one is wanted.
    pub(super) fn ask(&mut self, out: &mut Out) {
        let live: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().addr).collect();
        let Some(asking) = &mut self.asking else {
            return;
        };
        if live.is_empty() {
            return;
        }
        if asking.left == 0 {
            out.push(Output::News(News::NoSnapshot { asked: ASKED }));
            self.asking = None;
            return;
        }
        asking.left -= 1;
        asking.nonce += 1; // parts of the call before come too late
        asking.parts.clear();
        let (nonce, to) = (asking.nonce, live[asking.nonce as usize % live.len()]);
        out.push(Output::Send(to, Body::Ask { nonce }));
    }

    /// Sends a member the snapshot that it [wanted](News::Wanted) under that number.
    ///
    /// # Errors
    /// Where it is too large for a peer; nothing is sent.
    pub fn give(
        &self,
        to: SocketAddr,
        nonce: u64,
        bytes: &[u8],
        out: &mut Out,
    ) -> Result<(), TooLarge> {
        let parts: Vec<&[u8]> = bytes.chunks(PART).collect();
        if parts.len() > PARTS {
            return Err(TooLarge(bytes.len()));
        }
        for (index, part) in parts.iter().enumerate() {
            let (index, of) = (index as u16, parts.len() as u16);
            out.push(Output::Send(
                to,
                Body::Part {
                    nonce,
                    index,
                    of,
                    bytes: part.to_vec(),
                },
            ));
        }
        Ok(())
    }

    /// Puts a part of the snapshot that was asked for in its place, and tells of the whole once it is there.
    pub(super) fn part(
        &mut self,
        nonce: u64,
        index: u16,
        of: u16,
        bytes: Vec<u8>,
        out: &mut Out,
    ) -> Result<(), Refused> {
        let asking = self
            .asking
            .as_mut()
            .filter(|a| a.nonce == nonce)
            .ok_or(Refused::Unasked)?;
        let (index, of) = (usize::from(index), usize::from(of));
        if asking.parts.is_empty() && of <= PARTS {
            asking.parts.resize(of, None);
        }
        if asking.parts.len() != of || index >= of || bytes.len() > MOST_BODY {
            return Err(Refused::Unasked);
        }
        asking.parts[index] = Some(bytes);
        let Some(parts) = asking.parts.iter().cloned().collect::<Option<Vec<_>>>() else {
            return Ok(());
        };
        self.asking = None;
        out.push(Output::News(News::Snapshot(parts.concat())));
        Ok(())
    }
}
