//! What membership may send in a second, by a token bucket. Probes and their answers go at once, as a late answer passes
//! for a death, and cost nothing: else whoever is probed by all, as a seed is when a fleet starts, could never tell
//! them of each other. Their passengers, and whatever else is told, come out of the bucket and wait for tokens.

use super::member::Member;
use super::wire::MOST_BODY;
use crate::interface::Time;
use bytes::BufMut;
use foca::{
    AccumulatingRuntime, Codec, Header, Message, Notification, PostcardCodec, Runtime, Timer,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Bytes of datagrams in a second, beside bare probes and answers (85 bytes, some two a second, five where a tenth of
/// all datagrams is lost). Of the 6 KB that control may spend, 4 are membership's so, and 2 are left to duties and the
/// configuration.
pub const RATE: f64 = 3_500.0;
/// Bytes that may be saved up.
pub const BURST: f64 = 5_000.0;
/// What prefix and envelope add to foca's bytes, about.
pub const ENVELOPE: usize = 40;
/// With less room than this a message takes no passengers.
const LEAST: usize = 16;

/// The bucket.
#[derive(Debug)]
pub(super) struct Bucket {
    tokens: f64,
    at: Time,
}

impl Bucket {
    pub fn new(now: Time) -> Bucket {
        Bucket {
            tokens: BURST,
            at: now,
        }
    }

    pub fn refill(&mut self, now: Time) {
        let passed = now.0.saturating_sub(self.at.0) as f64 / 1e6;
        self.tokens = (self.tokens + passed * RATE).min(BURST);
        self.at = self.at.max(now);
    }

    /// Bytes that may go now.
    pub fn left(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    pub fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }

    /// Whether a datagram with so many bytes in its body may go, which is then spent.
    pub fn take(&mut self, body: usize) -> bool {
        let may = self.left() >= body + ENVELOPE;
        if may {
            self.spend(body + ENVELOPE);
        }
        may
    }
}

/// What codec and outbox share: the bucket, and of the message at hand whether its header is free and where its blank
/// bytes are.
#[derive(Debug)]
pub(super) struct Ration {
    pub bucket: Bucket,
    /// Tokens that passengers leave for lists.
    pub kept: usize,
    free: bool,
    blank: std::ops::Range<usize>,
}

pub(super) type Shared = Rc<RefCell<Ration>>;

pub(super) fn shared(now: Time) -> Shared {
    Rc::new(RefCell::new(Ration {
        bucket: Bucket::new(now),
        kept: 0,
        free: false,
        blank: 0..0,
    }))
}

/// Postcard, with blank bytes after each header, so that foca puts in no more passengers than there are tokens: it
/// knows only one size for all messages. [`Outbox`] takes them out again.
pub(super) struct Rationed(pub Shared);

impl Codec<Member> for Rationed {
    type Error = postcard::Error;

    fn encode_header(
        &mut self,
        header: &Header<Member>,
        mut buf: impl BufMut,
    ) -> Result<(), Self::Error> {
        let whole = buf.remaining_mut();
        PostcardCodec.encode_header(header, &mut buf)?;
        let after = whole - buf.remaining_mut();
        let mut ration = self.0.borrow_mut();
        ration.free = !matches!(header.message, Message::Gossip | Message::Broadcast);
        let cost = match header.message {
            Message::Feed => 0, // a list itself
            Message::Gossip | Message::Broadcast => after + ENVELOPE,
            _ => ration.kept,
        };
        let room = Some(ration.bucket.left().saturating_sub(cost)).filter(|r| *r >= LEAST);
        let blank = buf.remaining_mut().saturating_sub(room.unwrap_or(0));
        buf.put_bytes(0, blank);
        ration.blank = after..after + blank;
        Ok(())
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<Member>, Self::Error> {
        PostcardCodec.decode_header(buf)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        buf: impl BufMut,
    ) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buf)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Member>, Self::Error> {
        PostcardCodec.decode_member(buf)
    }
}

/// What foca asked for, with its messages paid and without their blank bytes.
pub(super) struct Outbox {
    ration: Shared,
    pub asked: AccumulatingRuntime<Member>,
    /// foca took the others' word that this proxy is down.
    pub defunct: bool,
}

impl Outbox {
    pub fn new(ration: Shared) -> Outbox {
        Outbox {
            ration,
            asked: AccumulatingRuntime::new(),
            defunct: false,
        }
    }
}

impl Runtime<Member> for Outbox {
    fn notify(&mut self, news: Notification<'_, Member>) {
        self.defunct |= matches!(news, Notification::Defunct);
        self.asked.notify(news);
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        let mut ration = self.ration.borrow_mut();
        let blank = std::mem::take(&mut ration.blank);
        let message = [&data[..blank.start], &data[blank.end..]].concat();
        let cost = if ration.free {
            message.len() - blank.start
        } else {
            message.len() + ENVELOPE
        };
        ration.bucket.spend(cost);
        self.asked.send_to(to, &message);
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        self.asked.submit_after(timer, after);
    }
}

impl Bucket {
    /// To how many members what waits goes now, of so many at most: `bytes` are waiting, a datagram holds [`MOST_BODY`],
    /// and so many bytes are not to be touched.
    pub fn targets(&self, bytes: usize, kept: usize, most: usize) -> usize {
        const HEADER: usize = 40;
        (self.left().saturating_sub(kept) / ((HEADER + bytes).min(MOST_BODY) + ENVELOPE)).min(most)
    }
}
