//! The egress limit: a token bucket that limits the bytes that the SWIM protocol and the comparison of member lists
//! send.
//!
//! Probes and their acknowledgements cost no tokens and are sent at once: a late one looks like a failure, and a member
//! that is probed by many others at the same time could not acknowledge all probes otherwise. Updates piggybacked on
//! them, gossip, broadcasts, digests and member lists cost one token per byte and are sent only when there are enough
//! tokens.

use super::member::Member;
use super::wire::MAX_DATAGRAM_BODY_BYTES;
use crate::interface::Time;
use bytes::BufMut;
use foca::{
    AccumulatingRuntime, Codec, Header, Message, Notification, PostcardCodec, Runtime, Timer,
};
use std::cell::RefCell;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

/// The sustained rate in bytes per second, without messages that cost no tokens.
const RATE_BYTES_PER_S: f64 = 3_500.0;
/// The capacity of the token bucket, in bytes.
const BURST_BYTES: f64 = 5_000.0;
/// An upper bound on the bytes that prefix and envelope add to a body.
pub(super) const ENVELOPE_BYTES: usize = 40;
/// The assumed size of the header of a SWIM message, in bytes.
const SWIM_HEADER_BYTES: usize = 40;
/// The minimum number of tokens at which updates are piggybacked on a message.
const MIN_PIGGYBACK_BYTES: usize = 16;

/// A token bucket with one token for each byte that may be sent. Its level may become negative, as foca's messages
/// are charged without a check.
#[derive(Debug)]
pub(super) struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    fn new(now: Time) -> TokenBucket {
        TokenBucket {
            tokens: BURST_BYTES,
            refilled_at: now,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub(super) fn refill(&mut self, now: Time) {
        let elapsed_s = now.0.saturating_sub(self.refilled_at.0) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * RATE_BYTES_PER_S).min(BURST_BYTES);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// The number of bytes that may be sent now.
    fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }

    /// Takes the tokens for a datagram with a body of `body_bytes`, if there are enough. Returns whether it may be
    /// sent.
    pub(super) fn try_spend_datagram(&mut self, body_bytes: usize) -> bool {
        let cost = body_bytes + ENVELOPE_BYTES;
        let affordable = self.available() >= cost;
        if affordable {
            self.spend(cost);
        }
        affordable
    }

    /// The number of members, up to `max_targets`, to which a backlog of `backlog_bytes` can be sent now while
    /// `reserved_bytes` remain available.
    pub(super) fn affordable_targets(
        &self,
        backlog_bytes: usize,
        reserved_bytes: usize,
        max_targets: usize,
    ) -> usize {
        let body_bytes = (SWIM_HEADER_BYTES + backlog_bytes).min(MAX_DATAGRAM_BODY_BYTES);
        let spendable = self.available().saturating_sub(reserved_bytes);
        (spendable / (body_bytes + ENVELOPE_BYTES)).min(max_targets)
    }
}

/// The state that [`RateLimitedCodec`] and [`RateLimitedRuntime`] share: the token bucket, and what the runtime has to
/// know about the message that the codec encoded last.
#[derive(Debug)]
pub(super) struct EgressLimit {
    pub(super) bucket: TokenBucket,
    /// Tokens that are reserved for member lists and not available to piggybacked updates.
    pub(super) reserved_for_lists_bytes: usize,
    /// Whether only the piggybacked updates of the message cost tokens.
    free_header: bool,
    /// The range of the padding in the message, in bytes.
    padding: Range<usize>,
}

pub(super) type SharedEgressLimit = Rc<RefCell<EgressLimit>>;

impl EgressLimit {
    pub(super) fn shared(now: Time) -> SharedEgressLimit {
        Rc::new(RefCell::new(EgressLimit {
            bucket: TokenBucket::new(now),
            reserved_for_lists_bytes: 0,
            free_header: false,
            padding: 0..0,
        }))
    }

    /// The number of tokens that are not available to the updates piggybacked on a message with a header of
    /// `header_bytes`.
    fn piggyback_reserve(&self, message: &Message<Member>, header_bytes: usize) -> usize {
        match message {
            Message::Feed => 0, // it carries a member list itself
            Message::Gossip | Message::Broadcast => header_bytes + ENVELOPE_BYTES,
            _ => self.reserved_for_lists_bytes,
        }
    }
}

/// Encodes messages with postcard, with padding after each header. foca has a single size limit for all messages; the
/// padding makes it piggyback no more updates than there are tokens for. [`RateLimitedRuntime`] removes the padding.
pub(super) struct RateLimitedCodec(pub(super) SharedEgressLimit);

impl Codec<Member> for RateLimitedCodec {
    type Error = postcard::Error;

    fn encode_header(
        &mut self,
        header: &Header<Member>,
        mut buffer: impl BufMut,
    ) -> Result<(), Self::Error> {
        let capacity = buffer.remaining_mut();
        PostcardCodec.encode_header(header, &mut buffer)?;
        let header_bytes = capacity - buffer.remaining_mut();
        let mut limit = self.0.borrow_mut();
        let reserve = limit.piggyback_reserve(&header.message, header_bytes);
        let mut piggyback_bytes = limit.bucket.available().saturating_sub(reserve);
        if piggyback_bytes < MIN_PIGGYBACK_BYTES {
            piggyback_bytes = 0;
        }
        let padding_bytes = buffer.remaining_mut().saturating_sub(piggyback_bytes);
        buffer.put_bytes(0, padding_bytes);
        limit.free_header = !matches!(header.message, Message::Gossip | Message::Broadcast);
        limit.padding = header_bytes..header_bytes + padding_bytes;
        Ok(())
    }

    fn decode_header(&mut self, buffer: impl bytes::Buf) -> Result<Header<Member>, Self::Error> {
        PostcardCodec.decode_header(buffer)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<Member>,
        buffer: impl BufMut,
    ) -> Result<(), Self::Error> {
        PostcardCodec.encode_member(member, buffer)
    }

    fn decode_member(
        &mut self,
        buffer: impl bytes::Buf,
    ) -> Result<foca::Member<Member>, Self::Error> {
        PostcardCodec.decode_member(buffer)
    }
}

/// Collects foca's requests to the caller. For each message, takes its tokens from the bucket and removes the padding.
pub(super) struct RateLimitedRuntime {
    limit: SharedEgressLimit,
    /// Messages to send, timers to schedule, and notifications.
    pub(super) requests: AccumulatingRuntime<Member>,
    /// Whether foca has learned that other proxies declared this one down.
    pub(super) declared_down: bool,
}

impl RateLimitedRuntime {
    pub(super) fn new(limit: SharedEgressLimit) -> RateLimitedRuntime {
        RateLimitedRuntime {
            limit,
            requests: AccumulatingRuntime::new(),
            declared_down: false,
        }
    }
}

impl Runtime<Member> for RateLimitedRuntime {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        self.declared_down |= matches!(notification, Notification::Defunct);
        self.requests.notify(notification);
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        let mut limit = self.limit.borrow_mut();
        let padding = std::mem::take(&mut limit.padding);
        let message = [&data[..padding.start], &data[padding.end..]].concat();
        let cost = if limit.free_header {
            message.len() - padding.start
        } else {
            message.len() + ENVELOPE_BYTES
        };
        limit.bucket.spend(cost);
        self.requests.send_to(to, &message);
    }

    fn submit_after(&mut self, timer: Timer<Member>, after: Duration) {
        self.requests.submit_after(timer, after);
    }
}
