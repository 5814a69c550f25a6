//! Snapshots decode to what was encoded, and changed bytes are rejected.

use super::*;
use proptest::prelude::*;

fn sampled() -> impl Strategy<Value = SampledMean> {
    (any::<f64>(), any::<f64>()).prop_map(|(value, count)| SampledMean { value, count })
}

fn snapshot() -> impl Strategy<Value = Snapshot> {
    let kind =
        (sampled(), sampled(), any::<f64>(), any::<f64>()).prop_map(|k| LearnedHardwareClass {
            latency: k.0,
            recent_latency: k.1,
            uncontended_latency_s: k.2,
            concurrency_limit: k.3,
        });
    let micros = proptest::option::of(any::<u64>().prop_map(Micros));
    let backend = (micros.clone(), any::<i32>(), micros).prop_map(|b| LearnedBackend {
        ejected_for: b.0,
        consecutive_ejections: b.1,
        enabled_ago: b.2,
    });
    let saved = (
        proptest::collection::vec((".{0,12}", kind), 0..4),
        proptest::collection::vec((".{0,12}", sampled()), 0..4),
        proptest::collection::vec((".{0,12}", backend), 0..6),
        proptest::collection::vec(".{0,12}", 0..3),
        sampled(),
    )
        .prop_map(|s| SavedState {
            hardware_classes: s.0,
            classes: s.1,
            backends: s.2,
            disabled: s.3,
            overall_latency: s.4,
        });
    let header = (
        ".{0,8}",
        any::<u64>(),
        any::<[u8; 32]>(),
        any::<Option<[u8; 32]>>(),
    )
        .prop_map(|h| Header {
            program: h.0,
            written_us: h.1,
            scope: SnapshotScope {
                owner: h.3,
                settings: h.2,
            },
        });
    (header, saved).prop_map(|(header, saved)| Snapshot { header, saved })
}

/// Compares the debug output, as NaN is not equal to itself.
fn has_equal_debug_output(a: &Snapshot, b: &Snapshot) -> bool {
    format!("{a:?}") == format!("{b:?}")
}

proptest! {
    #[test]
    fn encoded_snapshots_decode_to_equal_ones(s in snapshot()) {
        let decoded = decode(&encode(&s).unwrap()).unwrap();
        prop_assert!(has_equal_debug_output(&s, &decoded));
    }

    /// A changed byte and appended bytes are rejected: the prefix is validated, and the checksum detects every change
    /// of one byte in the body. Truncated and random bytes cause no panic.
    #[test]
    fn mutated_bytes_never_panic(s in snapshot(), at in any::<prop::sample::Index>(), flip in 1u8..,
                                 cut in any::<prop::sample::Index>(), junk in proptest::collection::vec(any::<u8>(), 0..64)) {
        let bytes = encode(&s).unwrap();
        let mut changed = bytes.clone();
        let i = at.index(changed.len());
        changed[i] ^= flip;
        prop_assert!(decode(&changed).is_err(), "a change of byte {} was accepted", i);
        let _ = decode(&bytes[..cut.index(bytes.len())]);
        let _ = decode(&junk);
        prop_assert!(decode(&[bytes.clone(), junk.clone()].concat()).is_err() || junk.is_empty());
    }
}
