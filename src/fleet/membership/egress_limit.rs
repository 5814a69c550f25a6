//! The limit on the bytes that membership sends, by a token bucket.
//!
//! Probes and their acknowledgements are free and leave at once: a late one looks like a failure, and a member that many
//! probe at the same time could not answer them all otherwise. Updates piggybacked on them, and all other messages, are
//! paid for with tokens and wait for them.

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

/// The sustained rate, free messages excluded.
const RATE_BYTES_PER_S: f64 = 3_500.0;
/// The most tokens that accumulate.
const BURST_BYTES: f64 = 5_000.0;
/// What prefix and envelope add to a body.
pub(super) const ENVELOPE_BYTES: usize = 40;
/// What the header of a SWIM message takes.
const SWIM_HEADER_BYTES: usize = 40;
/// With fewer tokens than this, no updates are piggybacked on a message.
const MIN_PIGGYBACK_BYTES: usize = 16;

/// Tokens for bytes that may be sent.
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

    pub(super) fn refill(&mut self, now: Time) {
        let elapsed_s = now.0.saturating_sub(self.refilled_at.0) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * RATE_BYTES_PER_S).min(BURST_BYTES);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Bytes that may be sent now.
    fn available(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }

    /// Pays for a datagram with a body of so many bytes, if there are tokens for it; whether it may be sent.
    pub(super) fn try_spend_datagram(&mut self, body_bytes: usize) -> bool {
        let cost = body_bytes + ENVELOPE_BYTES;
        let affordable = self.available() >= cost;
        if affordable {
            self.spend(cost);
        }
        affordable
    }

    /// To how many members, `max_targets` at most, a backlog of so many bytes can be sent now without touching the
    /// `reserved_bytes`.
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

/// What [`RateLimitedCodec`] and [`RateLimitedRuntime`] share: the bucket, and the message that is being encoded.
#[derive(Debug)]
pub(super) struct EgressLimit {
    pub(super) bucket: TokenBucket,
    /// Tokens that piggybacked updates leave for member lists.
    pub(super) reserved_for_lists_bytes: usize,
    /// Whether the message costs nothing but its piggybacked updates.
    free_header: bool,
    /// Where its padding is.
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

    /// Tokens that are not available to the updates piggybacked on a message with a header of so many bytes.
    fn piggyback_reserve(&self, message: &Message<Member>, header_bytes: usize) -> usize {
        match message {
            Message::Feed => 0, // a list itself
            Message::Gossip | Message::Broadcast => header_bytes + ENVELOPE_BYTES,
            _ => self.reserved_for_lists_bytes,
        }
    }
}

/// Postcard, with padding after each header, so that foca, which has a single size limit for all messages, piggybacks no
/// more updates than there are tokens for. [`RateLimitedRuntime`] removes the padding.
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

/// Collects what foca requests, with its messages paid for and without their padding.
pub(super) struct RateLimitedRuntime {
    limit: SharedEgressLimit,
    /// Messages to send, timers to schedule and notifications.
    pub(super) requests: AccumulatingRuntime<Member>,
    /// Whether foca learned that the others consider this proxy down.
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
